"""Tests of the key-value client with a stand-in and of its fake."""

from __future__ import annotations

import unittest

from returns.result import Failure
from returns.result import Success
from twisted.internet import reactor

from balsamwall.infrastructure import etcd_client
from balsamwall.infrastructure import key_value_service
from balsamwall.results import result_code
from balsamwall.timing import virtual_clock
from tests.fixtures import memory_key_value
from tests.fixtures import reactor_thread
from tests.fixtures import standin_process

Code = result_code.ResultCode


class KeyValueRules:
    """Contract tests that the client and its fake must both pass."""

    def call(self, name, *arguments, **named):
        raise NotImplementedError

    def lose_next_answer(self) -> None:
        raise NotImplementedError

    def test_compare_and_swap_has_one_winner(self) -> None:
        """Two successful writers would lose a configuration change."""
        first = self.call("compare_and_swap", "k", 0, b"a")
        revision = first.unwrap()
        second = self.call("compare_and_swap", "k", 0, b"b")
        self.assertEqual(Failure(Code.COMPARE_FAILED), second)
        found = self.call("get", "k").unwrap()
        self.assertEqual((b"a", revision), (found.value, found.revision))
        third = self.call("compare_and_swap", "k", revision, b"c")
        self.assertGreater(third.unwrap(), revision)

    def test_lost_answer_is_unknown_and_took_effect(self) -> None:
        """A write that was applied must never be reported as failed."""
        self.lose_next_answer()
        result = self.call("compare_and_swap", "k", 0, b"a")
        self.assertEqual(Failure(Code.PLATFORM_OUTCOME_UNKNOWN), result)
        self.assertEqual(b"a", self.call("get", "k").unwrap().value)

    def test_delete_on_a_revision(self) -> None:
        """A delete that ignores its condition would remove a newer value."""
        old = self.call("put", "k", b"a").unwrap()
        self.call("put", "k", b"b")
        result = self.call("delete", "k", expected_revision=old)
        self.assertEqual(Failure(Code.COMPARE_FAILED), result)
        self.call("delete", "k")
        self.assertEqual(Success(None), self.call("get", "k"))

    def test_lease_takes_its_keys_along(self) -> None:
        """A key that outlives its lease would block a task forever."""
        lease_id = self.call("lease", 1_000).unwrap()
        self.call("compare_and_swap", "k", 0, b"me", lease_id=lease_id)
        self.assertGreater(self.call("keep_alive", lease_id).unwrap(), 0)
        self.call("revoke", lease_id)
        self.assertEqual(Success(None), self.call("get", "k"))
        expired = self.call("keep_alive", lease_id)
        self.assertEqual(Failure(Code.COMPARE_FAILED), expired)

    def test_prefix_is_exact(self) -> None:
        """A wrong range end would return the keys of another tenant."""
        for key in ("t/a", "t/b", "u/a", "t"):
            self.call("put", key, b"1")
        found = self.call("get_prefix", "t/").unwrap()
        self.assertEqual(["t/a", "t/b"], [item.key for item in found])

    def test_value_over_the_limit_is_refused(self) -> None:
        """The service would reject the value only after the transfer."""
        oversized = b"x" * (key_value_service.MAX_VALUE_BYTES + 1)
        result = self.call("put", "k", oversized)
        self.assertEqual(Failure(Code.BODY_TOO_LARGE), result)


