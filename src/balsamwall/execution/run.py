"""Hold the state of an attempt that an agent has received."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from balsamwall.execution import stream_buffer

if TYPE_CHECKING:
    from balsamwall.protocol import messages_request
    from balsamwall.timing import clock as clock_module

AttemptKey = tuple[str, str, int]  # entry, request identifier, attempt


class RunState(enum.Enum):
    """List the stages of an attempt at the agent."""

    WAITING = "waiting"
    ATTACHED = "attached"  # to another attempt that runs the same key
    RUNNING = "running"
    ENDED = "ended"  # answer is complete but not yet acknowledged


class Run:
    """Hold one attempt; `generation` counts readings of its stream."""

    __slots__ = (
        "buffer",
        "charged_bytes",
        "deadline_ms",
        "dispatch",
        "end",
        "enqueued_ms",
        "generation",
        "is_attached",
        "key",
        "resumes",
        "state",
        "timer",
    )

    def __init__(
        self, peer: str, dispatch: messages_request.Dispatch, now_ms: int
    ) -> None:
        self.key: AttemptKey = (peer, dispatch.request_id, dispatch.attempt)
        self.dispatch = dispatch
        self.state = RunState.WAITING
        self.enqueued_ms = now_ms
        self.deadline_ms = now_ms + dispatch.remaining_ms
        self.buffer = stream_buffer.StreamBuffer(
            is_copy_kept=bool(dispatch.idempotency_key)
        )
        self.end: messages_request.End | None = None
        self.is_attached = True
        self.charged_bytes = 0
        # Events of an earlier generation don't change the answer.
        self.generation = 0
        self.resumes = 0
        self.timer: clock_module.Timer | None = None

    @property
    def peer(self) -> str:
        """Return the entry that dispatched the attempt."""
        return self.key[0]

    @property
    def backend_id(self) -> str:
        """Return the request identifier used at the backend server.

        It includes the attempt number, so that two attempts of one request
        at the same backend server stay distinct.
        """
        # The identifier becomes one segment of a URL path at the engine, and
        # servers differ in how they decode an escaped "/" there.
        return f"{self.dispatch.request_id}.{self.dispatch.attempt}"

    @property
    def tokens(self) -> int:
        """Return the maximum number of tokens in the KV cache."""
        return self.dispatch.prompt_tokens + self.dispatch.max_output_tokens

    def stop_timer(self) -> None:
        """Cancel the deadline or retention timer, if any."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
