"""Tests of balsamwalld as a separate process."""

from __future__ import annotations

import http.client
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import unittest

from balsamwall import daemon
from tests.fixtures import sample_settings

MEMORY_LIMIT_KB = 64 * 1024


class DaemonTest(unittest.TestCase):
    """Guard against failures of start-up, port conflicts and shutdown."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def _command(self, text: str, *options: str) -> list[str]:
        path = self.folder / "settings.ini"
        path.write_text(text)
        command = [sys.executable, "-m", "balsamwall.daemon", str(path)]
        return [*command, *options]

    def _start(self, text: str) -> tuple[subprocess.Popen, dict[str, str]]:
        process = subprocess.Popen(
            self._command(text), stderr=subprocess.PIPE, text=True
        )
        self.addCleanup(self._end, process)
        started = json.loads(process.stderr.readline())
        self.assertEqual("daemon_started", started["message_type"])
        return process, started["ports"]

    def _end(self, process: subprocess.Popen) -> None:
        process.kill()
        process.wait()
        process.stderr.close()

    def _get(self, port: str, path: str) -> tuple[int, bytes]:
        connection = http.client.HTTPConnection("127.0.0.1", int(port))
        connection.request("GET", path)
        response = connection.getresponse()
        result = response.status, response.read()
        connection.close()
        return result

    def test_check(self) -> None:
        """--check must report validity in its output and its exit code."""
        valid = subprocess.run(
            self._command(sample_settings.ENTRY, "--check"),
            stdout=subprocess.PIPE,
            check=False,
        )
        self.assertEqual(0, valid.returncode)
        self.assertIn(b"valid, role entry", valid.stdout)
        invalid = subprocess.run(
            self._command(sample_settings.ENTRY.replace("entry\n", "x\n")),
            stderr=subprocess.PIPE,
            check=False,
        )
        self.assertEqual(daemon.EXIT_SETTINGS_INVALID, invalid.returncode)
        self.assertIn(b"[daemon] role: found 'x'", invalid.stderr)

    def test_second_agent_ends(self) -> None:
        """Two agents must never send orders to the same backend server."""
        process, ports = self._start(sample_settings.AGENT)
        text = sample_settings.AGENT.replace(
            "internal = 127.0.0.1:0",
            f"internal = 127.0.0.1:{ports['internal engine']}",
        )
        second = subprocess.run(
            self._command(text),
            stderr=subprocess.DEVNULL,
            check=False,
        )
        self.assertEqual(daemon.EXIT_PORT_TAKEN, second.returncode)
        self.assertIsNone(process.poll())

    def test_entry_serves_drains_and_stays_small(self) -> None:
        """An idle entry must stay within its memory and exit on SIGTERM."""
        process, ports = self._start(sample_settings.ENTRY)
        self.assertEqual(200, self._get(ports["metrics"], "/healthz")[0])
        self.assertEqual(503, self._get(ports["metrics"], "/readyz")[0])
        status, body = self._get(ports["callers"], "/v1/models")
        self.assertEqual(503, status)
        self.assertEqual(2012, json.loads(body)["error"]["number"])
        status, _ = self._get(ports["administration"], "/v1/endpoints")
        self.assertEqual(401, status)
        lines = pathlib.Path(f"/proc/{process.pid}/status").read_text()
        (line,) = [row for row in lines.splitlines() if "VmRSS" in row]
        self.assertLess(int(line.split()[1]), MEMORY_LIMIT_KB)
        process.send_signal(signal.SIGTERM)
        self.assertEqual(0, process.wait(60))
