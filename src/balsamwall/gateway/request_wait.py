"""Queue one request before it is sent, or refuse it."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

from balsamwall.gateway import admission
from balsamwall.gateway import residency_waits
from balsamwall.gateway import room_waiter
from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.gateway import incoming_request
    from balsamwall.gateway import request_dependencies
    from balsamwall.gateway import route as route_module
    from balsamwall.timing import clock as clock_module

_Code = result_code.ResultCode


class WaitingRequest(residency_waits.Waiter, room_waiter.RoomWaiter, Protocol):
    """Represent a request that can be queued for a model and for room."""

    @property
    def request(self) -> incoming_request.IncomingRequest:
        """Return the decoded request."""

    @property
    def route(self) -> route_module.Route:
        """Return the route, which sets the timeout of its callers."""


class RequestWait:
    """Queue a request for its model or for room at a server with it."""

    __slots__ = (
        "_clock",
        "_end_ms",
        "_is_for_room",
        "_on_refused",
        "_dependencies",
        "_handler",
        "_since_ms",
        "_timer",
        "_wanted",
        "room_waited_ms",
        "waited_ms",
    )

    def __init__(
        self,
        dependencies: request_dependencies.RequestDependencies,
        handler: WaitingRequest,
        on_refused: Callable[[result_code.ResultCode, str, int], None],
    ) -> None:
        self._dependencies = dependencies
        self._clock = dependencies.clock
        self._handler = handler
        self._on_refused = on_refused
        self._wanted: residency_waits.WantedModel | None = None
        self._is_for_room = False
        self._since_ms = 0
        self._end_ms = 0
        self._timer: clock_module.Timer | None = None
        self.waited_ms = 0
        self.room_waited_ms = 0

    def wait_for_model(self, remaining_ms: int) -> None:
        """Wait until a server holds the model; refuse an unknown model.

        The wait ends after `remaining_ms` at the latest.
        """
        handler = self._handler
        service, model, _ = handler.target
        if not self._dependencies.is_model_known(service, handler.request):
            detail = f"unknown model {model} or adapter"
            self._refuse(_Code.NO_REPLICA, detail, None)
            return
        self._wanted = residency_waits.WantedModel(
            *handler.target, handler.bound_version or ""
        )
        self._begin(remaining_ms)
        self._dependencies.waits.add(self._wanted, handler)

    def wait_for_room(self, remaining_ms: int) -> None:
        """Wait until a server that holds the model has room.

        If the expected wait exceeds the limit of the route, refuse the request
        at once. An urgent request without a workspace is not refused then; one
        of a workspace is. The wait ends after `remaining_ms` at the latest.
        """
        handler, dependencies = self._handler, self._dependencies
        if handler.is_fair:
            expected_ms, is_refused = self._fair_forecast()
        else:
            service, model, _ = handler.target
            expected_ms = dependencies.forecast.until_room_ms(
                service,
                model or service,
                dependencies.directory.holders(*handler.target),
                dependencies.limits.rate_of_process,
            )
            is_refused = not admission.is_urgent(
                handler.priority
            ) and dependencies.wait_policy.is_queue_too_long(
                handler.route.caller_timeout_ms, expected_ms
            )
        if is_refused:
            detail = f"expected wait for room is {expected_ms} ms"
            self._refuse(_Code.QUEUE_FULL, detail, expected_ms)
            return
        self._begin_for_room(remaining_ms)

    def wait_for_backoff(self, backoff_ms: int, remaining_ms: int) -> None:
        """Wait until a server wants requests again, if that is soon enough.

        It is refused at once otherwise, with the time of the first server.
        """
        if backoff_ms > self._max_backoff_ms(remaining_ms):
            self._refuse_backoff(backoff_ms)
            return
        self._begin_for_room(remaining_ms)

    def refuse_if_late(self, backoff_ms: int) -> bool:
        """Refuse the request if its wait ends before a back-off does.

        Return whether it was refused.
        """
        remaining_ms = self._end_ms - self._clock.now_ms()
        if backoff_ms <= self._max_backoff_ms(remaining_ms):
            return False
        self.stop()
        self._refuse_backoff(backoff_ms)
        return True

    def _max_backoff_ms(self, remaining_ms: int) -> int:
        """Return the longest back-off after which a response is in time."""
        max_wait_ms = self._dependencies.wait_policy.max_wait_ms(
            self._handler.route.caller_timeout_ms
        )
        return min(remaining_ms, max_wait_ms - self._total_waited_ms)

    def _refuse_backoff(self, backoff_ms: int) -> None:
        detail = f"all servers accept no requests for {backoff_ms} ms"
        self._refuse(_Code.QUEUE_FULL, detail, backoff_ms)

    def _fair_forecast(self) -> tuple[int, bool]:
        """Return the expected wait in the fair order and whether to refuse.

        Urgent requests are refused as well: one that waits behind the backlog
        of its own workspace would be late, and delay the others.
        """
        handler, dependencies = self._handler, self._dependencies
        service, model, _ = handler.target
        room = dependencies.room
        expected_ms = dependencies.forecast.until_turn_ms(
            service,
            model or service,
            dependencies.directory.holders(*handler.target),
            dependencies.limits.rate_of_process,
            room.position(handler),
            dependencies.entries,
        )
        is_refused = dependencies.wait_policy.is_turn_too_late(
            handler.route,
            expected_ms,
            handler.on_time_until_ms - self._clock.now_ms(),
            room.queued_for_ms(handler.target),
        )
        return expected_ms, is_refused

    def stop(self) -> None:
        """End the wait, if there is one, and add it to the totals."""
        if self._timer is None:
            return
        self._timer.cancel()
        self._timer = None
        waited_ms = self._clock.now_ms() - self._since_ms
        self.waited_ms += waited_ms
        wanted, self._wanted = self._wanted, None
        if wanted is not None:
            self._dependencies.waits.remove(wanted, self._handler)
        if self._is_for_room:
            self._is_for_room = False
            self.room_waited_ms += waited_ms
            self._dependencies.room.remove(self._handler)

    @property
    def _total_waited_ms(self) -> int:
        """Return the time of all waits, including the current one."""
        if self._timer is None:
            return self.waited_ms
        return self.waited_ms + self._clock.now_ms() - self._since_ms

    def _begin_for_room(self, remaining_ms: int) -> None:
        """Begin a wait in the queue, which tries the request again."""
        self._is_for_room = True
        self._begin(remaining_ms)
        self._dependencies.room.add(self._handler)

    def _begin(self, remaining_ms: int) -> None:
        self._since_ms = self._clock.now_ms()
        self._end_ms = self._since_ms + remaining_ms
        self._timer = self._clock.call_later(
            self._next_check_ms(), self._on_check
        )

    def _next_check_ms(self) -> int:
        """Return the time until the next check, 0 if the wait is over."""
        policy = self._dependencies.wait_policy
        caller_timeout_ms = self._handler.route.caller_timeout_ms
        remaining_ms = self._end_ms - self._clock.now_ms()
        if self._wanted is None:
            delay_ms = (
                policy.max_wait_ms(caller_timeout_ms) - self._total_waited_ms
            )
        else:
            expected_ms = self._dependencies.forecast.until_loaded_ms(
                self._wanted.model
            )
            delay_ms = policy.model_wait_ms(
                caller_timeout_ms,
                self._total_waited_ms,
                expected_ms,
                is_bound=self._handler.bound_version is not None,
            )
        return max(0, min(remaining_ms, delay_ms))

    def _on_check(self) -> None:
        delay_ms = self._next_check_ms()
        if delay_ms > 0:
            self._timer = self._clock.call_later(delay_ms, self._on_check)
        elif self._wanted is None:
            self.stop()
            detail = "no server had room within the wait limit"
            self._refuse(_Code.QUEUE_FULL, detail, None)
        else:
            self._refuse_model(self._wanted)

    def _refuse_model(self, wanted: residency_waits.WantedModel) -> None:
        self.stop()
        expected_ms = self._dependencies.forecast.until_loaded_ms(wanted.model)
        if expected_ms is None:
            detail = "the model is not loaded and no load is planned"
        else:
            detail = f"the model is expected to be loaded in {expected_ms} ms"
        retry_after_ms = self._refuse(_Code.NO_REPLICA, detail, expected_ms)
        self._dependencies.waits.add_refused(wanted, retry_after_ms)

    def _refuse(
        self,
        code: result_code.ResultCode,
        detail: str,
        expected_ms: int | None,
    ) -> int:
        """Refuse the request; return the Retry-After time in milliseconds."""
        retry_after_ms = self._dependencies.wait_policy.retry_after_ms(
            expected_ms
        )
        self._on_refused(code, detail, retry_after_ms)
        return retry_after_ms
