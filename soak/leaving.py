"""Leaving that a backend server announces in responses, and who obeys it."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from soak import ledger as ledger_module

if TYPE_CHECKING:
    from collections.abc import Mapping

# Time after the first response with the announcement from which no new
# request of an entry may reach the server.
OBEYED_MS = 3_000


@dataclasses.dataclass(slots=True, frozen=True)
class _Arrival:
    """Request that reached a server which announces that it leaves."""

    request_id: str
    entry: str
    sent_ms: int


class AnnouncedLeaving:
    """Announce the leaving of a server process, and record what arrives."""

    __slots__ = ("_arrivals", "_told_ms", "is_active")

    def __init__(self) -> None:
        self.is_active = False
        self._arrivals: list[_Arrival] = []
        # By entry: the first response with the announcement.
        self._told_ms: dict[str, int] = {}

    def begin(self) -> None:
        """Announce the leaving until the process ends."""
        self.is_active = True

    def on_process_end(self) -> None:
        """Announce nothing any more; what has arrived is still checked."""
        self.is_active = False

    def on_request(self, request: ledger_module.Request | None) -> None:
        """Record a request of a caller, before its response."""
        if not self.is_active or request is None:
            return
        self._told_ms.setdefault(request.entry, ledger_module.now_ms())
        self._arrivals.append(
            _Arrival(request.request_id, request.entry, request.sent_ms)
        )

    def end(self, disturbed: Mapping[str, list[tuple[int, int]]]) -> list[str]:
        """Return the requests that ignored the announcement, and forget it.

        An entry that was frozen or restarted since is excused.
        """
        late = [
            item
            for item in self._arrivals
            if item.sent_ms > self._told_ms[item.entry] + OBEYED_MS
            and not any(
                since_ms <= item.sent_ms
                and until_ms >= self._told_ms[item.entry]
                for since_ms, until_ms in disturbed.get(item.entry, [])
            )
        ]
        self._arrivals = []
        self._told_ms = {}
        return [
            f"{item.request_id} at {item.entry}: reached a server that had "
            "announced its leaving"
            for item in late
        ]
