"""Choice of an agent for a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.results import result_code
from balsamwall.routing import ejection as ejection_module
from balsamwall.routing import load_estimator
from balsamwall.routing import replica_view
from balsamwall.routing import route_query
from balsamwall.routing import slow_start

if TYPE_CHECKING:
    import random

    from balsamwall.protocol import message
    from balsamwall.routing import indexed_set
    from balsamwall.routing import replica as replica_module
    from balsamwall.timing import clock as clock_module

CHOICES = 2
ZONE_MARGIN_MS = 30
ZONE_MARGIN_FACTOR = 1.3
MAX_DRAWS = 8
# Replicas looked at before a request is refused for its deadline; a fixed
# number keeps the cost of a decision independent of the fleet.
REFUSAL_DRAWS = 12
NO_REPLICA_RETRY_AFTER_MS = 2_000

_Scored = tuple[float, "replica_module.Replica", int]


class Router:
    """Power of two choices with zone preference and prefix affinity."""

    __slots__ = (
        "_clock",
        "_ejection",
        "_estimator",
        "_random",
        "_zone",
        "view",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        random_source: random.Random,
        zone: str,
    ) -> None:
        self._clock = clock
        self._random = random_source
        self._zone = zone
        self.view = replica_view.ReplicaView(clock)
        self._estimator = load_estimator.LoadEstimator(clock)
        self._ejection = ejection_module.Ejection(clock, self.view)

    def on_message(self, peer: str, item: message.Message) -> None:
        """Take a state message of an agent."""
        self.view.on_message(peer, item)

    def on_peer_up(self, peer: str, incarnation: int, zone: str) -> None:
        """Note a connection to an incarnation of an agent."""
        known = self.view.get(peer)
        if known is not None and known.incarnation != incarnation:
            self._ejection.forget(peer)
        self.view.on_peer_up(peer, incarnation, zone)

    def on_peer_down(self, peer: str) -> None:
        """Stop choosing an agent without a connection."""
        self.view.on_peer_down(peer)

    def forget(self, peer: str) -> None:
        """Drop an agent whose VM is gone."""
        self._ejection.forget(peer)
        self.view.forget(peer)

    def choose(
        self, query: route_query.RouteQuery
    ) -> route_query.RouteDecision:
        """Return the agent for a request, or a refusal."""
        name = route_query.index_name(query.kind, query.target)
        holders = self.view.ready_replicas(name)
        if not len(holders):
            return self._no_replica(f"no ready replica of {query.target}")
        near = self.view.holders_in_zone(name, self._zone)
        local = self._draw(near, query, CHOICES)
        remote: list[_Scored] = []
        if len(near) < len(holders):
            remote = self._draw(holders, query, CHOICES, self._zone)
        remote += self._prefix_holders(holders, query)
        if not local and not remote:
            remote = self._any_allowed(holders, query)
            if not remote:
                return self._no_replica(
                    f"all replicas of {query.target} are excluded"
                )
        best = self._best(local, remote)
        left_ms = query.first_token_deadline_ms - self._clock.now_ms()
        if best[0] > left_ms:
            # Two choices may both be busy; look at more before refusing.
            more = self._draw(holders, query, REFUSAL_DRAWS)
            best = min([best, *more], key=lambda scored: scored[0])
            if best[0] > left_ms:
                excess_ms = int(best[0] - max(0, left_ms))
                return route_query.RouteDecision(
                    result_code.ResultCode.DEADLINE_UNREACHABLE,
                    predicted_ms=int(best[0]),
                    retry_after_ms=max(100, excess_ms),
                    detail=f"first token predicted after {int(best[0])} ms, "
                    f"allowed {max(0, left_ms)} ms",
                )
        predicted, known, cached = best
        return route_query.RouteDecision(
            result_code.ResultCode.OK,
            peer=known.peer,
            incarnation=known.incarnation,
            predicted_ms=int(predicted),
            matched_tokens=cached,
        )

    def explain(
        self, query: route_query.RouteQuery, limit: int = 100
    ) -> list[route_query.CandidateView]:
        """List replicas of a target with their predictions."""
        name = route_query.index_name(query.kind, query.target)
        views = []
        now_ms = self._clock.now_ms()
        for peer in sorted(self.view.ready_replicas(name))[:limit]:
            known = self.view.get(peer)
            if known is None:
                continue
            predicted, _, cached = self._score(known, query)
            views.append(
                route_query.CandidateView(
                    peer=peer,
                    zone=known.zone,
                    predicted_ms=int(predicted),
                    matched_tokens=cached,
                    is_ejected=self._ejection.is_ejected(peer),
                    slow_start_weight=self._weight(known),
                    report_age_ms=now_ms - known.report_seen_ms,
                )
            )
        return sorted(views, key=lambda view: view.predicted_ms)

    def on_dispatch(
        self, peer: str, prompt_tokens: int, is_urgent: bool
    ) -> None:
        """Count an own dispatch that reports do not show yet."""
        known = self.view.get(peer)
        if known is not None:
            known.own_sent += 1
            known.own_sent_urgent += is_urgent
            known.own_prompt_tokens += prompt_tokens

    def on_first_token(
        self, peer: str, predicted_ms: int, measured_ms: int
    ) -> None:
        """Learn from the time to first token of an urgent dispatch.

        Deferrable ones may wait for minutes behind urgent ones, which says
        nothing about the prediction for an urgent one.
        """
        known = self.view.get(peer)
        if known is not None:
            self._estimator.learn_first_token(known, predicted_ms, measured_ms)

    def on_done(self, peer: str, duration_ms: int, is_urgent: bool) -> None:
        """Count a finished request; learn the run time of urgent ones."""
        known = self.view.get(peer)
        if known is not None:
            known.own_done += 1
            if is_urgent:
                self._estimator.learn_run(known, duration_ms)
            self._ejection.on_success(peer)

    def on_failure(self, peer: str, is_backend_fault: bool) -> None:
        """Count a failed dispatch; only backend faults lead to ejection."""
        known = self.view.get(peer)
        if known is not None:
            known.own_done += 1
            if is_backend_fault:
                self._ejection.on_failure(peer)

    def _draw(
        self,
        holders: indexed_set.IndexedSet,
        query: route_query.RouteQuery,
        wanted: int,
        skipped_zone: str | None = None,
    ) -> list[_Scored]:
        """Draw distinct replicas; give up after a fixed number of draws."""
        size = len(holders)
        if not size:
            return []
        drawn: dict[str, _Scored] = {}
        wanted = min(wanted, size)
        for _ in range(MAX_DRAWS + wanted):
            peer = holders.sample(self._random)
            if peer in drawn or not self._is_allowed(peer, query):
                continue
            known = self.view.get(peer)
            if known is None or known.zone == skipped_zone:
                continue
            share = self._weight(known)
            if share < 1.0 and size > 1 and self._random.random() > share:
                continue
            drawn[peer] = self._score(known, query)
            if len(drawn) >= wanted:
                break
        return list(drawn.values())

    def _any_allowed(
        self,
        holders: indexed_set.IndexedSet,
        query: route_query.RouteQuery,
    ) -> list[_Scored]:
        """Score the first replica that is not excluded.

        Ejection and slow start give way here: a busy replica is better than
        none. The walk ends at the first hit and passes only excluded ones.
        """
        for peer in holders:
            known = self.view.get(peer)
            if known is not None and peer not in query.excluded:
                return [self._score(known, query)]
        return []

    def _prefix_holders(
        self,
        holders: indexed_set.IndexedSet,
        query: route_query.RouteQuery,
    ) -> list[_Scored]:
        if not query.prefix_hashes:
            return []
        scored = []
        for peer in self.view.prefixes.longest(query.prefix_hashes):
            known = self.view.get(peer)
            if known is None or peer not in holders:
                continue
            if self._is_allowed(peer, query):
                scored.append(self._score(known, query))
        return scored

    def _best(self, local: list[_Scored], remote: list[_Scored]) -> _Scored:
        best_remote = min(remote, key=lambda scored: scored[0], default=None)
        best_local = min(local, key=lambda scored: scored[0], default=None)
        if best_local is None:
            assert best_remote is not None
            return best_remote
        if best_remote is None or best_remote[1].zone == self._zone:
            if best_remote is not None and best_remote[0] < best_local[0]:
                return best_remote
            return best_local
        is_worse = (
            best_local[0] > best_remote[0] + ZONE_MARGIN_MS
            and best_local[0] > best_remote[0] * ZONE_MARGIN_FACTOR
        )
        return best_remote if is_worse else best_local

    def _score(
        self,
        known: replica_module.Replica,
        query: route_query.RouteQuery,
    ) -> _Scored:
        cached = self._estimator.cached_tokens(known, query)
        return self._estimator.predict_ms(known, query, cached), known, cached

    def _is_allowed(self, peer: str, query: route_query.RouteQuery) -> bool:
        return peer not in query.excluded and not self._ejection.is_ejected(
            peer
        )

    def _weight(self, known: replica_module.Replica) -> float:
        returned_ms = max(
            known.returned_ms, self._ejection.returned_ms(known.peer)
        )
        return slow_start.weight(self._clock.now_ms() - returned_ms)

    def _no_replica(self, detail: str) -> route_query.RouteDecision:
        return route_query.RouteDecision(
            result_code.ResultCode.NO_REPLICA,
            retry_after_ms=NO_REPLICA_RETRY_AFTER_MS,
            detail=detail,
        )
