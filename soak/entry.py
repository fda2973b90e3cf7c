"""Entry daemons that run as processes."""

from __future__ import annotations

import json
import pathlib
import signal
import subprocess
import sys
from typing import Any

from balsamwall_standins import free_ports

from soak import ledger as ledger_module
from soak import workspaces

ROOT = pathlib.Path(__file__).resolve().parent.parent
GRACE_S = 6
LEASE_MS = 2_000
# Time that a process needs until it is connected to the others.
START_MS = 2_000


class Entry:
    """One entry and its process; no other process is signalled."""

    def __init__(
        self,
        name: str,
        zone: str,
        store_port: int,
        folder: pathlib.Path,
        engines_check_tokens: bool = True,
        source: pathlib.Path = ROOT,
    ) -> None:
        self._source = source
        self.name = name
        self.callers_port = free_ports.free_port()
        self.ready_port = free_ports.free_port()
        self._settings = folder / f"{name}.toml"
        self._store_port = store_port
        self._zone = zone
        self._engines_check_tokens = engines_check_tokens
        self._internal_ports = [free_ports.free_port() for _ in range(2)]
        self._process: subprocess.Popen[bytes] | None = None
        self._log = folder / f"{name}.log"
        self._log_begin = 0
        self.is_stopping = False
        self.is_frozen = False
        # Times in which the process was frozen or started again.
        self.disturbed_ms: list[tuple[int, int]] = []
        # Times in which the process was frozen.
        self.frozen_ms: list[tuple[int, int]] = []
        # Times in which the process did not reach the store.
        self.without_store_ms: list[tuple[int, int]] = []
        self.unexpected_exits: list[str] = []
        self._write_settings()

    def _write_settings(self) -> None:
        bounds: dict[str, Any] = {
            "grace_s": GRACE_S,
            "lease_ms": LEASE_MS,
            "fencing_enforced": self._engines_check_tokens,
            "retry_budget_ratio": 0.2,
            "budget_extra": 50,
            "budget_window_s": 10,
            "quota_slack": workspaces.SLACK_TOKENS,
        }
        lines = [
            f'node = "{self.name}"',
            f'zone = "{self._zone}"',
            'ip = "127.0.0.1"',
            f"internal_ports = {self._internal_ports}",
            "[listen]",
            f'front = "127.0.0.1:{self.callers_port}"',
            f'ready = "127.0.0.1:{self.ready_port}"',
            "[platform]",
            f'address = "127.0.0.1:{self._store_port}"',
            "ttl_min_ms = 1000",
            "[bounds]",
            *(f"{key} = {json.dumps(bounds[key])}" for key in bounds),
        ]
        self._settings.write_text("\n".join(lines) + "\n")

    @property
    def is_running(self) -> bool:
        """Tell whether the process exists."""
        return self._process is not None and self._process.poll() is None

    @property
    def has_started(self) -> bool:
        """Tell whether the process has reached its event loop."""
        if not self.is_running:
            return False
        # On a loaded VM a process may need seconds to install its handlers.
        written = self._log.read_bytes()[self._log_begin :]
        return b"store_connected" in written

    def has_logged(self, text: str) -> bool:
        """Tell whether the log contains a text."""
        return self._log.exists() and text.encode() in self._log.read_bytes()

    def log_rows(self) -> list[dict[str, Any]]:
        """Return the lines of the log that are JSON objects."""
        rows = []
        for line in self._log.read_text().splitlines():
            if line.startswith("{"):
                rows.append(json.loads(line))
        return rows

    def serves(self, address: str) -> bool:
        """Tell whether the other entries reach this one at an address."""
        port = int(address.rpartition(":")[2])
        return port in self._internal_ports

    def start(self) -> None:
        """Start the process and append its output to the log."""
        now_ms = ledger_module.now_ms()
        self.disturbed_ms.append((now_ms, now_ms + START_MS))
        self.is_stopping = False
        self.is_frozen = False
        with self._log.open("ab") as log:
            self._log_begin = log.tell()
            self._process = subprocess.Popen(
                [
                    sys.executable,
                    str(self._source / "src" / "platform_daemon.py"),
                    "--settings",
                    str(self._settings),
                ],
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it is running."""
        if self.is_running and self._process is not None:
            self._process.send_signal(number)

    def check_exit(self) -> None:
        """Record the exit of the process if it was unexpected."""
        process = self._process
        if process is None or process.poll() is None:
            return
        code = process.returncode
        self._process = None
        if not self.is_stopping:
            self.unexpected_exits.append(
                f"{self.name} exited unexpectedly with code {code}"
            )
        elif code not in (0, -signal.SIGKILL):
            self.unexpected_exits.append(
                f"{self.name} exited with code {code} on a stop"
            )

    def record_without_store(self, duration_s: float) -> None:
        """Record that the process does not reach the store from now on."""
        now_ms = ledger_module.now_ms()
        self.without_store_ms.append(
            (now_ms, now_ms + int(duration_s * 1_000))
        )

    def is_disturbed_since(self, since_ms: int) -> bool:
        """Tell whether it was frozen, restarted or without the store since."""
        windows = self.disturbed_ms + self.without_store_ms
        return any(until_ms >= since_ms for _, until_ms in windows)

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait for its exit."""
        self.is_stopping = True
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()
        self.check_exit()
