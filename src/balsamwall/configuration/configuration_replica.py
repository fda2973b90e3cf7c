"""Copy of the accepted configurations that peers keep up to date."""

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

ANTI_ENTROPY_INTERVAL_MS = 3_000
ANTI_ENTROPY_PEERS = 2
# Eight random peers reach a fleet of 1,400 within four hops.
ANNOUNCE_PEERS = 8
# A second round to other peers covers lost announcements.
ANNOUNCE_AGAIN_MS = 500
FETCH_TIMEOUT_MS = 500
FETCHES_PER_SOURCE = 3
MAX_SOURCES = 16
# Differences to this many earlier revisions can be sent and understood.
KEPT_REVISIONS = 8

Configuration = tenant_configuration.TenantConfiguration
Listener = Callable[[Configuration, Configuration | None], None]


@dataclasses.dataclass(slots=True)
class ReplicaCounters:
    """Events since the start of the process."""

    documents_taken: int = 0
    documents_refused: int = 0
    documents_sent: int = 0
    deltas_sent: int = 0
    fetches_sent: int = 0
    announces_sent: int = 0


@dataclasses.dataclass(slots=True)
class _Fetch:
    """Fetch in progress for one tenant and the peers to ask next."""

    sources: dict[str, int]
    asks: dict[str, int] = dataclasses.field(default_factory=dict)
    asked: str = ""
    timer: timing_clock.Timer | None = None


