"""Count the sends for a target, and what its oldest request is owed."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.gateway import room_waiter

# One in this many sends for a target goes to its oldest waiting request.
SENDS_PER_OLDEST = 10
# Owed sends to the oldest request that are kept, so that an engine that was
# full for long does not serve a series of old requests afterwards.
MAX_OWED_SENDS = 2 * SENDS_PER_OLDEST
# Number of the last sends for a target from which shares are computed.
SHARE_SENDS = 32


class SentShares:
    """Count the last sends for one target by priority and workspace."""

    __slots__ = ("_counts", "_sends", "owed")

    def __init__(self) -> None:
        self._sends: collections.deque[tuple[room_waiter.Priority, str]]
        self._sends = collections.deque()
        self._counts: collections.Counter[tuple[room_waiter.Priority, str]]
        self._counts = collections.Counter()
        # Sends that are not yet balanced by one to the oldest request.
        self.owed = 0

    def add(self, priority: room_waiter.Priority, workspace: str) -> None:
        """Count a send."""
        self.owed = min(MAX_OWED_SENDS, self.owed + 1)
        self._sends.append((priority, workspace))
        self._counts[priority, workspace] += 1
        if len(self._sends) > SHARE_SENDS:
            dropped = self._sends.popleft()
            self._counts[dropped] -= 1
            if not self._counts[dropped]:
                del self._counts[dropped]

    def workspace_share(
        self, priority: room_waiter.Priority, workspace: str, waiting: int
    ) -> float:
        """Return the fraction of the sends that a workspace can expect.

        It is at least an equal part, among `waiting` workspaces, of the sends
        that are left by more urgent requests. An idle workspace has few sends
        because it asks for few.
        """
        own = self._counts[priority, workspace] / max(1, len(self._sends))
        return max(own, self.share_after_urgent(priority) / waiting)

    def share_after_urgent(self, priority: room_waiter.Priority) -> float:
        """Return the fraction of the sends left by more urgent requests.

        It is at least what the oldest requests are owed.
        """
        urgent = sum(
            count
            for (other, _), count in self._counts.items()
            if other < priority
        )
        left = 1.0 - urgent / max(1, len(self._sends))
        return max(left, 1.0 / SENDS_PER_OLDEST)
