"""Promises that callers and backend servers can check."""

from __future__ import annotations

from typing import TYPE_CHECKING

from soak import ledger as ledger_module

if TYPE_CHECKING:
    from collections.abc import Iterable

    from soak import backend_server

Kind = ledger_module.Kind
# Statuses that say that a request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Time from the store's acknowledgement until no new request comes.
DRAIN_MS = 3_000
# A request may cross the close of its connection for this long.
LOST_SLACK_MS = 200
# Share of the deadline after which its end is no fault of planned work.
DEADLINE_PART = 0.7
# Times of requests that the routes allow beside the first one.
MAX_RUNS = {Kind.READ: 2, Kind.PLACE: 1, Kind.LIVE: 1, Kind.NIGHT: 2}


def violations(
    ledger: ledger_module.Ledger,
    backends: Iterable[backend_server.BackendServer],
) -> list[str]:
    """Return all broken promises, one line each."""
    found = [
        f"{entry}: bytes without a request" for entry in ledger.stray_answers
    ]
    for request_id, runs in ledger.runs.items():
        if request_id not in ledger.asks:
            found.append(f"{request_id}: run, but never asked")
        found += _too_many_runs(ledger.asks.get(request_id), runs)
    for ask in ledger.asks.values():
        found += _answer_faults(ask, ledger.runs.get(ask.request_id, []))
    for backend in backends:
        found += backend.violations
    return found


def _too_many_runs(
    ask: ledger_module.Ask | None, runs: list[ledger_module.Run]
) -> list[str]:
    if ask is None or len(runs) <= MAX_RUNS[ask.kind]:
        return []
    return [f"{ask.request_id}: {ask.kind.value} ran {len(runs)} times"]


def _answer_faults(
    ask: ledger_module.Ask, runs: list[ledger_module.Run]
) -> list[str]:
    answer = ask.answer
    if answer is None or not answer.status:
        return []
    name = f"{ask.request_id} at {ask.entry}: {ask.kind.value}"
    found = []
    if answer.status in NOT_RUN_STATUSES and not answer.signature and runs:
        found.append(f"{name}: answered {answer.status}, but has run")
    if answer.status in (400, 401, 403, 404, 413, 431):
        found.append(f"{name}: proper, but answered {answer.status}")
    if answer.status == 200:
        found += [f"{name}: {text}" for text in _success_faults(ask, runs)]
    return found


def _success_faults(
    ask: ledger_module.Ask, runs: list[ledger_module.Run]
) -> list[str]:
    answer = ask.answer
    assert answer is not None
    found = []
    signatures = {f"{run.server_id}.{ask.request_id}" for run in runs}
    if answer.signature not in signatures:
        found.append(f"signature {answer.signature!r} of no run")
    if answer.request_id != ask.request_id:
        found.append(f"answer to {answer.request_id!r}")
    whole = _whole_body(ask)
    if answer.is_complete and answer.body != whole:
        found.append(f"complete with {len(answer.body)} of {len(whole)} bytes")
    elif not whole.startswith(answer.body):
        found.append("bytes that are not the server's")
    return found


def _whole_body(ask: ledger_module.Ask) -> bytes:
    if not ask.events:
        return ledger_module.expected_body(ask.request_id)
    numbers = range(1, ask.events + 1)
    return b"".join(
        ledger_module.event(ask.request_id, number) for number in numbers
    )


def drain_violations(
    ledger: ledger_module.Ledger,
    backend: backend_server.BackendServer,
    excused: list[tuple[int, int]],
) -> list[str]:
    """Return the new requests at a server that has been draining for long."""
    since_ms = backend.draining_since_ms
    if since_ms is None:
        return []
    late = [
        request_id
        for request_id, runs in ledger.runs.items()
        for run in runs
        if run.server_id == backend.server_id
        and run.begun_ms > since_ms + DRAIN_MS
        and not any(
            begin - DRAIN_MS <= run.begun_ms <= end + DRAIN_MS
            for begin, end in excused
        )
    ]
    return [f"{name}: ran at a draining server" for name in late]


def cut_violations(
    ledger: ledger_module.Ledger, stalls: list[tuple[int, int]]
) -> list[str]:
    """Return the requests that planned work has cut off or left open."""
    found = []
    for ask in ledger.asks.values():
        if ask.over_ms is None or _is_stalled(ask, stalls):
            continue
        name = f"{ask.request_id} at {ask.entry}: {ask.kind.value}"
        if ask.has_no_end:
            found.append(f"{name} without an end")
        elif _is_cut(ask) and not _is_excused(ask, ledger):
            found.append(f"{name} cut off after {ask.duration_ms} ms")
    return found


def _is_cut(ask: ledger_module.Ask) -> bool:
    if ask.is_abandoned:
        return False
    return ask.answer is None or not ask.answer.is_complete


def _is_excused(ask: ledger_module.Ask, ledger: ledger_module.Ledger) -> bool:
    """Tell whether the deadline, or a close that it crossed, ended a request.

    A request that an entry has not passed on may cross the close of its
    connection within LOST_SLACK_MS.
    """
    is_at_deadline = ask.duration_ms >= DEADLINE_PART * ask.deadline_ms
    has_run = ask.request_id in ledger.runs
    has_crossed = not has_run and ask.duration_ms <= LOST_SLACK_MS
    return is_at_deadline or has_crossed


def _is_stalled(ask: ledger_module.Ask, stalls: list[tuple[int, int]]) -> bool:
    """Tell whether the soak itself stood still while a request was open."""
    return any(
        begin <= (ask.over_ms or 0) and ask.sent_ms <= end
        for begin, end in stalls
    )
