"""Requests that run at most once: refused but run, and run twice, by cause."""

from __future__ import annotations

import collections

from soak import ledger as ledger_module
from soak import refusals

Kind = ledger_module.Kind
Intrusion = ledger_module.Intrusion
RUN_ONCE_KINDS = (Kind.NON_IDEMPOTENT, Kind.STREAM)
# Statuses which certify that the request was not executed and never will be.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# What a harmed link delays, with some time for the proxy itself.
MAX_TRANSIT_MS = 100

_INTRUSION_CAUSES = {
    Intrusion.OWN_COPY: "second copy of a refusal taken for the next send's",
    Intrusion.NAMELESS_REFUSAL: "refusal that names no request taken",
    Intrusion.OTHER_REFUSAL: "refusal of another request taken",
}


class RefusalChecks:
    """Find broken promises of refusals, and why they were broken."""

    __slots__ = ("_ledger", "refused", "twice")

    def __init__(self, ledger: ledger_module.Ledger) -> None:
        self._ledger = ledger
        # One line for each request.
        self.refused: list[str] = []
        self.twice: list[str] = []
        for request in self.requests():
            self._check(request)

    def requests(self) -> list[ledger_module.Request]:
        """Return the requests that run at most once."""
        return [
            request
            for request in self._ledger.requests.values()
            if request.kind in RUN_ONCE_KINDS
        ]

    def outcomes(self) -> dict[str, int]:
        """Return how many of these requests had each status."""
        counts: collections.Counter[str] = collections.Counter()
        for request in self.requests():
            response = request.response
            counts[str(response.status) if response else "0"] += 1
        return dict(sorted(counts.items()))

    def _check(self, request: ledger_module.Request) -> None:
        ran = [
            arrival
            for arrival in self._ledger.arrivals.get(request.request_id, [])
            if arrival.has_run
        ]
        if not ran:
            return
        name = f"{request.request_id} at {request.entry}: {request.kind.value}"
        if len(ran) > 1:
            cause = "; ".join(_reason(arrival) for arrival in ran[:-1])
            self.twice.append(f"{name} ran {len(ran)} times: {cause}")
        response = request.response
        if response is not None and response.status in NOT_RUN_STATUSES:
            cause = _cause(request, response, ran)
            self.refused.append(
                f"{name} got status {response.status}, but was run: {cause}"
            )


def _cause(
    request: ledger_module.Request,
    response: ledger_module.Response,
    ran: list[ledger_module.Arrival],
) -> str:
    """Return why a request was refused that servers have run."""
    if response.signature or response.body == refusals.SERVER_BODY:
        return "a server's own status without certificate passed on"
    answered_ms = request.finished_ms
    if answered_ms is not None and all(
        arrival.at_ms > answered_ms + MAX_TRANSIT_MS for arrival in ran
    ):
        return "sent after the answer"
    return "; ".join(_reason(arrival) for arrival in ran)


def _reason(arrival: ledger_module.Arrival) -> str:
    """Return why a run was not counted as one."""
    if arrival.intrusion in _INTRUSION_CAUSES:
        return _INTRUSION_CAUSES[arrival.intrusion]
    return f"own refusal though sent ({arrival.action})"
