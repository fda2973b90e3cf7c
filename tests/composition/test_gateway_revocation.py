"""Tests of keys in an entry with its feed, under failures of the store."""

from __future__ import annotations

import base64
import json
import random
import unittest
from unittest import mock
import urllib.parse

from balsamwall.composition import gateway_dependencies
from balsamwall.composition import gateway_unit
from balsamwall.gateway import gateway_settings
from balsamwall.infrastructure import http_client
from balsamwall.infrastructure import key_value_service
from balsamwall.platform import documents
from balsamwall.platform import header_codec
from balsamwall.platform import store_feed
from balsamwall.settings import address as address_module
from tests.fixtures import gateway_harness
from tests.fixtures import memory_key_value
from tests.fixtures import pausing_clock

KEY = documents.CONFIGURATION_KEY
APPLY_MS = 3_000
REVOKE_MS = 5_000
LATENCY_MS = 5
LOST = http_client.HttpResponse(0, {}, b"", False, "timeout")
ADDRESS = address_module.Address("127.0.0.1", 1)


class FeedStore:
    """Store with the configuration, which answers reads and watches."""

    def __init__(self, clock):
        self._clock = clock
        self._watches = []
        self.revision = 0
        self.row = None
        self.is_down = False

    def put(self, version, keys_by_name):
        """Write a version; a text in place of the names is written as is."""
        engine = {"models": [{"name": "m1", "weights_mb": 1}]}
        fields = {
            "version": version,
            "routes": [
                {
                    "name": "r",
                    "host": "desk.example",
                    "path_prefix": "/a/",
                    "kind": "idempotent",
                    "timeout_ms": 2_000,
                    "service": "app",
                }
            ],
            "services": [{"name": "app", "engine": engine}],
            "tenants": [
                {"name": name, "api_keys": keys}
                for name, keys in keys_by_name.items()
            ],
        }
        self.value = json.dumps(fields).encode()
        self.revision += 1
        encoded = base64.b64encode(self.value).decode()
        self.row = {"key": KEY, "value": encoded, "revision": self.revision}
        watches, self._watches = self._watches, []
        for callback in watches:
            self._answer(callback, events=[self.row])

    def request(self, method, path, body, timeout_ms, callback):
        url = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(url.query))
        if self.is_down:
            self._clock.call_later(timeout_ms, callback, LOST)
        elif url.path == "/kv-range":
            self._answer(callback, items=[self.row] if self.row else [])
        elif int(query["after"]) < self.revision:
            self._answer(callback, events=[self.row])
        else:
            self._watches.append(callback)
            self._clock.call_later(
                int(query["wait_ms"]), self._end_watch, callback
            )
        return lambda: None

    def _end_watch(self, callback):
        if callback in self._watches:
            self._watches.remove(callback)
            self._answer(callback, events=[])

    def _answer(self, callback, **rows):
        rows["current_rev"] = self.revision
        answer = http_client.HttpResponse(
            200, {}, json.dumps(rows).encode(), True, ""
        )
        if self.is_down:
            answer = LOST
        self._clock.call_later(LATENCY_MS, callback, answer)


class EntryTestCase(unittest.TestCase):
    """One entry with a virtual clock and its copy of the store."""

    is_strict = False

    def setUp(self):
        self.clock = pausing_clock.PausingClock(start_ms=10_000)
        self.store = FeedStore(self.clock)
        self.store.put(1, {"t1": ["k1"], "t2": ["k2"]})
        self.start()

    def start(self):
        """Start a fresh process."""
        self.feed = store_feed.StoreFeed(
            self.clock, random.Random(1), self.store.request
        )
        service = memory_key_value.MemoryKeyValue(self.clock)
        service.watch = lambda key, on_change, is_prefix=False: self.feed.add(
            key, on_change, is_prefix
        )
        settings = gateway_settings.GatewaySettings(
            vm="front-1",
            availability_zone="z1",
            ip="127.0.0.1",
            callers=ADDRESS,
            probes=ADDRESS,
            store=ADDRESS,
            fleet_port=1,
            metrics_port=2,
            grace_ms=8_000,
            lease_ms=3_000,
            min_lease_ms=1_000,
            retry_share=0.2,
            retry_extra=50.0,
            retry_window_ms=10_000,
            refuses_unconfirmed_keys=self.is_strict,
            max_unconfirmed_ms=REVOKE_MS,
        )
        self.unit = gateway_unit.GatewayUnit(
            settings,
            mock.Mock(),
            self.clock,
            random.Random(1),
            gateway_dependencies.GatewayDependencies(
                store=service,
                connection=self.feed,
                engines=mock.Mock(),
                codec=header_codec.HeaderCodec(),
                read_configuration=documents.decode_configuration,
                read_server=documents.decode_server,
                configuration_key=KEY,
                servers_prefix=documents.SERVERS_PREFIX,
            ),
        )
        self.unit.start()

    def send(self, key, *fields):
        authorization = (b"authorization", b"Bearer " + key.encode())
        exchange = gateway_harness.FakeExchange(
            self.clock, fields=[authorization, *fields]
        )
        self.unit._gateway.on_request(exchange)
        return exchange

    def code(self, key):
        """Send a request; return the result code, NO_REPLICA if valid."""
        exchange = self.send(key, (b"balsamwall-model", b"unknown"))
        return json.loads(exchange.data)["error"]["name"]

    def check(self, **codes):
        names = {"ok": "NO_REPLICA", "unknown": "KEY_MISSING_OR_WRONG"}
        for key, name in codes.items():
            wanted = names.get(name, "CONFIGURATION_UNAVAILABLE")
            self.assertEqual(self.code(key), wanted, key)


