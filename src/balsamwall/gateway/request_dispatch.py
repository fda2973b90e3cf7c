"""Find the server for one request, or queue the request until there is one."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

from balsamwall.gateway import admission
from balsamwall.gateway import assignment_client
from balsamwall.gateway import crash_suspects
from balsamwall.gateway import refusal
from balsamwall.gateway import request_priority
from balsamwall.gateway import request_wait
from balsamwall.gateway import retry_policy
from balsamwall.gateway import server_choice
from balsamwall.gateway import wait_policy
from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.gateway import backend_directory
    from balsamwall.gateway import incoming_request
    from balsamwall.gateway import request_content
    from balsamwall.gateway import request_dependencies
    from balsamwall.gateway import route as route_module
    from balsamwall.gateway import stream_resumption
    from balsamwall.gateway import workspace as workspace_module
    from balsamwall.timing import clock as clock_module

_Code = result_code.ResultCode
_NoServerReason = server_choice.NoServerReason
# Delay before the next attempt after a server refused one, so that a full
# server can finish a request.
RETRY_PAUSE_MS = 15


class DispatchedRequest(Protocol):
    """Represent the request that a dispatch finds a server for."""

    request: incoming_request.IncomingRequest
    route: route_module.Route
    workspace: workspace_module.Workspace | None
    content: request_content.RequestContent
    resumption: stream_resumption.StreamResumption

    @property
    def arrived_ms(self) -> int:
        """Return when the first byte of the request was read."""

    @property
    def left_ms(self) -> int:
        """Return the time left until the deadline of the response."""

    @property
    def is_finished(self) -> bool:
        """Return whether the request has ended in any way."""

    @property
    def has_begun(self) -> bool:
        """Return whether a part of the response was relayed."""

    def send(self, server: backend_directory.BackendServer) -> None:
        """Send the request to a server."""

    def on_deadline(self) -> None:
        """End the request, since no response can arrive in time."""


class RequestDispatch:
    """Choose a server with room and a permit, as often as a request is sent.

    A request is sent at most once for each call of `dispatch`.
    """

    __slots__ = (
        "_dependencies",
        "_excluded",
        "_handler",
        "_is_counted",
        "_on_refused",
        "_service",
        "_timer",
        "_wait",
        "choice",
        "priority",
    )

    def __init__(
        self,
        dependencies: request_dependencies.RequestDependencies,
        handler: DispatchedRequest,
        service: str,
        on_refused: Callable[[result_code.ResultCode, str, int], None],
    ) -> None:
        self._dependencies = dependencies
        self._handler = handler
        # Fixed, since the queues are sorted by it.
        self.priority = request_priority.priority_of(
            handler.route, handler.workspace
        )
        self._service = service
        self._on_refused = on_refused
        # Servers that the request was sent to and that did not serve it.
        self._excluded: frozenset[str] = frozenset()
        self._is_counted = False
        self._timer: clock_module.Timer | None = None
        self._wait = request_wait.RequestWait(dependencies, self, on_refused)
        self.choice: server_choice.Choice | None = None

    @property
    def request(self) -> incoming_request.IncomingRequest:
        """Return the decoded request."""
        return self._handler.request

    @property
    def route(self) -> route_module.Route:
        """Return the route of the request."""
        return self._handler.route

    @property
    def arrived_ms(self) -> int:
        """Return when the first byte of the request was read."""
        return self._handler.arrived_ms

    @property
    def target(self) -> tuple[str, str, str]:
        """Return service, model and adapter."""
        return self._service, self.request.model, self.request.adapter

    @property
    def bound_version(self) -> str | None:
        """Return the software version that the server must have, if any."""
        return self._handler.resumption.bound_version

    @property
    def is_fair(self) -> bool:
        """Return whether the request is ordered fairly across workspaces."""
        return self._handler.workspace is not None

    @property
    def workspace_name(self) -> str:
        """Return the name of the workspace, empty without one."""
        workspace = self._handler.workspace
        return workspace.name if workspace else ""

    @property
    def cost(self) -> int:
        """Return prompt and output tokens, 0 if they are unknown."""
        return self.request.prompt_tokens + self.request.max_output_tokens

    @property
    def on_time_until_ms(self) -> int:
        """Return the last time for a send that meets the target."""
        target_ms = self.route.first_response_target_ms
        response_ms = self._dependencies.forecast.response_ms(self._service)
        # A target below the usual time to a response is not out of reach.
        return self.arrived_ms + max(target_ms // 2, target_ms - response_ms)

    @property
    def aged_at_ms(self) -> int:
        """Return when half of the caller's timeout has passed."""
        timeout_ms = self.route.caller_timeout_ms
        return self.arrived_ms + wait_policy.half_timeout_ms(timeout_ms)

    @property
    def waited_ms(self) -> int:
        """Return the total time that the request was queued before sending."""
        return self._wait.waited_ms

    @property
    def room_waited_ms(self) -> int:
        """Return the part of waited_ms spent waiting for room at a server."""
        return self._wait.room_waited_ms

    @property
    def _max_wait_ms(self) -> int:
        """Return the longest wait that leaves time for a response."""
        return self._handler.left_ms - retry_policy.MIN_REMAINING_MS

    @property
    def retry_after_ms(self) -> int:
        """Return when a refused request may be sent again."""
        dependencies = self._dependencies
        holders = dependencies.directory.holders(*self.target)
        backoff_ms = dependencies.backoff.until_open_ms(holders)
        if not backoff_ms:
            return refusal.RETRY_AFTER_MS
        return dependencies.wait_policy.retry_after_ms(backoff_ms)

    def dispatch(self) -> None:
        """Send, queue or refuse the request."""
        if self._handler.is_finished:
            return
        if self._handler.left_ms < retry_policy.MIN_REMAINING_MS:
            self._handler.on_deadline()
            return
        undecided = self._handler.content.undecided_processes
        if undecided:
            self._excluded = self._others(undecided)
        choice = self._choose()
        if choice.server is not None:
            if self._may_send_now(choice.server):
                self._assign_or_send(choice.server)
            else:
                self._wait.wait_for_room(self._max_wait_ms)
        elif self._excluded:
            # All servers were tried. One of them may have room by now, so
            # they are all considered again.
            self._excluded = frozenset()
            self._dispatch_after(RETRY_PAUSE_MS)
        else:
            self._wait_or_refuse(choice)

    def dispatch_later(self) -> None:
        """Send the request again after a short pause."""
        self._dispatch_after(RETRY_PAUSE_MS)

    def exclude(self, server: backend_directory.BackendServer) -> None:
        """Prefer other servers the next time."""
        self._excluded |= {server.server_id}

    def stop_wait(self) -> None:
        """End the wait, if there is one."""
        self._wait.stop()

    def stop(self) -> None:
        """End the wait and cancel a pending dispatch."""
        self._wait.stop()
        if self._timer is not None:
            self._timer.cancel()

    def _wait_or_refuse(self, choice: server_choice.Choice) -> None:
        """Queue the request, unless the service has no server at all."""
        if choice.no_server_reason is _NoServerReason.NOT_RESIDENT:
            self._wait.wait_for_model(self._max_wait_ms)
        elif choice.no_server_reason is _NoServerReason.BACKOFF:
            self._wait.wait_for_backoff(choice.backoff_ms, self._max_wait_ms)
        elif choice.no_server_reason is _NoServerReason.LIMITED:
            self._wait.wait_for_room(self._max_wait_ms)
        elif choice.no_server_reason is _NoServerReason.NO_VERSION:
            self._handler.resumption.refuse_no_server()
        else:
            self._on_refused(
                _Code.NO_REPLICA,
                "no server of the service is ready",
                refusal.RETRY_AFTER_MS,
            )

    def _others(self, processes: frozenset[str]) -> frozenset[str]:
        """Return the servers that are not one of these processes."""
        servers = self._dependencies.directory.servers_of(self._service)
        return frozenset(
            server.server_id
            for server in servers
            if crash_suspects.process_name(server.record) not in processes
        )

    def _dispatch_after(self, delay_ms: int) -> None:
        self._timer = self._dependencies.clock.call_later(
            delay_ms, self.dispatch
        )

    def _choose(self) -> server_choice.Choice:
        """Choose a server; prefer those that do not refuse connections."""
        unreachable = self._unreachable()
        choice = self._choose_except(self._excluded | unreachable)
        if choice.server is None and unreachable:
            choice = self._choose_except(self._excluded)
        if choice.server is not None:
            self.choice = choice
        return choice

    def _choose_except(self, excluded: frozenset[str]) -> server_choice.Choice:
        return self._dependencies.choice.choose(
            self._service,
            self.request,
            self._dependencies.zone,
            excluded,
            self.route.gap_target_ms,
            self._handler.resumption.required_version,
        )

    def _unreachable(self) -> frozenset[str]:
        """Return the servers that a bound request does not try now."""
        if self.bound_version is None:
            return frozenset()
        now_ms = self._dependencies.clock.now_ms()
        return frozenset(
            server.server_id
            for server in self._dependencies.directory.servers_of(
                self._service
            )
            if not server.is_trial_due(now_ms)
        )

    def _has_room(
        self,
        server: backend_directory.BackendServer,
        *,
        is_owed: bool = False,
        is_sparse: bool = False,
    ) -> bool:
        dependencies = self._dependencies
        if not self.is_fair:
            return dependencies.admission.has_room(
                server, self.request, self.priority, self.route.gap_target_ms
            )
        service, model, _ = self.target
        forecast = dependencies.forecast
        fleet = admission.FleetRoom(
            lambda: dependencies.directory.holders(*self.target),
            forecast.entry_share(
                model,
                dependencies.room.count(self.target),
                dependencies.entries,
            ),
            forecast.stream_ms(service),
        )
        return dependencies.admission.has_fair_room(
            server,
            self,
            fleet,
            is_owed=is_owed,
            is_sparse=is_sparse,
            gap_target_ms=self.route.gap_target_ms,
        )

    def _may_send_now(self, server: backend_directory.BackendServer) -> bool:
        room = self._dependencies.room
        is_queued = room.has_waiting(
            self.target, self.priority, is_bound=self.bound_version is not None
        )
        if is_queued or not self._is_reachable(server):
            return False
        return self._has_room(server)

    def _is_reachable(self, server: backend_directory.BackendServer) -> bool:
        """Return whether to use a server that may have crashed.

        A request that is bound to a software version may have no other server,
        and waits for it, or until its model is loaded elsewhere. Any other
        request finds out by itself.
        """
        if self.bound_version is None:
            return True
        return server.is_trial_due(self._dependencies.clock.now_ms())

    def try_send(self, is_owed: bool = False) -> bool:
        """Send the request if a server has room.

        An owed send may use the room that is kept for urgent requests. Return
        whether the request has left the queue.
        """
        choice = self._choose()
        server = choice.server
        if choice.no_server_reason is _NoServerReason.LIMITED:
            # The servers tried before may have room by now.
            self._excluded = frozenset()
            return False
        if choice.no_server_reason is _NoServerReason.BACKOFF:
            self._excluded = frozenset()
            return self._wait.refuse_if_late(choice.backoff_ms)
        if server is None:
            self._wait.stop()
            self.dispatch()
            return True
        if not self._is_reachable(server):
            self._excluded = frozenset()
            return False
        is_sparse = not is_owed and self._dependencies.room.is_sparse(self)
        if not self._has_room(server, is_owed=is_owed, is_sparse=is_sparse):
            return False
        self._wait.stop()
        self._assign_or_send(server, may_borrow=is_sparse)
        return True

    def _assign_or_send(
        self,
        server: backend_directory.BackendServer,
        *,
        may_borrow: bool = False,
    ) -> None:
        """Let the coordinator choose the server, else send to the given one.

        A repeated request avoids servers that the coordinator does not know,
        and the coordinator does not know the version of a resumed stream.
        """
        if self.bound_version is not None:
            server.begin_trial(self._dependencies.clock.now_ms())
        if not self._is_counted:
            self._is_counted = True
            self._dependencies.room.on_sent(self)
        if self.is_fair:
            self._dependencies.admission.on_fair_sent(self, may_borrow)
        request = self.request
        query = assignment_client.PromptQuery(
            *self.target,
            request.prompt_tokens,
            server.server_id,
            self._dependencies.choice.cached_tokens(server, request),
        )
        may_assign = (
            not self._excluded
            and not self._handler.has_begun
            and self.bound_version is None
        )
        if not may_assign or not self._dependencies.assignments.query(
            query, self._send_assigned
        ):
            self._request_permit(server)

    def _send_assigned(self, server_id: str) -> None:
        """Send to the assigned server, or to another if it can't be used.

        The assignment includes a permit if the server has a limit.
        """
        if self._handler.is_finished:
            return
        holders = server_choice.of_required_version(
            self._dependencies.directory.holders(*self.target),
            self._handler.resumption.required_version,
        )
        backoff = self._dependencies.backoff
        open_now = [item for item in holders if backoff.is_open(item)]
        for server in self._dependencies.health.usable(open_now):
            if server.server_id == server_id:
                self._handler.send(server)
                return
        found = self._choose().server
        if found is None:
            self.dispatch()
        else:
            self._request_permit(found)

    def _request_permit(self, server: backend_directory.BackendServer) -> None:
        """Send to a server once its limit permits it."""
        self._dependencies.limits.request_permit(
            server,
            self._on_permit,
            is_needed=lambda: not self._handler.is_finished,
        )

    def _on_permit(
        self, server: backend_directory.BackendServer, is_granted: bool
    ) -> None:
        """Send the request, or choose again without a permit."""
        if self._handler.is_finished:
            return
        # The server may have been drained, or have asked for a back-off,
        # during the wait.
        is_open = server.is_ready and self._dependencies.backoff.is_open(
            server
        )
        if is_granted and is_open:
            self._handler.send(server)
        else:
            self.dispatch()

    def on_resident(self, delay_ms: int) -> None:
        """End the wait for the model and choose a server after a delay."""
        self._wait.stop()
        if delay_ms > 0:
            self._dispatch_after(delay_ms)
        else:
            self.dispatch()
