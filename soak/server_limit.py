"""Limit that a backend server announces, and who keeps it."""

from __future__ import annotations

import dataclasses

from soak import ledger as ledger_module

# Time after the first announcement from which the limit binds, and time after
# a response from which it binds the entry that got it.
CONTACT_MS = 3_000
TOLD_MS = 500
WINDOW_MS = 4_000
# Factor and number of requests by which a window may exceed the limit.
TOLERANCE = 1.5
EXTRA_REQUESTS = 5


@dataclasses.dataclass(slots=True)
class LimitPeriod:
    """Time during which a server announces one limit."""

    per_s: float
    begin_ms: int | None = None  # first announcement in a response
    end_ms: int | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """Request that reached a server."""

    entry: str
    at_ms: int


class AnnouncedLimit:
    """Announce a limit for some time, and record what arrives meanwhile."""

    __slots__ = ("_arrivals", "_periods", "_told_ms")

    def __init__(self) -> None:
        self._arrivals: list[Arrival] = []
        self._periods: list[LimitPeriod] = []
        # By entry: its responses with a limit.
        self._told_ms: dict[str, list[int]] = {}

    @property
    def current(self) -> LimitPeriod | None:
        """Return the limit that is announced now."""
        if not self._periods or self._periods[-1].end_ms is not None:
            return None
        return self._periods[-1]

    def begin(self, per_s: float) -> None:
        """Announce a limit from now on."""
        self.end()
        self._periods.append(LimitPeriod(per_s))

    def end(self) -> None:
        """Announce no limit from now on."""
        if self.current is not None:
            self.current.end_ms = ledger_module.now_ms()

    def is_announced(self, begin_ms: int, end_ms: int) -> bool:
        """Tell whether a limit was announced in a part of an interval."""
        return any(
            period.begin_ms is not None
            and period.begin_ms <= end_ms
            and begin_ms <= (period.end_ms or end_ms)
            for period in self._periods
        )

    def on_request(self, entry: str) -> str | None:
        """Record a request; return the limit to announce, if any."""
        now_ms = ledger_module.now_ms()
        self._arrivals.append(Arrival(entry, now_ms))
        period = self.current
        if period is None:
            return None
        if period.begin_ms is None:
            period.begin_ms = now_ms
        self._told_ms.setdefault(entry, []).append(now_ms)
        return f"{period.per_s:.1f}"

    def violations(
        self, name: str, disturbed: dict[str, list[tuple[int, int]]]
    ) -> list[str]:
        """Return the windows with too many requests from told entries.

        `disturbed` has by entry the times in which it knew no limit or did
        not run, and with an empty name those of the server's own link.
        """
        return [
            text
            for period in self._periods
            for text in self._period_violations(name, period, disturbed)
        ]

    def _period_violations(
        self,
        name: str,
        period: LimitPeriod,
        disturbed: dict[str, list[tuple[int, int]]],
    ) -> list[str]:
        if period.begin_ms is None:
            return []
        first_ms = period.begin_ms + CONTACT_MS
        last_ms = period.end_ms or ledger_module.now_ms()
        times_ms = [
            arrival.at_ms
            for arrival in self._arrivals
            if first_ms <= arrival.at_ms <= last_ms
            and self._is_bound(arrival, period.begin_ms, disturbed)
        ]
        allowed = TOLERANCE * period.per_s * WINDOW_MS / 1_000
        allowed += EXTRA_REQUESTS
        most = max(
            (
                sum(1 for at_ms in times_ms if 0 <= at_ms - begin < WINDOW_MS)
                for begin in times_ms
            ),
            default=0,
        )
        if most <= allowed:
            return []
        return [
            f"{name}: {most} requests in {WINDOW_MS} ms at a limit of "
            f"{period.per_s:.1f} a second, {allowed:.1f} allowed"
        ]

    def _is_bound(
        self,
        arrival: Arrival,
        begin_ms: int,
        disturbed: dict[str, list[tuple[int, int]]],
    ) -> bool:
        """Tell whether the entry of a request had been told the limit."""
        ranges = disturbed.get(arrival.entry, []) + disturbed.get("", [])
        if any(
            since_ms <= arrival.at_ms <= until_ms + CONTACT_MS
            for since_ms, until_ms in ranges
        ):
            return False
        ended_ms = [until_ms for _, until_ms in ranges]
        known_since_ms = max(
            [begin_ms, *(at for at in ended_ms if at <= arrival.at_ms)]
        )
        return any(
            known_since_ms <= told_ms <= arrival.at_ms - TOLD_MS
            for told_ms in self._told_ms.get(arrival.entry, [])
        )
