"""Pass the configurations from a watch on a document to the replica."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.configuration import document_codec
from balsamwall.configuration import exceptions
from balsamwall.configuration import watcher_choice

if TYPE_CHECKING:
    from collections.abc import Iterable
    import random

    from balsamwall.configuration import configuration_replica
    from balsamwall.configuration import configuration_store
    from balsamwall.configuration import key_value_client
    from balsamwall.timing import clock as timing_clock

# A watch can stop delivering without an error. A new watch starts with the
# current value.
MIN_RENEW_INTERVAL_MS = 60_000
MAX_RENEW_INTERVAL_MS = 90_000


class ConfigurationWatcher:
    """Watch a document while this process is a watcher of its zone.

    Other processes do not watch the key-value service; their replicas
    receive configurations from peers. `on_members` also sets the known peers
    of the replica.
    """

    __slots__ = (
        "_availability_zone",
        "_clock",
        "_generation",
        "_is_active",
        "_random",
        "_replica",
        "_store",
        "_tenant",
        "_timer",
        "_vm",
        "_watch",
        "documents_refused",
    )

    def __init__(
        self,
        clock: timing_clock.Clock,
        store: configuration_store.ConfigurationStore,
        replica: configuration_replica.ConfigurationReplica,
        random_source: random.Random,
        tenant: str,
        vm: str,
        availability_zone: str,
    ) -> None:
        self._clock = clock
        self._store = store
        self._replica = replica
        self._random = random_source
        self._tenant = tenant
        self._vm = vm
        self._availability_zone = availability_zone
        self._is_active = False
        self._generation = 0
        self.documents_refused = 0
        self._timer: timing_clock.Timer | None = None
        self._watch: key_value_client.Watch | None = None

    @property
    def is_active(self) -> bool:
        """Return whether this process currently watches the document."""
        return self._is_active

    def on_members(self, members: Iterable[tuple[str, str]]) -> None:
        """Start or stop the watch for the live VMs, as (VM, zone) pairs."""
        live = list(members)
        self._replica.set_known_peers(vm for vm, _ in live if vm != self._vm)
        is_chosen = watcher_choice.is_watcher(
            self._tenant, self._vm, self._availability_zone, live
        )
        if is_chosen and not self._is_active:
            self._is_active = True
            self._start_watch()
        elif not is_chosen and self._is_active:
            self.stop()

    def stop(self) -> None:
        """Cancel the watch; `on_members` can start it again."""
        self._is_active = False
        self._cancel_watch()

    def _cancel_watch(self) -> None:
        self._generation += 1
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None

    def _start_watch(self) -> None:
        self._cancel_watch()
        generation = self._generation

        def on_change(entry: key_value_client.KeyValueEntry) -> None:
            if generation == self._generation:
                self._offer(entry)

        watch = self._store.watch(self._tenant, on_change)
        if generation != self._generation:
            watch.cancel()
            return
        self._watch = watch
        # Random jitter keeps the watchers from reading at the same time.
        delay_ms = self._random.randint(
            MIN_RENEW_INTERVAL_MS, MAX_RENEW_INTERVAL_MS
        )
        self._timer = self._clock.call_later(delay_ms, self._start_watch)

    def _offer(self, entry: key_value_client.KeyValueEntry) -> None:
        """Offer a configuration to the replica if it is valid and newer.

        A deleted document and one of another tenant are ignored, so the
        replica keeps its configuration.
        """
        if entry.value is None:
            return
        try:
            configuration = document_codec.decode_newer(
                entry.value, self._replica.revision(self._tenant)
            )
        except exceptions.DocumentInvalid:
            self.documents_refused += 1
            return
        if configuration is not None and configuration.tenant == self._tenant:
            self._replica.offer(configuration)
