"""Share of one entry in a limit, without knowledge of the other entries."""

from __future__ import annotations

# Time in each period at which the entry may send. A turn that is not used in
# it lapses, so that idle entries don't save turns up for a common burst.
TURN_MS = 1_000


class PacedShare:
    """Allow one request in each period, at a time of its own.

    Load pattern: many entries without a coordinator send to one server with a
    low limit. Entries draw the offset of their turns at random, so that the
    turns of all entries spread over the period.
    """

    __slots__ = ("_last_sent_ms", "_last_turn", "_offset")

    def __init__(self, offset: float) -> None:
        """Set the offset of the turns, a fraction of the period."""
        self._offset = offset
        self._last_turn: int | None = None
        self._last_sent_ms: int | None = None

    def take_or_wait_ms(self, now_ms: int, period_ms: int) -> int:
        """Use the current turn and return 0, or return the wait for one.

        The period may change between calls. The wait is at least 1.
        """
        period_ms = max(1, period_ms)
        position_ms = now_ms + int(self._offset * period_ms)
        turn, into_ms = divmod(position_ms, period_ms)
        is_used = turn == self._last_turn or self._is_too_soon(
            now_ms, period_ms
        )
        if is_used or into_ms >= TURN_MS:
            return max(1, period_ms - into_ms)
        self._last_turn = turn
        self._last_sent_ms = now_ms
        return 0

    def _is_too_soon(self, now_ms: int, period_ms: int) -> bool:
        """Return whether less than half a period has passed since a send.

        A change of the period renumbers the turns.
        """
        if self._last_sent_ms is None:
            return False
        return (now_ms - self._last_sent_ms) * 2 < period_ms
