"""Tests of the local copy of the store's keys."""

from __future__ import annotations

import base64
import json
import random
import unittest
from unittest import mock
import urllib.parse

from balsamwall.infrastructure import http_client
from balsamwall.infrastructure import key_value_service
from balsamwall.platform import store_feed
from tests.fixtures import pausing_clock


def row(key, value, revision):
    encoded = base64.b64encode(value.encode()).decode()
    return {"key": key, "value": encoded, "revision": revision, "lease": 0}


class ScriptedStore:
    """Store whose responses a test sends explicitly."""

    def __init__(self):
        self.calls = []
        self.era = None  # stated in the responses, unless it is None

    def request(self, method, path, body, timeout_ms, callback):
        url = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(url.query))
        self.calls.append((url.path, query, callback))
        return lambda: None

    def answer(self, status=200, **rows):
        callback = self.calls[-1][2]
        body = json.dumps(rows).encode()
        headers = {} if self.era is None else {"store-era": str(self.era)}
        callback(http_client.HttpResponse(status, headers, body, True, ""))

    @property
    def last(self):
        return self.calls[-1][:2]


class FeedTestCase(unittest.TestCase):
    """Feed of a scripted store, with the changes that it delivered."""

    def setUp(self):
        self.clock = pausing_clock.PausingClock()
        self.store = ScriptedStore()
        self.feed = store_feed.StoreFeed(
            self.clock, random.Random(1), self.store.request
        )
        self.seen = []
        self.states = []
        self.feed.add_state_listener(self.states.append)
        self.feed.add("s/", self.record_change, is_prefix=True)
        self.feed.start()

    def record_change(self, item):
        value = item.value.decode() if item.value is not None else None
        self.seen.append((item.key, value))

    def read(self, *items, revision=10):
        self.store.answer(
            items=list(items), truncated=False, current_rev=revision
        )


