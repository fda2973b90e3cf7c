"""Marks of VM incarnations that are leaving."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.protocol import messages_state

if TYPE_CHECKING:
    from collections.abc import Callable


class LeavingMarks:
    """Set of leaving VM incarnations; a mark is never removed.

    A mark covers the named incarnation and all earlier ones, so that a
    report that arrives late cannot bring a leaving VM back.
    """

    __slots__ = ("_incarnations", "_listeners", "_sources")

    def __init__(self) -> None:
        self._incarnations: dict[str, int] = {}
        self._sources: dict[str, str] = {}
        self._listeners: list[Callable[[messages_state.Leaving], object]] = []

    @property
    def marks(self) -> list[messages_state.Leaving]:
        """Return all marks in the order of VM names."""
        return [
            messages_state.Leaving(vm, incarnation, self._sources[vm])
            for vm, incarnation in sorted(self._incarnations.items())
        ]

    def subscribe(
        self, listener: Callable[[messages_state.Leaving], object]
    ) -> None:
        """Call back on each new mark."""
        self._listeners.append(listener)

    def mark(self, vm: str, incarnation: int, source: str) -> bool:
        """Mark an incarnation as leaving; return False if it was marked."""
        if self.is_leaving(vm, incarnation):
            return False
        self._incarnations[vm] = incarnation
        self._sources[vm] = source
        item = messages_state.Leaving(vm, incarnation, source)
        for listener in self._listeners:
            listener(item)
        return True

    def is_leaving(self, vm: str, incarnation: int) -> bool:
        """Tell whether an incarnation is marked."""
        marked = self._incarnations.get(vm)
        return marked is not None and incarnation <= marked
