"""Sample system on the loopback interface, run in the foreground."""

from __future__ import annotations

import contextlib
import dataclasses
import json
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any
import urllib.error
import urllib.request

from balsamwall_standins import free_ports
from balsamwall_standins import sample_operators

HOST = "127.0.0.1"
CALLER_PORTS = (8080, 8082)
ADMINISTRATION_PORTS = (8081, 8083)
ENTRY_DRAIN_S = 15.0
# When all agents stop together, none is left to take over their models, so
# their drains never finish; a second signal ends them.
AGENT_DRAIN_S = 5.0
STOP_TIMEOUT_S = 5.0
READY_TIMEOUT_S = 110.0
ENGINE_MEMORY_BYTES = 24 * 1024**3
# Rows of tenant, VM name, availability zone and kind of backend server.
VMS = (
    ("kovacevic", "kovacevic-model-1", "zagreb-a", "engine"),
    ("kovacevic", "kovacevic-model-2", "zagreb-b", "engine"),
    ("kovacevic", "kovacevic-model-3", "zagreb-c", "engine"),
    ("kovacevic", "kovacevic-settlement-1", "zagreb-a", "service"),
    ("kovacevic", "kovacevic-settlement-2", "zagreb-b", "service"),
    ("tampere", "tampere-draft-1", "pirkanmaa-a", "engine"),
    ("tampere", "tampere-draft-2", "pirkanmaa-b", "engine"),
    ("tampere", "tampere-hold-1", "pirkanmaa-a", "service"),
    ("tampere", "tampere-hold-2", "pirkanmaa-b", "service"),
)
SERVICES = {"kovacevic": "settlement", "tampere": "holds"}


@dataclasses.dataclass(slots=True)
class Program:
    """Running process of the sample."""

    name: str
    process: subprocess.Popen[bytes]


