"""Requests that wait for a model or an adapter to be loaded."""

from __future__ import annotations

import dataclasses
from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.gateway import backend_directory


@dataclasses.dataclass(slots=True, frozen=True)
class Wanted:
    """Model, or adapter of a model, that requests wait for."""

    service: str
    model: str
    adapter: str


class Waiter(Protocol):
    """Request that waits."""

    @property
    def priority(self) -> int:
        """Return the rank, 0 first."""

    def on_resident(self) -> None:
        """Learn that a server may hold the model now."""


class ResidencyWaits:
    """Wake the waiting requests of a model, the most urgent first."""

    __slots__ = ("_on_wanted", "_waiting")

    def __init__(self, on_wanted: Callable[[Wanted], None]) -> None:
        self._on_wanted = on_wanted
        self._waiting: dict[Wanted, list[Waiter]] = {}

    def add(self, wanted: Wanted, waiter: Waiter) -> None:
        """Wait; the first request for a model asks for the load."""
        rows = self._waiting.setdefault(wanted, [])
        rows.append(waiter)
        if len(rows) == 1:
            self._on_wanted(wanted)

    def remove(self, wanted: Wanted, waiter: Waiter) -> None:
        """Stop waiting."""
        rows = self._waiting.get(wanted)
        if rows is None or waiter not in rows:
            return
        rows.remove(waiter)
        if not rows:
            del self._waiting[wanted]

    def counts(self) -> dict[Wanted, int]:
        """Return the number of waiting requests by what they want."""
        return {wanted: len(rows) for wanted, rows in self._waiting.items()}

    def on_server_changed(
        self, server: backend_directory.BackendServer
    ) -> None:
        """Wake the requests for what a server holds."""
        if server.is_leaving:
            return
        for wanted in list(self._waiting):
            if wanted.service != server.record.service:
                continue
            if not server.has(wanted.model, wanted.adapter):
                continue
            rows = self._waiting.pop(wanted, [])
            rows.sort(key=lambda waiter: waiter.priority)
            for waiter in rows:
                waiter.on_resident()
