"""Replicas by model, built from the messages of agents."""

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
    """Ready replicas, indexed by name and by name and zone.

    An index entry changes only when an agent becomes ready or not ready or
    its residents change, so that a routing decision never scans the fleet.
    """

    __slots__ = ("_by_name", "_by_zone", "_clock", "_replicas", "prefixes")

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._replicas: dict[str, replica_module.Replica] = {}
        self._by_name: dict[str, indexed_set.IndexedSet] = {}
        self._by_zone: dict[tuple[str, str], indexed_set.IndexedSet] = {}
        self.prefixes = prefix_index.PrefixIndex()

    def get(self, peer: str) -> replica_module.Replica | None:
        """Return what is known of an agent."""
        return self._replicas.get(peer)

    def ready_replicas(self, name: str) -> indexed_set.IndexedSet:
        """Return the ready replicas of an indexed name."""
        return self._by_name.get(name, _EMPTY)

    def holders_in_zone(self, name: str, zone: str) -> indexed_set.IndexedSet:
        """Return the ready replicas of a name in one availability zone."""
        return self._by_zone.get((name, zone), _EMPTY)

    def on_peer_up(self, peer: str, incarnation: int, zone: str) -> None:
        """Note a connection to an incarnation of an agent."""
        known = self._replicas.get(peer)
        if known is None:
            known = self._replicas[peer] = replica_module.Replica(peer, zone)
        if known.zone != zone:
            self._unindex(known)
            known.zone = zone
        if known.incarnation != incarnation:
            self._unindex(known)
            self.prefixes.replace(peer, known.cache_prefixes, frozenset())
            known.begin(incarnation, self._clock.now_ms())
        known.is_up = True
        self._index(known)

    def on_peer_down(self, peer: str) -> None:
        """Take an agent without a connection out of the index."""
        known = self._replicas.get(peer)
        if known is not None:
            self._unindex(known)
            known.is_up = False

    def forget(self, peer: str) -> None:
        """Drop an agent whose VM is gone."""
        known = self._replicas.pop(peer, None)
        if known is not None:
            self._unindex(known)
            self.prefixes.replace(peer, known.cache_prefixes, frozenset())

    def mark_leaving(self, vm: str, incarnation: int) -> None:
        """Mark an incarnation as leaving; the mark is never removed."""
        known = self._replicas.get(vm)
        if known is not None and known.incarnation == incarnation:
            self._unindex(known)
            known.is_leaving = True

    def on_message(self, peer: str, item: message.Message) -> None:
        """Take a state message; old ones are dropped by their sequence."""
        if isinstance(item, messages_state.Leaving):
            self.mark_leaving(item.vm, item.incarnation)
            return
        known = self._replicas.get(peer)
        if known is None:
            return
        if isinstance(item, messages_state.AgentReport):
            self._on_report(known, item)
        elif isinstance(item, messages_state.Residents):
            self._on_residents(known, item)
        elif isinstance(item, messages_state.CacheDigest):
            self._on_cache(known, item)

    def _on_report(
        self,
        known: replica_module.Replica,
        item: messages_state.AgentReport,
    ) -> None:
        old = known.report
        if item.incarnation != known.incarnation:
            return
        if old is not None and item.sequence <= old.sequence:
            return
        was_ready = known.is_ready
        if not was_ready:
            self._unindex(known)
        known.report = item
        known.report_seen_ms = self._clock.now_ms()
        known.own_sent = known.own_sent_urgent = 0
        known.own_done = known.own_prompt_tokens = 0
        if item.state == "leaving":
            known.is_leaving = True
        if known.is_ready and not was_ready:
            known.returned_ms = self._clock.now_ms()
            self._index(known)
        elif was_ready and not known.is_ready:
            self._unindex(known)

    def _on_residents(
        self, known: replica_module.Replica, item: messages_state.Residents
    ) -> None:
        if item.incarnation != known.incarnation:
            return
        if item.sequence <= known.residents_sequence:
            return
        known.residents_sequence = item.sequence
        services = (
            route_query.index_name("service", name) for name in item.services
        )
        self._unindex(known)
        known.names = frozenset((*item.models, *item.adapters, *services))
        self._index(known)

    def _on_cache(
        self, known: replica_module.Replica, item: messages_state.CacheDigest
    ) -> None:
        if item.incarnation != known.incarnation:
            return
        if item.sequence <= known.cache_sequence:
            return
        fresh = frozenset(item.prefixes)
        self.prefixes.replace(known.peer, known.cache_prefixes, fresh)
        known.cache_prefixes = fresh
        known.cache_sequence = item.sequence
        known.cache_seen_ms = self._clock.now_ms()
        known.cache_age_ms = item.age_ms
        known.cache_has_gap = item.has_gap

    def _index(self, known: replica_module.Replica) -> None:
        if not known.is_ready:
            return
        for name in known.names:
            zoned = (name, known.zone)
            if name not in self._by_name:
                self._by_name[name] = indexed_set.IndexedSet()
            if zoned not in self._by_zone:
                self._by_zone[zoned] = indexed_set.IndexedSet()
            self._by_name[name].add(known.peer)
            self._by_zone[zoned].add(known.peer)

    def _unindex(self, known: replica_module.Replica) -> None:
        for name in known.names:
            if name in self._by_name:
                self._by_name[name].discard(known.peer)
            if (name, known.zone) in self._by_zone:
                self._by_zone[name, known.zone].discard(known.peer)
