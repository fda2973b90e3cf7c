"""Tell whether a response broke because it was not read."""

from __future__ import annotations

# A server may cut a response that it could not send for some seconds. Shorter
# pauses fit into the buffers between the processes.
MIN_UNREAD_MS = 1_000
# The end of a response that was cut is read this soon after the pause.
AFTER_PAUSE_MS = 1_000


class UnreadTime:
    """Follow the pauses in which one response was not read.

    Load pattern: a caller reads slowly, and the back-pressure on its response
    reaches the server, which gives up. That is no failure of the server.
    """

    __slots__ = ("_ended_ms", "_since_ms")

    def __init__(self) -> None:
        self._since_ms: int | None = None
        # End of the last pause of at least MIN_UNREAD_MS.
        self._ended_ms: int | None = None

    def set_blocked(self, is_blocked: bool, now_ms: int) -> None:
        """Record that reading was paused or resumed; may be repeated."""
        if is_blocked:
            if self._since_ms is None:
                self._since_ms = now_ms
            return
        if self._is_long(now_ms):
            self._ended_ms = now_ms
        self._since_ms = None

    def explains_break(self, now_ms: int) -> bool:
        """Return whether a response that breaks now was unread for long."""
        if self._is_long(now_ms):
            return True
        ended_ms = self._ended_ms
        return ended_ms is not None and now_ms - ended_ms <= AFTER_PAUSE_MS

    def _is_long(self, now_ms: int) -> bool:
        since_ms = self._since_ms
        return since_ms is not None and now_ms - since_ms >= MIN_UNREAD_MS
