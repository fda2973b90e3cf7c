"""Route requests to handlers, and drain the process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.gateway import authentication
from balsamwall.gateway import gateway_configuration
from balsamwall.gateway import held_bodies
from balsamwall.gateway import refusal
from balsamwall.gateway import request_handler
from balsamwall.gateway import stream_resumption
from balsamwall.gateway import unsent_bytes
from balsamwall.gateway import wait_policy
from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from balsamwall.gateway import caller_connection
    from balsamwall.gateway import caller_exchange
    from balsamwall.gateway import configuration_holder
    from balsamwall.gateway import incoming_request
    from balsamwall.gateway import request_dependencies
    from balsamwall.gateway import route as route_module
    from balsamwall.gateway import workspace as workspace_module
    from balsamwall.timing import clock as clock_module

_Code = result_code.ResultCode
# Streams requested later than this in a drain, on open connections, are
# refused as not run, since the exit of the process would cut off a long one.
STREAM_CUTOFF_MS = 2_700
# The platform stops sending new callers after two failed probes, one a second.
MIN_DRAIN_MS = 2_500
DRAIN_POLL_MS = 50
# Time to flush the last responses before the process exits.
FLUSH_DELAY_MS = 150
# The drain ends this long before the platform kills the process.
KILL_MARGIN_MS = 500
_LEAVING_DETAIL = "this entry is shutting down"


class Gateway:
    """Own the callers' connections and the handlers of their requests."""

    __slots__ = (
        "_arrivals",
        "_configuration",
        "_connections",
        "_drain_ms",
        "_drain_since_ms",
        "_on_drained",
        "_dependencies",
        "_random",
        "_handlers",
        "bodies",
        "unsent",
    )

    def __init__(
        self,
        dependencies: request_dependencies.RequestDependencies,
        configuration: configuration_holder.ConfigurationHolder,
        random_source: random.Random,
    ) -> None:
        self._dependencies = dependencies
        self._configuration = configuration
        self.unsent = unsent_bytes.UnsentBytes(dependencies.log)
        self.bodies = held_bodies.HeldBodies(
            dependencies.clock, dependencies.log
        )
        dependencies.metrics.watch_bodies(lambda: self.bodies.total)
        self._random = random_source
        self._handlers: set[request_handler.RequestHandler] = set()
        self._connections: set[caller_connection.CallerConnection] = set()
        self._arrivals: dict[str, list[int]] = {}
        self._drain_since_ms: int | None = None
        self._drain_ms = 0
        self._on_drained: Callable[[], None] | None = None
        dependencies.suspects.set_quarantine_listener(self._on_quarantined)

    @property
    def clock(self) -> clock_module.Clock:
        """Return the clock."""
        return self._dependencies.clock

    @property
    def limits(self) -> gateway_configuration.CallerLimits:
        """Return the active limits, the defaults without a configuration."""
        current = self._configuration.current
        if current is None:
            return gateway_configuration.CallerLimits()
        return current.limits

    @property
    def is_closing(self) -> bool:
        """Return whether connections close after their current response."""
        return self._drain_since_ms is not None

    @property
    def is_ready(self) -> bool:
        """Return whether the readiness probe should succeed."""
        return self._configuration.current is not None and not self.is_closing

    @property
    def active_requests(self) -> int:
        """Return the number of requests in progress."""
        return len(self._handlers)

    def count_running(self) -> list[list[object]]:
        """Return rows of server, model, adapter and count of open requests."""
        counts: dict[tuple[str, str, str], int] = {}
        for handler in self._handlers:
            server_id = handler.server_id
            if server_id and handler.request.model:
                key = (
                    server_id,
                    handler.request.model,
                    handler.request.adapter,
                )
                counts[key] = counts.get(key, 0) + 1
        return [[*key, count] for key, count in counts.items()]

    def count_queued(self) -> dict[str, int]:
        """Return the number of requests that wait for room.

        It is by model, or by service for requests without a model.
        """
        counts: dict[str, int] = {}
        for target, count in self._dependencies.room.counts().items():
            service, model, _ = target
            name = model or service
            counts[name] = counts.get(name, 0) + count
        return counts

    def take_arrivals(self) -> dict[str, list[int]]:
        """Return [requests, prompt tokens] by model since the last call."""
        arrivals, self._arrivals = self._arrivals, {}
        return arrivals

    def on_opened(
        self, connection: caller_connection.CallerConnection
    ) -> None:
        """Register a connection."""
        self._connections.add(connection)

    def on_closed(
        self, connection: caller_connection.CallerConnection
    ) -> None:
        """Unregister a connection."""
        self._connections.discard(connection)

    def on_rejected(self, status: int, reason: str) -> None:
        """Log a request that was rejected as malformed or too large."""
        self._dependencies.log.write(
            "request_rejected", status=status, reason=reason
        )

    def body_wait_ms(self, head: caller_exchange.RequestHead) -> int:
        """Return how long after its arrival a request may still be read.

        Half of the caller's timeout is left to serve it, or for a retry at
        another entry. A request that will be refused does not wait.
        """
        request = self._dependencies.codec.decode(head)
        try:
            route = self._find_route(request, head.path)
        except refusal.RefusalError:
            return 0
        timeout_ms = route.caller_timeout_ms
        if request.deadline_ms is not None:
            timeout_ms = min(timeout_ms, request.deadline_ms)
        return wait_policy.half_timeout_ms(timeout_ms)

    def on_request(self, exchange: caller_exchange.CallerExchange) -> None:
        """Route a complete request and start its handler, or refuse it."""
        request = self._dependencies.codec.decode(exchange.head)
        try:
            route = self._find_route(request, exchange.head.path)
            workspace = self._authenticate(request, route)
        except refusal.RefusalError as error:
            self._refuse(exchange, request, error.code, str(error))
            return
        if self._may_outlive_process(route):
            self._refuse(
                exchange,
                request,
                _Code.LEAVING,
                _LEAVING_DETAIL,
                workspace,
            )
            return
        self._start(exchange, request, route, workspace)

    def _find_route(
        self, request: incoming_request.IncomingRequest, path: str
    ) -> route_module.Route:
        """Return the route of a request; raise RefusalError without one."""
        if not request.attempt_id:
            raise refusal.RefusalError(
                _Code.MALFORMED_REQUEST, "the request has no identifier"
            )
        route = self._configuration.require().find_route(request.host, path)
        if route is None:
            raise refusal.RefusalError(
                _Code.UNKNOWN_PATH, "no route matches the host and path"
            )
        return authentication.closed_route(route, path)

    def _authenticate(
        self,
        request: incoming_request.IncomingRequest,
        route: route_module.Route,
    ) -> workspace_module.Workspace | None:
        """Return the workspace of a request; count one that is refused."""
        try:
            return self._dependencies.authenticator.authenticate(
                request, route
            )
        except refusal.RefusalError as error:
            self._dependencies.metrics.workspaces.count_unauthenticated(
                error.code
            )
            raise

    def _start(
        self,
        exchange: caller_exchange.CallerExchange,
        request: incoming_request.IncomingRequest,
        route: route_module.Route,
        workspace: workspace_module.Workspace | None,
    ) -> None:
        """Start the handler of a request, unless it is quarantined."""
        service = self._pick_service(request, route)
        self._dependencies.retry_budget_for(service).on_request()
        handler = request_handler.RequestHandler(
            self._dependencies,
            exchange,
            request,
            route,
            service,
            self._handlers.discard,
            workspace,
        )
        if handler.refuse_quarantined():
            # A quarantined request does not count as demand for its model.
            return
        self._handlers.add(handler)
        if request.model:
            counts = self._arrivals.setdefault(request.model, [0, 0])
            counts[0] += 1
            counts[1] += request.prompt_tokens
        handler.start()

    def on_configuration(self) -> None:
        """End the unsent requests whose key is not in force any more."""
        for handler in list(self._handlers):
            handler.refuse_unauthenticated()

    def _on_quarantined(self) -> None:
        """End the open requests that must not reach servers any more."""
        for handler in list(self._handlers):
            handler.refuse_quarantined()

    def _refuse(
        self,
        exchange: caller_exchange.CallerExchange,
        request: incoming_request.IncomingRequest,
        code: _Code,
        detail: str,
        workspace: workspace_module.Workspace | None = None,
    ) -> None:
        self._dependencies.log.write(
            "request_refused",
            request=request.attempt_id.decode("latin-1"),
            host=request.host,
            path=exchange.head.path,
            workspace=workspace.name if workspace else None,
            code=code.name,
            detail=detail,
        )
        refusal.write(exchange, code, detail)

    def _pick_service(
        self,
        request: incoming_request.IncomingRequest,
        route: route_module.Route,
    ) -> str:
        destinations = stream_resumption.destinations(
            self._dependencies, request, route
        )
        if len(destinations) == 1:
            return destinations[0].service
        weights = [destination.weight for destination in destinations]
        chosen = self._random.choices(destinations, weights)[0]
        return chosen.service

    # Drain

    def begin_drain(
        self, grace_ms: int, on_drained: Callable[[], None]
    ) -> None:
        """Finish the open requests and close all connections.

        Calls on_drained once, before grace_ms have passed. Later calls of this
        method have no effect.
        """
        if self._drain_since_ms is not None:
            return
        self._drain_since_ms = self.clock.now_ms()
        self._drain_ms = grace_ms - KILL_MARGIN_MS
        self._on_drained = on_drained
        self._poll_drain()

    def _may_outlive_process(self, route: route_module.Route) -> bool:
        """Return whether the process may exit before the response ends."""
        if self._drain_since_ms is None:
            return False
        since_ms = self.clock.now_ms() - self._drain_since_ms
        if route.is_stream:
            return since_ms > STREAM_CUTOFF_MS
        return since_ms + route.timeout_ms > self._drain_ms

    def _poll_drain(self) -> None:
        assert self._drain_since_ms is not None
        since_ms = self.clock.now_ms() - self._drain_since_ms
        if since_ms >= MIN_DRAIN_MS:
            for connection in list(self._connections):
                connection.close_if_idle()
            if not self._handlers and not self._connections:
                self._finish_drain()
                return
        if since_ms >= STREAM_CUTOFF_MS:
            # The callers still have time to retry at another entry.
            for handler in list(self._handlers):
                handler.refuse_unsent(_Code.LEAVING, _LEAVING_DETAIL)
        if since_ms >= self._drain_ms:
            for handler in list(self._handlers):
                handler.terminate()
            self.clock.call_later(FLUSH_DELAY_MS, self._finish_drain)
            return
        self.clock.call_later(DRAIN_POLL_MS, self._poll_drain)

    def _finish_drain(self) -> None:
        on_drained, self._on_drained = self._on_drained, None
        if on_drained is not None:
            on_drained()
