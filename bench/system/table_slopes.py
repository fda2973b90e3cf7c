"""Memory and time of tables and documents by size."""

from __future__ import annotations

import dataclasses
import functools
import gc
import time
import tracemalloc
from typing import TYPE_CHECKING
from typing import TypeVar

from balsamwall_standins import sample_operators

from balsamwall.configuration import configuration_delta
from balsamwall.configuration import configuration_document
from balsamwall.configuration import configuration_parser
from balsamwall.configuration import document_codec
from balsamwall.idempotency import key_gate
from balsamwall.idempotency import key_record
from balsamwall.idempotency import record_table
from balsamwall.protocol import messages_state
from balsamwall.routing import replica_view
from balsamwall.timing import virtual_clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.configuration import tenant_configuration

T = TypeVar("T")

SIZES = ((30, 100), (300, 1_000), (1_200, 4_000))
AGENT_COUNTS = (64, 512)
NAMES_PER_AGENT = 10
KEY_COUNT = 20_000
RESPONSE_BYTES = 200


def measure(report: Callable[[str, float, str], None]) -> None:
    """Measure configuration documents, routing tables and key records."""
    for models, adapters in SIZES:
        _measure_document(models, adapters, report)
    _measure_routing(report)
    _measure_keys(report)


def _files(models: int, adapters: int) -> dict[str, str]:
    text = sample_operators.operators_files()["kovacevic"]
    bases = " ".join(f"clauses-{index}" for index in range(1, models))
    # One row per name and version, as in a fleet that grows over time, takes
    # more space than one pattern for all.
    for old, new in (
        ("clauses-{1..4}", f"clauses-{{1..{models - 1}}}"),
        ("clauses-1 clauses-2 clauses-3 clauses-4", bases),
        ("terms-{1..2}", "terms-1"),
        ("buyer-{01..12}", f"buyer-{{1..{adapters}}}"),
        ("model_vms = 3", "model_vms = 2000"),
    ):
        text = text.replace(old, new)
    return {"operators.ini": text}


def _measure_document(
    models: int, adapters: int, report: Callable[[str, float, str], None]
) -> None:
    label = f"{models} models, {adapters} adapters"
    files = _files(models, adapters)
    seconds, parsed = _timed(lambda: configuration_parser.parse(files))
    first = dataclasses.replace(parsed, revision=1)
    report(f"{label}: parse and check", seconds * 1_000, "ms")
    memory = _memory(lambda: configuration_parser.parse(files))
    report(f"{label}: memory of the configuration", memory / 1_024, "KiB")
    entry = configuration_document.DocumentEntry(
        1, "bench-1", "bench", 0, files
    )
    document = configuration_document.ConfigurationDocument(first, (entry,))
    data = document_codec.encode_document(document)
    report(f"{label}: document without history", len(data), "B")
    seconds, whole = _timed(lambda: document_codec.encode_configuration(first))
    report(f"{label}: whole message", len(whole), "B")
    report(f"{label}: encode whole", seconds * 1_000, "ms")
    seconds, _ = _timed(lambda: configuration_delta.decode(whole, {}))
    report(f"{label}: decode whole", seconds * 1_000, "ms")
    second = _changed(files)
    seconds, delta = _timed(lambda: configuration_delta.encode(first, second))
    report(f"{label}: message of one change", len(delta), "B")
    report(f"{label}: encode one change", seconds * 1_000, "ms")
    known = {first.revision: first}
    seconds, found = _timed(lambda: configuration_delta.decode(delta, known))
    report(f"{label}: decode one change", seconds * 1_000, "ms")
    seconds, _ = _timed(
        lambda: configuration_delta.share_unchanged(first, found)
    )
    report(f"{label}: put one change in force", seconds * 1_000, "ms")


def _changed(
    files: dict[str, str],
) -> tenant_configuration.TenantConfiguration:
    text = files["operators.ini"].replace("burst = 400", "burst = 401")
    changed = configuration_parser.parse({"operators.ini": text})
    return dataclasses.replace(changed, revision=2)


def _measure_routing(report: Callable[[str, float, str], None]) -> None:
    used = [
        _memory(functools.partial(_routing_view, agents))
        for agents in AGENT_COUNTS
    ]
    per_agent = (used[1] - used[0]) / (AGENT_COUNTS[1] - AGENT_COUNTS[0])
    report(
        f"routing table: agent with {NAMES_PER_AGENT} replicas", per_agent, "B"
    )
    report("routing table: replica", per_agent / NAMES_PER_AGENT, "B")


def _routing_view(agents: int) -> replica_view.ReplicaView:
    view = replica_view.ReplicaView(virtual_clock.VirtualClock())
    for agent in range(agents):
        peer = f"kovacevic-model-{agent}"
        view.on_peer_up(peer, 1_790_000_000_000 + agent, "zagreb-a")
        names = [
            f"clauses-{(agent * 7 + index) % 1_200}"
            for index in range(NAMES_PER_AGENT)
        ]
        incarnation = 1_790_000_000_000 + agent
        view.on_message(
            peer,
            messages_state.AgentReport(
                *(incarnation, 1, "ready", 3, 1, 1, 900, 10**9 + agent),
                *(10**10 + agent, 10**9 + agent, 9_000 + agent, 100 + agent),
            ),
        )
        view.on_message(
            peer,
            messages_state.Residents(incarnation, 2, names, [], [], [], []),
        )
    return view


def _measure_keys(report: Callable[[str, float, str], None]) -> None:
    for size in (0, RESPONSE_BYTES):
        used = _memory(functools.partial(_key_table, size))
        label = f"answer of {size} bytes" if size else "no answer"
        report(f"key record with {label}", used / KEY_COUNT, "B")


def _key_table(response_bytes: int) -> record_table.RecordTable:
    table = record_table.RecordTable()
    for index in range(KEY_COUNT):
        response = None
        if response_bytes:
            body = index.to_bytes(4, "big") + bytes(response_bytes - 4)
            headers = {"content-type": "application/json"}
            response = key_gate.RecordedAnswer(200, headers, body)
        table.put(
            key_record.KeyRecord(
                f"drafting/01a23dbc-2dcd-7b1e-bff3-{index:012d}",
                index.to_bytes(16, "big"),
                key_record.KeyState.DONE,
                1_790_000_000_000 + index,
                response,
            )
        )
    return table


def _timed(run: Callable[[], T]) -> tuple[float, T]:
    best_s = float("inf")
    for _ in range(3):
        start_s = time.perf_counter()
        result = run()
        best_s = min(best_s, time.perf_counter() - start_s)
    return best_s, result


def _memory(build: Callable[[], object]) -> int:
    gc.collect()
    tracemalloc.start()
    found = build()
    gc.collect()
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del found
    return used
