"""HTTP server with fault injection, shared by all stand-ins."""

from __future__ import annotations

import collections
import json
from typing import Any
from typing import TYPE_CHECKING
import urllib.parse

from twisted.internet import error
from twisted.web import http
from twisted.web import resource
from twisted.web import server

from balsamwall.timing import reactor_clock
from balsamwall_standins import faults

if TYPE_CHECKING:
    from collections.abc import Callable

    Handler = Callable[["Call"], None]


LISTEN_BACKLOG = 512


class Channel(http.HTTPChannel):  # type: ignore[misc]
    """Connection that can stop sending and receiving but stay open."""

    is_silent = False

    def connectionMade(self) -> None:
        """Register the connection."""
        self.site.channels.add(self)
        super().connectionMade()

    def connectionLost(self, reason: Any) -> None:
        """Unregister the connection."""
        self.site.channels.discard(self)
        super().connectionLost(reason)

    def dataReceived(self, data: bytes) -> None:
        """Discard data received on a silent connection."""
        if not self.is_silent:
            super().dataReceived(data)

    def write(self, data: bytes) -> None:
        """Discard data sent on a silent connection."""
        if not self.is_silent:
            super().write(data)

    def writeSequence(self, data: list[bytes]) -> None:
        """Discard data sent on a silent connection."""
        if not self.is_silent:
            super().writeSequence(data)

    def abort(self) -> None:
        """Close the connection without sending buffered data."""
        if self.transport is not None:
            self.transport.abortConnection()

    def loseConnection(self) -> None:
        """Close the connection unless it is silent."""
        if not self.is_silent:
            super().loseConnection()


class Call:
    """HTTP request and its response."""

    __slots__ = (
        "_close_callbacks",
        "_is_response_lost",
        "_request",
        "body",
        "is_open",
    )

    def __init__(self, request: Any, is_response_lost: bool) -> None:
        self._request = request
        self._is_response_lost = is_response_lost
        self._close_callbacks: list[Callable[[], None]] = []
        self.body: bytes = request.content.read()
        self.is_open = True
        request.notifyFinish().addBoth(self._on_finished)

    @property
    def method(self) -> str:
        """Return the HTTP method."""
        return str(self._request.method.decode("ascii"))

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return str(self._request.path.decode("utf-8", "replace"))

    @property
    def last_segment(self) -> str:
        """Return the last segment of the path, unquoted."""
        return urllib.parse.unquote(self.path.rsplit("/", 1)[-1])

    def header(self, name: str) -> str:
        """Return a request header, empty if it is absent."""
        return str(self._request.getHeader(name) or "")

    def query_int(self, name: str, default: int) -> int:
        """Return a query argument; default if absent or not an integer."""
        values = self._request.args.get(name.encode("ascii"))
        try:
            return int(values[0]) if values else default
        except ValueError:
            return default

    def json(self) -> dict[str, Any]:
        """Parse the body; raise ValueError unless it is a JSON object."""
        found = json.loads(self.body or b"{}")
        if not isinstance(found, dict):
            raise ValueError("the body is not a JSON object")
        return found

    def add_close_callback(self, function: Callable[[], None]) -> None:
        """Call a function once the response ends or the client disconnects."""
        if self.is_open:
            self._close_callbacks.append(function)
        else:
            function()

    def reply(
        self, status: int, value: object, headers: dict[str, str] | None = None
    ) -> None:
        """Send a complete JSON response."""
        body = json.dumps(value, separators=(",", ":")).encode()
        if not self.is_open:
            return
        if self._is_response_lost:
            self.abort()
            return
        self._set_headers(status, "application/json", headers)
        self._request.setHeader("content-length", str(len(body)))
        self._request.write(body)
        self._request.finish()

    def start_stream(
        self, status: int, kind: str, headers: dict[str, str] | None = None
    ) -> None:
        """Send the status and headers of a response written in parts."""
        if not self.is_open:
            return
        if self._is_response_lost:
            self.abort()
            return
        self._set_headers(status, kind, headers)
        self._request.write(b"")

    def write(self, data: bytes) -> None:
        """Send a part of a streamed response."""
        if self.is_open and data:
            self._request.write(data)

    def finish(self) -> None:
        """End a streamed response."""
        if self.is_open:
            self._request.finish()

    def abort(self) -> None:
        """Close the connection without completing the response."""
        if self.is_open:
            self._request.channel.abort()

    def _set_headers(
        self, status: int, kind: str, headers: dict[str, str] | None
    ) -> None:
        self._request.setResponseCode(status)
        self._request.setHeader("content-type", kind)
        for name, value in (headers or {}).items():
            self._request.setHeader(name, value)

    def _on_finished(self, _: object) -> None:
        self.is_open = False
        callbacks, self._close_callbacks = self._close_callbacks, []
        for function in callbacks:
            function()


class _Root(resource.Resource):  # type: ignore[misc]
    isLeaf = True

    def __init__(self, owner: HttpStandin) -> None:
        super().__init__()
        self._owner = owner

    def render(self, request: Any) -> int:
        self._owner.receive(request)
        return int(server.NOT_DONE_YET)


