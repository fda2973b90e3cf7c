"""Start the project's own entries as separate processes."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import socket
import subprocess
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
BOUNDS = """
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 8
lost_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
skew_max_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_extra = 58
recover_s = 12
pass_ms = 120
fencing_enforced = {fencing}
lease_ms = 3000
thaw_slack_ms = 300
ceiling_window_s = 5
ceiling_overshoot = 1.1
"""


_given: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Return ports of the loopback address that nobody uses, each once."""
    found: list[int] = []
    while len(found) < count:
        with socket.socket() as item:
            item.bind(("127.0.0.1", 0))
            port = item.getsockname()[1]
        if port not in _given:
            _given.add(port)
            found.append(port)
    return found


class Entry:
    """Run one entry with the command of the deploy file."""

    def __init__(
        self,
        name: str,
        directory: pathlib.Path,
        store_address: str,
        *,
        is_fencing: bool = True,
        fleet_address_of: str = "127.0.0.1",
    ) -> None:
        self.name = name
        self._directory = directory
        self.front, self.ready, self.fleet, self.metrics = free_ports(4)
        self._path = directory / f"{name}.toml"
        self._process: subprocess.Popen[bytes] | None = None
        bounds = BOUNDS.format(fencing=str(is_fencing).lower())
        self._path.write_text(
            f"""
node = "{name}"
role = "entry"
machine_class = "front"
serves = ["front"]
ip = "{fleet_address_of}"
zone = "hall-sava"
region = "zagreb"
internal_ports = [{self.fleet},{self.metrics}]
seeds = []
bootstrap = true
heartbeat_ms = 1200
[zones]
hall-sava = "zagreb"
[listen]
front = "127.0.0.1:{self.front}"
ready = "127.0.0.1:{self.ready}"
[limits]
cpu_share = 0.817
cores = 1
memory_mb = 300
max_fds = 4100
[bounds]{bounds}
[platform]
address = "{store_address}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
""",
            encoding="utf-8",
        )

    @property
    def pid(self) -> int:
        """Return the process identifier."""
        assert self._process is not None
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, None while the process runs."""
        return None if self._process is None else self._process.poll()

    def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        log = (self._directory / f"{self.name}.log").open("ab")
        self._process = subprocess.Popen(
            command,
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env={
                "PATH": os.environ["PATH"],
                "PYTHONPATH": str(ROOT / "target/deps"),
                "BALSAMWALL_NODE_FILE": str(self._path),
            },
        )
        log.close()

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def kill(self) -> None:
        """End the process at once and wait for it."""
        if self._process is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self._process.wait()

    def log_text(self) -> str:
        """Return what the process has written."""
        path = self._directory / f"{self.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    async def wait_ready(self, limit_s: float = 20.0) -> bool:
        """Wait until the readiness question gets 200."""
        for _ in range(int(limit_s / 0.1)):
            await asyncio.sleep(0.1)
            try:
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self.ready
                )
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
            except (OSError, TimeoutError):
                continue
            if b" 200 " in line:
                return True
        return False
