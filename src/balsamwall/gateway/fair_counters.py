"""Count the tokens served to the workspaces of one service."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from balsamwall.gateway import room_waiter

# Weight of the latest request in the mean cost of a service.
COST_MEAN_WEIGHT = 0.05
# Requests by which an idle workspace stays below the lowest counter. An entry
# with a part of the traffic sees a small workspace seldom: without the credit
# all workspaces are idle there between their requests, and those that ask for
# more than their share are served like those that ask for less.
SPARSE_CREDIT_REQUESTS = 2
# Time after the last charge by another entry, or the last fleet state with
# waiting requests, in which requests count as waiting there. Both come
# several times a second.
ELSEWHERE_MEMORY_MS = 1_000
# Time for which a workspace that was passed over here counts as having a
# backlog, as long as other entries charge it. An entry with a part of the
# traffic has a waiting request of a usual workspace only every few seconds.
BACKLOG_MEMORY_MS = 5_000
# Time since it was last passed over after which a workspace counts as asking
# for less than its share. At one of 30 entries a workspace with a backlog can
# have no waiting request for 10 s.
SPARSE_AFTER_MS = 20_000

_Counts = collections.Counter[str]


class FairCounters:
    """Hold the virtual counters of the workspaces of one service.

    Load pattern: 30 entries share the requests of 16 workspaces, of which a
    small one sends two requests a second and a large one a hundred. An entry
    that counts only its own sends serves a workspace as if what it got at the
    others did not count, and where only the large one waits, a workspace that
    returns is raised to the counter of the large one.
    """

    __slots__ = (
        "_charged_elsewhere_ms",
        "_mean_cost",
        "_models",
        "_passed_over_ms",
        "_virtual",
        "_waiting",
        "_waiting_elsewhere_ms",
        "served",
    )

    def __init__(self) -> None:
        # Tokens served to each workspace.
        self.served: dict[str, float] = {}
        # The lowest counter of those that waited last.
        self._virtual = 0.0
        # By workspace: tokens served for each target.
        self._models: dict[str, dict[room_waiter.Target, float]] = {}
        # By workspace: waiting requests for each target.
        self._waiting: dict[str, collections.Counter[room_waiter.Target]] = {}
        self._mean_cost: float | None = None
        # By workspace: when another entry last charged it.
        self._charged_elsewhere_ms: dict[str, int] = {}
        # By workspace: when it last waited while one with a lower counter was
        # served. One that asks for less than its share is not passed over.
        self._passed_over_ms: dict[str, int] = {}
        # When requests last waited at other entries.
        self._waiting_elsewhere_ms: int | None = None

    def counter(
        self, target: room_waiter.Target, workspace: str
    ) -> tuple[float, float]:
        """Return the counters of a waiting workspace and of its model."""
        return self.served[workspace], self._models[workspace][target]

    def add_waiting(
        self, target: room_waiter.Target, workspace: str, now_ms: int
    ) -> None:
        """Count a waiting request; lift a workspace that was idle."""
        self._lift(target, workspace, now_ms)
        counts = self._waiting.setdefault(workspace, collections.Counter())
        counts[target] += 1

    def remove_waiting(
        self, target: room_waiter.Target, workspace: str
    ) -> None:
        """Count a request that waits no longer."""
        counts = self._waiting[workspace]
        counts[target] -= 1
        if not counts[target]:
            del counts[target]
        if not counts:
            del self._waiting[workspace]

    def set_waiting_elsewhere(self, now_ms: int) -> None:
        """Note that requests wait for the service at other entries."""
        self._waiting_elsewhere_ms = now_ms

    def charge(
        self,
        target: room_waiter.Target,
        workspace: str,
        tokens: int,
        now_ms: int,
    ) -> float:
        """Charge a send, of the mean cost without tokens; return the charge.

        Sends while no request of the service waits are free, since they take
        nothing from others.
        """
        cost = self._update_mean(tokens)
        is_elsewhere = _is_recent(self._waiting_elsewhere_ms, now_ms)
        if not self._waiting and not is_elsewhere:
            return 0.0
        self._lift(target, workspace, now_ms)
        served = self.served
        # The lowest of the waiting ones, not the one served: urgent and old
        # requests of a large workspace are sent at any counter.
        self._virtual = max(self._virtual, self._lowest(now_ms))
        for name in self._waiting:
            if name != workspace and served[name] >= served[workspace]:
                self._passed_over_ms[name] = now_ms
        served[workspace] += cost
        self._models[workspace][target] += cost
        return cost

    def _update_mean(self, tokens: int) -> float:
        """Add the cost of a send to the mean; return the cost."""
        mean = self._mean_cost
        cost = float(tokens) or mean or 1.0
        if mean is None:
            mean = cost
        self._mean_cost = mean + COST_MEAN_WEIGHT * (cost - mean)
        return cost

    def add_fleet_use(self, use: Mapping[str, int], now_ms: int) -> None:
        """Charge the tokens that other entries served, by workspace.

        Those that were idle are raised first, as they were there.
        """
        floor = self._idle_floor(now_ms)
        for workspace, tokens in use.items():
            counter = self._raised(workspace, floor, now_ms)
            self.served[workspace] = counter + tokens
            self._charged_elsewhere_ms[workspace] = now_ms
        if not self._waiting:
            # Otherwise a workspace that waits here first would be ahead by
            # all that the others got elsewhere in the meantime.
            self._virtual = max(self._virtual, self._median(use))

    def _median(self, use: Mapping[str, int]) -> float:
        """Return the counter at which half of the tokens were served.

        A small workspace has a lower one, and one with many urgent requests
        a higher one than those that compete.
        """
        left = sum(use.values()) / 2
        counter = 0.0
        for workspace in sorted(use, key=lambda name: self.served[name]):
            counter = self.served[workspace]
            left -= use[workspace]
            if left <= 0:
                break
        return counter

    def sent_before(self, workspace: str, counts: _Counts, now_ms: int) -> int:
        """Return how many requests of other workspaces would be sent first.

        `counts` are the waiting ones by workspace. Each send adds the mean
        cost to the counter of its workspace.
        """
        cost = self._mean_cost or 1.0
        counter = self._raised(workspace, self._idle_floor(now_ms), now_ms)
        counter += counts[workspace] * cost
        ahead = 0
        for other, count in counts.items():
            if other != workspace and self.served[other] <= counter:
                turns = int((counter - self.served[other]) / cost) + 1
                ahead += min(count, turns)
        return ahead

    def _was_passed_over(self, workspace: str, now_ms: int) -> bool:
        passed_ms = self._passed_over_ms.get(workspace)
        return (
            passed_ms is not None and now_ms - passed_ms <= BACKLOG_MEMORY_MS
        )

    def _has_backlog_elsewhere(self, workspace: str, now_ms: int) -> bool:
        """Return whether a workspace probably waits at another entry."""
        charged_ms = self._charged_elsewhere_ms.get(workspace)
        return self._was_passed_over(workspace, now_ms) and _is_recent(
            charged_ms, now_ms
        )

    def _is_idle(self, workspace: str, now_ms: int) -> bool:
        """Return whether a workspace has no waiting request, here or there."""
        return (
            workspace not in self._waiting
            and not self._has_backlog_elsewhere(workspace, now_ms)
        )

    def is_sparse(self, workspace: str, now_ms: int) -> bool:
        """Return whether a waiting workspace asks for less than its share.

        It has not been passed over, and is below all others that compete.
        """
        passed_ms = self._passed_over_ms.get(workspace)
        if passed_ms is not None and now_ms - passed_ms <= SPARSE_AFTER_MS:
            return False
        return self.lead(workspace, now_ms) > 0

    def lead(self, workspace: str, now_ms: int) -> int:
        """Return how many requests a workspace gets before all others.

        They bring its counter to the lowest of the others that compete.
        """
        others = self._competing(now_ms)
        others.discard(workspace)
        if not others:
            return 0
        lowest = min(self.served[name] for name in others)
        counter = self._raised(workspace, self._idle_floor(now_ms), now_ms)
        return max(0, int((lowest - counter) / (self._mean_cost or 1.0)))

    def _competing(self, now_ms: int) -> set[str]:
        """Return the workspaces with requests that wait, here or there."""
        found = set(self._waiting)
        found.update(
            name
            for name in self._passed_over_ms
            if self._has_backlog_elsewhere(name, now_ms)
        )
        return found

    def _lowest(self, now_ms: int) -> float:
        """Return the lowest counter of the workspaces that compete."""
        competing = self._competing(now_ms)
        return min(
            (self.served[name] for name in competing), default=self._virtual
        )

    def _idle_floor(self, now_ms: int) -> float:
        """Return the counter to which an idle workspace is raised."""
        credit = SPARSE_CREDIT_REQUESTS * (self._mean_cost or 0.0)
        return self._lowest(now_ms) - credit

    def _raised(self, workspace: str, floor: float, now_ms: int) -> float:
        """Return the counter of a workspace, raised if it is idle."""
        counter = self.served.get(workspace, 0.0)
        if self._is_idle(workspace, now_ms):
            return max(counter, floor)
        return counter

    def _lift(
        self, target: room_waiter.Target, workspace: str, now_ms: int
    ) -> None:
        """Raise counters that stood still to the lowest that compete."""
        floor = self._idle_floor(now_ms)
        self.served[workspace] = self._raised(workspace, floor, now_ms)
        models = self._models.setdefault(workspace, {})
        competing = self._waiting.get(workspace, ())
        if target not in competing:
            lowest = min((models[name] for name in competing), default=0.0)
            models[target] = max(models.get(target, 0.0), lowest)


def _is_recent(at_ms: int | None, now_ms: int) -> bool:
    return at_ms is not None and now_ms - at_ms <= ELSEWHERE_MEMORY_MS
