"""CPU time and memory of an entry by fleet size."""

from __future__ import annotations

import contextlib
import json
import pathlib
import subprocess
import sys
import tempfile
import time
from typing import TYPE_CHECKING
import urllib.request

from balsamwall_standins import free_ports
from balsamwall_standins import sample

from bench.system import counting_relay
from bench.system import process_meter

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

AGENT_COUNTS = (0, 16, 64)
LISTED_VM_COUNTS = (1_400, 5_600)
SETTLE_S = 6.0
MEASURE_S = 10.0
BUSY_REPORT_INTERVAL_MS = 500
IDLE_REPORT_INTERVAL_MS = 5_000


def measure(report: Callable[[str, float, str], None]) -> None:
    """Measure an entry with light agents, and with long VM lists."""
    for agents in AGENT_COUNTS:
        for interval_ms in (IDLE_REPORT_INTERVAL_MS, BUSY_REPORT_INTERVAL_MS):
            _measure_one(agents, 0, interval_ms, report)
    for listed in LISTED_VM_COUNTS:
        _measure_one(0, listed, IDLE_REPORT_INTERVAL_MS, report)


def _measure_one(
    agents: int,
    listed: int,
    interval_ms: int,
    report: Callable[[str, float, str], None],
) -> None:
    label = f"entry, {agents} agents reporting every {interval_ms} ms"
    if listed:
        label = f"entry, list of {listed} VMs, none reachable"
    with _entry(agents, listed, interval_ms) as (pid, relays):
        time.sleep(SETTLE_S)
        before = [relay.total_bytes for relay in relays]
        usage = process_meter.measure(
            {"entry": pid}, lambda: time.sleep(MEASURE_S)
        )
        report(
            f"{label}: processor", 100 * usage.share("entry"), "% of a core"
        )
        report(f"{label}: memory", process_meter.memory_mib(pid), "MiB")
        rate = (relays[0].total_bytes - before[0]) / MEASURE_S
        report(f"{label}: VM list traffic", rate, "B/s")
        if agents:
            used = sum(relay.total_bytes for relay in relays[1:])
            rate = (used - sum(before[1:])) / MEASURE_S
            report(f"{label}: stream traffic", rate, "B/s")


@contextlib.contextmanager
def _entry(
    agents: int, listed: int, interval_ms: int
) -> Iterator[tuple[int, list[counting_relay.CountingRelay]]]:
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        relays = [counting_relay.CountingRelay(False)]
        rows = []
        if agents:
            agents_process = _start(
                stack,
                *("-m", "bench.system.light_agents", "--agents", str(agents)),
                *("--interval-ms", str(interval_ms)),
            )
            for number, port in enumerate(
                json.loads(_first_line(agents_process))
            ):
                relay = counting_relay.CountingRelay(False)
                relay.target_port = port
                relays.append(relay)
                rows.append(_row(f"light-{number}", relay.port))
        # Nothing listens on the discard port, so these VMs are unreachable.
        rows += [_row(f"listed-{number}", 9) for number in range(listed)]
        vm_list = _start(
            stack, "-m", "balsamwall_standins.vm_list", "--lag-ms", "0"
        )
        relays[0].target_port = int(_first_line(vm_list).split()[1])
        for row in rows:
            _post(relays[0].target_port, "/admin/vms", row)
        store = _start(stack, "-m", "balsamwall_standins.key_value")
        settings = pathlib.Path(folder, "entry.ini")
        settings.write_text(
            _settings(int(_first_line(store).split()[1]), relays[0].port)
        )
        entry = _start(stack, "-m", "balsamwall.daemon", str(settings))
        yield entry.pid, relays


def _settings(key_value_port: int, vm_list_port: int) -> str:
    return "\n".join(
        (
            "[daemon]\nrole = entry\nvm = entry-1\ntenant = kovacevic",
            "availability_zone = zagreb-a\n[listen]",
            f"callers = {sample.HOST}:{free_ports.free_port()}",
            f"metrics = {sample.HOST}:{free_ports.free_port()}",
            f"[platform]\nkey_value = {sample.HOST}:{key_value_port}",
            f"vm_list = {sample.HOST}:{vm_list_port}",
            "[internal_keys]\ncurrent = k1",
            "k1 = 00112233445566778899aabbccddeeff\n",
        )
    )


def _row(vm: str, port: int) -> dict[str, str]:
    return {
        "action": "add",
        "vm": vm,
        "availability_zone": "zagreb-a",
        "tenant": "kovacevic",
        "role": "agent",
        "state": "live",
        "address": f"{sample.HOST}:{port}",
    }


def _start(
    stack: contextlib.ExitStack, *arguments: str
) -> subprocess.Popen[bytes]:
    process = subprocess.Popen(
        [sys.executable, *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    )
    stack.callback(process.wait)
    stack.callback(process.kill)
    return process


def _first_line(process: subprocess.Popen[bytes]) -> str:
    assert process.stdout is not None
    return process.stdout.readline().decode()


def _post(port: int, path: str, body: object) -> None:
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    request = urllib.request.Request(
        f"http://{sample.HOST}:{port}{path}", json.dumps(body).encode()
    )
    opener.open(request, timeout=10).close()
