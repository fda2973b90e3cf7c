"""Bounded queue with one lane per request class."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

CLASS_QUEUE_BOUND = 512  # requests per lane


class ClassQueue:
    """Queue of request identifiers that iterates urgent ones first."""

    __slots__ = ("_bound", "_lanes")

    def __init__(self, bound: int = CLASS_QUEUE_BOUND) -> None:
        self._bound = bound
        self._lanes: dict[bool, collections.OrderedDict[str, None]] = {
            True: collections.OrderedDict(),
            False: collections.OrderedDict(),
        }

    def __len__(self) -> int:
        return len(self._lanes[True]) + len(self._lanes[False])

    def __iter__(self) -> Iterator[str]:
        yield from tuple(self._lanes[True])
        yield from tuple(self._lanes[False])

    def waiting(self, is_urgent: bool) -> int:
        """Return the number of requests in one lane."""
        return len(self._lanes[is_urgent])

    def push(self, request_id: str, is_urgent: bool) -> bool:
        """Append a request; return False if its lane is full."""
        lane = self._lanes[is_urgent]
        if len(lane) >= self._bound:
            return False
        lane[request_id] = None
        return True

    def remove(self, request_id: str) -> bool:
        """Remove a request; return False if it is not in the queue."""
        for lane in self._lanes.values():
            if request_id in lane:
                del lane[request_id]
                return True
        return False

    def pop(self, is_urgent: bool) -> str | None:
        """Remove and return the oldest request of one lane, or None."""
        lane = self._lanes[is_urgent]
        return lane.popitem(last=False)[0] if lane else None
