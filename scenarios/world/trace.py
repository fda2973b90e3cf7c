"""Events of a scenario and the violations of its invariants."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.timing import virtual_clock

EVENTS_SHOWN = 15


@dataclasses.dataclass(slots=True, frozen=True)
class Event:
    """Event at a virtual time."""

    at_ms: int
    text: str


@dataclasses.dataclass(slots=True, frozen=True)
class Violation:
    """Violated invariant, with the number of events before it."""

    at_ms: int
    invariant: str
    detail: str
    events_before: int


class Trace:
    """Recorder of events and violations."""

    def __init__(self, clock: virtual_clock.VirtualClock) -> None:
        self._clock = clock
        self._seen: set[tuple[str, str]] = set()
        self.start_ms = 0
        self.events: list[Event] = []
        self.violations: list[Violation] = []

    @property
    def now_ms(self) -> int:
        """Return the time since the scenario began."""
        return self._clock.now_ms() - self.start_ms

    def record(self, text: str) -> None:
        """Record an event."""
        self.events.append(Event(self.now_ms, text))

    def record_violation(self, invariant: str, detail: str) -> None:
        """Record a violation; repeats of the same detail are ignored."""
        if (invariant, detail) in self._seen:
            return
        self._seen.add((invariant, detail))
        self.violations.append(
            Violation(self.now_ms, invariant, detail, len(self.events))
        )

    def report(self) -> str:
        """Describe the first violation and the last events before it."""
        if not self.violations:
            return "no violations"
        first = self.violations[0]
        lines = [
            f"first violation: {first.invariant} at {format_ms(first.at_ms)}",
            f"    {first.detail}",
            "last events before it:",
        ]
        before = self.events[: first.events_before][-EVENTS_SHOWN:]
        lines += [f"    {format_ms(e.at_ms)}  {e.text}" for e in before]
        if len(self.violations) > 1:
            lines.append(f"later violations: {len(self.violations) - 1}")
            lines += [
                f"    {format_ms(b.at_ms)}  {b.invariant}: {b.detail}"
                for b in self.violations[1:6]
            ]
        return "\n".join(lines)


def format_ms(value: int) -> str:
    """Return a time as minutes, seconds and milliseconds."""
    sign, value = ("-", -value) if value < 0 else ("", value)
    minutes, rest = divmod(value, 60_000)
    return f"{sign}{minutes:02}:{rest // 1_000:02}.{rest % 1_000:03}"
