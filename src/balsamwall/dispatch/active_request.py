"""State of one request at its entry."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from balsamwall.dispatch import answer_assembler

if TYPE_CHECKING:
    from balsamwall.dispatch import caller_request
    from balsamwall.timing import clock as clock_module


class State(enum.Enum):
    """Progress of a request at its entry."""

    QUEUED = "queued"  # waits for a place of its workspace
    PARKED = "parked"  # waits for a replica, a home or the retry budget
    DISPATCHED = "dispatched"
    CANCELLING = "cancelling"  # waits for a certificate
    ACCEPTED = "accepted"
    LOST = "lost"  # the agent can't be reached
    FINISHED = "finished"


class Attempt:
    """One dispatch of a request to one incarnation of an agent."""

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
    """Request with its current attempt and what is certified so far."""

    __slots__ = (
        "answer",
        "attempt",
        "attempts",
        "deadline_timer",
        "excluded",
        "gap_asked_ms",
        "has_slot",
        "is_cancel_answered",
        "listener",
        "parked_ms",
        "progress_ms",
        "request",
        "state",
        "step_timer",
        "uncertain",
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
        self.excluded: set[str] = set()
        self.has_slot = False
        self.is_cancel_answered = False
        self.parked_ms: int | None = None
        self.progress_ms = 0
        self.gap_asked_ms: int | None = None
        # Attempts that are not certified as not run.
        self.uncertain: set[int] = set()
        self.deadline_timer: clock_module.Timer | None = None
        self.step_timer: clock_module.Timer | None = None

    @property
    def has_output(self) -> bool:
        """Tell whether a part of the answer was passed to the caller."""
        return self.answer.offset > 0

    @property
    def may_run_again(self) -> bool:
        """Tell whether another attempt keeps the answer and R5 intact."""
        if self.has_output:
            return False
        return self.request.is_repeatable or not self.uncertain

    @property
    def needs_home(self) -> bool:
        """Tell whether only the home of its key may run the request."""
        return (
            self.request.kind == "service" and not self.request.is_repeatable
        )

    def stop_timers(self) -> None:
        """Cancel all timers."""
        for timer in (self.deadline_timer, self.step_timer):
            if timer is not None:
                timer.cancel()
        self.deadline_timer = self.step_timer = None
