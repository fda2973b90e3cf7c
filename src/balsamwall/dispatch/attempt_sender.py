"""Send messages about attempts from an entry to agents."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.dispatch import active_request
from balsamwall.protocol import messages_request

if TYPE_CHECKING:
    from balsamwall.protocol import outbox as outbox_module
    from balsamwall.timing import clock as clock_module

# Attempt numbers start at the wall time of the process start, so that an entry
# that restarts uses higher numbers than its earlier incarnation.
ATTEMPTS_PER_MS = 1_000


class AttemptSender:
    """Number attempts and send them to incarnations of agents."""

    __slots__ = ("_clock", "_incarnations", "_next_number", "_outbox")

    def __init__(
        self, clock: clock_module.Clock, outbox: outbox_module.Outbox
    ) -> None:
        self._clock = clock
        self._outbox = outbox
        self._next_number = clock.wall_ms() * ATTEMPTS_PER_MS
        self._incarnations: dict[str, int] = {}

    def on_peer_up(self, peer: str, incarnation: int) -> None:
        """Record the incarnation of a connected peer."""
        self._incarnations[peer] = incarnation

    def on_peer_down(self, peer: str) -> None:
        """Record that a peer is disconnected."""
        self._incarnations.pop(peer, None)

    def is_up(self, peer: str) -> bool:
        """Return whether a peer is connected."""
        return peer in self._incarnations

    def dispatch(
        self, active: active_request.ActiveRequest, peer: str, predicted: int
    ) -> None:
        """Send a new attempt, which counts as possibly run from here on.

        `predicted` is the predicted time to first token in milliseconds.
        Raise KeyError if the peer is not connected.
        """
        request = active.request
        now_ms = self._clock.now_ms()
        self._next_number += 1
        attempt = active_request.Attempt(
            self._next_number,
            peer,
            self._incarnations[peer],
            predicted,
            now_ms,
        )
        active.attempt = attempt
        active.attempts += 1
        active.uncertified_attempts.add(attempt.number)
        self._outbox.send(
            peer,
            messages_request.Dispatch(
                request_id=request.request_id,
                attempt=attempt.number,
                incarnation=attempt.incarnation,
                tenant=request.tenant,
                workspace=request.workspace,
                kind=request.kind,
                target=request.target,
                path=request.path,
                headers=request.headers,
                body=request.body,
                is_urgent=request.is_urgent,
                is_repeatable=request.is_repeatable,
                is_streamed=request.is_streamed,
                remaining_ms=max(0, request.deadline_ms - now_ms),
                prompt_tokens=request.prompt_tokens,
                max_output_tokens=request.max_output_tokens,
                idempotency_key=request.idempotency_key,
                fingerprint=request.fingerprint,
            ),
        )

    def cancel(self, active: active_request.ActiveRequest) -> None:
        """Request the agent to cancel the current attempt.

        The agent answers whether the attempt has run.
        """
        attempt = active.attempt
        if attempt is not None:
            self._outbox.send(
                attempt.peer,
                messages_request.Cancel(
                    request_id=active.request.request_id,
                    attempt=attempt.number,
                    incarnation=attempt.incarnation,
                ),
            )

    def reattach(self, active: active_request.ActiveRequest) -> None:
        """Request the rest of the answer of the current attempt."""
        attempt = active.attempt
        if attempt is not None:
            self._outbox.send(
                attempt.peer,
                messages_request.Reattach(
                    request_id=active.request.request_id,
                    attempt=attempt.number,
                    incarnation=attempt.incarnation,
                    offset=active.answer.offset,
                ),
            )

    def acknowledge(self, active: active_request.ActiveRequest) -> None:
        """Acknowledge the bytes that were passed to the caller."""
        attempt = active.attempt
        if attempt is not None:
            self._acknowledge(
                attempt.peer,
                active.request.request_id,
                attempt.number,
                active.answer.offset,
            )

    def acknowledge_unclaimed(
        self, peer: str, item: messages_request.End
    ) -> None:
        """Acknowledge an answer without a current request."""
        self._acknowledge(
            peer, item.request_id, item.attempt, item.total_bytes
        )

    def _acknowledge(
        self, peer: str, request_id: str, attempt: int, offset: int
    ) -> None:
        self._outbox.send(
            peer,
            messages_request.Ack(
                request_id=request_id, attempt=attempt, offset=offset
            ),
        )
