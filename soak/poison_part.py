"""Part of a prompt that crashes each engine that responds to it."""

from __future__ import annotations

import dataclasses

from soak import ledger as ledger_module

# Time that the entries have after the fifth crash.
CONTACT_MS = 3_000
CRASHES = 5
MAX_LATE_REQUESTS = 3
QUARANTINED = b'"QUARANTINED"'


@dataclasses.dataclass(slots=True)
class Arrival:
    """Describe a request with the part that has reached an engine."""

    at_ms: int
    entry: str


class PoisonPart:
    """Part that some requests of callers hold while it is in use."""

    __slots__ = ("_arrivals", "_count", "_crashes_ms", "_violations", "name")

    def __init__(self) -> None:
        self.name = ""
        self._count = 0
        self._arrivals: list[Arrival] = []
        self._crashes_ms: list[int] = []
        self._violations: list[str] = []

    def begin(self) -> None:
        """Let callers send a part that no request has had before."""
        self._count += 1
        self.name = f"bad{self._count}"
        self._arrivals = []
        self._crashes_ms = []

    def end(
        self, disturbed_ms: dict[str, list[tuple[int, int]]], name: str
    ) -> None:
        """Check the part of this name, and use it no longer."""
        if not name or self.name != name:
            return
        self._violations += self._late_requests(disturbed_ms)
        self.name = ""

    def on_arrival(self, parts: str, entry: str) -> bool:
        """Return whether a request with these parts crashes the engine."""
        if not self.name or f"{self.name}:" not in parts:
            return False
        self._arrivals.append(Arrival(ledger_module.now_ms(), entry))
        return True

    def on_crash(self) -> None:
        """Count a crash of an engine by the part."""
        self._crashes_ms.append(ledger_module.now_ms())

    def violations(self, ledger: ledger_module.Ledger) -> list[str]:
        """Return all violations of the soak, one line each."""
        refused = [
            request.request_id
            for request in ledger.requests.values()
            if not request.is_poison
            and request.response is not None
            and QUARANTINED in request.response.body
        ]
        return self._violations + [
            f"{name}: sound, but held back" for name in refused
        ]

    def _late_requests(
        self, disturbed_ms: dict[str, list[tuple[int, int]]]
    ) -> list[str]:
        if len(self._crashes_ms) < CRASHES:
            return []
        since_ms = self._crashes_ms[CRASHES - 1] + CONTACT_MS
        late = [
            arrival
            for arrival in self._arrivals
            if arrival.at_ms > since_ms
            and not _is_disturbed(arrival, disturbed_ms)
        ]
        if len(late) <= MAX_LATE_REQUESTS:
            return []
        return [f"{self.name}: {len(late)} requests after {CRASHES} crashes"]


def _is_disturbed(
    arrival: Arrival, disturbed_ms: dict[str, list[tuple[int, int]]]
) -> bool:
    """Tell whether the entry or the store was disturbed shortly before."""
    ranges = disturbed_ms.get(arrival.entry, []) + disturbed_ms.get("", [])
    return any(
        since_ms <= arrival.at_ms <= until_ms + CONTACT_MS
        for since_ms, until_ms in ranges
    )
