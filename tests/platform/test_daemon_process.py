"""Tests of the platform entry as a separate process."""

from __future__ import annotations

import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest

from balsamwall_standins import free_ports

from balsamwall.platform import daemon
from tests.platform import test_node_settings

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROCESS_TIMEOUT_S = 20
SIGNAL_INTERVAL_S = 0.0005


def as_toml(rows: dict, name: str = "") -> str:
    """Return the settings as TOML, with at most one level of tables."""
    plain = {key: row for key, row in rows.items() if type(row) is not dict}
    text = f"[{name}]\n" if name else ""
    for key, row in plain.items():
        text += f"{key} = {row!r}\n".replace("'", '"')
    for key, row in rows.items():
        if type(row) is dict:
            text += as_toml(row, key)
    return text


class DaemonProcessTest(unittest.TestCase):
    """A process that can't start reports the reason and exits."""

    def test_port_in_use_exits_with_one_error_line(self):
        """Guards against a traceback when a port is already in use."""
        with (
            socket.socket() as listener,
            tempfile.TemporaryDirectory() as folder,
        ):
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            port = listener.getsockname()[1]
            listen = {"front": f"127.0.0.1:{port}", "ready": "127.0.0.1:0"}
            rows = {**test_node_settings.ROWS, "listen": listen}
            rows["internal_ports"] = [port, port]
            path = pathlib.Path(folder, "local.toml")
            path.write_text(as_toml(rows))
            result = subprocess.run(
                [
                    sys.executable,
                    str(ROOT / "src" / "platform_daemon.py"),
                    f"--settings={path}",
                ],
                capture_output=True,
                text=True,
                timeout=PROCESS_TIMEOUT_S,
            )
        self.assertEqual(result.returncode, daemon.EXIT_CANNOT_LISTEN)
        self.assertEqual(len(result.stderr.splitlines()), 1, result.stderr)


class ReloadWhileStoppingTest(unittest.TestCase):
    """A reload signal may come at any moment of a stop."""

    def test_reload_signals_do_not_end_a_stopping_process(self):
        """Guards against an exit by SIGHUP while the interpreter ends."""
        rows = {**test_node_settings.ROWS, "ip": "127.0.0.1"}
        rows["listen"] = {"front": "127.0.0.1:0", "ready": "127.0.0.1:0"}
        rows["internal_ports"] = [free_ports.free_port() for _ in range(2)]
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "local.toml")
            path.write_text(as_toml(rows))
            command = [
                sys.executable,
                str(ROOT / "src" / "platform_daemon.py"),
                f"--settings={path}",
            ]
            with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
                # The handlers are installed right after this line.
                self.assertIn(b"daemon_started", process.stdout.readline())
                time.sleep(1)
                process.send_signal(signal.SIGTERM)
                limit_s = time.monotonic() + PROCESS_TIMEOUT_S
                while process.poll() is None and time.monotonic() < limit_s:
                    process.send_signal(signal.SIGHUP)
                    time.sleep(SIGNAL_INTERVAL_S)
                process.kill()
        self.assertEqual(process.returncode, daemon.EXIT_OK)
