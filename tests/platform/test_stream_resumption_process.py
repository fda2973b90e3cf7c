"""Tests of streams that callers resume at entries that run as processes."""

from __future__ import annotations

import dataclasses
import http.client
import itertools
import json
import pathlib
import signal
import tempfile
import threading
import time
import unittest

from twisted.internet import reactor
from twisted.web import server

from soak import backend_server
from soak import entry as entry_module
from soak import ledger as ledger_module
from soak import poison_part
from soak import store as store_module
from soak import stream_events
from tests.fixtures import reactor_thread

ENTRIES = 3
VERSIONS = ("v1", "v2")
STREAMS = 24
EVENTS = 120
# Streams that show which versions an entry uses.
PROBES = 6
PROBE_EVENTS = 3
START_S = 20
# All streams have begun at least this long before an entry is killed.
BEGUN_S = 1.2
DOWN_S = 1.0
# A version that joins is recorded and used by then.
JOIN_S = 1.6
RESUME_S = 9
POLL_S = 0.05
MAX_RETRY_AFTER_S = 2.0
READ_TIMEOUT_S = 5
DEADLINE_MS = 15_000
HOST = "desk.example"
ROUTE = {
    "name": "talk",
    "host": HOST,
    "path_prefix": "/talk/",
    "kind": "streaming",
    "resumable": True,
    "timeout_ms": 10_000,
    "target_latency_ms": 1_000,
    "gap_aim_ms": 500,
    "attempts": 2,
    "service": "app",
}
CONFIGURATION = {
    "version": 1,
    "routes": [ROUTE],
    "services": [{"name": "app", "max_conns": 200}],
}


class _NoFaults:
    """Source of random numbers that lets a server fail no request."""

    def random(self):
        return 1.0


@dataclasses.dataclass
class Attempt:
    """One request of a caller for a stream."""

    attempt_id: str
    first_event: int
    status: int = 0
    retry_after_s: float = 0.0
    body: bytes = b""

    @property
    def received(self):
        return stream_events.ReceivedEvents(
            self.attempt_id, self.first_event, self.body
        )


class Stream(threading.Thread):
    """Caller that begins one stream and resumes it until it is whole."""

    def __init__(self, number, entries, events=EVENTS):
        super().__init__(daemon=True)
        self.events = events
        self.number = number
        self.entries = entries
        self.attempts = []
        self.begun_s = 0.0
        self.end_s = 0.0

    @property
    def version(self):
        """Return the version of the server that began the stream."""
        return self.versions[0]

    @property
    def versions(self):
        return [writer.split("/")[1] for writer in self.writers]

    @property
    def writers(self):
        return list(
            itertools.chain.from_iterable(
                attempt.received.writers for attempt in self.attempts
            )
        )

    @property
    def is_whole(self):
        return len(self.writers) == self.events

    @property
    def resumptions(self):
        return [item for item in self.attempts if item.first_event > 1]

    def run(self):
        entries = itertools.cycle(self.entries)
        for _ in range(self.number):
            next(entries)
        while True:
            first_event = len(self.writers) + 1
            attempt_id = f"{self.number:04x}{len(self.attempts):08x}"
            attempt = Attempt(attempt_id, first_event)
            self.attempts.append(attempt)
            try:
                self.send(attempt, next(entries))
            except (OSError, http.client.HTTPException):
                pass
            if self.is_whole or 0 < self.end_s < time.monotonic():
                return
            time.sleep(max(POLL_S, attempt.retry_after_s))

    def send(self, attempt, entry):
        connection = http.client.HTTPConnection(
            "127.0.0.1", entry.callers_port, timeout=READ_TIMEOUT_S
        )
        try:
            connection.request("POST", "/talk/1", headers=self.fields(attempt))
            response = connection.getresponse()
            attempt.status = response.status
            retry_after = response.getheader("Retry-After", "0")
            attempt.retry_after_s = min(float(retry_after), MAX_RETRY_AFTER_S)
            while data := response.read1():
                if attempt.status == 200:
                    attempt.body += data
                    self.begun_s = self.begun_s or time.monotonic()
        finally:
            connection.close()

    def fields(self, attempt):
        fields = {
            "Host": HOST,
            "Balsamwall-Request-Id": attempt.attempt_id,
            "Balsamwall-Deadline-Ms": str(DEADLINE_MS),
            "X-Events": str(self.events),
        }
        if attempt.first_event > 1:
            fields["Last-Event-Id"] = str(attempt.first_event - 1)
            fields["Resumes"] = next(
                item.attempt_id
                for item in self.attempts
                if item.received.writers
            )
        return fields