class ConfigurationReplica:
    """Highest revision seen per tenant; it never goes back to a lower one.

    Tenants limits what is taken from peers; without it all are taken.
    """

    __slots__ = (
        "_clock",
        "_connected",
        "_contents",
        "_fetches",
        "_in_force",
        "_kept",
        "_known",
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
        self._in_force: dict[str, Configuration] = {}
        # Encoded forms of what is in force by base revision, 0 for whole.
        self._contents: dict[str, dict[int, bytes]] = {}
        self._kept: dict[str, dict[int, Configuration]] = {}
        self._connected: dict[str, None] = {}
        self._known: tuple[str, ...] = ()
        self._fetches: dict[str, _Fetch] = {}
        self._listeners: list[Listener] = []
        self._timer: timing_clock.Timer | None = None
        self.counters = ReplicaCounters()

    def start(self) -> None:
        """Begin anti-entropy; the first round has a random delay."""
        if self._timer is None:
            delay_ms = self._random.randrange(ANTI_ENTROPY_INTERVAL_MS)
            self._timer = self._clock.call_later(
                delay_ms, self._run_anti_entropy
            )

    def stop(self) -> None:
        """End anti-entropy and pending fetches."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for tenant in list(self._fetches):
            self._end_fetch(tenant)

    def add_listener(self, listener: Listener) -> None:
        """Call with the new and the old configuration on each change."""
        self._listeners.append(listener)

    def current(self, tenant: str) -> Configuration | None:
        """Return the configuration in force, or None before the first."""
        return self._in_force.get(tenant)

    def revision(self, tenant: str) -> int:
        """Return the revision in force, or 0 before the first."""
        configuration = self._in_force.get(tenant)
        return configuration.revision if configuration is not None else 0

    def revisions(self) -> dict[str, int]:
        """Return the revisions in force, for the ping."""
        revisions = dict.fromkeys(sorted(self._tenants), 0)
        for tenant, configuration in self._in_force.items():
            revisions[tenant] = configuration.revision
        return revisions

    def set_known_peers(self, peers: Iterable[str]) -> None:
        """Set the VMs of the VM list that anti-entropy may also ask."""
        self._known = tuple(peers)

    def offer(self, configuration: Configuration) -> bool:
        """Take a configuration if its revision is higher."""
        tenant = configuration.tenant
        if not self._is_wanted(tenant, configuration.revision):
            return False
        self._take(configuration, "")
        return True

    def on_peer_up(self, peer: str, hello: Any = None) -> None:
        """Announce the revisions in force to a new peer."""
        self._connected[peer] = None
        self._announce_all(peer)

    def on_peer_down(self, peer: str) -> None:
        """Ask another peer if a fetch was pending at this one."""
        self._connected.pop(peer, None)
        for tenant, fetch in list(self._fetches.items()):
            fetch.sources.pop(peer, None)
            if fetch.asked == peer:
                self._ask_next(tenant)

    def on_peer_revisions(
        self, peer: str, revisions: Mapping[str, int]
    ) -> None:
        """Compare the revisions in a peer's ping with the own ones."""
        for tenant, revision in revisions.items():
            self._on_revision(peer, tenant, revision)

    def on_message(self, peer: str, item: message.Message) -> None:
        """Handle a configuration message or the revisions of a ping."""
        if isinstance(item, messages_configuration.ConfigAnnounce):
            self._on_revision(peer, item.tenant, item.revision)
        elif isinstance(item, messages_configuration.ConfigFetch):
            self._on_fetch(peer, item)
        elif isinstance(item, messages_configuration.ConfigDocument):
            self._on_document(peer, item)
        elif isinstance(item, messages_session.Ping):
            self.on_peer_revisions(peer, item.config_revisions)

    def _is_wanted(self, tenant: str, revision: int) -> bool:
        if self._tenants and tenant not in self._tenants:
            return False
        return revision > self.revision(tenant)

    def _on_revision(self, peer: str, tenant: str, revision: int) -> None:
        own = self.revision(tenant)
        if revision < own:
            self._announce(peer, tenant)
        elif self._is_wanted(tenant, revision):
            fetch = self._fetches.setdefault(tenant, _Fetch({}))
            if len(fetch.sources) < MAX_SOURCES or peer in fetch.sources:
                fetch.sources[peer] = revision
                fetch.asks.pop(peer, None)
            if not fetch.asked:
                self._ask_next(tenant)

    def _ask_next(self, tenant: str) -> None:
        fetch = self._fetches[tenant]
        if fetch.timer is not None:
            fetch.timer.cancel()
        own = self.revision(tenant)
        sources = {
            peer: revision
            for peer, revision in fetch.sources.items()
            if revision > own
        }
        if not sources:
            del self._fetches[tenant]
            return
        highest = max(sources.values())
        peers = [peer for peer in sources if sources[peer] == highest]
        fetch.asked = self._random.choice(peers)
        asks = fetch.asks.get(fetch.asked, 0) + 1
        fetch.asks[fetch.asked] = asks
        if asks >= FETCHES_PER_SOURCE:
            del sources[fetch.asked]
        fetch.sources = sources
        fetch.timer = self._clock.call_later(
            FETCH_TIMEOUT_MS, self._ask_next, tenant
        )
        self.counters.fetches_sent += 1
        self._outbox.send(
            fetch.asked, messages_configuration.ConfigFetch(tenant, own)
        )

    def _end_fetch(self, tenant: str) -> None:
        fetch = self._fetches.pop(tenant, None)
        if fetch is not None and fetch.timer is not None:
            fetch.timer.cancel()

    def _on_fetch(
        self, peer: str, item: messages_configuration.ConfigFetch
    ) -> None:
        configuration = self._in_force.get(item.tenant)
        if (
            configuration is None
            or configuration.revision <= item.above_revision
        ):
            return
        content = self._content(configuration, item.above_revision)
        if content is None:
            return
        self.counters.documents_sent += 1
        self._outbox.send(
            peer,
            messages_configuration.ConfigDocument(
                item.tenant, configuration.revision, content
            ),
        )

    def _content(
        self, configuration: Configuration, above_revision: int
    ) -> bytes | None:
        tenant = configuration.tenant
        base = self._kept[tenant].get(above_revision)
        encoded = self._contents[tenant]
        number = base.revision if base is not None else 0
        if number not in encoded:
            try:
                encoded[number] = (
                    configuration_delta.encode(base, configuration)
                    if base is not None
                    else document_codec.encode_configuration(configuration)
                )
            except exceptions.DocumentInvalid:
                # Not reached for a document that the store has accepted.
                self.counters.documents_refused += 1
                return None
        if base is not None:
            self.counters.deltas_sent += 1
        return encoded[number]

    def _on_document(
        self, peer: str, item: messages_configuration.ConfigDocument
    ) -> None:
        if not self._is_wanted(item.tenant, item.revision):
            return
        try:
            configuration = configuration_delta.decode(
                item.content, self._kept.get(item.tenant, {})
            )
        except exceptions.DeltaBaseUnknown:
            # Revision 0 asks for the whole document.
            self.counters.fetches_sent += 1
            self._outbox.send(
                peer, messages_configuration.ConfigFetch(item.tenant, 0)
            )
            return
        except exceptions.DocumentInvalid:
            self._refuse(peer, item.tenant)
            return
        if (configuration.tenant, configuration.revision) != (
            item.tenant,
            item.revision,
        ):
            self._refuse(peer, item.tenant)
            return
        self._take(configuration, peer)

    def _refuse(self, peer: str, tenant: str) -> None:
        self.counters.documents_refused += 1
        fetch = self._fetches.get(tenant)
        if fetch is not None and fetch.asked == peer:
            fetch.sources.pop(peer, None)
            self._ask_next(tenant)

    def _take(self, configuration: Configuration, source: str) -> None:
        tenant = configuration.tenant
        old = self._in_force.get(tenant)
        if old is not None:
            configuration = configuration_delta.share_unchanged(
                old, configuration
            )
        self._in_force[tenant] = configuration
        self._contents[tenant] = {}
        kept = self._kept.setdefault(tenant, {})
        kept[configuration.revision] = configuration
        if len(kept) > KEPT_REVISIONS:
            del kept[min(kept)]
        self.counters.documents_taken += 1
        if tenant in self._fetches:
            fetch = self._fetches[tenant]
            if any(r > configuration.revision for r in fetch.sources.values()):
                self._ask_next(tenant)
            else:
                self._end_fetch(tenant)
        for listener in list(self._listeners):
            listener(configuration, old)
        self._announce_round(tenant, source)
        self._clock.call_later(
            ANNOUNCE_AGAIN_MS, self._announce_round, tenant, source
        )

    def _announce_round(self, tenant: str, source: str) -> None:
        peers = [peer for peer in self._connected if peer != source]
        count = min(ANNOUNCE_PEERS, len(peers))
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
        candidates = list({**self._connected, **dict.fromkeys(self._known)})
        count = min(ANTI_ENTROPY_PEERS, len(candidates))
        for peer in self._random.sample(candidates, count):
            self._announce_all(peer)
