"""Guarantees that callers and backend servers can check."""

from __future__ import annotations

from typing import TYPE_CHECKING

from soak import ledger as ledger_module
from soak import refusal_checks
from soak import stream_events

if TYPE_CHECKING:
    from collections.abc import Iterable

    from soak import backend_server

Kind = ledger_module.Kind
# Maximum time from the store's acknowledgement of the drain until the server
# receives no new request.
DRAIN_MS = 3_000
# A request may be sent while the entry closes the connection; such a race
# ends within this time.
CLOSE_RACE_MS = 200
# After this share of its deadline, the end of a request is not attributed to
# a planned operation.
DEADLINE_SHARE = 0.7
# Bytes at the end of a wrong body that a violation shows.
MAX_SHOWN_BYTES = 80
# Executions of a request that its route allows, the first one included.
MAX_RUNS = {
    Kind.IDEMPOTENT: 2,
    Kind.NON_IDEMPOTENT: 1,
    Kind.STREAM: 1,
    Kind.RESUMABLE_STREAM: 2,
}


def violations(
    ledger: ledger_module.Ledger,
    backends: Iterable[backend_server.BackendServer],
) -> list[str]:
    """Return all violations of the guarantees, one line each."""
    found = [
        f"{entry}: data received without an open request"
        for entry in ledger.stray_responses
    ]
    for request_id, runs in ledger.runs.items():
        if request_id not in ledger.requests:
            found.append(f"{request_id}: executed, but never sent")
        found += _excess_run_violations(ledger.requests.get(request_id), runs)
    for request in ledger.requests.values():
        found += _response_violations(
            request, ledger.runs.get(request.request_id, [])
        )
    for backend in backends:
        found += backend.violations
    return found


def _excess_run_violations(
    request: ledger_module.Request | None, runs: list[ledger_module.Run]
) -> list[str]:
    if request is None or len(runs) <= MAX_RUNS[request.kind]:
        return []
    if request.kind in refusal_checks.RUN_ONCE_KINDS:
        return []  # RefusalChecks names the cause
    return [
        f"{request.request_id}: {request.kind.value} ran {len(runs)} times"
    ]


def _response_violations(
    request: ledger_module.Request, runs: list[ledger_module.Run]
) -> list[str]:
    response = request.response
    if response is None or not response.status:
        return []
    name = f"{request.request_id} at {request.entry}: {request.kind.value}"
    found = []
    # RefusalChecks has the kinds that run at most once.
    is_promise = response.status in refusal_checks.NOT_RUN_STATUSES
    is_repeatable = request.kind not in refusal_checks.RUN_ONCE_KINDS
    if is_promise and is_repeatable and not response.signature and runs:
        found.append(f"{name}: status {response.status}, but was run")
    is_unexpected_401 = response.status == 401 and request.api_key is None
    if is_unexpected_401 or response.status in (400, 403, 404, 413, 431):
        found.append(f"{name}: valid, but got status {response.status}")
    if response.status == 200:
        found += [
            f"{name}: {text}" for text in _success_violations(request, runs)
        ]
    return found


def _success_violations(
    request: ledger_module.Request, runs: list[ledger_module.Run]
) -> list[str]:
    response = request.response
    assert response is not None
    found = []
    signatures = {f"{run.server_id}.{request.request_id}" for run in runs}
    if response.signature not in signatures:
        found.append(f"signature {response.signature!r} matches no run")
    if response.request_id != request.request_id:
        found.append(f"response to request {response.request_id!r}")
    if request.events:
        return found + _stream_violations(request, runs)
    complete = ledger_module.expected_body(request.request_id)
    tail = response.body[-MAX_SHOWN_BYTES:]
    if response.is_complete and response.body != complete:
        found.append(
            f"wrong body: {len(response.body)} of {len(complete)} bytes: "
            f"{tail!r}"
        )
    elif not complete.startswith(response.body):
        found.append(f"partial body differs from the server's: {tail!r}")
    return found


def _stream_violations(
    request: ledger_module.Request, runs: list[ledger_module.Run]
) -> list[str]:
    response = request.response
    assert response is not None
    events = stream_events.of_request(request)
    tail = response.body[-MAX_SHOWN_BYTES:]
    if not events.are_from(runs):
        return [f"partial body differs from the server's: {tail!r}"]
    is_whole = events.next == request.events + 1 and not events.rest
    if response.is_complete and not is_whole:
        return [
            f"wrong body: {events.next - 1} of {request.events} events: "
            f"{tail!r}"
        ]
    return []


def drain_violations(
    ledger: ledger_module.Ledger,
    backend: backend_server.BackendServer,
    fault_windows: list[tuple[int, int]],
) -> list[str]:
    """Return the requests that a server started after DRAIN_MS of draining."""
    since_ms = backend.draining_since_ms
    if since_ms is None:
        return []
    late = [
        request_id
        for request_id, runs in ledger.runs.items()
        for run in runs
        if run.server_id == backend.server_id
        and run.started_ms > since_ms + DRAIN_MS
        and not any(
            begin - DRAIN_MS <= run.started_ms <= end + DRAIN_MS
            for begin, end in fault_windows
        )
    ]
    return [f"{name}: executed by a draining server" for name in late]


def truncation_violations(
    ledger: ledger_module.Ledger, stalls: list[tuple[int, int]]
) -> list[str]:
    """Return the requests that planned operations truncated or left open."""
    found = []
    for request in ledger.requests.values():
        if request.finished_ms is None or _is_stalled(request, stalls):
            continue
        name = f"{request.request_id} at {request.entry}: {request.kind.value}"
        if request.has_timed_out:
            found.append(f"{name} timed out at the caller")
        elif _is_truncated(request) and not _is_excused(request, ledger):
            found.append(f"{name} truncated after {request.duration_ms} ms")
    return found


def _is_truncated(request: ledger_module.Request) -> bool:
    if request.is_abandoned:
        return False
    return request.response is None or not request.response.is_complete


def _is_excused(
    request: ledger_module.Request, ledger: ledger_module.Ledger
) -> bool:
    """Tell whether the deadline or a race with a close ended a request.

    A request that the entry did not forward may have been sent while the
    entry closed the connection, which shows within CLOSE_RACE_MS.
    """
    is_at_deadline = (
        request.duration_ms >= DEADLINE_SHARE * request.deadline_ms
    )
    has_run = request.request_id in ledger.runs
    has_crossed_close = not has_run and request.duration_ms <= CLOSE_RACE_MS
    return is_at_deadline or has_crossed_close


def _is_stalled(
    request: ledger_module.Request, stalls: list[tuple[int, int]]
) -> bool:
    """Tell whether the soak process stalled while a request was open."""
    return any(
        begin <= (request.finished_ms or 0) and request.sent_ms <= end
        for begin, end in stalls
    )
