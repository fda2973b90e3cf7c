"""Back-off that a backend server asks for with Retry-After, and who obeys."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from soak import ledger as ledger_module

if TYPE_CHECKING:
    from collections.abc import Mapping

# Time after a response from which its back-off binds the entry that got it.
OBEYED_MS = 500
# Requests that may still reach the server in the rest of that time.
MAX_REQUESTS = 2


@dataclasses.dataclass(slots=True, frozen=True)
class _Refusal:
    """Response with a back-off to one entry."""

    at_ms: int
    until_ms: int


class AnnouncedBackoff:
    """Turn requests away with a back-off, and record what arrives."""

    __slots__ = ("_arrivals_ms", "_refusals", "seconds")

    def __init__(self) -> None:
        self.seconds: float | None = None  # to ask for now
        # By entry.
        self._arrivals_ms: dict[str, list[int]] = {}
        self._refusals: dict[str, list[_Refusal]] = {}

    def begin(self, seconds: float) -> None:
        """Turn away all requests from now on."""
        self.seconds = seconds

    def end(self) -> None:
        """Serve requests again; what was asked for still binds."""
        self.seconds = None

    def on_process_end(self) -> None:
        """Bind nobody any more; what has arrived is still checked."""
        self.end()
        now_ms = ledger_module.now_ms()
        self._refusals = {
            entry: [
                _Refusal(item.at_ms, min(item.until_ms, now_ms))
                for item in refusals
            ]
            for entry, refusals in self._refusals.items()
        }

    def on_request(self, entry: str) -> str | None:
        """Record a request; return the Retry-After value, if any."""
        now_ms = ledger_module.now_ms()
        self._arrivals_ms.setdefault(entry, []).append(now_ms)
        if self.seconds is None:
            return None
        until_ms = now_ms + int(self.seconds * 1_000)
        refusals = self._refusals.setdefault(entry, [])
        refusals.append(_Refusal(now_ms, until_ms))
        return f"{self.seconds:g}"

    def arrivals_in_time(
        self, disturbed: Mapping[str, list[tuple[int, int]]]
    ) -> dict[str, int]:
        """Return by entry the most requests within one back-off.

        An entry that was frozen, restarted or cut off since is excused, and so
        are all of them, under an empty name, by the server's own link.
        """
        return {
            entry: max(
                (
                    self._count(entry, item)
                    for item in refusals
                    if not _is_disturbed(
                        item,
                        [*disturbed.get(entry, []), *disturbed.get("", [])],
                    )
                ),
                default=0,
            )
            for entry, refusals in self._refusals.items()
        }

    def _count(self, entry: str, refusal: _Refusal) -> int:
        begin_ms = refusal.at_ms + OBEYED_MS
        return sum(
            begin_ms <= at_ms < refusal.until_ms
            for at_ms in self._arrivals_ms[entry]
        )

    def is_binding(self, begin_ms: int, end_ms: int) -> bool:
        """Tell whether a back-off was asked for in a part of an interval."""
        return any(
            item.at_ms <= end_ms and begin_ms <= item.until_ms
            for refusals in self._refusals.values()
            for item in refusals
        )

    def violations(
        self, name: str, disturbed: Mapping[str, list[tuple[int, int]]]
    ) -> list[str]:
        """Return the entries that did not keep a back-off, one line each."""
        return [
            f"{name}: {count} requests of {entry} in the time of its back-off"
            for entry, count in self.arrivals_in_time(disturbed).items()
            if count > MAX_REQUESTS
        ]


def _is_disturbed(refusal: _Refusal, ranges: list[tuple[int, int]]) -> bool:
    """Tell whether the entry was disturbed since the refusal."""
    return any(
        since_ms <= refusal.until_ms and until_ms >= refusal.at_ms
        for since_ms, until_ms in ranges
    )
