"""Hold the state of one request in progress at its entry."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from balsamwall.dispatch import answer_assembler

if TYPE_CHECKING:
    from balsamwall.dispatch import caller_request
    from balsamwall.timing import clock as clock_module


class State(enum.Enum):
    """List the stages of a request at its entry."""

    QUEUED = "queued"  # waits for a concurrency slot of its workspace
    PARKED = "parked"  # waits for a replica, a home or the retry delay
    DISPATCHED = "dispatched"
    CANCELLING = "cancelling"  # waits for the agent to certify whether it ran
    ACCEPTED = "accepted"
    LOST = "lost"  # waits for the agent to return or for the retry budget
    FINISHED = "finished"


class Attempt:
    """Describe a dispatch of a request to one incarnation of an agent."""

    __slots__ = (
        "incarnation",
        "number",
        "peer",
        "predicted_ms",
        "sent_ms",
    )

    def __init__(
        self,
        number: int,
        peer: str,
        incarnation: int,
        predicted_ms: int,
        sent_ms: int,
    ) -> None:
        self.number = number
        self.peer = peer
        self.incarnation = incarnation
        self.predicted_ms = predicted_ms
        self.sent_ms = sent_ms


class ActiveRequest:
    """Hold a request with its current attempt and its uncertified attempts."""

    __slots__ = (
        "answer",
        "attempt",
        "attempts",
        "deadline_timer",
        "excluded",
        "gap_requested_ms",
        "has_slot",
        "is_cancel_answered",
        "listener",
        "parked_ms",
        "progress_ms",
        "request",
        "state",
        "step_timer",
        "uncertified_attempts",
    )

    def __init__(
        self,
        request: caller_request.CallerRequest,
        listener: caller_request.AnswerListener,
    ) -> None:
        self.request = request
        self.listener = listener
        self.state = State.QUEUED
        self.answer = answer_assembler.AnswerAssembler()
        self.attempt: Attempt | None = None
        self.attempts = 0
        # Agents that the next attempt avoids, because an earlier one ended
        # there.
        self.excluded: set[str] = set()
        self.has_slot = False
        self.is_cancel_answered = False
        self.parked_ms: int | None = None
        self.progress_ms = 0
        self.gap_requested_ms: int | None = None
        # Numbers of the attempts that no agent has certified as not run.
        self.uncertified_attempts: set[int] = set()
        self.deadline_timer: clock_module.Timer | None = None
        self.step_timer: clock_module.Timer | None = None

    @property
    def has_output(self) -> bool:
        """Return whether the caller has received a part of the answer."""
        return self.answer.offset > 0

    @property
    def is_retryable(self) -> bool:
        """Return whether another attempt is safe.

        It is not if the caller has received output, since an answer must come
        from one run, or if a non-repeatable request may have run.
        """
        if self.has_output:
            return False
        return self.request.is_repeatable or not self.uncertified_attempts

    @property
    def needs_home(self) -> bool:
        """Return whether only the home of its key may run the request."""
        return (
            self.request.kind == "service" and not self.request.is_repeatable
        )

    def stop_timers(self) -> None:
        """Cancel the deadline timer and the step timer."""
        for timer in (self.deadline_timer, self.step_timer):
            if timer is not None:
                timer.cancel()
        self.deadline_timer = self.step_timer = None
