"""Entries of balsamwall as separate processes, as the deploy file has them."""

from __future__ import annotations

import os
import pathlib
import signal
import socket
import subprocess
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[1]

SETTINGS = """\
node = "{name}"
role = "entry"
machine_class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "{zone}"
region = "zagreb"
internal_ports = [{internal[0]}, {internal[1]}]
seeds = []
bootstrap = true
heartbeat_ms = 1200
[zones]
hall-sava = "zagreb"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
cpu_share = 0.817
cores = 1
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
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
again_s = 0
fencing_enforced = true
lease_ms = 3000
thaw_slack_ms = 300
ceiling_window_s = 5
ceiling_overshoot = 1.1
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


def free_port() -> int:
    """Return a loopback port that is free now."""
    with socket.socket() as found:
        found.bind(("127.0.0.1", 0))
        port: int = found.getsockname()[1]
        return port


def command() -> list[str]:
    """Return the command of the entry in the deploy file."""
    with (ROOT / "deploy" / "system.toml").open("rb") as file:
        words = tomllib.load(file)["roles"]["entry"]["run"].split()
    return [str(word) for word in words]


class Entry:
    """One entry and its process."""

    def __init__(
        self,
        name: str,
        store: str,
        folder: pathlib.Path,
        zone: str = "hall-sava",
    ) -> None:
        self.name = name
        self.front = free_port()
        self.ready = free_port()
        self.process: subprocess.Popen[bytes] | None = None
        self.log = folder / f"{name}.log"
        self.settings = folder / f"{name}.toml"
        self.settings.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                internal=(free_port(), free_port()),
                front=self.front,
                ready=self.ready,
                store=store,
            )
        )

    def set(self, name: str, value: str) -> None:
        """Change a field of the settings."""
        rows = [
            f"{name} = {value}" if row.startswith(f"{name} = ") else row
            for row in self.settings.read_text().splitlines()
        ]
        self.settings.write_text("\n".join(rows) + "\n")

    def start(self) -> None:
        """Start the process with the settings and libraries of the build."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["BALSAMWALL_NODE_FILE"] = str(self.settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, None while the process runs."""
        return None if self.process is None else self.process.poll()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
