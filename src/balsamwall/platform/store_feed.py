"""Local copy of the store's keys, kept current by a watch."""

from __future__ import annotations

import dataclasses
import functools
from typing import TYPE_CHECKING
import urllib.parse

import eliot

from balsamwall.infrastructure import key_value_service
from balsamwall.platform import feed_confirmation
from balsamwall.platform import feed_watch
from balsamwall.platform import store_documents
from balsamwall.platform import store_revision

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from balsamwall.infrastructure import http_client
    from balsamwall.timing import clock as clock_module

# The store responds to a watch without events after this time. It is short, so
# that a dead connection is detected within the time in which changes must take
# effect.
WATCH_WAIT_MS = 1_500
WATCH_TIMEOUT_MS = WATCH_WAIT_MS + 700
# After a pause of the process the first watch is short, since API keys are not
# accepted until its response confirms the configuration.
RESUMED_WATCH_WAIT_MS = 1
# Delay after events, so that changes in quick succession share a call. Every
# reader makes a call for each change, so the delay grows with the number of
# readers. The maximum leaves time to apply a change within a second.
BATCH_DELAY_PER_READER_MS = 30
MIN_BATCH_DELAY_MS = 200
MAX_BATCH_DELAY_MS = 900
READ_TIMEOUT_MS = 1_500
# Without an update relayed by the coordinator for this time, the feed reads
# the store itself. The coordinator relays several times a second, and a change
# must take effect within two seconds.
RELAY_TIMEOUT_MS = 1_000
# Random delay before the feed reads a change that was relayed in part, so that
# not all entries call the store at the same moment.
RELAY_READ_JITTER_MS = 100
# The same for a restored store, which every entry reads in full. A fleet with
# many servers needs several calls for it, and all entries together may make
# some thousand a second.
RESTORE_READ_JITTER_PER_READER_MS = 3
MAX_RESTORE_READ_JITTER_MS = 900
# The delay after a failed call starts at the first value and doubles up to the
# second. Each delay is reduced at random by up to half.
MIN_BACKOFF_MS = 60
MAX_BACKOFF_MS = 400
# HTTP status of a watch whose start revision the store no longer has.
GONE_STATUS = 410


