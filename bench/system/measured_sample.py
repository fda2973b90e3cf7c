"""Sample on free ports whose traffic can pass through counting relays."""

from __future__ import annotations

import json
import pathlib
import shutil
import tempfile
import time
from typing import Any
from typing import TYPE_CHECKING
import urllib.request

from balsamwall_standins import sample

from bench.system import counting_relay

if TYPE_CHECKING:
    from collections.abc import Callable

_OPENER = urllib.request.build_opener(urllib.request.ProxyHandler({}))
_RELAYED_STANDINS = ("key-value", "vm-list")


class MeasuredSample(sample.Sample):
    """Whole sample; has a relay before each agent if it is asked for."""

    def __init__(self, has_relays: bool) -> None:
        ports = [sample.free_port() for _ in range(4)]
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
        """Start a stand-in, behind a relay if it has one."""
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
        """Start all processes and accept the operators' files."""
        self.start()
        for port in self._administration_ports:
            sample.wait_for_port(port)
        self.apply_configuration()

    def open(self) -> float:
        """Start, configure and wait; return seconds until all is resident."""
        self.start_configured()
        start_s = time.monotonic()
        self.wait_until_resident()
        return time.monotonic() - start_s

    def close(self) -> None:
        """End all processes by their identifiers."""
        for name in list(self.programs):
            self.kill(name)
        shutil.rmtree(self.folder, ignore_errors=True)

    def pids(self) -> dict[str, int]:
        """Return the identifiers of the daemons."""
        return {
            name: program.process.pid
            for name, program in self.programs.items()
            if name not in self.standins
        }

    def counts(self) -> dict[str, int]:
        """Return the calls that the key-value service counted."""
        found: dict[str, int] = self.standin("key-value", "/counts")
        return found

    def standin(self, name: str, path: str, body: object = None) -> Any:
        """Call a stand-in."""
        data = None if body is None else json.dumps(body).encode()
        request = urllib.request.Request(self.standins[name] + path, data)
        with _OPENER.open(request, timeout=10) as answer:
            return json.load(answer)

    def revisions(self, tenant: str) -> set[int]:
        """Return the revisions in force at all processes of a tenant."""
        label = f'balsamwall_configuration_revision{{tenant="{tenant}"}} '
        found = set()
        for url in self.metrics.values():
            with _OPENER.open(url, timeout=10) as answer:
                for line in answer.read().decode().splitlines():
                    if line.startswith(label):
                        found.add(int(float(line.removeprefix(label))))
        return found


def seconds_until(condition: Callable[[], bool], limit_s: float = 60) -> float:
    """Wait for a condition; return the seconds that it took."""
    start_s = time.monotonic()
    while not condition():
        if time.monotonic() - start_s > limit_s:
            raise TimeoutError("the condition did not come true")
        time.sleep(0.02)
    return time.monotonic() - start_s
