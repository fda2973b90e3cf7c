"""Messages of attempts to agents."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.dispatch import active_request
from balsamwall.protocol import messages_request

if TYPE_CHECKING:
    from balsamwall.protocol import outbox as outbox_module
    from balsamwall.timing import clock as clock_module

# Attempts are numbered from the wall time of the start, so that an entry
# that restarts goes on above the numbers of its earlier incarnation.
ATTEMPTS_PER_MS = 1_000


class AttemptSender:
    """Numbers attempts and addresses them to incarnations."""

    __slots__ = ("_clock", "_incarnations", "_next_number", "_outbox")

    def __init__(
        self, clock: clock_module.Clock, outbox: outbox_module.Outbox
    ) -> None:
        self._clock = clock
        self._outbox = outbox
        self._next_number = clock.wall_ms() * ATTEMPTS_PER_MS
        self._incarnations: dict[str, int] = {}

    def on_peer_up(self, peer: str, incarnation: int) -> None:
        """Note the incarnation that a peer has."""
        self._incarnations[peer] = incarnation

    def on_peer_down(self, peer: str) -> None:
        """Note that a peer can't be reached."""
        self._incarnations.pop(peer, None)

    def is_up(self, peer: str) -> bool:
        """Tell whether a peer can be reached."""
        return peer in self._incarnations

    def dispatch(
        self, active: active_request.ActiveRequest, peer: str, predicted: int
    ) -> None:
        """Send a new attempt; it counts as possibly run from now."""
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
        active.uncertain.add(attempt.number)
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
                deadline_left_ms=max(0, request.deadline_ms - now_ms),
                prompt_tokens=request.prompt_tokens,
                max_output_tokens=request.max_output_tokens,
                idempotency_key=request.idempotency_key,
                fingerprint=request.fingerprint,
            ),
        )

    def cancel(self, active: active_request.ActiveRequest) -> None:
        """Ask the agent to stop or to certify the current attempt."""
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
        """Ask for the rest of the answer of the current attempt."""
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
        """Acknowledge what was passed to the caller."""
        attempt = active.attempt
        if attempt is not None:
            self._acknowledge(
                attempt.peer,
                active.request.request_id,
                attempt.number,
                active.answer.offset,
            )

    def acknowledge_unwanted(
        self, peer: str, item: messages_request.End
    ) -> None:
        """Acknowledge an answer that nobody waits for."""
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
