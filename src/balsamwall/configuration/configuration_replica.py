"""Replicate accepted configurations between peers by gossip."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
from typing import Any
from typing import TYPE_CHECKING

from balsamwall.configuration import configuration_delta
from balsamwall.configuration import document_codec
from balsamwall.configuration import exceptions
from balsamwall.configuration import tenant_configuration
from balsamwall.protocol import messages_configuration
from balsamwall.protocol import messages_session

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    import random

    from balsamwall.protocol import message
    from balsamwall.protocol import outbox as protocol_outbox
    from balsamwall.timing import clock as timing_clock

# Every interval, all active revisions are announced to this many random
# peers.
ANTI_ENTROPY_INTERVAL_MS = 3_000
ANTI_ENTROPY_FANOUT = 2
# With 8 random peers each, 1,400 processes are reached within 4 hops.
ANNOUNCE_FANOUT = 8
# A second round to other random peers compensates for lost messages.
ANNOUNCE_REPEAT_DELAY_MS = 500
# Without a document after this time, the fetch is sent again, possibly to
# another peer.
FETCH_TIMEOUT_MS = 500
# A peer that is asked this often without success is dropped as a source until
# it reports its revision again.
MAX_FETCHES_PER_SOURCE = 3
# Peers that are remembered per tenant as sources of a newer revision.
MAX_SOURCES = 16
# Deltas can be encoded and decoded against this many recent revisions.
RETAINED_REVISIONS = 8

Configuration = tenant_configuration.TenantConfiguration
Listener = Callable[[Configuration, Configuration | None], None]


@dataclasses.dataclass(slots=True)
class ReplicaCounters:
    """Message and document counts since the process started."""

    documents_taken: int = 0
    documents_refused: int = 0
    documents_sent: int = 0
    deltas_sent: int = 0
    fetches_sent: int = 0
    announces_sent: int = 0


@dataclasses.dataclass(slots=True)
class _Fetch:
    """Pending fetch for one tenant; `sources` maps peers to revisions."""

    sources: dict[str, int]
    attempts: dict[str, int] = dataclasses.field(default_factory=dict)
    pending_peer: str = ""
    timer: timing_clock.Timer | None = None


class ConfigurationReplica:
    """Hold the highest known revision per tenant, which never decreases.

    `tenants` restricts which tenants are accepted; if empty, all are.
    """

    __slots__ = (
        "_clock",
        "_connected_peers",
        "_encoded",
        "_fetches",
        "_active",
        "_retained",
        "_known_peers",
        "_listeners",
        "_outbox",
        "_random",
        "_tenants",
        "_timer",
        "counters",
    )

    def __init__(
        self,
        clock: timing_clock.Clock,
        outbox: protocol_outbox.Outbox,
        random_source: random.Random,
        tenants: Iterable[str] = (),
    ) -> None:
        self._clock = clock
        self._outbox = outbox
        self._random = random_source
        self._tenants = frozenset(tenants)
        self._active: dict[str, Configuration] = {}
        # Encodings of the active configuration by base revision; base 0 is the
        # full encoding, others are deltas.
        self._encoded: dict[str, dict[int, bytes]] = {}
        self._retained: dict[str, dict[int, Configuration]] = {}
        self._connected_peers: dict[str, None] = {}
        self._known_peers: tuple[str, ...] = ()
        self._fetches: dict[str, _Fetch] = {}
        self._listeners: list[Listener] = []
        self._timer: timing_clock.Timer | None = None
        self.counters = ReplicaCounters()

    def start(self) -> None:
        """Start anti-entropy; the first round runs after a random delay."""
        if self._timer is None:
            delay_ms = self._random.randrange(ANTI_ENTROPY_INTERVAL_MS)
            self._timer = self._clock.call_later(
                delay_ms, self._run_anti_entropy
            )

    def stop(self) -> None:
        """Stop anti-entropy and cancel pending fetches."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for tenant in list(self._fetches):
            self._end_fetch(tenant)

    def add_listener(self, listener: Listener) -> None:
        """Register a callback that is called after each activation.

        It gets the new configuration and the one it replaces, or None if
        there was none.
        """
        self._listeners.append(listener)

    def current(self, tenant: str) -> Configuration | None:
        """Return the active configuration, or None if there is none yet."""
        return self._active.get(tenant)

    def revision(self, tenant: str) -> int:
        """Return the active revision, or 0 if there is none yet."""
        configuration = self._active.get(tenant)
        return configuration.revision if configuration is not None else 0

    def revisions(self) -> dict[str, int]:
        """Return the active revision per tenant, as sent in pings."""
        revisions = dict.fromkeys(sorted(self._tenants), 0)
        for tenant, configuration in self._active.items():
            revisions[tenant] = configuration.revision
        return revisions

    def set_known_peers(self, peers: Iterable[str]) -> None:
        """Set further peers that anti-entropy contacts, connected or not."""
        self._known_peers = tuple(peers)

    def offer(self, configuration: Configuration) -> bool:
        """Activate a newer configuration; return whether it was activated.

        It is not activated if the active revision is as high, or if its
        tenant is not accepted.
        """
        tenant = configuration.tenant
        if not self._should_accept(tenant, configuration.revision):
            return False
        self._activate(configuration, "")
        return True

    def on_peer_up(self, peer: str, hello: Any = None) -> None:
        """Announce the active revisions to a newly connected peer."""
        self._connected_peers[peer] = None
        self._announce_all(peer)

    def on_peer_down(self, peer: str) -> None:
        """Repeat fetches that were pending at this peer at another source."""
        self._connected_peers.pop(peer, None)
        for tenant, fetch in list(self._fetches.items()):
            fetch.sources.pop(peer, None)
            if fetch.pending_peer == peer:
                self._fetch_from_next_peer(tenant)

    def on_peer_revisions(
        self, peer: str, revisions: Mapping[str, int]
    ) -> None:
        """Announce revisions that a peer lacks; fetch those that are newer."""
        for tenant, revision in revisions.items():
            self._on_revision(peer, tenant, revision)

    def on_message(self, peer: str, item: message.Message) -> None:
        """Handle a configuration message, or the revisions in a ping."""
        if isinstance(item, messages_configuration.ConfigAnnounce):
            self._on_revision(peer, item.tenant, item.revision)
        elif isinstance(item, messages_configuration.ConfigFetch):
            self._on_fetch(peer, item)
        elif isinstance(item, messages_configuration.ConfigDocument):
            self._on_document(peer, item)
        elif isinstance(item, messages_session.Ping):
            self.on_peer_revisions(peer, item.config_revisions)

    def _should_accept(self, tenant: str, revision: int) -> bool:
        if self._tenants and tenant not in self._tenants:
            return False
        return revision > self.revision(tenant)

    def _on_revision(self, peer: str, tenant: str, revision: int) -> None:
        active_revision = self.revision(tenant)
        if revision < active_revision:
            self._announce(peer, tenant)
        elif self._should_accept(tenant, revision):
            fetch = self._fetches.setdefault(tenant, _Fetch({}))
            if len(fetch.sources) < MAX_SOURCES or peer in fetch.sources:
                fetch.sources[peer] = revision
                fetch.attempts.pop(peer, None)
            if not fetch.pending_peer:
                self._fetch_from_next_peer(tenant)

    def _fetch_from_next_peer(self, tenant: str) -> None:
        fetch = self._fetches[tenant]
        if fetch.timer is not None:
            fetch.timer.cancel()
        active_revision = self.revision(tenant)
        sources = {
            peer: revision
            for peer, revision in fetch.sources.items()
            if revision > active_revision
        }
        if not sources:
            del self._fetches[tenant]
            return
        highest = max(sources.values())
        peers = [peer for peer in sources if sources[peer] == highest]
        fetch.pending_peer = self._random.choice(peers)
        attempts = fetch.attempts.get(fetch.pending_peer, 0) + 1
        fetch.attempts[fetch.pending_peer] = attempts
        if attempts >= MAX_FETCHES_PER_SOURCE:
            del sources[fetch.pending_peer]
        fetch.sources = sources
        fetch.timer = self._clock.call_later(
            FETCH_TIMEOUT_MS, self._fetch_from_next_peer, tenant
        )
        self.counters.fetches_sent += 1
        self._outbox.send(
            fetch.pending_peer,
            messages_configuration.ConfigFetch(tenant, active_revision),
        )

    def _end_fetch(self, tenant: str) -> None:
        fetch = self._fetches.pop(tenant, None)
        if fetch is not None and fetch.timer is not None:
            fetch.timer.cancel()

    def _on_fetch(
        self, peer: str, item: messages_configuration.ConfigFetch
    ) -> None:
        configuration = self._active.get(item.tenant)
        if (
            configuration is None
            or configuration.revision <= item.above_revision
        ):
            return
        content = self._encode(configuration, item.above_revision)
        if content is None:
            return
        self.counters.documents_sent += 1
        self._outbox.send(
            peer,
            messages_configuration.ConfigDocument(
                item.tenant, configuration.revision, content
            ),
        )

    def _encode(
        self, configuration: Configuration, above_revision: int
    ) -> bytes | None:
        tenant = configuration.tenant
        base = self._retained[tenant].get(above_revision)
        encoded = self._encoded[tenant]
        number = base.revision if base is not None else 0
        if number not in encoded:
            try:
                encoded[number] = (
                    configuration_delta.encode(base, configuration)
                    if base is not None
                    else document_codec.encode_configuration(configuration)
                )
            except exceptions.DocumentInvalid:
                # Unreachable for documents that the store has accepted.
                self.counters.documents_refused += 1
                return None
        if base is not None:
            self.counters.deltas_sent += 1
        return encoded[number]

    def _on_document(
        self, peer: str, item: messages_configuration.ConfigDocument
    ) -> None:
        if not self._should_accept(item.tenant, item.revision):
            return
        try:
            configuration = configuration_delta.decode(
                item.content, self._retained.get(item.tenant, {})
            )
        except exceptions.DeltaBaseUnknown:
            # Revision 0 requests the full document.
            self.counters.fetches_sent += 1
            self._outbox.send(
                peer, messages_configuration.ConfigFetch(item.tenant, 0)
            )
            return
        except exceptions.DocumentInvalid:
            self._reject(peer, item.tenant)
            return
        if (configuration.tenant, configuration.revision) != (
            item.tenant,
            item.revision,
        ):
            self._reject(peer, item.tenant)
            return
        self._activate(configuration, peer)

    def _reject(self, peer: str, tenant: str) -> None:
        self.counters.documents_refused += 1
        fetch = self._fetches.get(tenant)
        if fetch is not None and fetch.pending_peer == peer:
            fetch.sources.pop(peer, None)
            self._fetch_from_next_peer(tenant)

    def _activate(self, configuration: Configuration, source: str) -> None:
        tenant = configuration.tenant
        old = self._active.get(tenant)
        if old is not None:
            configuration = configuration_delta.share_unchanged(
                old, configuration
            )
        self._active[tenant] = configuration
        self._encoded[tenant] = {}
        retained = self._retained.setdefault(tenant, {})
        retained[configuration.revision] = configuration
        if len(retained) > RETAINED_REVISIONS:
            del retained[min(retained)]
        self.counters.documents_taken += 1
        if tenant in self._fetches:
            fetch = self._fetches[tenant]
            if any(r > configuration.revision for r in fetch.sources.values()):
                self._fetch_from_next_peer(tenant)
            else:
                self._end_fetch(tenant)
        for listener in list(self._listeners):
            listener(configuration, old)
        self._announce_to_random_peers(tenant, source)
        self._clock.call_later(
            ANNOUNCE_REPEAT_DELAY_MS,
            self._announce_to_random_peers,
            tenant,
            source,
        )

    def _announce_to_random_peers(self, tenant: str, source: str) -> None:
        peers = [peer for peer in self._connected_peers if peer != source]
        count = min(ANNOUNCE_FANOUT, len(peers))
        for peer in self._random.sample(peers, count):
            self._announce(peer, tenant)

    def _announce(self, peer: str, tenant: str) -> None:
        self.counters.announces_sent += 1
        self._outbox.send(
            peer,
            messages_configuration.ConfigAnnounce(
                tenant, self.revision(tenant)
            ),
        )

    def _announce_all(self, peer: str) -> None:
        for tenant in self.revisions():
            self._announce(peer, tenant)

    def _run_anti_entropy(self) -> None:
        self._timer = self._clock.call_later(
            ANTI_ENTROPY_INTERVAL_MS, self._run_anti_entropy
        )
        candidates = list(
            {**self._connected_peers, **dict.fromkeys(self._known_peers)}
        )
        count = min(ANTI_ENTROPY_FANOUT, len(candidates))
        for peer in self._random.sample(candidates, count):
            self._announce_all(peer)
