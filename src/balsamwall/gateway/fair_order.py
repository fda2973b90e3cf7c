"""Order waiting requests by urgency, then fairly across workspaces."""

from __future__ import annotations

import collections
import dataclasses
import heapq
from typing import TYPE_CHECKING
from typing import TypeVar

from balsamwall.gateway import fair_queue
from balsamwall.gateway import room_waiter
from balsamwall.gateway import sent_shares

if TYPE_CHECKING:
    from collections.abc import Iterable

# Weight of the latest request in the mean cost of a service.
COST_MEAN_WEIGHT = 0.05
# Requests by which an idle workspace stays below the lowest counter. An entry
# with a part of the traffic sees a small workspace seldom: without the credit
# all workspaces are idle there between their requests, and those that ask for
# more than their share are served like those that ask for less.
SPARSE_CREDIT_REQUESTS = 2

_K = TypeVar("_K")


# Priority, stage, counters of the workspace and of the model, and arrival with
# a sequence number, which is unique.
SendOrderKey = tuple[
    room_waiter.Priority, fair_queue.Stage, float, float, tuple[int, int]
]


@dataclasses.dataclass(slots=True, frozen=True)
class Position:
    """Describe the place that a request would get in the order."""

    queued: int  # requests that wait for the target
    own: int  # of them, those of the same workspace and priority
    ahead: int  # of them, those that are sent before the request
    workspace_share: float  # fraction of the sends that the workspace gets
    share_after_urgent: float  # fraction that more urgent requests leave


