"""Tests of dissemination between 200 processes in virtual time."""

from __future__ import annotations

import dataclasses
import random
import unittest

from balsamwall.configuration import configuration_replica
from balsamwall.configuration import configuration_store
from balsamwall.configuration import configuration_watcher
from balsamwall.protocol import codec
from balsamwall.protocol import messages_configuration
from balsamwall.timing import virtual_clock
from tests.configuration import fakes

TENANT = "kovacevic"
PROCESSES = 200
ENTRIES = 16
ZONES = 4
LOSS = 0.1
DISSEMINATION_LIMIT_MS = 12_000


class Process:
    """Replica, store and watcher of one process, and its outbox."""

    def __init__(self, fleet, name):
        self.fleet, self.name = fleet, name
        self.highest = 0
        self.is_alive = True
        clock, source = fleet.clock, fleet.random
        self.replica = configuration_replica.ConfigurationReplica(
            clock, self, source, [TENANT]
        )
        self.replica.add_listener(self.on_change)
        self.store = configuration_store.ConfigurationStore(
            fleet.service, clock
        )
        self.watcher = configuration_watcher.ConfigurationWatcher(
            clock,
            self.store,
            self.replica,
            source,
            TENANT,
            name,
            fleet.zones[name],
        )

    def start(self):
        self.replica.start()
        for peer in self.fleet.links[self.name]:
            self.replica.on_peer_up(peer)
            self.fleet.processes[peer].replica.on_peer_up(self.name)
        self.watcher.on_members(self.fleet.zones.items())

    def stop(self):
        self.is_alive = False
        self.replica.stop()
        self.watcher.stop()
        for peer in self.fleet.links[self.name]:
            self.fleet.processes[peer].replica.on_peer_down(self.name)

    def send(self, peer, item):
        if self.is_alive:
            self.fleet.deliver(self, peer, codec.encode(item))

    def on_change(self, new, old):
        if new.revision <= self.highest:
            self.fleet.reverts += 1
        self.highest = new.revision


