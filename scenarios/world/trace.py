"""Events of a scenario and the first promise that broke."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.timing import virtual_clock

EVENTS_SHOWN = 15


@dataclasses.dataclass(slots=True, frozen=True)
class Event:
    """Something that happened at a virtual time."""

    at_ms: int
    text: str


@dataclasses.dataclass(slots=True, frozen=True)
class Breach:
    """Broken promise, with the number of events before it."""

    at_ms: int
    promise: str
    detail: str
    events_before: int


class Trace:
    """Recorder of events and breaches."""

    def __init__(self, clock: virtual_clock.VirtualClock) -> None:
        self._clock = clock
        self._seen: set[tuple[str, str]] = set()
        self.start_ms = 0
        self.events: list[Event] = []
        self.breaches: list[Breach] = []

    @property
    def now_ms(self) -> int:
        """Return the time since the scenario began."""
        return self._clock.now_ms() - self.start_ms

    def note(self, text: str) -> None:
        """Record an event."""
        self.events.append(Event(self.now_ms, text))

    def broken(self, promise: str, detail: str) -> None:
        """Record a breach once."""
        if (promise, detail) in self._seen:
            return
        self._seen.add((promise, detail))
        self.breaches.append(
            Breach(self.now_ms, promise, detail, len(self.events))
        )

    def report(self) -> str:
        """Return what broke first, when, and what came before it."""
        if not self.breaches:
            return "no promise is broken"
        first = self.breaches[0]
        lines = [
            f"broken first: {first.promise} at {format_ms(first.at_ms)}",
            f"    {first.detail}",
            "last events before it:",
        ]
        before = self.events[: first.events_before][-EVENTS_SHOWN:]
        lines += [f"    {format_ms(e.at_ms)}  {e.text}" for e in before]
        if len(self.breaches) > 1:
            lines.append(f"later breaches: {len(self.breaches) - 1}")
            lines += [
                f"    {format_ms(b.at_ms)}  {b.promise}: {b.detail}"
                for b in self.breaches[1:6]
            ]
        return "\n".join(lines)


def format_ms(value: int) -> str:
    """Return a time as minutes, seconds and milliseconds."""
    sign, value = ("-", -value) if value < 0 else ("", value)
    minutes, rest = divmod(value, 60_000)
    return f"{sign}{minutes:02}:{rest // 1_000:02}.{rest % 1_000:03}"