class Sample:
    """Processes of the sample and their addresses."""

    def __init__(
        self,
        folder: pathlib.Path,
        caller_ports: tuple[int, ...] = CALLER_PORTS,
        administration_ports: tuple[int, ...] = ADMINISTRATION_PORTS,
    ) -> None:
        self._folder = folder
        self._caller_ports = caller_ports
        self._administration_ports = administration_ports
        self.programs: dict[str, Program] = {}
        self.standins: dict[str, str] = {}
        self.internal_ports = {
            vm: free_ports.free_port() for _, vm, _, _ in VMS
        }
        self.metrics: dict[str, str] = {}

    def start(self) -> None:
        """Start the stand-ins, then the agents and entries."""
        self.start_standin("key_value", "key-value")
        self.start_standin(
            "vm_list", "vm-list", "--vms", json.dumps(self._vm_rows())
        )
        for tenant, rate in (("kovacevic", "3"), ("tampere", "2")):
            self.start_standin(
                "weight_store",
                f"{tenant}-weights",
                "--loads-per-second",
                rate,
            )
        for tenant, vm, _, kind in VMS:
            if kind == "engine":
                store = self.standins[f"{tenant}-weights"]
                options = {"capacity_bytes": ENGINE_MEMORY_BYTES}
                self.start_standin(
                    "engine",
                    f"{vm}-engine",
                    "--weight-store",
                    store,
                    "--options",
                    json.dumps(options),
                )
            else:
                self.start_standin("service", f"{vm}-service")
        for row in VMS:
            self.start_agent(row)
        for index in range(len(self._caller_ports)):
            self.start_entry(index)

    def start_standin(self, module: str, name: str, *options: str) -> None:
        """Start a stand-in on a free port and record its URL."""
        port = free_ports.free_port()
        self._spawn(
            name,
            "-m",
            f"balsamwall_standins.{module}",
            "--port",
            str(port),
            *options,
        )
        self.standins[name] = f"http://{HOST}:{port}"
        wait_for_port(port)

    def start_agent(self, row: tuple[str, str, str, str]) -> None:
        """Start the agent of a backend server, given its row of VMS."""
        tenant, vm, zone, kind = row
        backend = self.standins[f"{vm}-{kind}"].removeprefix("http://")
        extra = f"kind = {kind}\naddress = {backend}\n"
        if kind == "service":
            extra += f"services = {SERVICES[tenant]}\n"
        text = self._common("agent", vm, tenant, zone)
        text += f"internal = {HOST}:{self.internal_ports[vm]}\n"
        text += self._platform(tenant) + f"\n[backend {kind}]\n{extra}"
        self._start_daemon(vm, text)

    def start_entry(self, index: int) -> None:
        """Start an entry that serves both tenants."""
        vm = f"entry-{index + 1}"
        text = self._common("entry", vm, "kovacevic, tampere", "zagreb-a")
        text += f"callers = {HOST}:{self._caller_ports[index]}\n"
        text += (
            f"administration = {HOST}:{self._administration_ports[index]}\n"
        )
        text += self._platform("")
        digest = sample_operators.sha256(sample_operators.ADMINISTRATION_KEY)
        text += "\n[administration_key local]\ntenant = *\naccess = write\n"
        text += f"sha256 = {digest}\n"
        self._start_daemon(vm, text)

    def apply_configuration(self) -> None:
        """Apply the configuration of both tenants."""
        for tenant, text in sample_operators.operators_files().items():
            body = {
                "files": {"operators.ini": text},
                "base_revision": 0,
                "change_id": f"sample-{tenant}",
            }
            self.call_administration("POST", tenant, "configuration", body)

    def call_administration(
        self, method: str, tenant: str, path: str, body: object = None
    ) -> Any:
        """Call the administration API of the first entry; return its JSON."""
        port = self._administration_ports[0]
        request = urllib.request.Request(
            f"http://{HOST}:{port}/v1/tenants/{tenant}/{path}",
            method=method,
            data=None if body is None else json.dumps(body).encode(),
            headers={
                "Authorization": (
                    f"Bearer {sample_operators.ADMINISTRATION_KEY}"
                ),
                "Content-Type": "application/json",
            },
        )
        with urllib.request.urlopen(request, timeout=10) as response:
            return json.load(response)

    def wait_until_resident(self) -> None:
        """Wait until every model and adapter has a replica.

        Raise TimeoutError after READY_TIMEOUT_S.
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                missing = sum(
                    not row["replicas"]
                    for tenant in sample_operators.CALLER_KEYS
                    for kind in ("models", "adapters")
                    for row in self.call_administration("GET", tenant, kind)[
                        kind
                    ]
                )
            except (urllib.error.URLError, OSError):
                missing = -1
            if missing == 0:
                return
            time.sleep(0.5)
        raise TimeoutError("not every model has a replica")

    def stop(self) -> None:
        """Stop the entries, then the agents, then the stand-ins."""
        running = list(self.programs.values())
        vms = {vm for _, vm, _, _ in VMS}
        agents = [item for item in running if item.name in vms]
        standins = [item for item in running if item.name in self.standins]
        entries = [
            item
            for item in running
            if item not in agents and item not in standins
        ]
        stop_group(entries, ENTRY_DRAIN_S)
        stop_group(agents, AGENT_DRAIN_S)
        stop_group(standins, STOP_TIMEOUT_S)
        self.programs.clear()

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait for its end."""
        program = self.programs.pop(name)
        program.process.kill()
        program.process.wait()

    def _vm_rows(self) -> list[dict[str, str]]:
        rows = [
            {
                "vm": vm,
                "availability_zone": zone,
                "tenant": tenant,
                "role": "agent",
                "state": "live",
                "address": f"{HOST}:{self.internal_ports[vm]}",
            }
            for tenant, vm, zone, _ in VMS
        ]
        for index in range(len(self._caller_ports)):
            # Entries accept no peer connections; the port is a placeholder.
            rows.append(
                {
                    "vm": f"entry-{index + 1}",
                    "availability_zone": "zagreb-a",
                    "tenant": "kovacevic tampere",
                    "role": "entry",
                    "state": "live",
                    "address": f"{HOST}:{self._caller_ports[index]}",
                }
            )
        return rows

    def _common(self, role: str, vm: str, tenant: str, zone: str) -> str:
        port = free_ports.free_port()
        self.metrics[vm] = f"http://{HOST}:{port}/metrics"
        return (
            f"[daemon]\nrole = {role}\nvm = {vm}\ntenant = {tenant}\n"
            f"availability_zone = {zone}\n\n[listen]\n"
            f"metrics = {HOST}:{port}\n"
        )

    def _platform(self, tenant: str) -> str:
        def address_of(name: str) -> str:
            return self.standins[name].removeprefix("http://")

        text = "\n[platform]\n"
        text += f"key_value = {address_of('key-value')}\n"
        text += f"vm_list = {address_of('vm-list')}\n"
        if tenant:
            text += f"weight_store = {address_of(f'{tenant}-weights')}\n"
        return text + (
            "\n[internal_keys]\ncurrent = k1\n"
            "k1 = 00112233445566778899aabbccddeeff\n"
        )

    def _start_daemon(self, vm: str, text: str) -> None:
        path = self._folder / f"{vm}.ini"
        path.write_text(text)
        self._spawn(vm, "-m", "balsamwall.daemon", str(path))

    def _spawn(self, name: str, *arguments: str) -> None:
        with open(self._folder / f"{name}.log", "ab") as log:
            process = subprocess.Popen(
                [sys.executable, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self.programs[name] = Program(name, process)


def stop_group(programs: list[Program], grace_s: float) -> None:
    """Stop processes with SIGTERM, then SIGINT, then SIGKILL."""
    for number, limit_s in (
        (signal.SIGTERM, grace_s),
        (signal.SIGINT, STOP_TIMEOUT_S),
        (signal.SIGKILL, STOP_TIMEOUT_S),
    ):
        running = [item for item in programs if item.process.poll() is None]
        for program in running:
            program.process.send_signal(number)
        deadline = time.monotonic() + limit_s
        for program in running:
            remaining_s = max(0.01, deadline - time.monotonic())
            with contextlib.suppress(subprocess.TimeoutExpired):
                program.process.wait(remaining_s)


def wait_for_port(port: int, timeout_s: float = 20.0) -> None:
    """Wait until a port accepts connections; raise TimeoutError."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        with socket.socket() as probe:
            probe.settimeout(1)
            if probe.connect_ex((HOST, port)) == 0:
                return
        time.sleep(0.05)
    raise TimeoutError(f"port {port} does not accept connections")


def print_help(sample: Sample) -> None:
    """Print the addresses of the processes and example commands."""
    base = f"http://{HOST}:{CALLER_PORTS[0]}"
    print("\nThe balsamwall sample is running.")
    print(f"callers: {base} and http://{HOST}:{CALLER_PORTS[1]}")
    print(f"administration: http://{HOST}:{ADMINISTRATION_PORTS[0]}")
    for name, url in sample.standins.items():
        print(f"stand-in {name}: {url}")
    for name, url in sample.metrics.items():
        print(f"metrics {name}: {url}")
    print("\nTry:")
    for tenant, model in (("kovacevic", "clauses-1"), ("tampere", "hall-01")):
        key = sample_operators.CALLER_KEYS[tenant]
        body = {
            "model": model,
            "stream": True,
            "max_tokens": 32,
            "messages": [{"role": "user", "content": "Summarise clause 4."}],
        }
        print(
            f"curl -N {base}/v1/chat/completions"
            f" -H 'Authorization: Bearer {key}'"
            f" -H 'Content-Type: application/json' -d '{json.dumps(body)}'"
        )
    print(
        f"curl {base}/v1/services/holds/book"
        " -H 'Authorization: Bearer sk-local-tampere'"
        " -H 'Content-Type: application/json'"
        ' -d \'{"hall": "large", "day": "2026-12-24"}\''
    )
    print(
        "curl"
        f" http://{HOST}:{ADMINISTRATION_PORTS[0]}"
        "/v1/tenants/kovacevic/models -H 'Authorization: Bearer admin-local'"
    )
    sys.stdout.flush()


class _StopRequested(Exception):
    """SIGINT or SIGTERM was received."""


def _on_signal(number: int, frame: object) -> None:
    raise _StopRequested


def main() -> int:
    """Run the sample until SIGINT or SIGTERM."""
    signal.signal(signal.SIGINT, _on_signal)
    signal.signal(signal.SIGTERM, _on_signal)
    with tempfile.TemporaryDirectory(prefix="balsamwall-") as folder:
        sample = Sample(pathlib.Path(folder))
        try:
            sample.start()
            wait_for_port(ADMINISTRATION_PORTS[0])
            sample.apply_configuration()
            print("waiting until every model has a replica", flush=True)
            sample.wait_until_resident()
            print_help(sample)
            while True:
                signal.pause()
        except _StopRequested:
            print("stopping", flush=True)
        finally:
            signal.signal(signal.SIGINT, signal.SIG_IGN)
            signal.signal(signal.SIGTERM, signal.SIG_IGN)
            sample.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
