"""Follow the body of the response to one request, over all its attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.gateway import body_framing
from balsamwall.gateway import event_relay
from balsamwall.infrastructure import event_count
from balsamwall.infrastructure import event_tail

if TYPE_CHECKING:
    from balsamwall.gateway import route as route_module

# A response that has gone on for this long after its first data proves that
# its request does not crash servers when they begin the response.
PROOF_MS = 250


class ResponseBody:
    """Decide what to forward of a response and whether it is complete.

    It also tells whether the response has gone on for long enough to prove
    that its request does not crash servers.
    """

    __slots__ = (
        "_count",
        "_events",
        "_first_data_ms",
        "_is_event_stream",
        "_media_type",
        "_relay",
        "framing",
        "is_proven",
    )

    def __init__(
        self, route: route_module.Route, resumes_after: bytes | None
    ) -> None:
        # Of the last response.
        self.framing: body_framing.BodyFraming | None = None
        # Whether the current response went on after its first data.
        self.is_proven = False
        self._first_data_ms: int | None = None
        self._is_event_stream = False
        self._media_type = b""  # of the response that has begun
        self._count = event_count.EventCount()
        self._relay: event_relay.EventRelay | None = None
        self._events: event_relay.EventRelay | event_tail.EventTail | None
        self._events = event_tail.EventTail() if route.is_stream else None
        if route.is_resumable:
            self._relay = event_relay.EventRelay(resumes_after)
            self._events = self._relay

    @property
    def is_event_stream(self) -> bool:
        """Return whether the current response is a stream of events."""
        return self._is_event_stream

    @property
    def event_count(self) -> int:
        """Return how many events the current response has completed."""
        return self._count.value

    @property
    def is_resumable(self) -> bool:
        """Return whether another server can continue the response."""
        return self._relay is not None

    @property
    def last_event_id(self) -> bytes | None:
        """Return the identifier of the last event that was forwarded."""
        return self._relay.last_event_id if self._relay else None

    @property
    def first_event_id(self) -> bytes | None:
        """Return the first event that the current response brought."""
        return self._relay.first_event_id if self._relay else None

    @property
    def is_inside_event(self) -> bool:
        """Return whether the stream has stopped inside an event."""
        return self._events is not None and self._events.is_inside_event

    @property
    def has_data(self) -> bool:
        """Return whether the current response brought an event or a body."""
        if self._events is not None:
            return self._events.has_event
        return self._first_data_ms is not None

    @property
    def first_data_ms(self) -> int | None:
        """Return when the current response brought its first data."""
        return self._first_data_ms

    def on_sent(self) -> None:
        """Prepare for the response to another attempt."""
        self.is_proven = False
        self._is_event_stream = False
        self._first_data_ms = None
        self._count = event_count.EventCount()
        if self._relay is not None:
            self._relay.prepare_resume()

    def on_head(
        self, status: int, framing: body_framing.BodyFraming | None
    ) -> None:
        """Handle the head of a response."""
        self.framing = framing
        self._is_event_stream = self._events is not None and status == 200

    def begin(self, media_type: bytes) -> None:
        """Begin the response to the caller with this media type."""
        self._media_type = media_type

    def can_continue(self, status: int, media_type: bytes) -> bool:
        """Return whether a response may go on with one that has begun.

        A server may send an error with status 200 in place of a stream.
        """
        return status == 200 and media_type == self._media_type

    def feed(self, data: bytes, now_ms: int) -> bytes:
        """Add a part of the body; return what may be forwarded.

        Raises EventTooLongError if an incomplete event exceeds the limit.
        """
        if self._events is not None and self._is_event_stream:
            self._count.feed(data)
            data = self._events.feed(data)
        if data and self._first_data_ms is None:
            self._first_data_ms = now_ms
        return data

    def has_gone_on(self, now_ms: int) -> bool:
        """Return whether PROOF_MS have passed since the first data."""
        first_ms = self._first_data_ms
        return first_ms is not None and now_ms - first_ms >= PROOF_MS

    def fault(self) -> str:
        """Return why a response that has ended is incomplete, if it is.

        A server that crashes may end its chunks or its connection in the same
        way as after the last event.
        """
        if self._events is None or not self._is_event_stream:
            return ""
        if self._events.is_inside_event:
            return "the stream ended inside an event"
        is_close_delimited = self.framing is body_framing.BodyFraming.CLOSE
        if is_close_delimited and not self._events.has_data:
            return "the stream ended with its connection before any event"
        return ""
