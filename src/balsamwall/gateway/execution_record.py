"""Decide what may be told of a request, and whether it may be sent."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamwall.timing import clock as clock_module

_Code = result_code.ResultCode
# Statuses that promise callers that the request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)


class SendState(enum.Enum):
    """State what is known of one send of a request."""

    CONNECTING = "connecting"  # nothing is written yet
    # No connect, or a back-off that the server asked for; nothing was sent.
    NOT_CONNECTED = "not_connected"
    WITHDRAWN = "withdrawn"  # given up by this entry; nothing was sent
    WRITTEN = "written"  # the server may be running it, or have run it
    NOT_RUN = "not_run"  # certified by the server in response to this send


class Send:
    """Hold what is known of one send of a request to a server.

    It may have run from its first byte until its server certifies that it has
    not.
    """

    __slots__ = (
        "_clock",
        "_record",
        "_server_id",
        "_since_ms",
        "_state",
        "_written_ms",
    )

    def __init__(
        self,
        record: ExecutionRecord,
        clock: clock_module.Clock,
        server_id: str,
    ) -> None:
        self._record = record
        self._clock = clock
        self._server_id = server_id
        self._state = SendState.CONNECTING
        self._since_ms = clock.now_ms()  # of the state
        self._written_ms: int | None = None

    @property
    def state(self) -> SendState:
        """Return what is known now."""
        return self._state

    def begin(self) -> bool:
        """Return whether the first byte may be written now.

        The connection may come after the request has been answered.
        """
        if self._state is not SendState.CONNECTING:
            return False
        if not self._record.may_write:
            self._set(SendState.WITHDRAWN)
            return False
        self._written_ms = self._clock.now_ms()
        self._set(SendState.WRITTEN)
        return True

    def withdraw(self) -> None:
        """Give it up, unless its first byte was written."""
        if self._state is SendState.CONNECTING:
            self._set(SendState.WITHDRAWN)

    def on_not_connected(self) -> None:
        """Record that no connection was made, or a back-off forbids it."""
        if self._state is SendState.CONNECTING:
            self._set(SendState.NOT_CONNECTED)

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
    """Record the sends of one request, and decide what they allow.

    A request that runs at most once is written to a server only while none
    may have run it, and no request once it has ended.

    Load pattern: servers refuse, answer twice, break off and answer at the
    deadline, while permits, assignments and connections come late.
    """

    __slots__ = ("_clock", "_has_ended", "_is_repeatable", "_sends")

    def __init__(self, clock: clock_module.Clock, is_repeatable: bool) -> None:
        self._clock = clock
        self._is_repeatable = is_repeatable
        self._has_ended = False
        self._sends: list[Send] = []

    @property
    def sends(self) -> Sequence[Send]:
        """Return the sends, the first one first."""
        return self._sends

    @property
    def may_have_run(self) -> bool:
        """Return whether any server may have run the request."""
        return self.possible_runs > 0

    @property
    def possible_runs(self) -> int:
        """Return how many sends a server may have run."""
        return self._count(SendState.WRITTEN)

    @property
    def refused(self) -> int:
        """Return how many sends a server certified as not run."""
        return self._count(SendState.NOT_RUN)

    @property
    def failed_connects(self) -> int:
        """Return how many sends found no connection, or a back-off."""
        return self._count(SendState.NOT_CONNECTED)

    @property
    def may_write(self) -> bool:
        """Return whether the request may be written to a server."""
        if self._has_ended:
            return False
        return self._is_repeatable or not self.may_have_run

    @property
    def may_send(self) -> bool:
        """Return whether another send may begin."""
        return self.may_write and not self._count(SendState.CONNECTING)

    def open_send(self, server_id: str) -> Send:
        """Return a new send, of which nothing is written yet."""
        send = Send(self, self._clock, server_id)
        self._sends.append(send)
        return send

    def end(self) -> None:
        """Record that the request has ended; nothing is written any more."""
        self._has_ended = True
        for send in self._sends:
            send.withdraw()

    def permits_status(self, status: int) -> bool:
        """Return whether a response with this status tells the truth.

        Only requests that run at most once must have a proof; callers repeat
        the others after any failure.
        """
        if self._is_repeatable or status not in NOT_RUN_STATUSES:
            return True
        return not self.may_have_run

    def truthful_code(self, code: result_code.ResultCode) -> _Code:
        """Return the code, or the one that says what is known instead."""
        if self.may_have_run:
            is_promise = code.http_status in NOT_RUN_STATUSES
            is_false = is_promise or code.is_certified_not_run
            return _Code.OUTCOME_UNKNOWN if is_false else code
        if code is _Code.DEADLINE_EXCEEDED:
            return _Code.DEADLINE_UNREACHABLE
        return code

    def rows(self, since_ms: int) -> list[list[object]]:
        """Return the rows of all sends, with times after `since_ms`."""
        return [send.row(since_ms) for send in self._sends]

    def _count(self, state: SendState) -> int:
        return sum(send.state is state for send in self._sends)
