"""Tests of the quotas that the standby grants without a coordinator."""

from __future__ import annotations

import itertools
import unittest
from unittest import mock

from balsamwall.coordination import messages_fleet
from balsamwall.coordination import quota_issuer
from balsamwall.coordination import quota_standby
from balsamwall.coordination import standby_link
from balsamwall.logs import decision_log
from balsamwall.timing import virtual_clock
from tests.fixtures import quota_fleet
from tests.gateway import test_workspace_quotas as quotas_module

SMALL, LARGE = quotas_module.SMALL, quotas_module.LARGE
RATE = SMALL[0]
SIZES = (25, 60)
# Until the idle timeout of streams ends those to a silent process.
IDLE_MS = 2_200
STANDBY = 1  # the lowest VM name of the entries that connected together
NEXT = 2


class StandbyFleet(quota_fleet.QuotaFleet):
    """Fleet of one workspace, whose standby is the second entry."""

    def __init__(self, size=25, quota=SMALL):
        self.rate, costs = quota
        super().__init__(size, self.rate, self.rate, costs)

    def steady(self, duration_ms):
        self.load(
            quotas_module.STEADY * self.rate, duration_ms, self.in_turn()
        )

    def overload(self, duration_ms):
        load = quotas_module.OVERLOAD * self.rate
        self.load(load, duration_ms, self.at_random)

    def silence(self, number, others):
        """Cut an entry from others, whose streams end in the overload."""
        self.fleet.cut(number, others)
        self.overload(IDLE_MS)
        self.fleet.end_streams(number)

    def freeze(self, number):
        """Freeze an entry, whose streams end in the overload."""
        self.entries[number].clock.pause()
        self.overload(IDLE_MS)
        self.fleet.end_streams(number)

    def balance(self, number):
        quotas = self.entries[number].harness.quotas
        return quotas._balances[quota_fleet.NAME]

    def grants(self, number, by):
        """Return how many grants an entry gave in a role."""
        counter = self.entries[number].harness.metrics.workspaces._quota_grants
        return counter.labels(quota_fleet.NAME, by)._value.get()


