"""Tests of the feed and the client of a store that is restored from a copy."""

from __future__ import annotations

import json
import random
import unittest

from returns.result import Failure
from returns.result import Success

from balsamwall.infrastructure import http_client
from balsamwall.infrastructure import key_value_service
from balsamwall.platform import store_client
from balsamwall.platform import store_feed
from balsamwall.platform import store_revision
from balsamwall.results import result_code
from balsamwall.timing import virtual_clock
from tests.platform import test_store_feed

row = test_store_feed.row
ENDED = Failure(result_code.ResultCode.COMPARE_FAILED)


def ordered(era, number):
    return store_revision.StoreRevision(era, number).ordered


class RestoredFeedTest(test_store_feed.FeedTestCase):
    """Load pattern: revisions go back, and are given out again."""

    def setUp(self):
        super().setUp()
        self.restored = []
        self.feed.add_restore_listener(
            lambda: self.restored.append(len(self.seen))
        )
        self.store.era = 1
        self.read(row("s/a", "new", 90), row("s/b", "new", 95), revision=100)
        self.seen.clear()

    def restore(self):
        """Answer the watch from the copy, and read it."""
        self.store.era = 2
        self.store.answer(status=410)
        self.read(row("s/a", "old", 40), revision=50)

    def test_changes_after_a_restore_are_delivered(self):
        """Guards against changes that are dropped as older."""
        self.restore()
        self.store.answer(events=[row("s/c", "1", 51)], current_rev=51)
        self.assertEqual(self.seen[-1], ("s/c", "1"))
        self.clock.advance(store_feed.MAX_BATCH_DELAY_MS)
        self.assertEqual(self.store.last[1]["after"], "51")

    def test_restore_is_announced_before_the_copy_is_delivered(self):
        """Guards against the loss of servers that the copy lacks.

        They have time to write again after the store has returned.
        """
        self.restore()
        self.assertEqual(self.restored, [0])
        self.assertEqual(self.seen, [("s/a", "old"), ("s/b", None)])
        self.assertEqual(self.states, [True, False, True])

    def test_copy_is_marked(self):
        """Guards against a record of the copy that counts as written now."""
        items = []
        self.feed.add("s/", items.append, is_prefix=True)
        items.clear()
        self.restore()
        self.store.answer(events=[row("s/a", "now", 51)], current_rev=51)
        # The second one is the deletion of what the copy lacks.
        self.assertEqual(
            [item.is_restored for item in items], [True, False, False]
        )

    def test_events_of_a_restored_store_are_not_taken_alone(self):
        """Guards against changes that the copy undid and no event shows.

        The store has counted past the revision after which is watched.
        """
        self.store.era = 2
        self.store.answer(events=[row("s/c", "1", 101)], current_rev=101)
        self.assertEqual(self.seen, [])
        self.assertEqual(self.store.last[0], "/kv-range")

    def test_pages_of_two_eras_are_read_again(self):
        """Guards against a mixture of the store before and after."""
        self.store.answer(status=410)
        self.store.answer(
            items=[row("s/a", "new", 90)], truncated=True, current_rev=100
        )
        self.store.era = 2
        self.read(row("s/b", "old", 30), revision=50)
        self.assertEqual(self.seen, [])
        self.clock.advance(store_feed.MAX_BACKOFF_MS)
        self.assertNotIn("after", self.store.last[1])
        self.read(row("s/a", "old", 40), revision=50)
        self.assertEqual(self.seen, [("s/a", "old"), ("s/b", None)])

    def test_two_restores_in_a_row(self):
        """Guards against an era that is compared with the first one only."""
        self.restore()
        self.store.era = 3
        self.store.answer(status=410)
        self.read(row("s/a", "older", 20), revision=30)
        self.assertEqual(self.seen[-1], ("s/a", "older"))
        self.assertEqual(len(self.restored), 2)

    def test_response_without_an_era_is_of_the_known_one(self):
        """Guards against a response that counts as one of the first era."""
        self.restore()
        self.store.era = None
        self.store.answer(events=[row("s/c", "1", 51)], current_rev=51)
        self.assertEqual(self.seen[-1], ("s/c", "1"))

    def test_invalid_era_is_ignored(self):
        """Guards against a header that stops the feed."""
        for era in ("-1", "1e3", "9" * 400, "²", ""):
            with self.subTest(era):
                self.store.era = era
                self.store.answer(events=[], current_rev=100)
        self.store.era = 1
        self.store.answer(events=[row("s/c", "1", 101)], current_rev=101)
        self.assertEqual(self.seen, [("s/c", "1")])

    def test_era_seen_by_another_call_is_read(self):
        """Guards against a watch that waits while changes are missed."""
        self.feed.on_era(2)
        self.clock.advance(store_feed.RELAY_READ_JITTER_MS)
        self.assertEqual(self.store.last[0], "/kv-range")

    def test_reads_of_a_large_fleet_are_spread(self):
        """Guards against calls that the store refuses to all entries."""
        begun_ms = set()
        for seed in range(20):
            clock = virtual_clock.VirtualClock()
            store = test_store_feed.ScriptedStore()
            store.era = 1
            feed = store_feed.StoreFeed(
                clock, random.Random(seed), store.request
            )
            feed.start()
            store.answer(items=[], truncated=False, current_rev=1)
            feed.set_readers(300)
            feed.on_era(2)
            while len(store.calls) < 3:
                clock.advance(1)
            begun_ms.add(clock.now_ms() // store_feed.RELAY_READ_JITTER_MS)
        self.assertGreater(len(begun_ms), 5)

    def test_end_of_the_relay_does_not_replace_the_read(self):
        """Guards against a watch in the new era after an old revision."""
        self.feed.apply_update(update(1, 100, 1, 100))
        self.feed.on_era(2)
        self.feed.stop_relay()
        self.clock.advance(store_feed.RELAY_READ_JITTER_MS)
        self.assertEqual(self.store.last[0], "/kv-range")


def update(after_era, after, era, revision, *items):
    return key_value_service.StoreUpdate(
        ordered(after_era, after), ordered(era, revision), items
    )


def item(key, value, era, revision):
    return key_value_service.KeyValue(key, value, ordered(era, revision))


class RelayedRestoreTest(test_store_feed.FeedTestCase):
    """Updates that are relayed by an entry of another era."""

    def setUp(self):
        super().setUp()
        self.store.era = 1
        self.read(row("s/a", "new", 90), revision=100)
        self.seen.clear()

    def restore(self):
        self.store.era = 2
        self.store.answer(status=410)
        self.read(row("s/a", "old", 40), revision=50)
        self.seen.clear()

    def test_update_of_an_earlier_era_is_ignored(self):
        """Guards against a coordinator that has not noticed the restore."""
        self.restore()
        confirmed_ms = self.feed.confirmation.at_ms
        self.clock.advance(100)
        self.feed.apply_update(
            update(1, 100, 1, 120, item("s/a", b"newer", 1, 120))
        )
        self.assertEqual(self.seen, [])
        self.assertEqual(self.feed.confirmation.at_ms, confirmed_ms)

    def test_update_of_a_later_era_leads_to_a_read(self):
        """Guards against a relayed copy that counts as written now."""
        self.feed.apply_update(
            update(1, 100, 2, 50, item("s/a", b"old", 2, 40))
        )
        self.assertEqual(self.seen, [])
        self.clock.advance(store_feed.RELAY_READ_JITTER_MS)
        self.assertEqual(self.store.last[0], "/kv-range")
        self.feed.apply_update(update(2, 50, 2, 51))
        self.assertEqual(self.seen, [])

    def test_update_across_the_restore_leaves_a_gap(self):
        """Guards against a deletion that the coordinator can't know."""
        self.restore()
        calls = len(self.store.calls)
        self.store.answer(events=[], current_rev=50)
        self.feed.apply_update(update(1, 100, 2, 60))
        self.assertEqual(self.feed._revision, ordered(2, 50))
        self.assertGreater(len(self.store.calls), calls)


class EraHttp:
    """Client whose calls a test answers explicitly."""

    def __init__(self):
        self.calls = []
        self.era = 1

    def call(self, method, url, headers, body, timeout_ms, callback):
        path = url.partition("//")[2].partition("/")[2].partition("?")[0]
        self.calls.append((method, path, body, callback))
        return lambda: None

    def answer(self, status=200, **rows):
        method, path, _, callback = self.calls.pop()
        body = json.dumps(rows).encode()
        headers = {"store-era": str(self.era)}
        callback(http_client.HttpResponse(status, headers, body, True, ""))
        return method, path


class RestoredClientTest(unittest.TestCase):
    """Revisions and leases of before a restore."""

    def setUp(self):
        self.http = EraHttp()
        self.client = store_client.StoreClient(
            virtual_clock.VirtualClock(), random.Random(1), self.http, "h:1"
        )
        self.client.feed.start()
        self.http.answer(items=[], truncated=False, current_rev=100)
        self.results = []

    def grant(self, lease_id):
        self.client.lease(3_000, self.results.append)
        self.http.answer(lease=lease_id, ttl_ms=3_000)
        self.results.clear()

    def restore(self):
        self.http.era += 1
        self.client.get("x", lambda result: None)
        self.http.answer(status=404)
        self.http.calls.clear()

    def test_fencing_token_rises_with_a_restore(self):
        """Guards against orders that engines reject after a restore."""
        for number in (90, 12):
            self.client.compare_and_swap("k", 0, b"v", self.results.append)
            self.http.answer(revision=number)
            self.restore()
        first, second = (result.unwrap() for result in self.results)
        self.assertLess(first, second)

    def test_lease_ends_with_its_era(self):
        """Guards against a renewal of what is now the lease of another."""
        self.grant(7)
        self.restore()
        self.client.keep_alive(7, self.results.append)
        self.client.revoke(7, self.results.append)
        self.assertEqual(self.results, [ENDED, ENDED])
        self.assertEqual(self.http.calls, [])

    def test_renewal_in_the_next_era_does_not_count(self):
        """Guards against two holders of one lease identifier."""
        self.grant(7)
        self.client.keep_alive(7, self.results.append)
        self.http.era = 2
        self.http.answer(ttl_ms=3_000)
        self.assertEqual(self.results, [ENDED])

    def test_lease_of_the_present_era_is_renewed(self):
        """Guards against leases that are never renewed after a restore."""
        self.restore()
        self.grant(7)
        self.client.keep_alive(7, self.results.append)
        self.http.answer(ttl_ms=3_000)
        self.assertEqual(self.results, [Success(3_000)])

    def test_write_at_a_revision_of_an_earlier_era_is_not_sent(self):
        """Guards against a write over what has the same revision now."""
        self.client.get("k", self.results.append)
        self.http.answer(**row("k", "1", 57))
        known = self.results.pop().unwrap().revision
        self.restore()
        self.client.compare_and_swap("k", known, b"v", self.results.append)
        self.client.delete("k", self.results.append, known)
        self.assertEqual(self.results, [ENDED, ENDED])
        self.assertEqual(self.http.calls, [])

    def test_write_under_a_lease_of_an_earlier_era_fails(self):
        """Guards against a key that ends with the lease of another."""
        self.grant(7)
        self.client.put("k", b"v", self.results.append, 7)
        self.http.era = 2
        self.http.answer(revision=51)
        self.client.put("k", b"v", self.results.append, 7)
        self.assertEqual(self.results, [ENDED, ENDED])

    def test_write_at_a_present_revision_sends_the_store_s_number(self):
        """Guards against conditions that never hold after a restore."""
        self.restore()
        self.client.get("k", self.results.append)
        self.http.answer(**row("k", "1", 57))
        known = self.results.pop().unwrap().revision
        self.client.compare_and_swap("k", known, b"v", self.results.append)
        body = json.loads(self.http.calls[-1][2])
        self.assertEqual(body["precondition"][0]["revision"], 57)

    def test_revision_out_of_range_is_no_token(self):
        """Guards against a fencing token that no later one can exceed."""
        for number in (-1, 2**40, 10**400):
            with self.subTest(str(number)[:5]):
                self.client.compare_and_swap("k", 0, b"v", self.results.append)
                self.http.answer(revision=number)
                unknown = result_code.ResultCode.PLATFORM_OUTCOME_UNKNOWN
                self.assertEqual(self.results.pop(), Failure(unknown))

    def test_pages_of_two_eras_are_no_result(self):
        """Guards against a list of keys that never existed together."""
        self.client.get_prefix("", self.results.append)
        self.http.answer(
            items=[row("a", "1", 5)], truncated=True, current_rev=9
        )
        self.http.era = 2
        self.http.answer(items=[], truncated=False, current_rev=5)
        self.assertEqual(
            self.results,
            [Failure(result_code.ResultCode.PLATFORM_UNAVAILABLE)],
        )
