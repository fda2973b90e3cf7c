"""Index replicas from the state messages of agents."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.protocol import messages_state
from balsamwall.routing import indexed_set
from balsamwall.routing import prefix_index
from balsamwall.routing import replica as replica_module
from balsamwall.routing import route_query

if TYPE_CHECKING:
    from balsamwall.protocol import message
    from balsamwall.timing import clock as clock_module

_EMPTY = indexed_set.IndexedSet()


class ReplicaView:
    """Index ready replicas by name and by name and zone.

    A name is that of a resident model, adapter or service, as returned by
    `route_query.index_name`.

    The index is updated only when the readiness or the residents of an agent
    change, so that a routing decision never scans the fleet.
    """

    __slots__ = ("_by_name", "_by_zone", "_clock", "_replicas", "prefixes")

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._replicas: dict[str, replica_module.Replica] = {}
        self._by_name: dict[str, indexed_set.IndexedSet] = {}
        self._by_zone: dict[tuple[str, str], indexed_set.IndexedSet] = {}
        self.prefixes = prefix_index.PrefixIndex()

    def get(self, peer: str) -> replica_module.Replica | None:
        """Return the state of an agent, ready or not, None if unknown."""
        return self._replicas.get(peer)

    def ready_replicas(self, name: str) -> indexed_set.IndexedSet:
        """Return the ready replicas of a name from `index_name`."""
        return self._by_name.get(name, _EMPTY)

    def ready_replicas_in_zone(
        self, name: str, zone: str
    ) -> indexed_set.IndexedSet:
        """Return the ready replicas of a name in one availability zone."""
        return self._by_zone.get((name, zone), _EMPTY)

    def on_peer_up(self, peer: str, incarnation: int, zone: str) -> None:
        """Record a connection; a new incarnation resets the agent's state."""
        replica = self._replicas.get(peer)
        if replica is None:
            replica = self._replicas[peer] = replica_module.Replica(peer, zone)
        if replica.zone != zone:
            self._unindex(replica)
            replica.zone = zone
        if replica.incarnation != incarnation:
            self._unindex(replica)
            self.prefixes.replace(peer, replica.cache_prefixes, frozenset())
            replica.reset(incarnation, self._clock.now_ms())
        replica.is_up = True
        self._index(replica)

    def on_peer_down(self, peer: str) -> None:
        """Remove a disconnected agent from the index but keep its state."""
        replica = self._replicas.get(peer)
        if replica is not None:
            self._unindex(replica)
            replica.is_up = False

    def forget(self, peer: str) -> None:
        """Remove an agent whose VM was deleted."""
        replica = self._replicas.pop(peer, None)
        if replica is not None:
            self._unindex(replica)
            self.prefixes.replace(peer, replica.cache_prefixes, frozenset())

    def mark_leaving(self, vm: str, incarnation: int) -> None:
        """Mark an incarnation as leaving, which is permanent."""
        replica = self._replicas.get(vm)
        if replica is not None and replica.incarnation == incarnation:
            self._unindex(replica)
            replica.is_leaving = True

    def on_message(self, peer: str, item: message.Message) -> None:
        """Apply a state message.

        A message with an old sequence number, of another incarnation or of an
        unknown agent is ignored.
        """
        if isinstance(item, messages_state.Leaving):
            self.mark_leaving(item.vm, item.incarnation)
            return
        replica = self._replicas.get(peer)
        if replica is None:
            return
        if isinstance(item, messages_state.AgentReport):
            self._on_report(replica, item)
        elif isinstance(item, messages_state.Residents):
            self._on_residents(replica, item)
        elif isinstance(item, messages_state.CacheDigest):
            self._on_cache(replica, item)

    def _on_report(
        self,
        replica: replica_module.Replica,
        item: messages_state.AgentReport,
    ) -> None:
        old = replica.report
        if item.incarnation != replica.incarnation:
            return
        if old is not None and item.sequence <= old.sequence:
            return
        was_ready = replica.is_ready
        if not was_ready:
            self._unindex(replica)
        replica.report = item
        replica.report_received_ms = self._clock.now_ms()
        replica.sent_since_report = replica.urgent_sent_since_report = 0
        replica.finished_since_report = replica.prompt_tokens_since_report = 0
        if item.state == "leaving":
            replica.is_leaving = True
        if replica.is_ready and not was_ready:
            replica.ready_since_ms = self._clock.now_ms()
            self._index(replica)
        elif was_ready and not replica.is_ready:
            self._unindex(replica)

    def _on_residents(
        self, replica: replica_module.Replica, item: messages_state.Residents
    ) -> None:
        if item.incarnation != replica.incarnation:
            return
        if item.sequence <= replica.residents_sequence:
            return
        replica.residents_sequence = item.sequence
        services = (
            route_query.index_name("service", name) for name in item.services
        )
        self._unindex(replica)
        replica.names = frozenset((*item.models, *item.adapters, *services))
        self._index(replica)

    def _on_cache(
        self, replica: replica_module.Replica, item: messages_state.CacheDigest
    ) -> None:
        if item.incarnation != replica.incarnation:
            return
        if item.sequence <= replica.cache_sequence:
            return
        fresh = frozenset(item.prefixes)
        self.prefixes.replace(replica.peer, replica.cache_prefixes, fresh)
        replica.cache_prefixes = fresh
        replica.cache_sequence = item.sequence
        replica.cache_received_ms = self._clock.now_ms()
        replica.cache_age_ms = item.age_ms
        replica.cache_has_gap = item.has_gap

    def _index(self, replica: replica_module.Replica) -> None:
        if not replica.is_ready:
            return
        for name in replica.names:
            zoned = (name, replica.zone)
            if name not in self._by_name:
                self._by_name[name] = indexed_set.IndexedSet()
            if zoned not in self._by_zone:
                self._by_zone[zoned] = indexed_set.IndexedSet()
            self._by_name[name].add(replica.peer)
            self._by_zone[zoned].add(replica.peer)

    def _unindex(self, replica: replica_module.Replica) -> None:
        for name in replica.names:
            if name in self._by_name:
                self._by_name[name].discard(replica.peer)
            if (name, replica.zone) in self._by_zone:
                self._by_zone[name, replica.zone].discard(replica.peer)