class LimitTest(unittest.TestCase):
    """Load pattern: ten times the quota through each failure."""

    def play(self, fail, is_surge=True, quotas=(SMALL,)):
        """Overload after steady traffic, or before the failure too."""
        for size, quota in itertools.product(SIZES, quotas):
            fleet = StandbyFleet(size, quota)
            if is_surge:
                fleet.steady(6_000)
            else:
                fleet.overload(6_000)
            fail(fleet)
            fleet.overload(8_000)
            with self.subTest(entries=size, rate=fleet.rate):
                self.assertLessEqual(
                    fleet.most_in_window(),
                    quotas_module.allowed(fleet.rate, fleet.rate),
                )

    def test_coordinator_killed(self):
        """Guards against a request in advance at each entry."""

        def kill(fleet):
            fleet.lose_coordinator()
            fleet.overload(4_000)
            self.assertGreater(fleet.grants(STANDBY, "standby"), 0)
            fleet.fleet.elect(NEXT)

        self.play(kill)

    def test_coordinator_frozen_and_resumed(self):
        """Guards against a standby used only when the streams end."""

        def freeze(fleet):
            fleet.freeze(0)
            fleet.overload(1_500)
            fleet.entries[0].clock.resume()

        self.play(freeze, quotas=(SMALL, LARGE))

    def test_frozen_coordinator_is_replaced(self):
        """Guards against three processes that grant in turn."""

        def replace(fleet):
            fleet.freeze(0)
            fleet.overload(1_500)
            fleet.fleet.elect(NEXT)
            fleet.overload(1_000)
            fleet.entries[0].clock.resume()

        self.play(replace, quotas=(SMALL, LARGE))

    def test_coordinator_cut_from_the_standby_and_others(self):
        """Guards against a standby and a coordinator with the whole rate."""

        def cut(fleet):
            fleet.silence(0, range(1, len(fleet.entries), 2))
            fleet.overload(6_000)
            self.assertGreater(fleet.grants(STANDBY, "standby"), 0)
            fleet.fleet.cuts.clear()

        self.play(cut, quotas=(SMALL, LARGE))

    def test_coordinator_cut_from_others_than_the_standby(self):
        """Guards against grants of a standby that has a coordinator."""

        def cut(fleet):
            fleet.silence(0, range(2, len(fleet.entries), 2))
            fleet.overload(6_000)
            for role in quota_issuer.Role:
                self.assertEqual(fleet.grants(STANDBY, role.value), 0)
            fleet.fleet.cuts.clear()

        self.play(cut, is_surge=False)

    def test_standby_killed_later(self):
        """Guards against entries that wait for a standby that has ended."""

        def kill(fleet):
            fleet.lose_coordinator()
            fleet.overload(1_000)
            fleet.fleet.stop_entry(STANDBY)
            fleet.overload(3_000)
            self.assertTrue(fleet.balance(NEXT).is_local)
            fleet.fleet.elect(NEXT)

        self.play(kill, is_surge=False)

    def test_standby_frozen(self):
        """Guards against a standby that grants from before its pause."""

        def freeze(fleet):
            fleet.lose_coordinator()
            fleet.overload(1_000)
            fleet.freeze(STANDBY)
            self.assertTrue(fleet.balance(NEXT).is_local)
            fleet.fleet.elect(NEXT)
            fleet.overload(1_000)
            fleet.entries[STANDBY].clock.resume()

        self.play(freeze, is_surge=False)

    def test_coordinator_and_standby_killed(self):
        """Guards against a notice that keeps entries from their shares."""

        def kill(fleet):
            fleet.fleet.stop_entry(STANDBY)
            fleet.lose_coordinator()
            fleet.overload(4_000)
            self.assertTrue(fleet.balance(NEXT).is_local)
            fleet.fleet.elect(NEXT)

        self.play(kill, is_surge=False)

    def test_all_entries_killed(self):
        """Guards against a notice or a level that outlives its process."""

        def kill(fleet):
            for number in range(len(fleet.entries)):
                fleet.fleet.stop_entry(number)
            fleet.fleet.holder = ""
            for number in range(len(fleet.entries)):
                fleet.fleet.restart_entry(number)
            fleet.overload(4_000)
            self.assertEqual(fleet.entries[NEXT].standby_link._address, "")
            fleet.fleet.elect(NEXT)

        self.play(kill, is_surge=False)