class FairOrder:
    """Choose which waiting request is sent next.

    Load pattern: more requests than the engines can serve, most of them from
    one workspace. Ordered by arrival, the others wait behind its backlog.

    Start-time fair queueing with virtual counters of served tokens (Goyal et
    al., 1996; Sheng et al., "Fairness in serving LLMs", 2024).
    """

    __slots__ = (
        "_changes",
        "_entries",
        "_mean_cost",
        "_queues",
        "_sequence",
        "_served",
        "_served_models",
        "_shares",
        "_virtual",
        "_waiting",
    )

    def __init__(self) -> None:
        self._entries: dict[room_waiter.RoomWaiter, fair_queue.Entry] = {}
        self._queues: dict[room_waiter.Target, fair_queue.TargetQueue] = {}
        # By time: the next change of stage of each request.
        self._changes: list[tuple[int, int, fair_queue.Entry]] = []
        self._sequence = 0
        # By service: tokens served to each workspace.
        self._served: dict[str, dict[str, float]] = {}
        # By service: the lowest counter of those that waited last.
        self._virtual: dict[str, float] = {}
        # By service and workspace: tokens served for each target.
        self._served_models: dict[
            tuple[str, str], dict[room_waiter.Target, float]
        ] = {}
        # By service and workspace: waiting requests for each target.
        self._waiting: dict[
            str, dict[str, collections.Counter[room_waiter.Target]]
        ] = {}
        self._shares: dict[room_waiter.Target, sent_shares.SentShares] = {}
        self._mean_cost: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, waiter: object) -> bool:
        return waiter in self._entries

    @property
    def targets(self) -> Iterable[room_waiter.Target]:
        """Return the targets that requests wait for."""
        return self._queues

    def count(self, target: room_waiter.Target) -> int:
        """Return the number of requests that wait for a target."""
        queue = self._queues.get(target)
        return queue.count if queue else 0

    def has_waiting(
        self, target: room_waiter.Target, priority: room_waiter.Priority
    ) -> bool:
        """Return whether an equally or more urgent request waits."""
        queue = self._queues.get(target)
        return queue is not None and min(queue.levels) <= priority

    def queued_for_ms(self, target: room_waiter.Target, now_ms: int) -> int:
        """Return for how long a target has had waiting requests.

        The time begins anew when a request is added to an empty queue.
        """
        queue = self._queues.get(target)
        return now_ms - queue.since_ms if queue else 0

    def add(self, waiter: room_waiter.RoomWaiter, now_ms: int) -> None:
        """Add a request; lift the counters of a workspace that was idle."""
        target, workspace = waiter.target, waiter.workspace_name
        self._lift(target, workspace)
        counts = self._waiting[target[0]].setdefault(
            workspace, collections.Counter()
        )
        counts[target] += 1
        self._sequence += 1
        entry = fair_queue.Entry(
            waiter,
            (waiter.arrived_ms, self._sequence),
            waiter.priority,
            target,
            workspace,
        )
        self._entries[waiter] = entry
        queue = self._queues.get(target)
        if queue is None:
            queue = self._queues[target] = fair_queue.TargetQueue(now_ms)
        queue.count += 1
        heapq.heappush(queue.oldest, entry)
        level = queue.levels.get(entry.priority)
        if level is None:
            level = fair_queue.Level(self._served[target[0]])
            queue.levels[entry.priority] = level
        level.counts[workspace] += 1
        self._enter_stage(entry, now_ms)

    def remove(self, waiter: room_waiter.RoomWaiter) -> None:
        """Remove a request, if it waits."""
        entry = self._entries.pop(waiter, None)
        if entry is None:
            return
        entry.is_removed = True
        workspaces = self._waiting[entry.target[0]]
        counts = workspaces[entry.workspace]
        _decrement(counts, entry.target)
        if not counts:
            del workspaces[entry.workspace]
        queue = self._queues[entry.target]
        queue.count -= 1
        level = queue.levels[entry.priority]
        _decrement(level.counts, entry.workspace)
        if not level.counts:
            del queue.levels[entry.priority]
        if not queue.count:
            del self._queues[entry.target]

    def advance(self, now_ms: int) -> None:
        """Move the requests that have become late or old."""
        while self._changes and self._changes[0][0] <= now_ms:
            entry = heapq.heappop(self._changes)[2]
            if not entry.is_removed:
                self._enter_stage(entry, now_ms)

    def head(
        self, target: room_waiter.Target
    ) -> tuple[SendOrderKey, room_waiter.RoomWaiter] | None:
        """Return the request to send next for a target, with its sort key."""
        queue = self._queues.get(target)
        entry = queue.head() if queue else None
        if entry is None:
            return None
        served = self._served[target[0]][entry.workspace]
        of_model = self._served_models[target[0], entry.workspace][target]
        key = (
            entry.priority,
            entry.stage,
            served,
            of_model,
            entry.arrival_key,
        )
        return key, entry.waiter

    def owed(self) -> list[room_waiter.RoomWaiter]:
        """Return the oldest requests of the targets that owe them a send."""
        found = []
        for target, queue in self._queues.items():
            shares = self._shares.get(target)
            if (
                shares is not None
                and shares.owed >= sent_shares.SENDS_PER_OLDEST - 1
            ):
                oldest = fair_queue.first(queue.oldest, None)
                if oldest is not None:
                    found.append(oldest.waiter)
        return found

    def settle_owed(self, target: room_waiter.Target) -> None:
        """Count a send to the oldest request of a target."""
        self._shares[target].owed -= sent_shares.SENDS_PER_OLDEST

    def on_sent(self, waiter: room_waiter.RoomWaiter) -> None:
        """Charge a send to its workspace and model.

        Sends while no request of the service waits are free, since they take
        nothing from others.
        """
        target, workspace = waiter.target, waiter.workspace_name
        service = target[0]
        mean = self._mean_cost.get(service)
        cost = float(waiter.cost) or mean or 1.0
        if mean is None:
            mean = cost
        self._mean_cost[service] = mean + COST_MEAN_WEIGHT * (cost - mean)
        shares = self._shares.setdefault(target, sent_shares.SentShares())
        shares.add(waiter.priority, workspace)
        if not self._waiting.get(service):
            return
        self._lift(target, workspace)
        served = self._served[service]
        # The lowest of the waiting ones, not the one served: urgent and old
        # requests of a large workspace are sent at any counter.
        lowest = min(served[name] for name in self._waiting[service])
        self._virtual[service] = max(self._virtual.get(service, 0.0), lowest)
        served[workspace] += cost
        self._served_models[service, workspace][target] += cost

    def position(self, waiter: room_waiter.RoomWaiter) -> Position:
        """Return the place that a request would get if it were added."""
        target, workspace = waiter.target, waiter.workspace_name
        priority = waiter.priority
        queue = self._queues.get(target)
        if queue is None:
            return Position(0, 0, 0, 1.0, 1.0)
        level = queue.levels.get(priority)
        counts = level.counts if level else collections.Counter[str]()
        own = counts[workspace]
        ahead = own + self._others_ahead(target[0], workspace, counts)
        for other, more_urgent in queue.levels.items():
            if other < priority:
                ahead += more_urgent.counts.total()
        waiting = len(counts) + (workspace not in counts)
        shares = self._shares.get(target) or sent_shares.SentShares()
        return Position(
            queue.count,
            own,
            ahead,
            shares.workspace_share(priority, workspace, waiting),
            shares.share_after_urgent(priority),
        )

    def _others_ahead(
        self, service: str, workspace: str, counts: collections.Counter[str]
    ) -> int:
        """Return how many requests of other workspaces would be sent first.

        Each send adds the mean cost to the counter of its workspace.
        """
        served = self._served[service]
        cost = self._mean_cost.get(service, 1.0)
        counter = served.get(workspace, 0.0)
        if workspace not in self._waiting[service]:
            counter = max(counter, self._lowest(service))
        counter += counts[workspace] * cost
        ahead = 0
        for other, count in counts.items():
            if other != workspace and served[other] <= counter:
                turns = int((counter - served[other]) / cost) + 1
                ahead += min(count, turns)
        return ahead

    def _lowest(self, service: str) -> float:
        """Return the counter to which an idle workspace is raised."""
        served = self._served[service]
        lowest = min(
            (served[name] for name in self._waiting[service]),
            default=self._virtual.get(service, 0.0),
        )
        mean = self._mean_cost.get(service, 0.0)
        return lowest - SPARSE_CREDIT_REQUESTS * mean

    def _lift(self, target: room_waiter.Target, workspace: str) -> None:
        """Raise counters that stood still to the lowest that compete."""
        service = target[0]
        served = self._served.setdefault(service, {})
        waiting = self._waiting.setdefault(service, {})
        if workspace not in waiting:
            served[workspace] = max(
                served.get(workspace, 0.0), self._lowest(service)
            )
        models = self._served_models.setdefault((service, workspace), {})
        competing = waiting.get(workspace, ())
        if target not in competing:
            lowest = min((models[name] for name in competing), default=0.0)
            models[target] = max(models.get(target, 0.0), lowest)

    def _enter_stage(self, entry: fair_queue.Entry, now_ms: int) -> None:
        """Put a request into its stage and schedule the next one."""
        waiter = entry.waiter
        change_ms = None
        entry.stage = fair_queue.Stage.REGULAR
        if now_ms < waiter.aged_at_ms:
            if now_ms > waiter.on_time_until_ms:
                entry.stage = fair_queue.Stage.LATE
                change_ms = waiter.aged_at_ms
            elif waiter.on_time_until_ms < waiter.aged_at_ms:
                change_ms = waiter.on_time_until_ms + 1
        if change_ms is not None:
            change = (change_ms, entry.arrival_key[1], entry)
            heapq.heappush(self._changes, change)
        self._queues[entry.target].levels[entry.priority].push(entry)


def _decrement(counts: collections.Counter[_K], key: _K) -> None:
    """Decrement a count and drop it at 0."""
    counts[key] -= 1
    if not counts[key]:
        del counts[key]
