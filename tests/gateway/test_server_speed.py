"""Tests of learning and using the speed of server processes."""

from __future__ import annotations

import random
import statistics
import unittest
from unittest import mock

from balsamwall.gateway import backend_directory
from balsamwall.gateway import incoming_request
from balsamwall.gateway import server_choice
from balsamwall.gateway import server_health
from balsamwall.gateway import server_speed
from balsamwall.gateway import speed_estimate
from balsamwall.timing import virtual_clock
from tests.fixtures import gateway_harness

MODEL = "m1"
TARGET_MS = 300


def true_pause_ms(generator, speed, load):
    """Return the longest of 8 gaps between events at an engine.

    Chunks of prompts are prefilled in some of the gaps, one of 50 events has
    a longer disturbance of the network.
    """
    chunks = sum(generator.random() < 0.12 for _ in range(int(load)))
    pause_ms = 20 + load + 29.3 * chunks
    if generator.random() < 0.02:
        pause_ms += 400
    return int(speed * pause_ms * generator.uniform(0.9, 1.1))


class SpeedFixture(unittest.TestCase):
    """Servers of one service in a directory, in virtual time."""

    def setUp(self):
        self.clock = virtual_clock.VirtualClock(start_ms=10_000)
        self.directory = backend_directory.BackendDirectory(self.clock.now_ms)
        self.random = random.Random(7)

    def add(self, name, **changes):
        changes = {"slots": 32, "models": {MODEL: frozenset()}, **changes}
        self.directory.put(gateway_harness.make_record(name, **changes))
        return self.directory.get(name)

    def observe(self, server, speed, load=6):
        """Report what one entry observes of an engine in 100 ms."""
        now_ms = self.clock.now_ms()
        server.speed.on_gap(
            MODEL, true_pause_ms(self.random, speed, load), load, now_ms
        )
        if self.random.random() < 0.1:
            tokens = self.random.randint(600, 4_000)
            queued = self.random.choice((0, 0, 0, 1_500))
            first_ms = speed * ((tokens + queued) / 35 + 20 + load)
            server.speed.on_first_event(
                MODEL, tokens, load, int(first_ms), now_ms
            )

    def teach(self, speeds, seconds=30):
        """Observe servers, each given with its true speed."""
        for _ in range(seconds * 10):
            self.clock.advance(100)
            for server, speed in speeds:
                server.speed.on_work_time(100, self.clock.now_ms())
                self.observe(server, speed)