class UseTest(unittest.TestCase):
    """Load pattern: steady traffic below the quota in a failure."""

    def test_steady_traffic_with_a_standby(self):
        """Guards against refusals by a standby that hears few entries."""
        for size in (3, *SIZES):
            fleet = StandbyFleet(size)
            fleet.steady(6_000)
            fleet.lose_coordinator()
            fleet.steady(8_000)
            self.assertGreater(fleet.grants(STANDBY, "standby"), 0)
            fleet.fleet.elect(NEXT)
            fleet.steady(6_000)
            with self.subTest(entries=size):
                self.assertEqual(fleet.refused, [])

    def test_steady_traffic_with_a_silent_coordinator(self):
        """Guards against buckets that are empty for too long."""
        for size in SIZES:
            fleet = StandbyFleet(size)
            fleet.steady(6_000)
            fleet.fleet.cut(0, range(1, size))
            fleet.steady(IDLE_MS)
            fleet.fleet.end_streams(0)
            fleet.steady(4_000)
            self.assertGreater(fleet.grants(STANDBY, "standby"), 0)
            with self.subTest(entries=size):
                self.assertEqual(fleet.refused, [])

    def test_elected_standby_continues_with_its_buckets(self):
        """Guards against a second burst, and against an empty bucket."""
        fleet = StandbyFleet()
        fleet.lose_coordinator()
        fleet.clock.advance(3_000)
        issuer = fleet.entries[STANDBY].coordinator._quotas
        self.assertGreater(issuer.levels()[quota_fleet.NAME], 4_000)
        fleet.fleet.elect(STANDBY)
        fleet.clock.advance(10)
        self.assertGreater(issuer.levels()[quota_fleet.NAME], 4_000)
        fleet.clock.advance(1_000)
        fleet.send(NEXT, 2_000)
        fleet.clock.advance(50)
        self.assertEqual(fleet.grants(STANDBY, "coordinator"), 1)
        # Another entry is the standby now.
        link = fleet.entries[STANDBY].standby_link
        self.assertNotIn(link._standby_vm, ("", "front-1"))
        self.assertEqual(fleet.entries[STANDBY].server._standby_streams, set())

    def test_standby_is_elected_while_the_coordinator_lives(self):
        """Guards against a standby that begins in the term of its process.

        A coordinator that only the store has lost keeps its streams.
        """
        fleet = StandbyFleet(3)
        entry = fleet.entries[STANDBY]
        entry.lease.is_held, entry.lease.revision = True, 99
        fleet.clock.advance(200)
        entry.client.on_coordinator_changed(str(STANDBY))
        fleet.send(STANDBY, 1_000)
        fleet.clock.advance(100)
        self.assertEqual(fleet.grants(STANDBY, "standby"), 0)
        self.assertGreater(fleet.grants(STANDBY, "coordinator"), 0)

    def test_frozen_standby_costs_no_wait(self):
        """Guards against queries to a stream that the system has accepted."""
        fleet = StandbyFleet(3)
        fleet.entries[STANDBY].clock.pause()
        fleet.lose_coordinator()
        fleet.clock.advance(1_000)
        fleet.send(NEXT, 1_000)
        fleet.clock.advance(1)
        self.assertEqual(len(fleet.passed), 1)
        self.assertTrue(fleet.balance(NEXT).is_local)

    def test_silent_coordinator_keeps_its_stream(self):
        """Guards against a connection that is taken for a coordinator."""
        fleet = StandbyFleet(3)
        fleet.entries[0].clock.pause()
        fleet.clock.advance(1_000)
        link = fleet.entries[NEXT].standby_link
        self.assertTrue(link._is_connected)
        fleet.fleet.end_streams(0)
        fleet.clock.advance(1_000)
        self.assertIsNotNone(fleet.entries[NEXT].client._link)
        self.assertTrue(link._is_connected)
        fleet.entries[0].clock.resume()
        fleet.clock.advance(1_000)
        self.assertFalse(link._is_connected)
        self.assertIsNone(link._stream)


