"""Select an agent for a request."""

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

# Random replicas compared in the own zone, and as many in other zones.
SAMPLE_SIZE = 2
# A replica in another zone is preferred to one in the own zone only if the
# predicted time of the latter is longer by more than this time and by more
# than this factor.
ZONE_MARGIN_MS = 30
ZONE_MARGIN_FACTOR = 1.3
# Draws beyond the size of a sample, since some draws give a replica that is
# already sampled or must be skipped.
MAX_EXTRA_DRAWS = 8
# Replicas scored before a request is refused for its deadline; a fixed number
# keeps the cost of a decision independent of the size of the fleet.
REFUSAL_SAMPLE_SIZE = 12
NO_REPLICA_RETRY_AFTER_MS = 2_000

_ScoredReplica = tuple[float, "replica_module.Replica", int]


class Router:
    """Select agents by power of two choices.

    Two random replicas in the own availability zone, two in other zones and
    those that have cached the longest prefix of the prompt are compared by
    the predicted time to first token. The own zone is preferred unless
    another is faster by more than both zone margins.
    """

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
        """Apply a state message of an agent."""
        self.view.on_message(peer, item)

    def on_peer_up(self, peer: str, incarnation: int, zone: str) -> None:
        """Record a connection; a new incarnation clears its ejection."""
        replica = self.view.get(peer)
        if replica is not None and replica.incarnation != incarnation:
            self._ejection.forget(peer)
        self.view.on_peer_up(peer, incarnation, zone)

    def on_peer_down(self, peer: str) -> None:
        """Stop routing to a disconnected agent but keep its state."""
        self.view.on_peer_down(peer)

    def forget(self, peer: str) -> None:
        """Remove an agent whose VM was deleted."""
        self._ejection.forget(peer)
        self.view.forget(peer)

    def choose(
        self, query: route_query.RouteQuery
    ) -> route_query.RouteDecision:
        """Return the agent for a request, or a refusal.

        A request is refused if there is no replica, or if no sampled replica
        is predicted to meet the deadline of the first token.
        """
        name = route_query.index_name(query.kind, query.target)
        replicas = self.view.ready_replicas(name)
        if not len(replicas):
            return self._no_replica(f"no ready replica of {query.target}")
        zone_replicas = self.view.ready_replicas_in_zone(name, self._zone)
        local = self._sample(zone_replicas, query, SAMPLE_SIZE)
        remote: list[_ScoredReplica] = []
        if len(zone_replicas) < len(replicas):
            remote = self._sample(replicas, query, SAMPLE_SIZE, self._zone)
        remote += self._prefix_candidates(replicas, query)
        if not local and not remote:
            remote = self._first_not_excluded(replicas, query)
            if not remote:
                return self._no_replica(
                    f"all replicas of {query.target} are excluded"
                )
        best = self._best(local, remote)
        remaining_ms = query.first_token_deadline_ms - self._clock.now_ms()
        if best[0] > remaining_ms:
            # All compared replicas may be busy; score more before refusing.
            larger_sample = self._sample(replicas, query, REFUSAL_SAMPLE_SIZE)
            best = min([best, *larger_sample], key=lambda scored: scored[0])
            if best[0] > remaining_ms:
                excess_ms = int(best[0] - max(0, remaining_ms))
                return route_query.RouteDecision(
                    result_code.ResultCode.DEADLINE_UNREACHABLE,
                    predicted_ms=int(best[0]),
                    retry_after_ms=max(100, excess_ms),
                    detail=f"first token predicted after {int(best[0])} ms, "
                    f"allowed {max(0, remaining_ms)} ms",
                )
        predicted, replica, cached = best
        return route_query.RouteDecision(
            result_code.ResultCode.OK,
            peer=replica.peer,
            incarnation=replica.incarnation,
            predicted_ms=int(predicted),
            matched_tokens=cached,
        )

    def explain(
        self, query: route_query.RouteQuery, limit: int = 100
    ) -> list[route_query.CandidateView]:
        """Return up to `limit` replicas, fastest predicted first.

        If there are more, the first ones by name are returned.
        """
        name = route_query.index_name(query.kind, query.target)
        views = []
        now_ms = self._clock.now_ms()
        for peer in sorted(self.view.ready_replicas(name))[:limit]:
            replica = self.view.get(peer)
            if replica is None:
                continue
            predicted, _, cached = self._score(replica, query)
            views.append(
                route_query.CandidateView(
                    peer=peer,
                    zone=replica.zone,
                    predicted_ms=int(predicted),
                    matched_tokens=cached,
                    is_ejected=self._ejection.is_ejected(peer),
                    slow_start_weight=self._weight(replica),
                    report_age_ms=now_ms - replica.report_received_ms,
                )
            )
        return sorted(views, key=lambda view: view.predicted_ms)

    def on_dispatch(
        self, peer: str, prompt_tokens: int, is_urgent: bool
    ) -> None:
        """Count a dispatch of this entry that no report includes yet."""
        replica = self.view.get(peer)
        if replica is not None:
            replica.sent_since_report += 1
            replica.urgent_sent_since_report += is_urgent
            replica.prompt_tokens_since_report += prompt_tokens

    def on_first_token(
        self, peer: str, predicted_ms: int, measured_ms: int
    ) -> None:
        """Update the prediction from an urgent dispatch.

        Deferrable dispatches must not be passed: they may wait for minutes
        behind urgent ones, which would distort the prediction.
        """
        replica = self.view.get(peer)
        if replica is not None:
            self._estimator.update_correction(
                replica, predicted_ms, measured_ms
            )

    def on_done(self, peer: str, duration_ms: int, is_urgent: bool) -> None:
        """Count a finished request; urgent ones update the mean run time.

        The failure count and the ejection duration of the agent are reset.
        """
        replica = self.view.get(peer)
        if replica is not None:
            replica.finished_since_report += 1
            if is_urgent:
                self._estimator.update_mean_run(replica, duration_ms)
            self._ejection.on_success(peer)

    def on_failure(self, peer: str, is_backend_fault: bool) -> None:
        """Count a failed dispatch; only backend faults lead to ejection."""
        replica = self.view.get(peer)
        if replica is not None:
            replica.finished_since_report += 1
            if is_backend_fault:
                self._ejection.on_failure(peer)

    def _sample(
        self,
        replicas: indexed_set.IndexedSet,
        query: route_query.RouteQuery,
        count: int,
        skipped_zone: str | None = None,
    ) -> list[_ScoredReplica]:
        """Sample distinct replicas within a fixed number of draws."""
        size = len(replicas)
        if not size:
            return []
        sampled: dict[str, _ScoredReplica] = {}
        count = min(count, size)
        for _ in range(MAX_EXTRA_DRAWS + count):
            peer = replicas.sample(self._random)
            if peer in sampled or not self._is_allowed(peer, query):
                continue
            replica = self.view.get(peer)
            if replica is None or replica.zone == skipped_zone:
                continue
            start_weight = self._weight(replica)
            if (
                start_weight < 1.0
                and size > 1
                and self._random.random() > start_weight
            ):
                continue
            sampled[peer] = self._score(replica, query)
            if len(sampled) >= count:
                break
        return list(sampled.values())

    def _first_not_excluded(
        self,
        replicas: indexed_set.IndexedSet,
        query: route_query.RouteQuery,
    ) -> list[_ScoredReplica]:
        """Score the first replica that the query does not exclude.

        Ejection and slow start are ignored here: an ejected or newly started
        replica is better than none. The loop skips only excluded replicas, so
        it is short.
        """
        for peer in replicas:
            replica = self.view.get(peer)
            if replica is not None and peer not in query.excluded:
                return [self._score(replica, query)]
        return []

    def _prefix_candidates(
        self,
        replicas: indexed_set.IndexedSet,
        query: route_query.RouteQuery,
    ) -> list[_ScoredReplica]:
        if not query.prefix_hashes:
            return []
        scored = []
        for peer in self.view.prefixes.longest_match(query.prefix_hashes):
            replica = self.view.get(peer)
            if replica is None or peer not in replicas:
                continue
            if self._is_allowed(peer, query):
                scored.append(self._score(replica, query))
        return scored

    def _best(
        self, local: list[_ScoredReplica], remote: list[_ScoredReplica]
    ) -> _ScoredReplica:
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
        replica: replica_module.Replica,
        query: route_query.RouteQuery,
    ) -> _ScoredReplica:
        cached = self._estimator.cached_tokens(replica, query)
        return (
            self._estimator.predict_ms(replica, query, cached),
            replica,
            cached,
        )

    def _is_allowed(self, peer: str, query: route_query.RouteQuery) -> bool:
        return peer not in query.excluded and not self._ejection.is_ejected(
            peer
        )

    def _weight(self, replica: replica_module.Replica) -> float:
        started_ms = max(
            replica.ready_since_ms, self._ejection.last_ended_ms(replica.peer)
        )
        return slow_start.weight(self._clock.now_ms() - started_ms)

    def _no_replica(self, detail: str) -> route_query.RouteDecision:
        return route_query.RouteDecision(
            result_code.ResultCode.NO_REPLICA,
            retry_after_ms=NO_REPLICA_RETRY_AFTER_MS,
            detail=detail,
        )