class StoreFeed:
    """Read all keys once, then follow the changes by long polling.

    Calls to the store are costly, so that all watches share one call.

    Load pattern: the store returns from a copy some seconds old. Revisions go
    back and are given out again, so that they are compared with their era.
    """

    __slots__ = (
        "_backoff_ms",
        "_cancel_call",
        "_clock",
        "_era",
        "_is_stopped",
        "_items",
        "_state_listeners",
        "_pages",
        "_random",
        "_readers",
        "_restore_listeners",
        "_relayed_ms",
        "_request",
        "_revision",
        "_snapshot_revision",
        "_timer",
        "_transient_prefixes",
        "_update_listeners",
        "_watches",
        "confirmation",
        "is_connected",
        "is_synced",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        random_source: random.Random,
        request: Callable[..., Callable[[], None]],
    ) -> None:
        self._clock = clock
        self._random = random_source
        self._request = request
        self._watches: list[feed_watch.FeedWatch] = []
        self._items: dict[str, key_value_service.KeyValue] = {}
        self._transient_prefixes: tuple[str, ...] = ()
        self._pages: dict[str, key_value_service.KeyValue] = {}
        self._revision = 0
        # Newest era of the store that was seen, maybe by another call.
        self._era = 0
        # Revision of the last complete read.
        self._snapshot_revision = 0
        self._readers = 1
        self._backoff_ms = MIN_BACKOFF_MS
        self._is_stopped = False
        self.confirmation = feed_confirmation.FeedConfirmation(clock)
        self._timer: clock_module.Timer | None = None
        self._cancel_call: Callable[[], None] | None = None
        self._state_listeners: list[Callable[[bool], None]] = []
        self._update_listeners: list[
            Callable[[key_value_service.StoreUpdate], None]
        ] = []
        self._restore_listeners: list[Callable[[], None]] = []
        # When an update was relayed that left no gap, None for never.
        self._relayed_ms: int | None = None
        # False before the first complete read, and after a failed call until
        # the next complete read or response to a watch.
        self.is_connected = False
        # Whether all keys have been read at least once.
        self.is_synced = False

    def add(
        self,
        key: str,
        on_change: Callable[[key_value_service.KeyValue], None],
        is_prefix: bool,
    ) -> feed_watch.FeedWatch:
        """Deliver the current values, then each newer one.

        The current values are delivered before this returns. The value of a
        deleted key is None.
        """
        watch = feed_watch.FeedWatch(key, on_change, is_prefix, self.remove)
        self._watches.append(watch)
        for item in list(self._items.values()):
            if item.value is not None and watch.matches(item.key):
                watch.notify(item)
        return watch

    def keep_no_items(self, prefix: str) -> None:
        """Keep nothing of the keys under a prefix after their delivery.

        Their watches must be added before the start. They see each value at
        least once, again after each complete read, and no deletion.
        """
        self._transient_prefixes += (prefix,)

    def remove(self, watch: feed_watch.FeedWatch) -> None:
        """Remove a watch; idempotent."""
        if watch in self._watches:
            self._watches.remove(watch)

    def add_state_listener(self, listener: Callable[[bool], None]) -> None:
        """Call a function when the connection is lost or restored.

        Its argument is True if the store is connected now.
        """
        self._state_listeners.append(listener)

    def add_update_listener(
        self, listener: Callable[[key_value_service.StoreUpdate], None]
    ) -> None:
        """Call a function with each response of the store to this feed.

        Responses from before a pause of the process are left out, since
        others would take them for the present state.
        """
        self._update_listeners.append(listener)

    def add_restore_listener(self, listener: Callable[[], None]) -> None:
        """Call a function when the store turns out to be restored.

        It returned from a copy, which is about to be read. All its items are
        newer than the known ones by their revision, but may be older in fact.
        """
        self._restore_listeners.append(listener)

    @property
    def era(self) -> int:
        """Return the newest era of the store that is known."""
        return self._era

    def on_era(self, era: int) -> None:
        """Read all keys again if the store has been restored.

        Events of the new era would leave out what the copy changed.
        """
        if self._is_stopped or not self.is_synced or era <= self._era:
            return
        self._on_restored(era)
        if self._timer is None and self._cancel_call is not None:
            self._cancel_call()
        elif self._timer is not None:
            self._timer.cancel()
        jitter_ms = min(
            MAX_RESTORE_READ_JITTER_MS,
            max(
                RELAY_READ_JITTER_MS,
                RESTORE_READ_JITTER_PER_READER_MS * self._readers,
            ),
        )
        delay_ms = int(jitter_ms * self._random.random())
        self._timer = self._clock.call_later(delay_ms, self.start)

    @property
    def _is_restore_unread(self) -> bool:
        """Return whether the known items are of an earlier era."""
        known = store_revision.of_ordered(self._revision)
        return self.is_synced and known.era < self._era

    def _on_restored(self, era: int) -> None:
        """Treat the known items as those of before an outage."""
        eliot.log_message(
            "store_restored",
            era=era,
            known_era=self._era,
            known_revision=store_revision.of_ordered(self._revision).number,
        )
        self._era = era
        self._set_connected(False)
        for listener in self._restore_listeners:
            feed_watch.call_listener("restore", listener)

    def apply_update(self, update: key_value_service.StoreUpdate) -> None:
        """Apply an update that the coordinator has read from the store.

        While such updates leave no gap, the feed does not call the store. A
        value never replaces a newer one, whoever has read it. An update of
        another era is not applied: what the coordinator has not noticed yet
        is in the past, and a restored store is read by each feed.
        """
        if self._is_stopped or not self.is_synced:
            return
        era = store_revision.of_ordered(update.revision).era
        if era != self._era or self._is_restore_unread:
            self.on_era(era)
            return
        # The changes of a coordinator that has read the restored store are
        # relative to its own items of before.
        since = store_revision.of_ordered(update.after_revision)
        has_gap = update.after_revision > self._revision or since.era != era
        is_whole = not has_gap and update.is_complete
        is_confirmed = is_whole and self.confirmation.on_relayed()
        if is_whole:
            self._set_connected(True)
            self._revision = max(self._revision, update.revision)
            self._relayed_ms = self._clock.now_ms()
        for item in update.items:
            if not self._is_deleted(item):
                self._deliver(item)
        if self._timer is None:
            # A call is in progress, and its response has the changes.
            return
        if not is_confirmed:
            self._watch_soon()
            return
        self._timer.cancel()
        self._timer = self._clock.call_later(RELAY_TIMEOUT_MS, self._watch)

    def _watch_soon(self) -> None:
        """Replace the pending call by one after a short random delay."""
        if self._timer is not None:
            self._timer.cancel()
        delay_ms = int(RELAY_READ_JITTER_MS * self._random.random())
        self._timer = self._clock.call_later(delay_ms, self._watch)

    def stop_relay(self) -> None:
        """Call the store again, since no more updates are relayed."""
        if self._relayed_ms is None:
            return
        self._relayed_ms = None
        if self._timer is not None:
            self._watch_soon()

    @property
    def batch_delay_ms(self) -> int:
        """Return the delay between events and the next watch call."""
        delay_ms = BATCH_DELAY_PER_READER_MS * self._readers
        return min(MAX_BATCH_DELAY_MS, max(MIN_BATCH_DELAY_MS, delay_ms))

    def set_readers(self, count: int) -> None:
        """Set the number of processes that watch the store."""
        self._readers = count

    def start(self) -> None:
        """Read all keys, then watch for changes."""
        self._pages = {}
        self._read_page("", 0)

    def stop(self) -> None:
        """Cancel the pending call and make no further one."""
        self._is_stopped = True
        if self._timer is not None:
            self._timer.cancel()
        if self._cancel_call is not None:
            self._cancel_call()

    # Reading all keys

    def _read_page(self, after: str, first_revision: int) -> None:
        self._timer = None
        query = {"path_prefix": ""}
        if after:
            query["after"] = after
        else:
            self.confirmation.on_call()

        def on_answer(answer: http_client.HttpResponse) -> None:
            self._on_page(answer, first_revision)

        path = f"/kv-range?{urllib.parse.urlencode(query)}"
        self._cancel_call = self._request(
            "GET", path, None, READ_TIMEOUT_MS, on_answer
        )

    def _on_page(
        self, answer: http_client.HttpResponse, first_revision: int
    ) -> None:
        page = store_documents.read_page(answer, "items", self._era)
        if page is None or (page.is_truncated and not page.items):
            self._retry(self.start, answer)
            return
        era = store_revision.of_ordered(page.revision).era
        if first_revision:
            is_same = store_revision.of_ordered(first_revision).era == era
        else:
            is_same = self._begin_era(era)
        if not is_same:
            eliot.log_message("store_pages_of_two_eras", era=era)
            self._retry(self.start, answer)
            return
        for item in page.items:
            self._pages[item.key] = item
        # Pages are not an atomic snapshot, so the watch starts at the revision
        # of the first page.
        first_revision = first_revision or page.revision
        if page.is_truncated:
            self._read_page(page.items[-1].key, first_revision)
            return
        self._on_snapshot_read(first_revision)

    def _begin_era(self, era: int) -> bool:
        """Set the era of a complete read; return False if it is outdated."""
        known_era = store_revision.of_ordered(self._revision).era
        if self.is_synced and era < known_era:
            return False
        if self.is_synced and era > self._era:
            self._on_restored(era)
        self._era = era
        return True

    def _on_snapshot_read(self, revision: int) -> None:
        is_recent = self.confirmation.on_response()
        self._set_connected(True)
        pages, self._pages = self._pages, {}
        changes = [*pages.values()]
        if self._is_restore_unread:
            changes = [
                dataclasses.replace(item, is_restored=True) for item in changes
            ]
        for key, known in list(self._items.items()):
            if known.value is None:
                # No older event follows this read, so the tombstone is not
                # needed any more.
                del self._items[key]
            elif key not in pages and known.revision <= revision:
                deleted_revision = max(revision, known.revision + 1)
                changes.append(
                    key_value_service.KeyValue(key, None, deleted_revision)
                )
        for item in changes:
            self._deliver(item)
        after_revision, self._revision = self._revision, revision
        self._snapshot_revision = revision
        self.is_synced = True
        if is_recent:
            self._on_update(after_revision, tuple(changes))
        self._schedule_watch(0)

    # Following changes

    def _watch(self) -> None:
        self._timer = None
        if self._is_stopped:
            return
        if self._is_restore_unread:
            self.start()
            return
        is_behind = self.confirmation.is_behind
        self.confirmation.on_call()
        query = urllib.parse.urlencode(
            {
                "path_prefix": "",
                "after": store_revision.of_ordered(self._revision).number,
                "wait_ms": RESUMED_WATCH_WAIT_MS
                if is_behind
                else WATCH_WAIT_MS,
            }
        )
        self._cancel_call = self._request(
            "GET",
            f"/kv-watch?{query}",
            None,
            WATCH_TIMEOUT_MS,
            self._on_events,
        )

    def _on_events(self, answer: http_client.HttpResponse) -> None:
        if answer.status == GONE_STATUS:
            eliot.log_message(
                "store_history_lost",
                revision=store_revision.of_ordered(self._revision).number,
            )
            self.start()
            return
        page = store_documents.read_page(answer, "events", self._era)
        if page is None:
            self._retry(self._watch, answer)
            return
        era = store_revision.of_ordered(page.revision).era
        if era > self._era:
            self._on_restored(era)
            self.start()
            return
        if era < self._era:
            eliot.log_message("store_era_outdated", era=era, known=self._era)
            self._retry(self._watch, answer)
            return
        is_recent = self.confirmation.on_response()
        self._set_connected(True)
        for item in page.items:
            self._deliver(item)
        after_revision = self._revision
        self._revision = max(self._revision, page.revision)
        if is_recent:
            self._on_update(after_revision, page.items)
        self._schedule_watch(self.batch_delay_ms if page.has_rows else 0)

    def _on_update(
        self,
        after_revision: int,
        items: tuple[key_value_service.KeyValue, ...],
    ) -> None:
        update = key_value_service.StoreUpdate(
            after_revision, self._revision, items
        )
        for listener in self._update_listeners:
            feed_watch.call_listener(
                "update", functools.partial(listener, update)
            )

    def _schedule_watch(self, delay_ms: int) -> None:
        """Make the next call after a delay, or when the relay has ended."""
        if self.confirmation.is_behind:
            delay_ms = 0
        elif self._relayed_ms is not None:
            silent_ms = self._clock.now_ms() - self._relayed_ms
            delay_ms = max(delay_ms, RELAY_TIMEOUT_MS - silent_ms)
        if delay_ms > 0:
            self._timer = self._clock.call_later(delay_ms, self._watch)
        else:
            self._watch()

    def _is_deleted(self, item: key_value_service.KeyValue) -> bool:
        """Return whether a relayed item was deleted before the last read.

        A coordinator that lags may relay a value from before the read, whose
        key the read did not contain any more.
        """
        is_older = item.revision <= self._snapshot_revision
        return is_older and item.key not in self._items

    def _deliver(self, item: key_value_service.KeyValue) -> None:
        """Deliver an item unless the known one is as new or newer."""
        known = self._items.get(item.key)
        if known is not None and item.revision <= known.revision:
            return
        if item.value is None and known is None:
            return
        if not item.key.startswith(self._transient_prefixes):
            self._items[item.key] = item
        for watch in list(self._watches):
            if watch.matches(item.key):
                watch.notify(item)

    def _retry(
        self, call: Callable[[], None], answer: http_client.HttpResponse
    ) -> None:
        if self._is_stopped:
            return
        if self.is_connected:
            eliot.log_message(
                "store_lost", status=answer.status, reason=answer.reason
            )
        self._set_connected(False)
        delay_ms = int(self._backoff_ms * self._random.uniform(0.5, 1.0))
        self._backoff_ms = min(MAX_BACKOFF_MS, 2 * self._backoff_ms)
        self._timer = self._clock.call_later(delay_ms, call)

    def _set_connected(self, is_connected: bool) -> None:
        if is_connected:
            self._backoff_ms = MIN_BACKOFF_MS
        if is_connected == self.is_connected:
            return
        self.is_connected = is_connected
        if is_connected:
            eliot.log_message("store_connected", revision=self._revision)
        for listener in self._state_listeners:
            listener(is_connected)