class NoticeTest(unittest.TestCase):
    """Load pattern: entries with different knowledge of the standby."""

    def test_notice_of_an_older_coordinator(self):
        """Guards against grants of a process that is not the standby."""
        fleet = StandbyFleet(4)
        entry = fleet.entries[3]
        fleet.lose_coordinator()
        entry.standby_link.on_notice(
            messages_fleet.StandbyNotice("front-2", "2")
        )
        fleet.clock.advance(2_000)
        self.assertFalse(entry.standby_link._is_connected)
        self.assertEqual(fleet.entries[2].server._standby_streams, set())
        fleet.send(3, 1_000)
        fleet.clock.advance(1)
        self.assertTrue(fleet.balance(3).is_local)

    def test_unreadable_address(self):
        """Guards against an address that ends the process."""
        fleet = StandbyFleet(3)
        link = fleet.entries[NEXT].standby_link
        link.on_notice(messages_fleet.StandbyNotice("front-1", "nowhere"))
        fleet.lose_coordinator()
        fleet.clock.advance(1_000)
        self.assertFalse(link._is_connected)

    def test_standby_is_kept_while_it_is_connected(self):
        """Guards against a change with each entry that connects."""
        fleet = StandbyFleet(4)
        links = [entry.standby_link for entry in fleet.entries]
        self.assertEqual({link._standby_vm for link in links}, {"front-1"})
        fleet.fleet.restart_entry(NEXT)
        fleet.clock.advance(1_000)
        link = fleet.entries[NEXT].standby_link
        self.assertEqual((link._standby_vm, link._address), ("front-1", "1"))
        fleet.fleet.restart_entry(STANDBY)
        fleet.clock.advance(1_000)
        links = [entry.standby_link for entry in fleet.entries]
        # The third entry connected later than the fourth.
        self.assertEqual({link._standby_vm for link in links}, {"front-3"})

    def test_entry_of_an_earlier_build(self):
        """Guards against messages that end the stream of an older entry."""
        fleet = StandbyFleet(3)
        fleet.fleet.stop_entry(STANDBY)
        coordinator = fleet.entries[0].coordinator
        sent = []
        coordinator._standby._send = lambda vm, item: sent.append(vm)
        coordinator.on_entry_connected("front-9")
        fleet.clock.advance(1_000)
        self.assertIn("front-2", sent)
        self.assertNotIn("front-9", sent)

    def test_streams_end_with_the_role(self):
        """Guards against entries that stay with a former standby."""
        fleet = StandbyFleet(3)
        fleet.lose_coordinator()
        fleet.clock.advance(100)
        standby = fleet.entries[STANDBY]
        self.assertEqual(len(standby.server._standby_streams), 1)
        standby.standby.on_notice("front-2")
        self.assertEqual(len(standby.server._standby_streams), 0)

    def test_no_standby_without_workspaces(self):
        """Guards against a standby of a deployment without quotas."""
        fleet = StandbyFleet(3)
        fleet.fleet.configure(None)
        fleet.clock.advance(500)
        for entry in fleet.entries:
            self.assertEqual(entry.standby_link._standby_vm, "")
            self.assertFalse(entry.standby.is_announced)

    def test_first_standby_is_kept(self):
        """Guards against a lower name that tells its build later."""
        fleet = StandbyFleet(3)
        coordinator = fleet.entries[0].coordinator
        features, choice = coordinator._features, coordinator._standby
        for vm in ("front-1", "front-2"):
            coordinator.on_entry_disconnected(vm)
        for vm in ("e2", "e1"):
            features.on_connected(vm)
        for vm in ("e2", "e1"):
            features.on_features(vm, messages_fleet.EntryFeatures(vm))
            choice.tick()
            self.assertEqual(choice._vm, "e2")

    def test_stream_with_another_message_is_closed(self):
        """Guards against an entry that takes the standby for a coordinator."""
        fleet = StandbyFleet(3)
        fleet.lose_coordinator()
        fleet.clock.advance(100)
        stream = fleet.entries[NEXT].standby_link._stream
        stream.send(messages_fleet.LoadWanted("app", "m1", ""))
        fleet.clock.advance(10)
        self.assertFalse(stream.is_open)