class LearningTest(SpeedFixture):
    """Load pattern: servers of different speed, with slow periods."""

    def test_speeds_are_learned_in_spite_of_slow_periods(self):
        """Guards against slow periods that are learned as the speed.

        Every 10 s a server is slow for 2 s; the entry hears of it only with
        every twentieth observation.
        """
        speeds = {"a": 0.7, "b": 0.7, "c": 1.7}
        servers = {name: self.add(name) for name in speeds}
        settled_ms = dict.fromkeys(speeds, 0)
        errors: dict[bool, list[float]] = {True: [], False: []}
        for step in range(600):
            self.clock.advance(100)
            now_ms = self.clock.now_ms()
            for index, (name, server) in enumerate(servers.items()):
                is_slow = (step + 33 * index) % 100 < 20
                work = 2.5 if is_slow else 1.0
                if step % 20 == index:
                    server.speed.on_work_time(int(100 * work), now_ms)
                self.observe(server, speeds[name] * work)
                for is_pause in (True, False):
                    found = server.speed.learned(
                        MODEL, now_ms, is_pause=is_pause
                    )
                    error = abs(found / speeds[name] - 1)
                    if is_pause and error > 0.3:
                        settled_ms[name] = now_ms - 10_000
                    if step >= 200:
                        errors[is_pause].append(error)
        pauses, prefills = (statistics.mean(errors[key]) for key in (1, 0))
        self.assertLess(pauses, 0.1)
        # Prompts of other entries are unknown and lengthen the prefill.
        self.assertLess(prefills, 0.25)
        self.assertLess(max(errors[True]), 0.3)
        self.assertLess(max(settled_ms.values()), 5_000)

    def test_new_process_begins_from_the_median(self):
        """Guards against a restarted server that is still taken for slow."""
        servers = [self.add(name) for name in "abc"]
        self.teach(list(zip(servers, (0.7, 0.7, 2.5), strict=True)))
        old = servers[2].speed.learned(
            MODEL, self.clock.now_ms(), is_pause=True
        )
        self.assertGreater(old, 1.8)
        speed = self.add("c", started_ms=2).speed
        self.assertIsNot(speed, servers[2].speed)
        learned = speed.learned(MODEL, self.clock.now_ms(), is_pause=True)
        self.assertAlmostEqual(learned, 0.7, delta=0.15)

    def test_learned_speed_lapses(self):
        """Guards against old speeds that are used after a long pause."""
        server, _ = self.add("a"), self.add("b")
        self.teach([(server, 2.5)])
        self.clock.advance(speed_estimate.MAX_AGE_MS + 1)
        now_ms = self.clock.now_ms()
        self.assertEqual(
            server.speed.learned(MODEL, now_ms, is_pause=True), 1.0
        )

    def test_work_time_decays_in_silence(self):
        """Guards against a server avoided for a slow period that is over."""
        server = self.add("a")
        server.speed.on_work_time(250, self.clock.now_ms())
        found = []
        for _ in range(3):
            found.append(server.speed.factor(MODEL, self.clock.now_ms()))
            self.clock.advance(server_speed.WORK_TIME_MAX_AGE_MS // 2)
        self.assertEqual(found, [2.5, 1.75, 1.0])

    def test_models_are_bounded(self):
        """Guards against memory that grows with the names of models."""
        speed = self.add("a").speed
        speed.on_work_time(100, self.clock.now_ms())
        for number in range(3 * server_speed.MAX_MODELS):
            speed.on_gap(f"m{number}", 50, 5, self.clock.now_ms())
        self.assertEqual(len(speed._models), server_speed.MAX_MODELS)


class ChoiceTest(SpeedFixture):
    """Load pattern: two of fourteen engines are slow at a high load."""

    def setUp(self):
        super().setUp()
        health = server_health.ServerHealth(self.clock)
        limits = gateway_harness.make_limits(self.clock)[0]
        backoff = gateway_harness.make_backoff(self.clock)
        self.choice = server_choice.ServerChoice(
            self.clock, self.random, self.directory, health, limits, backoff
        )
        self.request = incoming_request.IncomingRequest(
            b"r", "h", None, model=MODEL, prompt_tokens=1_000
        )
        self.servers = [self.add(f"s{number:02}") for number in range(14)]

    def send(self, count):
        """Send requests that all keep running."""
        for _ in range(count):
            found = self.choice.choose(
                "app", self.request, "z1", frozenset(), TARGET_MS
            )
            found.server.on_sent()
        return [server.in_flight for server in self.servers]

    def test_slow_servers_get_as_many_requests_as_they_bear(self):
        """Guards against equal load on servers of different speed."""
        before = self.send(280)
        self.assertGreaterEqual(min(before[:2]), 18)
        for server, load in zip(self.servers, before, strict=True):
            for _ in range(load):
                server.on_ended()
        slow, usual = self.servers[:2], self.servers[2:]
        self.teach(
            [(item, 2.5) for item in slow] + [(item, 0.9) for item in usual]
        )
        for count in (280, 100):
            self.check_pauses(self.send(count))

    def check_pauses(self, loads):
        now_ms = self.clock.now_ms()
        pauses = [
            server.speed.pause_ms(MODEL, load, 0, now_ms)
            for server, load in zip(self.servers, loads, strict=True)
        ]
        self.assertLessEqual(max(pauses), TARGET_MS)

    def test_slow_period_moves_requests_at_once(self):
        """Guards against a server that is chosen while its VM is slow."""
        for server in self.servers:
            server.speed.on_work_time(100, self.clock.now_ms())
        self.servers[0].speed.on_work_time(900, self.clock.now_ms())
        self.assertLessEqual(self.send(100)[0], 3)

    def test_nothing_changes_without_work_times(self):
        """Guards against other behaviour where no figure is reported."""
        speed = self.servers[0].speed
        now_ms = self.clock.now_ms()
        speed.on_gap(MODEL, 900, 5, now_ms)
        speed.on_first_event(MODEL, 2_000, 5, 900, now_ms)
        self.assertEqual(speed.factor(MODEL, now_ms), 1.0)
        self.assertEqual(
            speed.sustainable_requests(MODEL, 32, TARGET_MS, now_ms), 32
        )
        self.assertIsNone(self.directory.speeds.get("s00"))
        self.choice._random = random.Random(3)
        with_target = self.send(100)
        for server, load in zip(self.servers, with_target, strict=True):
            server.in_flight -= load
            server.sent_since_report -= load
        self.choice._random = random.Random(3)
        for _ in range(100):
            found = self.choice.choose("app", self.request, "z1", frozenset())
            found.server.on_sent()
        self.assertEqual(
            [server.in_flight for server in self.servers], with_target
        )


class StreamTest(unittest.TestCase):
    """Load pattern: streams of one route at servers that report work times."""

    def setUp(self):
        routes = [
            gateway_harness.make_route(
                name=f"p{priority}",
                path_prefix=f"/{priority}/",
                kind=gateway_harness.Kind.STREAMING,
                timeout_ms=9_000,
                priority=priority,
                gap_target_ms=TARGET_MS,
            )
            for priority in (0, 1)
        ]
        self.harness = gateway_harness.GatewayHarness(
            *routes, engine=gateway_harness.make_engine(MODEL)
        )
        self.harness.add_servers("s1", models={MODEL: ()}, slots=32)
        self.server = self.harness.directory.get("s1")

    def send(self, priority=1):
        fields = [
            (b"balsamwall-model", MODEL.encode()),
            (b"balsamwall-token-usage", b"1750,800"),
        ]
        return self.harness.send_request(
            method=b"POST",
            path=f"/{priority}/x".encode(),
            fields=fields,
            deadline_ms=9_000,
        )

    def serve(self, load_field, first_ms=210, gap_ms=70, is_blocked=False):
        """Serve one stream whose server takes three times the usual time."""
        exchange = self.send()
        connection = self.harness.last_connection
        self.harness.clock.advance(first_ms)
        load = (b"balsamwall-server-load", load_field)
        connection.begin(200, [*gateway_harness.SIGNED, load])
        for _ in range(33):
            if is_blocked:
                exchange.listener.on_caller_blocked(True)
            connection.receiver.on_data(b"data: x\n\n")
            self.harness.clock.advance(gap_ms)
        connection.receiver.on_end()

    def learned(self, is_pause):
        now_ms = self.harness.clock.now_ms()
        return self.server.speed.learned(MODEL, now_ms, is_pause=is_pause)

    def test_streams_teach_the_speed(self):
        """Guards against streams whose events are not measured."""
        for _ in range(8):
            self.serve(b"1,0,32,100")
        self.assertAlmostEqual(self.learned(True), 3.0, delta=0.4)
        self.assertAlmostEqual(self.learned(False), 3.0, delta=0.4)
        self.assertFalse(self.server.ejected_until_ms)
        self.assertAlmostEqual(
            self.server.speed.forecast_ratio, 1.0, delta=0.4
        )

    def test_speed_at_the_send_is_logged(self):
        """Guards against an avoided server without a trace in the log."""
        lines = []

        def write(event, **fields):
            if event == "request_over":
                lines.append(fields)

        with mock.patch("eliot.log_message", write):
            self.serve(b"1,0,32,100")
            self.server.speed.on_work_time(300, self.harness.clock.now_ms())
            self.serve(b"1,0,32,100")
        found = [(line["learned_factor"], line["work_time"]) for line in lines]
        self.assertEqual(found, [(None, None), (1.0, 3.0)])

    def test_slow_caller_does_not_count(self):
        """Guards against a server taken for slow as a caller reads slowly."""
        self.serve(b"1,0,32,100")
        for is_blocked in (True, False):
            for _ in range(3):
                self.serve(b"1,0,32,100", is_blocked=is_blocked)
            now_ms = self.harness.clock.now_ms()
            found = self.server.speed.observed(MODEL, now_ms, is_pause=True)
            self.assertEqual(found is None, is_blocked)

    def test_streams_teach_nothing_without_work_times(self):
        """Guards against learned speeds where no figure is reported."""
        for _ in range(4):
            self.serve(b"1,0,32")
        self.assertFalse(self.server.speed.reports_work_times)
        self.assertEqual(self.learned(True), 1.0)

    def fill(self, percent, priority=1):
        """Return the requests sent at once to a server with a work time."""
        now_ms = self.harness.clock.now_ms()
        if percent:
            self.server.speed.on_work_time(percent, now_ms)
        for _ in range(80):
            self.send(priority)
        return len(self.harness.pool.connections)

    def test_slow_server_gets_fewer_requests(self):
        """Guards against pauses of all streams at a slow server."""
        self.assertEqual(self.fill(350), 19)
        self.harness.clock.advance(server_speed.WORK_TIME_MAX_AGE_MS)
        self.assertEqual(len(self.harness.pool.connections), 35)

    def test_very_slow_server_takes_half_of_its_slots(self):
        """Guards against refusals while the only replica is slow."""
        self.assertEqual(self.fill(500), 16)
        self.assertEqual(self.fill(2_000), 16)

    def test_urgent_requests_are_not_held_back(self):
        """Guards against urgent requests that are late while they wait."""
        self.assertEqual(self.fill(250, priority=0), 59)

    def test_all_slots_are_used_without_work_times(self):
        """Guards against fewer requests where no figure is reported."""
        self.assertEqual(self.fill(None), 35)


if __name__ == "__main__":
    unittest.main()