class EtcdClientTest(KeyValueRules, unittest.TestCase):
    """Contract tests of the client over real sockets."""

    def setUp(self) -> None:
        self.standin = standin_process.StandinProcess(
            "key_value", "--progress-ms", "200", "--writes-per-second", "10"
        )
        self.addCleanup(self.standin.stop)
        self.client = etcd_client.EtcdClient(
            reactor, reactor_thread.clock, self.standin.url, 1_000
        )

    def call(self, name, *arguments, **named):
        return reactor_thread.call(
            lambda done: (
                getattr(self.client, name)(*arguments, callback=done, **named)
                if name not in ("put", "compare_and_swap")
                else getattr(self.client, name)(*arguments, done, **named)
            )
        )

    def lose_next_answer(self) -> None:
        self.standin.set_faults(lost_answers=1)

    def test_silent_service_leaves_the_outcome_unknown(self) -> None:
        """A timeout does not prove that a write was not applied."""
        self.standin.set_faults(are_new_connections_silent=True)
        result = self.call("put", "k", b"a")
        self.assertEqual(Failure(Code.PLATFORM_OUTCOME_UNKNOWN), result)
        result = self.call("get", "k")
        self.assertEqual(Failure(Code.PLATFORM_UNAVAILABLE), result)

    def test_refused_connection_and_rate_limit_had_no_effect(self) -> None:
        """A known failure reported as unknown would cost an extra read."""
        results = [self.call("put", "k", b"a") for _ in range(30)]
        failures = {r.failure() for r in results if isinstance(r, Failure)}
        self.assertEqual({Code.PLATFORM_UNAVAILABLE}, failures)
        revisions = [r.unwrap() for r in results if isinstance(r, Success)]
        found = self.call("get", "k").unwrap()
        self.assertEqual(revisions[-1], found.revision)
        self.assertEqual(len(set(revisions)), len(revisions))
        self.standin.kill()
        result = self.call("put", "k", b"a")
        self.assertEqual(Failure(Code.PLATFORM_UNAVAILABLE), result)

    def test_watch_survives_an_outage(self) -> None:
        """A watch that does not reconnect would miss every later change."""
        seen = []
        self.call("put", "t/a", b"1")
        watch = reactor_thread.run(
            lambda: self.client.watch("t/", seen.append, True)
        )
        standin_process.wait_until(lambda: len(seen) == 1)
        self.standin.set_faults(down_ms=300)
        standin_process.wait_until(lambda: watch.reopen_count > 0)
        standin_process.wait_until(
            lambda: isinstance(self.call("put", "t/a", b"2"), Success)
        )
        standin_process.wait_until(lambda: seen[-1].value == b"2")
        reactor_thread.run(watch.cancel)
        standin_process.wait_until(
            lambda: self.standin.get("/counts")["open_watches"] == 0
        )


class MemoryKeyValueTest(KeyValueRules, unittest.TestCase):
    """Contract tests of the fake that other packages test with."""

    def setUp(self) -> None:
        self.clock = virtual_clock.VirtualClock()
        self.service = memory_key_value.MemoryKeyValue(self.clock)

    def call(self, name, *arguments, **named):
        results = []
        method = getattr(self.service, name)
        method(*arguments, results.append, **named)
        self.clock.advance(self.service.timeout_ms + 10)
        (result,) = results
        return result

    def lose_next_answer(self) -> None:
        self.service.responses_to_lose = 1

    def test_lease_takes_its_keys_along(self) -> None:
        """A key that outlives its lease would block a task forever."""
        lease_id = self.call("lease", 10_000).unwrap()
        self.call("compare_and_swap", "k", 0, b"me", lease_id=lease_id)
        self.assertGreater(self.call("keep_alive", lease_id).unwrap(), 0)
        self.clock.advance(10_000)
        self.assertEqual(Success(None), self.call("get", "k"))
        expired = self.call("keep_alive", lease_id)
        self.assertEqual(Failure(Code.COMPARE_FAILED), expired)

    def test_watch_delivers_the_newest_after_an_outage(self) -> None:
        """A fake more lenient than the service would hide faults."""
        seen = []
        self.service.watch("t/", seen.append, True)
        self.call("put", "t/a", b"1")
        self.service.is_down = True
        result = self.call("put", "t/a", b"2")
        self.assertEqual(Failure(Code.PLATFORM_UNAVAILABLE), result)
        self.service.store.apply([(b"t/a", b"3", 0)], [])
        self.clock.advance(1_000)
        self.assertEqual([b"1"], [item.value for item in seen])
        self.service.end_outage()
        self.clock.advance(10)
        self.assertEqual([b"1", b"3"], [item.value for item in seen])