class ResumptionTestCase(unittest.TestCase):
    """Three entries, a stand-in for the store, two servers of each version."""

    versions = VERSIONS

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.data = store_module.StoreData()
        self.ledger = ledger_module.Ledger()
        value = json.dumps(CONFIGURATION).encode()
        reactor_thread.run(lambda: self.data.put("op/config", value))
        self.listener = reactor_thread.run(self.listen)
        self.addCleanup(reactor_thread.run, self.data.stop)
        self.addCleanup(reactor_thread.run, self.listener.stopListening)
        self.servers = [
            self.start_server(number, version)
            for number, version in enumerate(sorted(self.versions * 2))
        ]
        self.entries = [
            entry_module.Entry(
                f"front-{number}",
                f"z{number % 2 + 1}",
                self.listener.getHost().port,
                pathlib.Path(folder.name),
            )
            for number in range(ENTRIES)
        ]
        for entry in self.entries:
            self.addCleanup(entry.kill)
            entry.start()
        self.wait_until_all_versions_serve()

    def listen(self):
        site = store_module.StoreSite(self.data)
        return reactor.listenTCP(0, server.Site(site), interface="127.0.0.1")

    def start_server(self, number, version):
        started = backend_server.BackendServer(
            f"app-{number}",
            "app",
            f"z{number % 2 + 1}",
            self.data,
            self.ledger,
            _NoFaults(),
            0.0,
            poison_part.PoisonPart(),
            None,
            None,
            version=version,
        )
        reactor_thread.run(started.start)
        self.addCleanup(reactor_thread.run, started.leave)
        return started

    def wait_until_all_versions_serve(self):
        """Wait until streams begin at all versions through each entry."""
        end_s = time.monotonic() + START_S
        number = STREAMS
        for entry in self.entries:
            seen = set()
            while len(seen) < len(self.versions):
                self.assertLess(time.monotonic(), end_s, seen)
                # Streams at the same time, as one alone goes to one server.
                probes = [
                    Stream(number + item, [entry], PROBE_EVENTS)
                    for item in range(PROBES)
                ]
                number += PROBES
                for probe in probes:
                    probe.end_s = time.monotonic() + POLL_S
                    probe.start()
                for probe in probes:
                    probe.join()
                    seen.update(probe.versions)

    def begin_streams(self):
        """Begin streams at all entries, and wait until all have begun."""
        streams = [Stream(number, self.entries) for number in range(STREAMS)]
        for stream in streams:
            stream.start()
        end_s = time.monotonic() + START_S
        while not all(stream.begun_s for stream in streams):
            self.assertLess(time.monotonic(), end_s, "streams do not begin")
            time.sleep(POLL_S)
        time.sleep(BEGUN_S)
        self.assertEqual({item.version for item in streams}, {*self.versions})
        return streams

    def kill(self, entries):
        for entry in entries:
            entry.kill()

    def restart(self, entries, streams):
        time.sleep(DOWN_S)
        for entry in entries:
            entry.start()
        end_s = time.monotonic() + RESUME_S
        for stream in streams:
            stream.end_s = end_s
        for stream in streams:
            stream.join(RESUME_S + 2 * READ_TIMEOUT_S)
            self.assertFalse(stream.is_alive())

    def joined(self, streams):
        """Return the attempts of each stream with events of two versions."""
        return [
            [
                (item.attempt_id, item.status, item.received.writers[:1])
                for item in stream.attempts
                if item.status
            ]
            for stream in streams
            if len(set(stream.versions)) > 1
        ]

    def check_share(self, streams, version):
        """Check that half of the resumed streams of a version go on."""
        resumed = [
            item
            for item in streams
            if item.resumptions and item.version == version
        ]
        whole = [item for item in resumed if item.is_whole]
        self.assertGreaterEqual(len(whole), len(resumed) / 2, version)


