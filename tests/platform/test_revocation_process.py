"""Tests of the revocation of keys at an entry that runs as a process."""

from __future__ import annotations

import http.client
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import unittest

from balsamwall_standins import free_ports
from twisted.internet import reactor
from twisted.web import server

from soak import store as store_module
from tests.fixtures import reactor_thread
from tests.platform import test_daemon_process
from tests.platform import test_node_settings

START_S = 15
APPLY_S = 3.0
PAUSE_S = 4.0
PROGRAM = test_daemon_process.ROOT / "src" / "platform_daemon.py"
ROUTE = {
    "name": "r",
    "host": "desk.example",
    "path_prefix": "/a/",
    "kind": "idempotent",
    "timeout_ms": 1_000,
    "service": "app",
}


class RevocationProcessTest(unittest.TestCase):
    """One entry and a stand-in for the store; requests reach no server."""

    def setUp(self):
        self.data = store_module.StoreData()
        self.site = store_module.StoreSite(self.data)
        self.version = 0
        self.put("k1", "k2")
        self.listener = reactor_thread.run(self.listen)
        store_port = self.listener.getHost().port
        self.port = free_ports.free_port()
        ready_port = free_ports.free_port()
        rows = {**test_node_settings.ROWS}
        rows["listen"] = {
            "front": f"127.0.0.1:{self.port}",
            "ready": f"127.0.0.1:{ready_port}",
        }
        rows["internal_ports"] = [free_ports.free_port() for _ in range(2)]
        rows["platform"] = {
            "address": f"127.0.0.1:{store_port}",
            "ttl_min_ms": 1_000,
        }
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        text = test_daemon_process.as_toml(rows)
        (self.folder / "local.toml").write_text(text)
        self.start()

    def listen(self):
        return reactor.listenTCP(
            0, server.Site(self.site), interface="127.0.0.1"
        )

    def start(self):
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    str(PROGRAM),
                    f"--settings={self.folder / 'local.toml'}",
                ],
                stdout=log,
            )
        end_s = time.monotonic() + START_S
        while time.monotonic() < end_s:
            try:
                if self.status("k1") == 503 and self.code == "NO_REPLICA":
                    return
            except OSError:
                pass
            time.sleep(0.05)
        self.fail("the entry did not read its configuration")

    def kill(self):
        self.process.kill()
        self.process.wait()

    def tearDown(self):
        self.kill()
        reactor_thread.run(self.data.stop)
        reactor_thread.run(self.listener.stopListening)
        log = (self.folder / "log").read_text()
        self.assertNotIn("Bearer", log)
        self.assertNotIn("k2", log)

    def put(self, *keys):
        self.version += 1
        fields = {
            "version": self.version,
            "routes": [ROUTE],
            "services": [{"name": "app"}],
            "tenants": [{"name": "t1", "api_keys": list(keys)}],
        }
        value = json.dumps(fields).encode()
        reactor_thread.run(lambda: self.data.put("op/config", value))

    def status(self, key, connection=None):
        """Send a request; a valid key gets 503, as there is no server."""
        own = connection or self.connect()
        fields = {
            "Host": "desk.example",
            "Balsamwall-Request-Id": "q1",
            "Authorization": f"Bearer {key}",
        }
        own.request("GET", "/a/1", headers=fields)
        response = own.getresponse()
        self.code = json.loads(response.read())["error"]["name"]
        if connection is None:
            own.close()
        return response.status

    def connect(self):
        return http.client.HTTPConnection("127.0.0.1", self.port, timeout=5)

    def test_open_connection(self):
        """Guards against a key that stays valid on an open connection."""
        connection = self.connect()
        self.assertEqual(self.status("k2", connection), 503)
        self.put("k1")
        end_s = time.monotonic() + APPLY_S
        while self.status("k2", connection) != 401:
            self.assertLess(time.monotonic(), end_s)
            time.sleep(0.05)
        self.assertEqual(self.status("k1", connection), 503)
        connection.close()

    def test_pause_and_restart(self):
        """Guards against a revoked key accepted after a pause or restart."""
        connection = self.connect()
        self.assertEqual(self.status("k2", connection), 503)
        self.process.send_signal(signal.SIGSTOP)
        self.put("k1")
        time.sleep(PAUSE_S)
        self.process.send_signal(signal.SIGCONT)
        end_s = time.monotonic() + APPLY_S
        while time.monotonic() < end_s:
            self.status("k2", connection)
            self.assertIn(
                self.code,
                ("CONFIGURATION_UNAVAILABLE", "KEY_MISSING_OR_WRONG"),
            )
            if self.code == "KEY_MISSING_OR_WRONG":
                break
        self.assertEqual(self.status("k1"), 503)
        self.assertEqual(self.code, "NO_REPLICA")
        connection.close()
        self.kill()
        self.start()
        self.assertEqual(self.status("k2"), 401)