class EntryTest(EntryTestCase):
    """The newest version applies within the time, whatever happens."""

    def test_before_and_after_the_first_read(self):
        """Guards against keys checked without a configuration."""
        self.check(k1="unavailable")
        self.clock.advance(50)
        self.check(k1="ok", k2="ok", k3="unknown")

    def test_two_versions_in_quick_succession(self):
        """Guards against a key that only the first of two versions had."""
        self.clock.advance(50)
        self.store.put(2, {"t1": ["k1", "short"]})
        self.store.put(3, {"t1": ["k1", "k3"]})
        self.clock.advance(APPLY_MS)
        self.check(k1="ok", k3="ok", short="unknown", k2="unknown")

    def test_waiting_request(self):
        """Guards against queued requests that a new version does not end."""
        self.clock.advance(50)
        self.unit._directory.put(gateway_harness.make_record("s1"))
        model = (b"balsamwall-model", b"m1")
        waiting = [self.send(key, model) for key in ("k1", "k2")]
        self.store.put(2, {"t1": ["k1"]})
        self.clock.advance(50)
        self.assertEqual([item.status for item in waiting], [None, 401])

    def test_version_with_a_fault(self):
        """Guards against a fault that empties or blocks the configuration."""
        self.clock.advance(50)
        with mock.patch("eliot.log_message") as log:
            self.store.put(2, {"t1": ["k-secret"], "t2": ["k-secret"]})
            self.clock.advance(APPLY_MS)
        line = next(
            call
            for call in log.call_args_list
            if call.args[0] == "configuration_unreadable"
        )
        self.assertIn("t2", line.kwargs["reason"])
        self.assertNotIn("secret", str(log.call_args_list))
        self.check(k1="ok", k2="ok")
        self.store.put(3, {"t1": ["k3"]})
        self.clock.advance(APPLY_MS)
        self.check(k1="unknown", k3="ok")

    def test_without_the_store(self):
        """Guards against an entry that refuses all without the store."""
        self.clock.advance(50)
        self.store.is_down = True
        self.clock.advance(60_000)
        self.check(k1="ok", k3="unknown")

    def test_pause(self):
        """Guards against a key that was revoked during a pause."""
        self.clock.advance(50)
        self.store.put(2, {"t1": ["k1"]})
        self.clock.pause(8_000)
        self.check(k1="unavailable", k2="unavailable")
        self.clock.advance(500)
        self.check(k1="ok", k2="unknown")

    def test_pause_without_the_store(self):
        """Guards against a refusal that lasts while the store is lost."""
        self.clock.advance(50)
        self.store.is_down = True
        self.clock.pause(8_000)
        self.check(k1="unavailable")
        self.clock.advance(1_100)
        self.check(k1="ok")

    def test_restart_takes_no_older_version_from_the_relay(self):
        """Guards against a revoked key in use again after a restart."""
        old = key_value_service.KeyValue(KEY, self.store.value, 1)
        self.store.put(2, {"t1": ["k1"]})
        self.start()
        late = key_value_service.StoreUpdate(0, 1, (old,))
        self.feed.apply_update(late)
        self.check(k2="unavailable")
        self.clock.advance(50)
        self.feed.apply_update(late)
        self.clock.advance(50)
        self.check(k1="ok", k2="unknown")


class StrictEntryTest(EntryTestCase):
    """A strict entry serves keys only while its copy is confirmed."""

    is_strict = True

    def test_partition_from_the_store(self):
        """Guards against a key that is revoked behind a partition."""
        self.clock.advance(20_000)
        self.check(k1="ok")
        self.store.is_down = True
        self.store.put(2, {"t1": ["k1"]})
        self.clock.advance(3_000)
        self.check(k1="ok")
        self.clock.advance(REVOKE_MS)
        self.check(k1="unavailable", k2="unavailable")
        self.store.is_down = False
        self.clock.advance(APPLY_MS)
        self.check(k1="ok", k2="unknown")

    def test_relayed_updates_without_the_store(self):
        """Guards against refusals while the coordinator still relays."""
        self.clock.advance(50)
        self.store.is_down = True
        revision = self.store.revision
        for _ in range(100):
            self.feed.apply_update(
                key_value_service.StoreUpdate(revision, revision, ())
            )
            self.clock.advance(200)
        self.check(k1="ok")
        gap = key_value_service.StoreUpdate(revision + 2, revision + 3, ())
        for _ in range(30):
            self.feed.apply_update(gap)
            self.clock.advance(200)
        self.check(k1="unavailable")

    def test_quiet_store(self):
        """Guards against refusals while nothing changes for long."""
        self.clock.advance(50)
        for _ in range(200):
            self.clock.advance(100)
            self.check(k1="ok")