class StoreFeedTest(FeedTestCase):
    """Each change is delivered once, in the order of revisions."""

    def test_watch_starts_at_the_first_page(self):
        """Guards against losing changes between two pages."""
        first = row("s/a", "1", 5)
        self.store.answer(items=[first], truncated=True, current_rev=10)
        self.assertEqual(self.store.last[1]["after"], "s/a")
        self.read(row("s/b", "1", 11), revision=12)
        path, query = self.store.last
        self.assertEqual((path, query["after"]), ("/kv-watch", "10"))

    def test_event_already_read_is_not_delivered_again(self):
        """Guards against delivering an older value after a newer one."""
        self.read(row("s/a", "2", 9))
        self.store.answer(
            events=[row("s/a", "1", 8), row("s/a", "2", 9)], current_rev=10
        )
        self.assertEqual(self.seen, [("s/a", "2")])

    def test_lost_history_triggers_a_full_read(self):
        """Guards against missing the deletion of a key."""
        self.read(row("s/a", "1", 5), row("s/b", "1", 6))
        self.store.answer(status=410)
        self.assertEqual(self.store.last[0], "/kv-range")
        self.read(row("s/b", "2", 20), revision=21)
        self.assertEqual(self.seen[2:], [("s/b", "2"), ("s/a", None)])

    def test_key_recreated_after_a_lost_history_is_delivered(self):
        """Guards against a server that stays unknown."""
        self.read(row("s/a", "1", 5))
        self.store.answer(status=410)
        self.read(revision=20)
        self.store.answer(events=[row("s/a", "2", 21)], current_rev=21)
        self.assertEqual(self.seen[-1], ("s/a", "2"))

    def test_failed_watch_is_retried(self):
        """Guards against late delivery after a failed call."""
        self.read()
        self.store.answer(status=503)
        self.assertEqual(self.states, [True, False])
        self.clock.advance(store_feed.MAX_BACKOFF_MS)
        self.assertEqual(self.store.last[0], "/kv-watch")
        self.store.answer(events=[], current_rev=10)
        self.assertEqual(self.states, [True, False, True])

    def test_invalid_item_does_not_stop_the_feed(self):
        """Guards against one invalid item that hides all other keys."""
        bad = {"key": "s/a", "value": "%%%", "revision": 5}
        self.read(bad, row("s/b", "1", 6))
        self.assertEqual(self.seen, [("s/b", "1")])

    def test_failure_of_a_listener_is_contained(self):
        """Guards against a feed that one odd item ends for all others."""

        def fail(item):
            raise OverflowError("secret")

        self.feed.add("s/", fail, is_prefix=True)
        self.feed.add_update_listener(fail)
        with mock.patch("eliot.log_message") as log:
            self.read(row("s/a", "1", 5), row("s/b", "1", 6))
            self.feed.add("s/", fail, is_prefix=True)
        self.assertEqual(self.seen, [("s/a", "1"), ("s/b", "1")])
        self.assertEqual(self.store.last[0], "/kv-watch")
        names = [call.args[0] for call in log.call_args_list]
        self.assertEqual(names.count("store_listener_failed"), 5)
        self.assertNotIn("secret", str(log.call_args_list))

    def test_nothing_is_kept_of_transient_keys(self):
        """Guards against memory that grows with each key ever written."""
        self.feed.add("t/", self.record_change, is_prefix=True)
        self.feed.keep_no_items("t/")
        updates = []
        self.feed.add_update_listener(updates.append)
        self.read(row("s/a", "1", 5), row("t/1", "x", 6))
        deleted = {"key": "t/1", "revision": 12, "deleted": True}
        self.store.answer(
            events=[row("t/2", "y", 11), deleted], current_rev=12
        )
        self.clock.advance(store_feed.MIN_BATCH_DELAY_MS)
        self.store.answer(events=[row("s/a", "2", 13)], current_rev=13)
        self.assertEqual(
            self.seen, [("s/a", "1"), ("t/1", "x"), ("t/2", "y"), ("s/a", "2")]
        )
        self.assertEqual(list(self.feed._items), ["s/a"])
        # The revisions are those of the store.
        self.assertEqual([item.revision for item in updates], [10, 12, 13])
        self.clock.advance(store_feed.MIN_BATCH_DELAY_MS)
        self.store.answer(status=410)
        self.read(row("s/a", "2", 13), row("t/2", "y", 11), revision=20)
        self.assertEqual(self.seen[4:], [("t/2", "y")])

    def test_batch_delay_grows_with_the_number_of_readers(self):
        """Guards against a call rate that is quadratic in the fleet size."""
        self.read()
        self.feed.set_readers(28)
        self.store.answer(events=[row("s/a", "1", 11)], current_rev=11)
        calls = len(self.store.calls)
        self.clock.advance(store_feed.MIN_BATCH_DELAY_MS)
        self.assertEqual(len(self.store.calls), calls)
        self.clock.advance(store_feed.MAX_BATCH_DELAY_MS)
        self.assertEqual(len(self.store.calls), calls + 1)

    def test_page_without_a_list_of_items_is_read_again(self):
        """Guards against an exception that ends the feed for ever."""
        for items in (None, 7, {"key": "s/a"}):
            self.store.answer(items=items, truncated=False, current_rev=3)
            self.clock.advance(store_feed.MAX_BACKOFF_MS)
        self.read(row("s/a", "1", 5))
        self.assertEqual(self.seen, [("s/a", "1")])

    def test_invalid_items_are_skipped(self):
        """Guards against one writer that hides the items of the others."""
        invalid = [{"value": "", "revision": 5}, "text", None]
        items = [row("s/a", "1", 5), *invalid]
        self.store.answer(items=items, truncated=True, current_rev=10)
        self.assertEqual(self.store.last[1]["after"], "s/a")

    def test_revision_of_another_type_is_not_followed(self):
        """Guards against a watch from a revision that no store has."""
        self.store.answer(items=[], truncated=False, current_rev="12")
        self.clock.advance(store_feed.MAX_BACKOFF_MS)
        self.assertEqual(self.store.last[0], "/kv-range")

    def test_events_of_another_type_are_read_again(self):
        """Guards against an exception that ends the watch for ever."""
        self.read()
        self.store.answer(events=7, current_rev=11)
        self.clock.advance(store_feed.MAX_BACKOFF_MS)
        path, query = self.store.last
        self.assertEqual((path, query["after"]), ("/kv-watch", "10"))

    def test_values_of_invalid_items_are_not_logged(self):
        """Guards against a log with the API keys of a configuration."""
        bad = {"key": "op/config", "value": "c2VjcmV0"}
        with mock.patch("eliot.log_message") as log:
            self.read(bad, "c2VjcmV0")
        names = [call.args[0] for call in log.call_args_list]
        self.assertEqual(names.count("store_item_unreadable"), 2)
        self.assertNotIn("c2VjcmV0", str(log.call_args_list))

    def test_response_from_before_a_pause_is_not_passed_on(self):
        """Guards against a relay of old responses that confirms keys."""
        updates = []
        self.feed.add_update_listener(updates.append)
        self.read()
        self.clock.pause(5_000)
        self.store.answer(events=[row("s/a", "1", 11)], current_rev=11)
        self.assertEqual((len(updates), self.seen), (1, [("s/a", "1")]))
        self.assertEqual(self.store.last[1]["wait_ms"], "1")
        self.store.answer(events=[], current_rev=11)
        self.assertEqual((len(updates), updates[-1].after_revision), (2, 11))

    def test_deeply_nested_response_is_read_again(self):
        """Guards against a RecursionError that ends the feed for ever."""
        body = b"[" * 100_000
        response = http_client.HttpResponse(200, {}, body, True, "")
        self.store.calls[-1][2](response)
        self.clock.advance(store_feed.MAX_BACKOFF_MS)
        self.read(row("s/a", "1", 5))
        self.assertEqual(self.seen, [("s/a", "1")])