class LevelTest(unittest.TestCase):
    """Load pattern: the coordinator is lost just after a use of the quota."""

    def setUp(self):
        self.fleet = StandbyFleet(3)
        self.clock = self.fleet.clock
        self.entry = self.fleet.entries[STANDBY]
        self.clock.advance(1_000)

    def first_level(self, level, age_ms=0, is_silent=False):
        """Return the level with which the standby begins."""
        standby = self.entry.standby
        standby.on_coordinator_heard()
        standby.on_levels(
            messages_fleet.QuotaLevels({quota_fleet.NAME: level})
        )
        # Nothing may accrue until then.
        self.clock._now_ms += age_ms
        standby.on_coordinator_lost(is_silent=is_silent)
        self.assertTrue(standby._is_granting)
        return standby._quotas.levels()[quota_fleet.NAME]

    def test_level_is_at_most_half_of_the_burst(self):
        """Guards against tokens granted after the last report."""
        self.assertEqual(self.first_level(RATE), RATE / 2)

    def test_debt_is_kept(self):
        """Guards against requests in advance that nobody repays."""
        self.assertEqual(self.first_level(-800.0), -800)
        self.assertEqual(self.first_level(-800.0, is_silent=True), -800)

    def test_level_of_a_silent_coordinator(self):
        """Guards against a level that a frozen coordinator grants again."""
        self.assertEqual(self.first_level(RATE, is_silent=True), 0)

    def test_nothing_accrues_since_the_report(self):
        """Guards against tokens that the coordinator has granted too."""
        self.assertEqual(self.first_level(300, 900), 300)

    def test_old_level_is_not_used(self):
        """Guards against a level from before a pause of the process."""
        age_ms = quota_standby.LEVEL_MAX_AGE_MS + 1
        self.assertEqual(self.first_level(RATE, age_ms), 0)

    def test_level_that_is_no_number(self):
        """Guards against a bucket that never refuses."""
        self.assertEqual(self.first_level(float("nan")), 0)
        self.assertEqual(self.first_level(float("inf")), 0)

    def test_coordinator_lost_again_and_again(self):
        """Guards against half of a burst with each loss of a connection."""
        self.first_level(RATE)
        issuer = self.entry.standby._quotas
        issuer.on_heard("front-1")
        self.assertTrue(issuer.grant(quota_fleet.NAME, 2_000, 0).tokens)
        self.assertLess(self.first_level(RATE), 200)
        self.entry.standby.on_coordinator_heard()
        self.clock.advance(quota_fleet.WINDOW_MS + 1)
        self.assertEqual(self.first_level(RATE), RATE / 2)

    def test_share_of_the_entries_heard(self):
        """Guards against a standby that grants what others use."""
        self.fleet.lose_coordinator()
        issuer = self.entry.standby._quotas
        self.clock.advance(500)
        self.assertAlmostEqual(issuer._granted_fraction, 2 / 3)
        self.fleet.fleet.stop_entry(NEXT)
        self.clock.advance(200)
        self.assertAlmostEqual(issuer._granted_fraction, 1 / 3)

    def test_share_after_a_silent_coordinator(self):
        """Guards against grants on top of the local shares before them."""
        self.first_level(RATE, is_silent=True)
        issuer = self.entry.standby._quotas
        for entry in self.fleet.entries:
            issuer.on_heard(entry.vm)
        self.assertAlmostEqual(issuer._granted_fraction, 0.75)
        issuer.restart()
        issuer.on_heard("front-9")
        self.assertAlmostEqual(issuer._granted_fraction, 1)

    def test_levels_are_reported_in_time(self):
        """Guards against levels that are too old when they are needed."""
        now_ms = self.clock.now_ms()
        age_ms = now_ms - self.entry.standby._levels_ms
        self.assertLess(age_ms, standby_link.SILENCE_MS)
        level = self.entry.standby._levels[quota_fleet.NAME]
        self.assertEqual(level, RATE)


class LinkTest(unittest.TestCase):
    """Load pattern: an entry that may have a coordinator, or not."""

    def setUp(self):
        self.clock = virtual_clock.VirtualClock(start_ms=10_000)
        self.opened_ms = []
        self.link = standby_link.StandbyLink(
            self.clock,
            "front-3",
            mock.Mock(),
            mock.Mock(),
            lambda address, owner, on_failed: self.open(owner),
            decision_log.DecisionLog(self.clock),
        )
        self.link.start()
        self.link.on_coordinator_heard()
        self.link.on_notice(messages_fleet.StandbyNotice("front-1", "f1:7"))

    def open(self, owner):
        """Open a stream that the other process closes at once."""
        self.opened_ms.append(self.clock.now_ms())
        stream = mock.Mock()
        owner.on_stream_opened(stream)
        owner.on_stream_closed(stream)

    def test_pause_of_this_process(self):
        """Guards against a pause that is taken for a silent coordinator."""
        self.clock._now_ms += 800
        self.clock.advance(1)
        self.assertEqual(self.opened_ms, [])
        self.clock.advance(2 * standby_link.SILENCE_MS)
        self.assertNotEqual(self.opened_ms, [])

    def test_no_stream_to_the_coordinator(self):
        """Guards against a second stream of an entry to its coordinator."""
        self.link.on_coordinator_changed("f1:7")
        self.link.on_coordinator_lost()
        self.clock.advance(1_000)
        self.assertEqual(self.opened_ms, [])

    def test_attempts_become_rare(self):
        """Guards against ten attempts a second at a process that refuses."""
        self.link.on_coordinator_lost()
        self.clock.advance(10_000)
        self.assertLessEqual(len(self.opened_ms), 15)
        self.assertGreaterEqual(len(self.opened_ms), 10)