class HttpStandin:
    """Base class of the stand-ins: routing, faults and call counts."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._port: Any = None
        self._port_number = 0
        self._interface = "127.0.0.1"
        self._is_stopped = False
        self._down_until_ms = 0
        self._routes: list[tuple[str, str, Handler]] = []
        self._executions: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.clock = reactor_clock.ReactorClock(reactor)
        self.faults = faults.Faults()
        self.call_counts: collections.Counter[str] = collections.Counter()
        self.site = server.Site(_Root(self))
        self.site.protocol = Channel
        self.site.timeOut = None
        self.site.channels = set()
        self.add_route("POST", "/standin/faults", self._on_faults)
        self.add_route("GET", "/standin/executions", self._on_executions)

    @property
    def port(self) -> int:
        """Return the last port listened on, 0 before the first."""
        return self._port_number

    def listen(self, port: int = 0, interface: str = "127.0.0.1") -> int:
        """Start listening and return the port."""
        self._interface = interface
        self._port = self._reactor.listenTCP(
            port, self.site, backlog=LISTEN_BACKLOG, interface=interface
        )
        self._port_number = int(self._port.getHost().port)
        return self._port_number

    def stop(self) -> None:
        """Close the port and abort all connections."""
        self._is_stopped = True
        self._close()

    def go_down(self, duration_ms: int) -> None:
        """Abort all connections and refuse new ones for a duration."""
        self._close()
        until_ms = self.clock.now_ms() + duration_ms
        self._down_until_ms = max(self._down_until_ms, until_ms)
        self.clock.call_later(duration_ms, self._listen_again)

    def silence_open_connections(self) -> None:
        """Make the open connections silent until they are closed."""
        for channel in self.site.channels:
            channel.is_silent = True

    def set_faults(self, values: dict[str, Any]) -> None:
        """Set faults and trigger one-time actions; raise ValueError."""
        values = dict(values)
        down_ms = int(values.pop("down_ms", 0))
        is_silencing = bool(values.pop("silence_open", False))
        if values.pop("clear", False):
            self.faults = faults.Faults()
        self._apply_specific_faults(values)
        self.faults.update(values)
        # The delay lets the response to this call be sent first.
        if is_silencing:
            self.clock.call_later(5, self.silence_open_connections)
        if down_ms:
            self.clock.call_later(5, self.go_down, down_ms)

    def count_execution(self, request_id: str, key: str) -> None:
        """Count one execution of a request."""
        self._executions[(request_id, key)] += 1

    def executions(self) -> list[dict[str, object]]:
        """Return how many times each request was executed."""
        return [
            {"request_id": request_id, "idempotency_key": key, "times": times}
            for (request_id, key), times in self._executions.items()
        ]

    def add_route(self, method: str, prefix: str, handler: Handler) -> None:
        """Add a handler; the first route with a matching prefix is used."""
        self._routes.append((method, prefix, handler))

    def receive(self, request: Any) -> None:
        """Apply the faults to a request and dispatch it to its handler."""
        path = request.path.decode("utf-8", "replace")
        if path.startswith("/standin/"):
            self._dispatch(Call(request, False))
            return
        active = self.faults
        if not active.applies_to(path):
            self._dispatch(Call(request, False))
            return
        if active.are_new_connections_silent:
            request.channel.is_silent = True
            return
        if active.take_request_loss():
            request.channel.abort()
            return
        call = Call(request, active.take_response_loss())
        if active.draw(active.error_rate):
            call.reply(active.error_status, {"error": "injected fault"})
        elif active.delay_ms:
            self.clock.call_later(active.delay_ms, self._dispatch, call)
        else:
            self._dispatch(call)

    def _apply_specific_faults(self, values: dict[str, Any]) -> None:
        """Pop and apply the faults that only a subclass knows."""

    def _dispatch(self, call: Call) -> None:
        for method, prefix, handler in self._routes:
            if method == call.method and call.path.startswith(prefix):
                try:
                    handler(call)
                except (KeyError, TypeError, ValueError) as exception:
                    call.reply(400, {"error": repr(exception)})
                return
        call.reply(404, {"error": "unknown path"}, {"x-not-run": "1"})

    def _on_faults(self, call: Call) -> None:
        self.set_faults(call.json())
        call.reply(200, {})

    def _on_executions(self, call: Call) -> None:
        call.reply(200, {"executions": self.executions()})

    def _close(self) -> None:
        if self._port is not None:
            self._port.stopListening()
            self._port = None
        for channel in list(self.site.channels):
            channel.abort()

    def _listen_again(self) -> None:
        if self._port is not None or self._is_stopped:
            return
        if self.clock.now_ms() < self._down_until_ms:
            remaining_ms = self._down_until_ms - self.clock.now_ms()
            self.clock.call_later(remaining_ms, self._listen_again)
            return
        try:
            self.listen(self._port_number, self._interface)
        except error.CannotListenError:
            self.clock.call_later(100, self._listen_again)
