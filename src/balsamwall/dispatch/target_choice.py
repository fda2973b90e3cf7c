"""Select the agent for the next attempt of a request."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from balsamwall.results import result_code
from balsamwall.routing import route_query

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.dispatch import active_request
    from balsamwall.dispatch import attempt_sender
    from balsamwall.routing import router as router_module
    from balsamwall.timing import clock as clock_module

# A home that restarts or moves is reachable again within this time; after it
# the caller gets the advice to repeat the request with the same key.
HOME_WAIT_MS = 2_000
# Mean delay before a request without an available agent is tried again.
RETRY_INTERVAL_MS = 100
# Delay advised to the caller when the home of a key is not reachable.
RETRY_AFTER_MS = 2_000
# The router is asked again if the chosen agent is not connected.
MAX_ROUTER_QUERIES = 3

_Code = result_code.ResultCode


@dataclasses.dataclass(slots=True, frozen=True)
class Choice:
    """Hold the chosen agent, or the reason why none is available.

    `may_wait` says whether a request without an agent may be parked.
    """

    code: result_code.ResultCode
    peer: str = ""
    predicted_ms: int = 0
    may_wait: bool = False
    detail: str = ""
    retry_after_ms: int = 0


class TargetChoice:
    """Select the key's home where one is required, else use the router."""

    __slots__ = (
        "_clock",
        "_dial",
        "_home_of",
        "_on_no_replica",
        "_router",
        "_sender",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        router: router_module.Router,
        sender: attempt_sender.AttemptSender,
        home_of: Callable[[str, str], str | None] | None,
        on_no_replica: Callable[[str, bool], None] | None,
        dial: Callable[[str], None] | None,
    ) -> None:
        self._clock = clock
        self._router = router
        self._sender = sender
        self._home_of = home_of
        self._on_no_replica = on_no_replica
        self._dial = dial

    def choose(self, active: active_request.ActiveRequest) -> Choice:
        """Return the agent for the next attempt, or why there is none.

        Dials a chosen agent that is not connected.
        """
        if active.needs_home:
            return self._choose_home(active)
        return self._choose_replica(active)

    def _choose_home(self, active: active_request.ActiveRequest) -> Choice:
        request = active.request
        home = None
        if self._home_of is not None:
            home = self._home_of(request.target, request.idempotency_key)
        if home is not None and self._sender.is_up(home):
            return Choice(_Code.OK, home)
        if home is not None and self._dial is not None:
            self._dial(home)
        waited_ms = 0
        if active.parked_ms is not None:
            waited_ms = self._clock.now_ms() - active.parked_ms
        return Choice(
            _Code.HOME_UNREACHABLE,
            may_wait=waited_ms < HOME_WAIT_MS,
            detail="the home of the key is not reachable",
            retry_after_ms=RETRY_AFTER_MS,
        )

    def _choose_replica(self, active: active_request.ActiveRequest) -> Choice:
        request = active.request
        unreachable: set[str] = set()
        for _ in range(MAX_ROUTER_QUERIES):
            decision = self._router.choose(
                self._query(active, active.excluded | unreachable)
            )
            if not decision.is_chosen:
                break
            if self._sender.is_up(decision.peer):
                return Choice(_Code.OK, decision.peer, decision.predicted_ms)
            unreachable.add(decision.peer)
            if self._dial is not None:
                self._dial(decision.peer)
        may_wait = decision.code is not _Code.DEADLINE_UNREACHABLE
        if decision.code is _Code.NO_REPLICA:
            if active.excluded:
                # All replicas were tried; allow each of them again.
                active.excluded.clear()
            elif self._on_no_replica is not None:
                self._on_no_replica(request.target, request.is_urgent)
        return Choice(
            decision.code if not decision.is_chosen else _Code.NO_REPLICA,
            may_wait=may_wait,
            detail=decision.detail,
            retry_after_ms=decision.retry_after_ms,
        )

    def _query(
        self, active: active_request.ActiveRequest, excluded: set[str]
    ) -> route_query.RouteQuery:
        request = active.request
        # The deadline of the first token applies to admission only. An
        # admitted request is retried until its own deadline.
        is_new = not active.attempts and active.parked_ms is None
        return route_query.RouteQuery(
            kind=request.kind,
            target=request.target,
            is_urgent=request.is_urgent,
            prompt_tokens=request.prompt_tokens,
            max_output_tokens=request.max_output_tokens,
            first_token_deadline_ms=request.first_token_deadline_ms
            if is_new
            else request.deadline_ms,
            prefix_hashes=request.prefix_hashes,
            excluded=frozenset(excluded),
        )
