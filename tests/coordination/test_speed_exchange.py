"""Tests of the speeds that entries share and plan replicas with."""

from __future__ import annotations

import types
import unittest

from balsamwall.coordination import engine_speed
from balsamwall.coordination import engine_tracker
from balsamwall.coordination import messages_fleet
from balsamwall.coordination import prompt_scheduler
from balsamwall.coordination import speed_exchange
from balsamwall.gateway import server_speed
from tests.fixtures import fleet_harness
from tests.fixtures import gateway_harness

MODEL = "m1"
GAP_TARGET_MS = 300


class SpeedExchangeTest(unittest.TestCase):
    """Load pattern: one of several entries has used a slow server."""

    def setUp(self):
        self.fleet = fleet_harness.FleetHarness(4, servers=3, model=MODEL)
        self.clock = self.fleet.clock

    def speed(self, entry, server="s0"):
        directory = self.fleet.entries[entry].harness.directory
        return directory.get(server).speed

    def learned(self, entry, server="s0"):
        now_ms = self.clock.now_ms()
        return self.speed(entry, server).learned(MODEL, now_ms, is_pause=True)

    def teach(self, entry, factor, server="s0"):
        speed = self.speed(entry, server)
        speed.on_work_time(100, self.clock.now_ms())
        pause_ms = int(factor * server_speed.usual_gap_ms(10))
        for _ in range(40):
            speed.on_gap(MODEL, pause_ms, 10, self.clock.now_ms())

    def share(self):
        # The coordinator has to see a work time itself.
        self.speed(0, "s1").on_work_time(100, self.clock.now_ms())
        for server, factor in (("s0", 3.0), ("s1", 1.0), ("s2", 1.0)):
            self.teach(1, factor, server)
        self.clock.advance(3_000)

    def test_entries_learn_from_each_other(self):
        """Guards against each entry that tries a slow server by itself."""
        self.share()
        for entry in (0, 2, 3):
            self.assertAlmostEqual(self.learned(entry), 3.0, delta=0.3)
            self.assertAlmostEqual(self.learned(entry, "s1"), 1.0, delta=0.1)

    def test_shared_factors_of_a_paused_entry_are_dropped(self):
        """Guards against corrections that are used long after a pause."""
        self.share()
        for number in range(4):
            self.fleet.silence_entry(number)
        self.clock.advance(server_speed.SHARED_MAX_AGE_MS + 500)
        self.assertLess(self.learned(2), 1.1)
        self.assertGreater(self.learned(1), 2.5)

    def test_new_process_does_not_get_shared_factors(self):
        """Guards against a restarted server that is taken for slow."""
        self.share()
        record = gateway_harness.make_record(
            "s0", models={MODEL: ()}, slots=32, started_ms=2
        )
        self.fleet.entries[2].harness.directory.put(record)
        self.clock.advance(2_000)
        self.assertLess(self.learned(2), 1.1)

    def test_work_time_is_shared(self):
        """Guards against a slow period that only some entries notice."""
        self.share()
        self.speed(3).on_work_time(400, self.clock.now_ms())
        self.clock.advance(500)
        work = self.speed(2).work_time_factor(self.clock.now_ms())
        self.assertGreater(work, 2.0)

    def test_nothing_is_sent_without_work_times(self):
        """Guards against messages that earlier builds do not know."""
        sent = []
        for entry in self.fleet.entries[1:]:
            for stream in entry.streams:
                for end in (stream, stream.peer):
                    end.send = sent.append
        self.clock.advance(2_000)
        numbers = {item.NUMBER for item in sent}
        self.assertIn(messages_fleet.FleetState.NUMBER, numbers)
        self.assertNotIn(messages_fleet.ServerSpeeds.NUMBER, numbers)
        states = [
            item
            for item in sent
            if isinstance(item, messages_fleet.FleetState)
        ]
        self.assertTrue(all(not state.loads for state in states))

    def test_earlier_builds_get_no_unknown_message(self):
        """Guards against streams closed in a fleet of two builds.

        One entry never reports speeds, as one of the build before.
        """
        self.fleet.entries[2].client._speeds = types.SimpleNamespace(
            on_loads=lambda loads: None, report=lambda: None
        )
        received = []
        for stream in self.fleet.entries[2].streams:
            send = stream.peer.send

            def record(item, send=send):
                received.append(item.NUMBER)
                send(item)

            stream.peer.send = record
        self.share()
        self.assertNotIn(messages_fleet.ServerSpeeds.NUMBER, received)
        self.assertIn(messages_fleet.FleetState.NUMBER, received)
        # An entry does not report to a coordinator of the build before.
        client = self.fleet.entries[3].client
        self.assertIsNotNone(client._speeds.report())
        client.on_message(messages_fleet.FleetState(4, {"s0": 1}, {}, {}))
        self.assertIsNone(client._speeds.report())

    def test_invalid_rows_are_ignored(self):
        """Guards against factors that are no numbers or out of range."""
        self.share()
        valid = ["s0", 1, MODEL, 1.0, 1.0, 3.0, 5.0]
        exchange = self.fleet.entries[2].client._speeds
        for index, value in (
            (0, 7),
            (1, "x"),
            (2, None),
            (3, float("nan")),
            (4, -1),
            (5, "fast"),
            (6, float("inf")),
        ):
            row = list(valid)
            row[index] = value
            item = messages_fleet.ServerSpeeds([row], [])
            with self.assertRaises(ValueError):
                speed_exchange.decode_factors(item)
            exchange.apply(item)
        exchange.apply(messages_fleet.ServerSpeeds([], [["s0", 1, -5, 0]]))
        item = messages_fleet.ServerSpeeds(
            [["s0", 1, MODEL, 0, 1, 9e9, 1]], []
        )
        exchange.apply(item)
        self.assertLess(self.learned(2), 21)


