"""Hold the requests that wait for one target, in heaps by stage."""

from __future__ import annotations

import collections
import dataclasses
import enum
import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.gateway import room_waiter


class Stage(enum.IntEnum):
    """State how a request is ordered among those of its priority."""

    # On time, or older than half of the caller's timeout: ordered by the
    # counter of the workspace, then by arrival. Old requests don't precede
    # those of other workspaces, or a backlog would take all turns.
    REGULAR = 0
    LATE = 1  # the target of the first event can no longer be met


@dataclasses.dataclass(slots=True, eq=False)
class Entry:
    """Hold a waiting request; entries are removed from heaps lazily."""

    waiter: room_waiter.RoomWaiter
    arrival_key: tuple[int, int]  # arrival, and the sequence number
    priority: room_waiter.Priority
    target: room_waiter.Target
    workspace: str
    is_bound: bool  # whether it needs a server of one software version
    stage: Stage = Stage.REGULAR
    is_removed: bool = False
    is_set_aside: bool = False  # left out of the order until it is pushed

    def __lt__(self, other: Entry) -> bool:
        return self.arrival_key < other.arrival_key


class Level:
    """Order the requests for one target that have the same priority."""

    __slots__ = ("_flows", "_served", "_turns", "bound_count", "counts")

    def __init__(self, served: dict[str, float]) -> None:
        self._served = served
        self._flows: dict[tuple[Stage, str], list[Entry]] = {}
        # By stage: a heap of counter, arrival key and workspace. Counters
        # only grow, so that an outdated row is corrected when it becomes the
        # lowest.
        self._turns: dict[Stage, list[tuple[float, tuple[int, int], str]]] = {
            Stage.REGULAR: [],
            Stage.LATE: [],
        }
        self.counts: collections.Counter[str] = collections.Counter()
        self.bound_count = 0

    def push(self, entry: Entry) -> None:
        """Add a request in its stage."""
        entry.is_set_aside = False
        key = entry.stage, entry.workspace
        flow = self._flows.get(key)
        if flow is None:
            flow = self._flows[key] = []
            turn = (self._served[entry.workspace], entry.arrival_key, key[1])
            heapq.heappush(self._turns[entry.stage], turn)
        heapq.heappush(flow, entry)

    def head(self) -> Entry | None:
        """Return the request to send next."""
        for stage, turns in self._turns.items():
            while turns:
                counter, _, workspace = turns[0]
                entry = first(self._flows[stage, workspace], stage)
                if entry is None:
                    heapq.heappop(turns)
                    del self._flows[stage, workspace]
                elif counter < self._served[workspace]:
                    turn = (
                        self._served[workspace],
                        entry.arrival_key,
                        workspace,
                    )
                    heapq.heapreplace(turns, turn)
                else:
                    return entry
        return None


def first(heap: list[Entry], stage: Stage | None) -> Entry | None:
    """Drop entries that have left the heap; return the first of the others.

    A heap of all stages also holds those that are set aside.
    """
    while heap:
        entry = heap[0]
        is_in_order = not entry.is_set_aside and stage is entry.stage
        if not entry.is_removed and (stage is None or is_in_order):
            return entry
        heapq.heappop(heap)
    return None


class TargetQueue:
    """Hold the requests that wait for one target, by priority."""

    __slots__ = ("count", "levels", "oldest", "since_ms")

    def __init__(self, now_ms: int) -> None:
        self.count = 0
        self.since_ms = now_ms
        self.levels: dict[room_waiter.Priority, Level] = {}
        self.oldest: list[Entry] = []

    def oldest_unbound(self) -> Entry | None:
        """Return the oldest request that is not bound to a version."""
        return min(
            (
                entry
                for entry in self.oldest
                if not entry.is_removed and not entry.is_bound
            ),
            default=None,
        )

    def has_unbound(self, priority: room_waiter.Priority) -> bool:
        """Return whether an equally or more urgent, unbound one waits."""
        return any(
            other <= priority and level.counts.total() > level.bound_count
            for other, level in self.levels.items()
        )

    def head(self) -> Entry | None:
        """Return the request to send next."""
        for priority in sorted(self.levels):
            entry = self.levels[priority].head()
            if entry is not None:
                return entry
        return None
