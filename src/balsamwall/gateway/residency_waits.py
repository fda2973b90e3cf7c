"""Queue requests that wait for a model or an adapter to be loaded."""

from __future__ import annotations

import dataclasses
from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.gateway import backend_directory
    from balsamwall.gateway import release_pacing
    from balsamwall.gateway import room_waiter
    from balsamwall.timing import clock as clock_module


@dataclasses.dataclass(slots=True, frozen=True)
class WantedModel:
    """Name a model of a service, with an adapter or an empty string."""

    service: str
    model: str
    adapter: str


class Waiter(Protocol):
    """Represent a request that waits for a model."""

    @property
    def priority(self) -> room_waiter.Priority:
        """Return the priority, the lowest is the most urgent."""

    def on_resident(self, delay_ms: int) -> None:
        """Handle that a server holds the model; send after a delay."""


class ResidencyWaits:
    """Queue requests by model and release them when a server holds it.

    The most urgent requests are released first.
    """

    __slots__ = (
        "_clock",
        "_fleet_counts",
        "_on_wanted",
        "_pacing",
        "_refused",
        "_waiting",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        on_wanted: Callable[[WantedModel], None],
        pacing: release_pacing.ReleasePacing,
    ) -> None:
        self._clock = clock
        self._pacing = pacing
        # By model: requests that all entries hold.
        self._fleet_counts: dict[str, int] = {}
        self._on_wanted = on_wanted
        # By model: the times at which refused callers are due to retry.
        self._refused: dict[WantedModel, list[int]] = {}
        self._waiting: dict[WantedModel, list[Waiter]] = {}

    def add(self, wanted: WantedModel, waiter: Waiter) -> None:
        """Add a request; the first one for a model triggers its load."""
        waiters = self._waiting.setdefault(wanted, [])
        waiters.append(waiter)
        if len(waiters) == 1:
            self._on_wanted(wanted)

    def remove(self, wanted: WantedModel, waiter: Waiter) -> None:
        """Remove a request, if it waits."""
        waiters = self._waiting.get(wanted)
        if waiters is None or waiter not in waiters:
            return
        waiters.remove(waiter)
        if not waiters:
            del self._waiting[wanted]

    def add_refused(self, wanted: WantedModel, retry_after_ms: int) -> None:
        """Count a refused caller as waiting until it is due to retry."""
        at_ms = self._clock.now_ms() + retry_after_ms
        self._refused.setdefault(wanted, []).append(at_ms)

    def counts(self) -> dict[WantedModel, int]:
        """Return the number of waiting requests and refused callers by model.

        A refused caller counts until its Retry-After time has passed.
        """
        now_ms = self._clock.now_ms()
        counts = {
            wanted: len(waiters) for wanted, waiters in self._waiting.items()
        }
        for wanted, times in list(self._refused.items()):
            times = [at_ms for at_ms in times if at_ms > now_ms]
            if not times:
                del self._refused[wanted]
                continue
            self._refused[wanted] = times
            counts[wanted] = counts.get(wanted, 0) + len(times)
        return counts

    def set_fleet_counts(self, counts: dict[str, int]) -> None:
        """Set how many requests all entries hold, by model."""
        self._fleet_counts = counts

    def on_server_changed(
        self, server: backend_directory.BackendServer
    ) -> None:
        """Release the requests for the models that a server holds.

        A server that accepts no new requests releases none.
        """
        if not server.is_ready:
            return
        for wanted in list(self._waiting):
            if wanted.service != server.record.service:
                continue
            if not server.has(wanted.model, wanted.adapter):
                continue
            waiters = self._waiting.pop(wanted, [])
            waiters.sort(key=lambda waiter: waiter.priority)
            delays_ms = self._pacing.delays_ms(
                len(waiters), self._fleet_counts.get(wanted.model, 0)
            )
            for waiter, delay_ms in zip(waiters, delays_ms, strict=True):
                waiter.on_resident(delay_ms)
