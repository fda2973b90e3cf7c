"""Record of VM incarnations that are leaving."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.protocol import messages_state

if TYPE_CHECKING:
    from collections.abc import Callable


class LeavingMarks:
    """Grow-only set of leaving VM incarnations.

    A mark covers its incarnation and all earlier ones, so that a late report
    cannot make a leaving VM eligible again.
    """

    __slots__ = ("_incarnations", "_listeners", "_sources")

    def __init__(self) -> None:
        self._incarnations: dict[str, int] = {}
        self._sources: dict[str, str] = {}
        self._listeners: list[Callable[[messages_state.Leaving], object]] = []

    @property
    def marks(self) -> list[messages_state.Leaving]:
        """Return all marks, sorted by VM name."""
        return [
            messages_state.Leaving(vm, incarnation, self._sources[vm])
            for vm, incarnation in sorted(self._incarnations.items())
        ]

    def subscribe(
        self, listener: Callable[[messages_state.Leaving], object]
    ) -> None:
        """Call the listener for each mark that is added from now on."""
        self._listeners.append(listener)

    def mark(self, vm: str, incarnation: int, source: str) -> bool:
        """Mark an incarnation; return False if it was already marked."""
        if self.is_leaving(vm, incarnation):
            return False
        self._incarnations[vm] = incarnation
        self._sources[vm] = source
        item = messages_state.Leaving(vm, incarnation, source)
        for listener in self._listeners:
            listener(item)
        return True

    def is_leaving(self, vm: str, incarnation: int) -> bool:
        """Return whether this or a later incarnation is marked."""
        marked = self._incarnations.get(vm)
        return marked is not None and incarnation <= marked