class StreamResumptionProcessTest(ResumptionTestCase):
    """Entries are killed while both versions serve."""

    def test_kill_of_all_entries(self):
        """Guards against a stream that goes on at another version.

        All entries lose their memory at once, and both versions still serve.
        """
        streams = self.begin_streams()
        self.kill(self.entries)
        self.restart(self.entries, streams)
        self.assertEqual(self.joined(streams), [])
        self.assertTrue(all(item.resumptions for item in streams))
        for version in VERSIONS:
            self.check_share(streams, version)

    def test_kill_of_all_entries_as_a_version_leaves(self):
        """Guards against a proof by what the directory holds afterwards."""
        streams = self.begin_streams()
        self.kill(self.entries)
        for item in self.servers:
            if item.version == "v1":
                reactor_thread.run(item.leave)
        self.restart(self.entries, streams)
        self.assertEqual(self.joined(streams), [])
        old = [item for item in streams if item.version == "v1"]
        for stream in old:
            # 0 counts the attempts while no entry listens.
            found = {item.status for item in stream.resumptions}
            self.assertEqual(found - {0}, {503})
        self.check_share(streams, "v2")

    def test_kill_of_one_entry(self):
        """Guards against streams that only the killed entry could resume."""
        streams = self.begin_streams()
        killed = self.entries[:1]
        self.kill(killed)
        self.restart(killed, streams)
        self.assertEqual(self.joined(streams), [])
        resumed = [item for item in streams if item.resumptions]
        self.assertEqual(len(resumed), STREAMS // ENTRIES)
        self.assertTrue(all(item.is_whole for item in streams))


class OutOfStepEntryTest(ResumptionTestCase):
    """One entry is frozen while servers of another version join.

    The streams begin at the other entries, which are killed just before the
    entry goes on, so that it is the only one that can take them up.
    """

    versions = ("v1",)

    def play(self, before_kill=lambda: None):
        """Return the streams, all of which were taken up."""
        *others, frozen = self.entries
        frozen.send_signal(signal.SIGSTOP)
        for number in (10, 11):
            self.start_server(number, "v2")
        time.sleep(JOIN_S)
        streams = [
            # An even number begins at the first of the two entries.
            Stream(2 * number, [others[number % 2], frozen])
            for number in range(STREAMS)
        ]
        for stream in streams:
            stream.start()
        time.sleep(BEGUN_S)
        before_kill()
        self.kill(others)
        frozen.send_signal(signal.SIGCONT)
        end_s = time.monotonic() + RESUME_S
        for stream in streams:
            stream.end_s = end_s
        for stream in streams:
            stream.join(RESUME_S + 2 * READ_TIMEOUT_S)
        self.assertEqual({item.version for item in streams}, {*VERSIONS})
        self.assertTrue(all(item.resumptions for item in streams))
        return streams

    def test_version_joins(self):
        """Guards against a proof by what the frozen entry knew."""
        streams = self.play()
        self.assertEqual(self.joined(streams), [])
        for version in VERSIONS:
            self.check_share(streams, version)

    def test_version_joins_and_the_store_is_restored(self):
        """Guards against a proof by a copy that lacks the version."""
        copy = reactor_thread.run(self.data.copy)
        streams = self.play(
            lambda: reactor_thread.run(lambda: self.data.restore(copy))
        )
        self.assertEqual(self.joined(streams), [])
