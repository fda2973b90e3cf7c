"""Record what is known of whether backend servers have run a request."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamwall.timing import clock as clock_module


# Statuses that promise callers that the request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)


class SendState(enum.Enum):
    """State what is known of one send of a request."""

    CONNECTING = "connecting"  # nothing is written yet
    UNSENT = "unsent"  # given up before its first byte
    WRITTEN = "written"  # the server may be running it, or have run it
    NOT_RUN = "not_run"  # certified by the server in response to this send


class Send:
    """Hold what is known of one send of a request to a server.

    It may have run from its first byte until its server certifies that it has
    not.
    """

    __slots__ = ("_clock", "_server_id", "_since_ms", "_state", "_written_ms")

    def __init__(self, clock: clock_module.Clock, server_id: str) -> None:
        self._clock = clock
        self._server_id = server_id
        self._state = SendState.CONNECTING
        self._since_ms = clock.now_ms()  # of the state
        self._written_ms: int | None = None

    @property
    def state(self) -> SendState:
        """Return what is known now."""
        return self._state

    @property
    def may_have_run(self) -> bool:
        """Return whether the server may have run it."""
        return self._state is SendState.WRITTEN

    def on_written(self) -> None:
        """Record that the first byte is about to be written."""
        self._written_ms = self._clock.now_ms()
        self._set(SendState.WRITTEN)

    def on_unsent(self) -> None:
        """Record that it was given up, unless its first byte was written."""
        if self._state is SendState.CONNECTING:
            self._set(SendState.UNSENT)

    def on_certified(self) -> None:
        """Record that its server has certified that it did not run."""
        if self._state is SendState.WRITTEN:
            self._set(SendState.NOT_RUN)

    def row(self, since_ms: int) -> list[object]:
        """Return server, state, and times of first byte and of the state.

        Times are in milliseconds after `since_ms`; the first is None if
        nothing was written.
        """
        written_ms = self._written_ms
        return [
            self._server_id,
            self._state.value,
            None if written_ms is None else written_ms - since_ms,
            self._since_ms - since_ms,
        ]

    def _set(self, state: SendState) -> None:
        self._state = state
        self._since_ms = self._clock.now_ms()


class ExecutionRecord:
    """Record the sends of one request."""

    __slots__ = ("_clock", "_sends")

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._sends: list[Send] = []

    @property
    def sends(self) -> Sequence[Send]:
        """Return the sends, the first one first."""
        return self._sends

    @property
    def may_have_run(self) -> bool:
        """Return whether any server may have run the request."""
        return any(send.may_have_run for send in self._sends)

    def open_send(self, server_id: str) -> Send:
        """Return a new send, of which nothing is written yet."""
        send = Send(self._clock, server_id)
        self._sends.append(send)
        return send

    def rows(self, since_ms: int) -> list[list[object]]:
        """Return the rows of all sends, with times after `since_ms`."""
        return [send.row(since_ms) for send in self._sends]
