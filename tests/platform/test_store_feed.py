"""Tests of the local copy of the store's keys."""

from __future__ import annotations

import base64
import json
import random
import unittest
import urllib.parse

from balsamwall.infrastructure import http_client
from balsamwall.platform import store_feed
from balsamwall.timing import virtual_clock


def row(key, value, revision):
    encoded = base64.b64encode(value.encode()).decode()
    return {"key": key, "value": encoded, "revision": revision, "lease": 0}


class ScriptedStore:
    """Store whose responses a test sends explicitly."""

    def __init__(self):
        self.calls = []

    def request(self, method, path, body, timeout_ms, callback):
        url = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(url.query))
        self.calls.append((url.path, query, callback))
        return lambda: None

    def answer(self, status=200, **rows):
        callback = self.calls[-1][2]
        body = json.dumps(rows).encode()
        callback(http_client.HttpResponse(status, {}, body, True, ""))

    @property
    def last(self):
        return self.calls[-1][:2]


class StoreFeedTest(unittest.TestCase):
    """Each change is delivered once, in the order of revisions."""

    def setUp(self):
        self.clock = virtual_clock.VirtualClock()
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