class EngineSpeedTest(unittest.TestCase):
    """Load pattern: a model on a slow engine, beside usual engines."""

    def setUp(self):
        self.table = server_speed.SpeedTable()
        self.engine = gateway_harness.make_engine(MODEL)
        self.trackers = []
        for name in ("e0", "e1", "e2"):
            record = gateway_harness.make_record(
                name, models={MODEL: ()}, slots=32
            )
            self.table.add("app", name, 0)
            self.trackers.append(
                engine_tracker.EngineTracker(record, self.engine)
            )

    def teach(self, factors):
        for _ in range(40):
            for name, factor in factors.items():
                speed = self.table._services["app"].servers[name]
                speed.on_work_time(100, 0)
                pause_ms = int(factor * server_speed.usual_gap_ms(10))
                speed.on_gap(MODEL, pause_ms, 10, 0)

    def update(self, limit_capacity=1.0):
        for _ in range(60):
            for tracker in self.trackers:
                engine_speed.update(
                    tracker, limit_capacity, self.table, GAP_TARGET_MS, 0
                )
        return self.trackers[0]

    def test_capacity_is_what_an_engine_sustains(self):
        """Guards against a slow engine that is planned as a usual one."""
        self.assertEqual(self.update().capacity, 1.0)
        self.teach({"e0": 4.0, "e1": 1.0, "e2": 1.0})
        slow = self.update(0.5)
        self.assertAlmostEqual(slow.sustainable_fraction, 16 / 32, delta=0.07)
        self.assertAlmostEqual(slow.capacity, slow.sustainable_fraction / 2)
        self.assertTrue(slow.is_limited)
        self.assertFalse(self.update().is_limited)
        self.assertGreater(slow.relative_work_time, 2.0)
        self.assertAlmostEqual(
            self.trackers[1].sustainable_fraction, 1.0, delta=0.01
        )

    def test_slow_period_causes_no_replica(self):
        """Guards against loads for a slow period that ends before them."""
        self.teach({"e0": 1.0, "e1": 1.0, "e2": 1.0})
        self.table._services["app"].servers["e0"].on_work_time(400, 0)
        self.assertAlmostEqual(self.update().capacity, 1.0, delta=0.01)

    def test_scheduler_avoids_a_slow_engine(self):
        """Guards against prompts assigned alike to fast and slow engines."""
        clock = fleet_harness.virtual_clock.VirtualClock(start_ms=0)
        scheduler = prompt_scheduler.PromptScheduler(clock, self.table)
        self.teach({"e0": 3.0, "e1": 0.7, "e2": 0.7})
        counts = dict.fromkeys(("e0", "e1", "e2"), 0)
        for _ in range(12):
            prompt = prompt_scheduler.Prompt(1_500, "z1", model=MODEL)
            loads = dict.fromkeys(counts, 8)
            counts[scheduler.assign(self.trackers, loads, {}, prompt)] += 1
            clock.advance(5)
        self.assertLessEqual(counts["e0"], 2)


if __name__ == "__main__":
    unittest.main()
