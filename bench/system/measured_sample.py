"""Sample deployment on free ports with optional counting relays."""

from __future__ import annotations

import json
import pathlib
import shutil
import tempfile
import time
from typing import Any
from typing import TYPE_CHECKING
import urllib.request

from balsamwall_standins import free_ports
from balsamwall_standins import sample

from bench.system import counting_relay

if TYPE_CHECKING:
    from collections.abc import Callable

_OPENER = urllib.request.build_opener(urllib.request.ProxyHandler({}))
_RELAYED_STANDINS = ("key-value", "vm-list")


class MeasuredSample(sample.Sample):
    """Sample deployment with optional relays before agents and stand-ins."""

    def __init__(self, has_relays: bool) -> None:
        ports = [free_ports.free_port() for _ in range(4)]
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="balsamwall-"))
        super().__init__(self.folder, tuple(ports[:2]), tuple(ports[2:]))
        self.caller_ports = ports[:2]
        self.relays: dict[str, counting_relay.CountingRelay] = {}
        if has_relays:
            for _, vm, _, _ in sample.VMS:
                relay = counting_relay.CountingRelay(has_frames=True)
                relay.target_port = self.internal_ports[vm]
                self.relays[vm] = relay
            for name in _RELAYED_STANDINS:
                self.relays[name] = counting_relay.CountingRelay(False)

    def start_standin(self, module: str, name: str, *options: str) -> None:
        """Start a stand-in and route its traffic through its relay, if any."""
        super().start_standin(module, name, *options)
        relay = self.relays.get(name)
        if relay is not None:
            relay.target_port = int(self.standins[name].rsplit(":", 1)[1])
            self.standins[name] = f"http://{sample.HOST}:{relay.port}"

    def _vm_rows(self) -> list[dict[str, str]]:
        rows = super()._vm_rows()
        for row in rows:
            relay = self.relays.get(row["vm"])
            if relay is not None:
                row["address"] = f"{sample.HOST}:{relay.port}"
        return rows

    def start_configured(self) -> None:
        """Start all processes and apply the operators' files."""
        self.start()
        for port in self._administration_ports:
            sample.wait_for_port(port)
        self.apply_configuration()

    def open(self) -> float:
        """Start and configure; return the seconds until all is resident."""
        self.start_configured()
        start_s = time.monotonic()
        self.wait_until_resident()
        return time.monotonic() - start_s

    def close(self) -> None:
        """Kill all processes and remove the working directory."""
        for name in list(self.programs):
            self.kill(name)
        shutil.rmtree(self.folder, ignore_errors=True)

    def pids(self) -> dict[str, int]:
        """Return the process identifiers of the daemons by name."""
        return {
            name: program.process.pid
            for name, program in self.programs.items()
            if name not in self.standins
        }

    def counts(self) -> dict[str, int]:
        """Return the call counts of the key-value service."""
        found: dict[str, int] = self.standin("key-value", "/counts")
        return found

    def standin(self, name: str, path: str, body: object = None) -> Any:
        """Return the JSON response of a stand-in; POST if there is a body."""
        data = None if body is None else json.dumps(body).encode()
        request = urllib.request.Request(self.standins[name] + path, data)
        with _OPENER.open(request, timeout=10) as response:
            return json.load(response)

    def revisions(self, tenant: str) -> set[int]:
        """Return the active configuration revisions in all daemons."""
        label = f'balsamwall_configuration_revision{{tenant="{tenant}"}} '
        found = set()
        for url in self.metrics.values():
            with _OPENER.open(url, timeout=10) as response:
                for line in response.read().decode().splitlines():
                    if line.startswith(label):
                        found.add(int(float(line.removeprefix(label))))
        return found


def seconds_until(condition: Callable[[], bool], limit_s: float = 60) -> float:
    """Wait for a condition; return the seconds, or raise TimeoutError."""
    start_s = time.monotonic()
    while not condition():
        if time.monotonic() - start_s > limit_s:
            raise TimeoutError("condition not met before the time limit")
        time.sleep(0.02)
    return time.monotonic() - start_s
