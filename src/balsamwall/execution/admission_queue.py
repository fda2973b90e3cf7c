"""Queue the attempts of two classes that wait for a backend server."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from balsamwall.execution import run as run_module

# Limit on the queued attempts of each class.
AGENT_QUEUE_BOUND = 256
AGING_MS = 60_000
URGENT_STARTS_PER_AGED = 4


class AdmissionQueue:
    """Order attempts by class and age, with a length bound for each class.

    The attempts of one class form a lane. Urgent attempts go first. After
    `URGENT_STARTS_PER_AGED` of them, a deferrable attempt that has waited for
    `AGING_MS` gets the next turn, so that a steady urgent load can't starve
    it.
    """

    __slots__ = ("_bound", "_lanes", "_urgent_turns")

    def __init__(self, bound: int = AGENT_QUEUE_BOUND) -> None:
        self._bound = bound
        self._urgent_turns = 0
        self._lanes: dict[
            bool,
            collections.OrderedDict[run_module.AttemptKey, run_module.Run],
        ] = {
            True: collections.OrderedDict(),
            False: collections.OrderedDict(),
        }

    def __len__(self) -> int:
        return len(self._lanes[True]) + len(self._lanes[False])

    def __iter__(self) -> Iterator[run_module.Run]:
        for is_urgent in (True, False):
            yield from tuple(self._lanes[is_urgent].values())

    def waiting(self, is_urgent: bool) -> int:
        """Return the number of queued attempts of one class."""
        return len(self._lanes[is_urgent])

    def has_room(self, is_urgent: bool) -> bool:
        """Return whether the lane of a class is below its bound."""
        return len(self._lanes[is_urgent]) < self._bound

    def push(self, run: run_module.Run) -> None:
        """Append an attempt to the lane of its class; check no bound."""
        self._lanes[run.dispatch.is_urgent][run.key] = run

    def push_front(self, run: run_module.Run) -> None:
        """Put an attempt at the head of its lane."""
        lane = self._lanes[run.dispatch.is_urgent]
        lane[run.key] = run
        lane.move_to_end(run.key, last=False)

    def remove(self, run: run_module.Run) -> bool:
        """Remove an attempt; return False if it is not queued."""
        lane = self._lanes[run.dispatch.is_urgent]
        return lane.pop(run.key, None) is not None

    def take(
        self, now_ms: int, can_start: Callable[[run_module.Run], bool]
    ) -> run_module.Run | None:
        """Remove and return the next attempt that may start, or None.

        An urgent attempt that does not fit blocks deferrable ones, which
        would otherwise take the memory that it waits for.
        """
        urgent = self._head(True)
        deferrable = self._head(False)
        if urgent is not None and not self._is_aged_turn(deferrable, now_ms):
            if not can_start(urgent):
                return None
            self._urgent_turns += 1
            self.remove(urgent)
            return urgent
        if deferrable is not None and can_start(deferrable):
            self._urgent_turns = 0
            self.remove(deferrable)
            return deferrable
        if urgent is not None and can_start(urgent):
            # The aged deferrable attempt exceeds the deferrable share; that
            # must not block urgent ones.
            self.remove(urgent)
            return urgent
        return None

    def _head(self, is_urgent: bool) -> run_module.Run | None:
        return next(iter(self._lanes[is_urgent].values()), None)

    def _is_aged_turn(
        self, deferrable: run_module.Run | None, now_ms: int
    ) -> bool:
        return (
            deferrable is not None
            and self._urgent_turns >= URGENT_STARTS_PER_AGED
            and now_ms - deferrable.enqueued_ms >= AGING_MS
        )
