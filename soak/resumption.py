"""Streams that callers resume after their connection broke."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from soak import ledger as ledger_module
from soak import stream_events

if TYPE_CHECKING:
    import random

# Share of the streams whose caller breaks the connection itself.
CUT_SHARE = 0.25
MIN_CUT_S = 0.1
MAX_CUT_S = 0.8
# Share of the broken streams that two callers resume at the same time.
DOUBLE_SHARE = 0.1
MIN_DELAY_S = 0.05
MAX_DELAY_S = 0.6
MAX_RETRY_AFTER_S = 1.0
MAX_TRIES = 5
# Statuses after which a caller tries again; 0 if there was no response.
RETRIED_STATUSES = (0, 200, 408, 429, 502, 503, 504)


@dataclasses.dataclass(slots=True, frozen=True)
class BrokenStream:
    """Stream to be resumed, with the last attempt that brought events."""

    last: ledger_module.Request
    next_event: int
    due_ms: int
    tries: int

    @property
    def resumes(self) -> str:
        """Return the id of the attempt that brought the first event."""
        return self.last.resumes or self.last.request_id


class Resumptions:
    """Broken streams of callers that use the same keys.

    Load pattern: some entries at most; each is looked at once a request.
    """

    __slots__ = ("_broken", "_random", "_requests")

    def __init__(
        self, ledger: ledger_module.Ledger, random_source: random.Random
    ) -> None:
        self._requests = ledger.requests
        self._random = random_source
        self._broken: list[BrokenStream] = []

    def cut_delay_s(self, request: ledger_module.Request) -> float | None:
        """Return when the caller breaks the connection, if it does."""
        if request.kind is not ledger_module.Kind.RESUMABLE_STREAM:
            return None
        if self._random.random() >= CUT_SHARE:
            return None
        return self._random.uniform(MIN_CUT_S, MAX_CUT_S)

    def on_finished(self, request: ledger_module.Request) -> None:
        """Keep the stream of a request that has ended, if it is broken."""
        broken = self._broken_stream(request)
        if broken is None:
            return
        self._broken.append(broken)
        if not broken.tries and self._random.random() < DOUBLE_SHARE:
            self._broken.append(broken)

    def _broken_stream(
        self, request: ledger_module.Request
    ) -> BrokenStream | None:
        response = request.response
        is_resumable = request.kind is ledger_module.Kind.RESUMABLE_STREAM
        if not is_resumable or request.is_poison or response is None:
            return None
        if response.is_complete and response.status == 200:
            return None
        if response.status not in RETRIED_STATUSES:
            return None
        events = stream_events.of_request(request)
        if events.writers:
            last, tries = request, 0
        elif request.resumes:
            last, tries = self._requests[request.follows], request.tries + 1
        else:
            return None
        if events.next > request.events or tries >= MAX_TRIES:
            return None
        return BrokenStream(
            last,
            events.next,
            ledger_module.now_ms() + self._delay_ms(response),
            tries,
        )

    def _delay_ms(self, response: ledger_module.Response) -> int:
        delay_s = self._random.uniform(MIN_DELAY_S, MAX_DELAY_S)
        retry_after_s = min(response.retry_after_s, MAX_RETRY_AFTER_S)
        return int(max(delay_s, retry_after_s) * 1_000)

    def take(self) -> BrokenStream | None:
        """Remove and return a stream that is due."""
        now_ms = ledger_module.now_ms()
        for position, broken in enumerate(self._broken):
            if broken.due_ms <= now_ms:
                return self._broken.pop(position)
        return None