def update(after_revision, revision, *items, is_complete=True):
    rows = tuple(
        key_value_service.KeyValue(key, value.encode(), item_revision)
        for key, value, item_revision in items
    )
    return key_value_service.StoreUpdate(
        after_revision, revision, rows, is_complete
    )


class RelayedFeedTest(FeedTestCase):
    """Load pattern: many entries, one of which reads for all of them."""

    def setUp(self):
        super().setUp()
        self.read()
        self.store.answer(events=[row("s/a", "1", 11)], current_rev=11)

    def relay(self, *updates):
        """Apply updates, one each 200 ms; return the calls to the store."""
        calls = len(self.store.calls)
        for item in updates:
            self.feed.apply_update(item)
            self.clock.advance(200)
        return len(self.store.calls) - calls

    def test_relayed_feed_does_not_call_the_store(self):
        """Guards against calls that grow with entries times changes."""
        updates = [update(11 + i, 12 + i) for i in range(50)]
        self.assertEqual(self.relay(*updates), 0)

    def test_relayed_change_is_delivered(self):
        """Guards against a drain that is not seen."""
        self.relay(update(11, 14, ("s/a", "2", 13)))
        self.assertEqual(self.seen[-1], ("s/a", "2"))

    def test_silent_relay_is_replaced_by_a_call(self):
        """Guards against news missed after the coordinator lost the store."""
        self.assertEqual(self.relay(update(11, 14)), 0)
        self.clock.advance(store_feed.RELAY_TIMEOUT_MS)
        path, query = self.store.last
        self.assertEqual((path, query["after"]), ("/kv-watch", "14"))

    def test_lost_relay_is_replaced_by_a_call(self):
        """Guards against a wait for a coordinator whose stream has ended."""
        self.relay(update(11, 14))
        self.feed.stop_relay()
        self.clock.advance(store_feed.RELAY_READ_JITTER_MS)
        self.assertEqual(self.store.last[0], "/kv-watch")

    def test_gap_between_updates_is_read(self):
        """Guards against a change between two coordinators."""
        self.assertEqual(self.relay(update(15, 17)), 1)
        self.assertEqual(self.store.last[1]["after"], "11")

    def test_change_that_is_not_relayed_is_read(self):
        """Guards against a large configuration that no entry applies."""
        self.assertEqual(self.relay(update(11, 14, is_complete=False)), 1)
        self.assertEqual(self.store.last[1]["after"], "11")

    def test_relayed_value_never_replaces_a_newer_one(self):
        """Guards against a lagging coordinator that reverts a version."""
        self.relay(update(0, 9, ("s/a", "0", 9)))
        self.assertEqual(self.seen, [("s/a", "1")])
        self.clock.advance(2 * store_feed.RELAY_TIMEOUT_MS)
        self.assertEqual(self.store.last[1]["after"], "11")

    def test_relay_after_an_outage_connects_before_it_delivers(self):
        """Guards against removals without grace just after an outage."""
        self.clock.advance(store_feed.MAX_BATCH_DELAY_MS)
        self.store.answer(status=503)
        states = []
        self.feed.add(
            "s/a", lambda item: states.append(self.feed.is_connected), False
        )
        states.clear()
        self.relay(update(11, 14, ("s/a", "2", 13)))
        self.assertEqual(states, [True])

    def test_relayed_value_of_a_deleted_key_is_ignored(self):
        """Guards against a server that left being used after a restart.

        A coordinator that was suspended relays what it had read before.
        """
        self.relay(update(0, 9, ("s/left", "1", 9)))
        self.assertEqual(self.seen, [("s/a", "1")])

    def test_relayed_value_of_a_recreated_key_is_delivered(self):
        """Guards against a server that returns and stays unknown."""
        self.relay(update(11, 12, ("s/left", "2", 12)))
        self.assertEqual(self.seen[-1], ("s/left", "2"))