class Fleet:
    """Processes on a network that loses messages."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.clock = virtual_clock.VirtualClock()
        self.service = fakes.FakeKeyValue(self.clock, seed)
        self.reverts = self.sent_bytes = 0
        self.names = [f"vm-{number}" for number in range(PROCESSES)]
        self.zones = {
            name: f"z{number % ZONES}"
            for number, name in enumerate(self.names)
        }
        self.links = {name: {} for name in self.names}
        for entry in self.names[:ENTRIES]:
            for agent in self.random.sample(self.names[ENTRIES:], 64):
                self.links[entry][agent] = None
                self.links[agent][entry] = None
        self.processes = {n: Process(self, n) for n in self.names}
        for process in self.processes.values():
            process.start()

    def deliver(self, sender, peer, data):
        self.sent_bytes += len(data)
        if self.random.random() < LOSS:
            return
        target = self.processes[peer]

        def arrive():
            if target.is_alive:
                target.replica.on_message(sender.name, codec.decode(data))

        self.clock.call_later(self.random.randint(1, 20), arrive)

    def restart(self, name):
        self.processes[name].stop()
        self.processes[name] = Process(self, name)
        self.processes[name].start()

    def change(self, revision):
        """Write a change through a random entry; return the finish time."""
        entry = self.processes[self.random.choice(self.names[:ENTRIES])]
        done = []

        def on_result(result):
            entry.replica.offer(result.unwrap().configuration)
            done.append(self.clock.now_ms())

        entry.store.write(
            configuration_store.Change(
                fakes.parse(fakes.BASIC + f"burst = {revision}\n"),
                {"a.ini": "x"},
                f"c{revision}",
                "ana",
                revision - 1,
            ),
            on_result,
        )
        while not done:
            self.clock.advance(5)
        return done[0]

    def time_until(self, revision, limit_ms=60_000):
        """Return the time until a revision is active on all processes."""
        start_ms = self.clock.now_ms()
        while self.clock.now_ms() - start_ms < limit_ms:
            if all(
                process.replica.revision(TENANT) >= revision
                for process in self.processes.values()
            ):
                return self.clock.now_ms() - start_ms
            self.clock.advance(20)
        return limit_ms


class DisseminationTest(unittest.TestCase):
    """R8: guard against delayed, lost and reverted configurations."""

    def test_changes_with_restarts(self) -> None:
        """A restarted process must not stay on an old revision."""
        fleet = Fleet(seed=11)
        fleet.clock.advance(5_000)
        times = []
        for revision in range(1, 11):
            fleet.change(revision)
            for name in fleet.random.sample(fleet.names, 5):
                fleet.restart(name)
            times.append(fleet.time_until(revision))
        calls, sent = fleet.service.calls, fleet.sent_bytes
        fleet.clock.advance(100_000)
        calls = (fleet.service.calls - calls) / 100
        sent = (fleet.sent_bytes - sent) / 100 / PROCESSES
        print(
            f"\n200 processes, 10% loss, 5 restarts per change:"
            f" active everywhere after {sorted(times)} ms;"
            f" idle: {calls:.2f} calls/s to the key-value service,"
            f" {sent:.0f} bytes/s per process"
        )
        counters = [p.replica.counters for p in fleet.processes.values()]
        deltas = sum(counter.deltas_sent for counter in counters)
        documents = sum(counter.documents_sent for counter in counters)
        print(f"{deltas} of {documents} documents were deltas")
        self.assertGreater(deltas, documents / 2)
        self.assertLess(max(times), DISSEMINATION_LIMIT_MS)
        self.assertEqual(0, fleet.reverts)
        self.assertEqual(2 * ZONES, len(fleet.service.watches))
        self.assertLess(calls, 1)

    def test_outage_of_the_key_value_service(self) -> None:
        """A process that starts in an outage must get the configuration."""
        fleet = Fleet(seed=12)
        fleet.change(1)
        # The outage begins before the watchers can read the change.
        fleet.service.is_down = True
        dissemination_ms = fleet.time_until(1)
        for name in fleet.random.sample(fleet.names, 100):
            fleet.restart(name)
        bootstrap_ms = fleet.time_until(1)
        calls = fleet.service.calls
        fleet.clock.advance(100_000)
        calls = (fleet.service.calls - calls) / 100
        fleet.service.end_outage()
        fleet.clock.advance(20_000)
        fleet.change(2)
        after_ms = fleet.time_until(2)
        print(
            f"\noutage: active after {dissemination_ms} ms, after 100 restarts"
            f" in {bootstrap_ms} ms, change after the outage {after_ms} ms,"
            f" {calls:.2f} calls/s in the outage"
        )
        for time_ms in (dissemination_ms, bootstrap_ms, after_ms):
            self.assertLess(time_ms, DISSEMINATION_LIMIT_MS)
        self.assertEqual(0, fleet.reverts)

    def test_change_whose_writer_crashes(self) -> None:
        """A change known only to the key-value service must reach all."""
        fleet = Fleet(seed=13)
        fleet.clock.advance(5_000)
        store = fleet.processes["vm-0"].store
        done = []
        store.write(
            configuration_store.Change(fakes.parse(), {}, "c1", "ana", 0),
            done.append,
        )
        fleet.restart("vm-0")
        self.assertLess(fleet.time_until(1), DISSEMINATION_LIMIT_MS)

    def test_corrupt_and_older_documents_are_rejected(self) -> None:
        """A corrupt or older document from a peer must not be activated."""
        fleet = Fleet(seed=14)
        fleet.change(1)
        fleet.time_until(1)
        replica = fleet.processes["vm-3"].replica
        older = dataclasses.replace(fakes.parse(), revision=0)
        self.assertFalse(replica.offer(older))
        for content in (b"", b"x" * 600_000, b"\x93"):
            replica.on_message(
                "vm-1",
                messages_configuration.ConfigDocument(TENANT, 9, content),
            )
        self.assertEqual(1, replica.revision(TENANT))
        self.assertEqual(3, replica.counters.documents_refused)
