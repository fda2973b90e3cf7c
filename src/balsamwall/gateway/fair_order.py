"""Order waiting requests by urgency, then fairly across workspaces."""

from __future__ import annotations

import collections
import dataclasses
import heapq
from typing import TYPE_CHECKING

from balsamwall.gateway import fair_counters
from balsamwall.gateway import fair_queue
from balsamwall.gateway import room_waiter
from balsamwall.gateway import sent_shares

if TYPE_CHECKING:
    from collections.abc import Iterable

# Priority, stage, counters of the workspace and of the model, and arrival with
# a sequence number, which is unique.
SendOrderKey = tuple[
    room_waiter.Priority, fair_queue.Stage, float, float, tuple[int, int]
]


@dataclasses.dataclass(slots=True, frozen=True)
class Position:
    """Describe the place that a request would get in the order."""

    queued: int  # requests that wait for the target
    # Of them, those of the same workspace and priority, less those that are
    # sent before the workspace has used as much as the others.
    own: int
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
        "_aside",
        "_changes",
        "_counters",
        "_entries",
        "_queues",
        "_sequence",
        "_shares",
    )

    def __init__(self) -> None:
        self._entries: dict[room_waiter.RoomWaiter, fair_queue.Entry] = {}
        self._queues: dict[room_waiter.Target, fair_queue.TargetQueue] = {}
        # By time: the next change of stage of each request.
        self._changes: list[tuple[int, int, fair_queue.Entry]] = []
        # Requests that are not considered until `restore`.
        self._aside: list[fair_queue.Entry] = []
        self._sequence = 0
        # By service.
        self._counters: dict[str, fair_counters.FairCounters] = {}
        self._shares: dict[room_waiter.Target, sent_shares.SentShares] = {}

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
        self,
        target: room_waiter.Target,
        priority: room_waiter.Priority,
        *,
        is_bound: bool = False,
    ) -> bool:
        """Return whether an equally or more urgent request waits.

        One that is bound to a software version counts only for others that
        are bound, too.
        """
        queue = self._queues.get(target)
        if queue is None or min(queue.levels) > priority:
            return False
        return is_bound or queue.has_unbound(priority)

    def set_aside(self, waiter: room_waiter.RoomWaiter) -> None:
        """Let the requests behind a waiting one be the next, for a moment.

        Its place and the counters stay as they are.
        """
        entry = self._entries[waiter]
        entry.is_set_aside = True
        self._aside.append(entry)

    def restore(self) -> None:
        """Put the requests that were set aside back to their places."""
        aside, self._aside = self._aside, []
        for entry in aside:
            if not entry.is_removed:
                queue = self._queues[entry.target]
                queue.levels[entry.priority].push(entry)

    def queued_for_ms(self, target: room_waiter.Target, now_ms: int) -> int:
        """Return for how long a target has had waiting requests.

        The time begins anew when a request is added to an empty queue.
        """
        queue = self._queues.get(target)
        return now_ms - queue.since_ms if queue else 0

    def add(self, waiter: room_waiter.RoomWaiter, now_ms: int) -> None:
        """Add a request; lift the counters of a workspace that was idle."""
        target, workspace = waiter.target, waiter.workspace_name
        counters = self._counters_of(target[0])
        counters.add_waiting(target, workspace, now_ms)
        self._sequence += 1
        entry = fair_queue.Entry(
            waiter,
            (waiter.arrived_ms, self._sequence),
            waiter.priority,
            target,
            workspace,
            waiter.bound_version is not None,
        )
        self._entries[waiter] = entry
        queue = self._queues.get(target)
        if queue is None:
            queue = self._queues[target] = fair_queue.TargetQueue(now_ms)
        queue.count += 1
        heapq.heappush(queue.oldest, entry)
        level = queue.levels.get(entry.priority)
        if level is None:
            level = fair_queue.Level(counters.served)
            queue.levels[entry.priority] = level
        level.counts[workspace] += 1
        level.bound_count += entry.is_bound
        self._enter_stage(entry, now_ms)

    def remove(self, waiter: room_waiter.RoomWaiter) -> None:
        """Remove a request, if it waits."""
        entry = self._entries.pop(waiter, None)
        if entry is None:
            return
        entry.is_removed = True
        counters = self._counters[entry.target[0]]
        counters.remove_waiting(entry.target, entry.workspace)
        queue = self._queues[entry.target]
        queue.count -= 1
        level = queue.levels[entry.priority]
        level.counts[entry.workspace] -= 1
        level.bound_count -= entry.is_bound
        if not level.counts[entry.workspace]:
            del level.counts[entry.workspace]
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
        counters = self._counters[target[0]]
        key = (
            entry.priority,
            entry.stage,
            *counters.counter(target, entry.workspace),
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

    def oldest_unbound(
        self, target: room_waiter.Target
    ) -> room_waiter.RoomWaiter | None:
        """Return the oldest request that any software version may serve."""
        queue = self._queues.get(target)
        entry = queue.oldest_unbound() if queue else None
        return entry.waiter if entry else None

    def settle_owed(self, target: room_waiter.Target) -> None:
        """Count a send to the oldest request of a target."""
        self._shares[target].owed -= sent_shares.SENDS_PER_OLDEST

    def on_sent(self, waiter: room_waiter.RoomWaiter, now_ms: int) -> float:
        """Charge a send to its workspace and model; return the charge.

        Sends while no request of the service waits are free.
        """
        target, workspace = waiter.target, waiter.workspace_name
        shares = self._shares.setdefault(target, sent_shares.SentShares())
        shares.add(waiter.priority, workspace)
        counters = self._counters_of(target[0])
        return counters.charge(target, workspace, waiter.cost, now_ms)

    def add_fleet_use(
        self, rows: Iterable[tuple[str, str, int]], now_ms: int
    ) -> None:
        """Charge what other entries served: service, workspace and tokens."""
        by_service: dict[str, dict[str, int]] = {}
        for service, workspace, tokens in rows:
            by_service.setdefault(service, {})[workspace] = tokens
        for service, use in by_service.items():
            self._counters_of(service).add_fleet_use(use, now_ms)

    def is_sparse(self, waiter: room_waiter.RoomWaiter, now_ms: int) -> bool:
        """Return whether a request waits, and its workspace asks for little.

        The workspace asks for less than its share among those that compete.
        """
        if waiter not in self._entries:
            return False
        counters = self._counters[waiter.target[0]]
        return counters.is_sparse(waiter.workspace_name, now_ms)

    def set_waiting_elsewhere(self, service: str, now_ms: int) -> None:
        """Note that requests wait for a service at other entries."""
        self._counters_of(service).set_waiting_elsewhere(now_ms)

    def position(
        self, waiter: room_waiter.RoomWaiter, now_ms: int
    ) -> Position:
        """Return the place that a request would get if it were added."""
        target, workspace = waiter.target, waiter.workspace_name
        priority = waiter.priority
        queue = self._queues.get(target)
        if queue is None:
            return Position(0, 0, 0, 1.0, 1.0)
        level = queue.levels.get(priority)
        counts = level.counts if level else collections.Counter[str]()
        own = counts[workspace]
        counters = self._counters[target[0]]
        ahead = own + counters.sent_before(workspace, counts, now_ms)
        for other, more_urgent in queue.levels.items():
            if other < priority:
                ahead += more_urgent.counts.total()
        paced = max(0, own - counters.lead(workspace, now_ms))
        waiting = len(counts) + (workspace not in counts)
        shares = self._shares.get(target) or sent_shares.SentShares()
        return Position(
            queue.count,
            paced,
            ahead,
            shares.workspace_share(priority, workspace, waiting),
            shares.share_after_urgent(priority),
        )

    def _counters_of(self, service: str) -> fair_counters.FairCounters:
        counters = self._counters.get(service)
        if counters is None:
            counters = self._counters[service] = fair_counters.FairCounters()
        return counters

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
