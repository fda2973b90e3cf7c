"""Grant quotas at the standby while there is no coordinator."""

from __future__ import annotations

import math
from typing import Protocol
from typing import TYPE_CHECKING

from balsamwall.coordination import messages_fleet
from balsamwall.coordination import query_responder
from balsamwall.limits import uncoordinated_quota

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.coordination import quota_issuer
    from balsamwall.timing import clock as clock_module

# Interval at which entries that have become silent are no longer counted.
TICK_INTERVAL_MS = 100
# An older level is not used: the coordinator has granted tokens since then.
LEVEL_MAX_AGE_MS = 1_000


class StandbyStreams(Protocol):
    """Streams of the entries that use this process as the standby."""

    def close_standby_streams(self) -> None:
        """Close the streams, because this is no longer the standby."""


class QuotaStandby:
    """Decide whether this process may grant as the standby.

    Load pattern: a workspace begins to send many times its quota just as the
    coordinator is lost. An entry alone can't tell a request of its steady
    traffic from one of many in excess, so that one entry decides for all.
    """

    __slots__ = (
        "_clock",
        "_has_lost_coordinator",
        "_is_announced",
        "_is_coordinating",
        "_is_granting",
        "_left",
        "_levels",
        "_levels_ms",
        "_quotas",
        "_stopped_ms",
        "_streams",
        "_vm",
        "_window_ms",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        vm: str,
        quotas: quota_issuer.QuotaIssuer,
        window_ms: int,
        is_coordinating: Callable[[], bool],
    ) -> None:
        """Set the issuer, which the coordinator of this process shares."""
        self._clock = clock
        self._vm = vm
        self._quotas = quotas
        self._window_ms = window_ms
        self._is_coordinating = is_coordinating
        self._streams: StandbyStreams | None = None
        self._is_announced = False
        self._has_lost_coordinator = True
        self._is_granting = False
        self._levels: dict[str, float] = {}
        self._levels_ms: int | None = None
        # What was left at the end of the last time of granting.
        self._left: dict[str, float] = {}
        self._stopped_ms: int | None = None

    def set_streams(self, streams: StandbyStreams) -> None:
        """Set the streams to close when this is no longer the standby."""
        self._streams = streams

    @property
    def is_announced(self) -> bool:
        """Return whether the last notice names this process."""
        return self._is_announced

    def on_notice(self, vm: str) -> None:
        """Apply a notice of the coordinator that names the standby."""
        is_announced = vm == self._vm
        if is_announced == self._is_announced:
            return
        self._is_announced = is_announced
        self._levels_ms = None
        if not is_announced:
            self._stop()
            if self._streams is not None:
                self._streams.close_standby_streams()

    def on_levels(self, item: messages_fleet.QuotaLevels) -> None:
        """Record the levels of the buckets at the coordinator."""
        self._levels_ms = self._clock.now_ms()
        self._levels = {
            workspace: level
            for workspace, level in item.levels.items()
            if math.isfinite(level)
        }

    def on_coordinator_lost(self, *, is_silent: bool) -> None:
        """Begin to grant if this is the standby and not the coordinator.

        One that is silent may go on granting what its buckets hold. They are
        not used here, except for a debt. As the entries have used local shares
        until now, they get no more of the rates than these would give.
        """
        self._has_lost_coordinator = True
        if not self._is_announced or self._is_coordinating():
            return
        if not self._is_granting:
            self._is_granting = True
            levels, rate_fraction = self._first_levels(), 1.0
            if is_silent:
                levels = {name: min(0.0, levels[name]) for name in levels}
                rate_fraction = uncoordinated_quota.UNCOORDINATED_FRACTION
            self._quotas.begin_as_standby(levels, rate_fraction)
            self._tick()

    def on_coordinator_heard(self) -> None:
        """Stop granting: a coordinator is connected."""
        if self._has_lost_coordinator:
            self._has_lost_coordinator = False
            self._stop()

    def on_entry_gone(self, vm: str) -> None:
        """Discard an entry whose stream has ended."""
        if self._is_granting:
            self._quotas.remove_entry(vm)

    def respond(
        self, vm: str, query: messages_fleet.QuotaQuery
    ) -> messages_fleet.QuotaGrant:
        """Grant tokens to an entry; the quota is unknown with a coordinator.

        This process may have become the coordinator in the meantime.
        """
        if self._is_granting or self._is_coordinating():
            self._quotas.on_heard(vm)
            return query_responder.grant(self._quotas, query)
        return messages_fleet.QuotaGrant(query.number, 0, 0, False)

    def _first_levels(self) -> dict[str, float]:
        """Return the levels to begin with, at most half of each burst.

        A coordinator that only this process has lost goes on granting. If it
        is lost again and again, what was left here the last time counts too.
        """
        now_ms = self._clock.now_ms()
        age_ms = now_ms - (self._levels_ms or 0)
        if self._levels_ms is None or age_ms > LEVEL_MAX_AGE_MS:
            return {}
        if self._stopped_ms is None or (
            now_ms - self._stopped_ms > self._window_ms
        ):
            return self._levels
        return {
            workspace: min(level, self._left.get(workspace, level))
            for workspace, level in self._levels.items()
        }

    def _stop(self) -> None:
        if not self._is_granting:
            return
        self._is_granting = False
        self._stopped_ms = self._clock.now_ms()
        self._left = self._quotas.levels()
        if not self._is_coordinating():
            self._quotas.stop()

    def _tick(self) -> None:
        """Update the number of entries heard, until the granting ends."""
        if not self._is_granting or self._is_coordinating():
            return
        self._clock.call_later(TICK_INTERVAL_MS, self._tick)
        self._quotas.set_connected(self._quotas.count_heard())
