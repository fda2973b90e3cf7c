"""Tests of the watch on the key-value service."""

from __future__ import annotations

import base64
import json
import unittest

from returns.result import Failure
from returns.result import Success

from balsamwall.infrastructure import etcd_watch
from balsamwall.infrastructure import key_value_service
from balsamwall.results import result_code
from balsamwall.timing import virtual_clock

IDLE_LIMIT_MS = 10_000


def event_line(key, value, revision, kind="PUT") -> bytes:
    """Return the line of one event."""
    kv = {
        "key": base64.b64encode(key.encode()).decode(),
        "value": base64.b64encode(value).decode(),
        "mod_revision": str(revision),
    }
    result = {"events": [{"type": kind, "kv": kv}]}
    return json.dumps({"result": result}).encode() + b"\n"


class EtcdWatchTest(unittest.TestCase):
    """Guard against lost, repeated and outdated changes."""

    def setUp(self) -> None:
        self.clock = virtual_clock.VirtualClock()
        self.snapshot = Success((5, (self._item("a", b"1", 4),)))
        self.streams = []
        self.seen = []
        self.watch = etcd_watch.EtcdWatch(
            self.clock, self._read, self._open, self._on_change
        )
        self.watch.start()

    def _item(self, key, value, revision):
        return key_value_service.KeyValue(key, value, revision)

    def _read(self, callback):
        callback(self.snapshot)
        return lambda: None

    def _open(self, revision, receiver):
        self.streams.append((revision, receiver))
        return lambda: None

    def _on_change(self, item) -> None:
        self.seen.append((item.key, item.value, item.revision))

    def test_follows_from_the_revision_after_the_snapshot(self) -> None:
        """A gap between the snapshot and the stream would lose a change."""
        revision, receiver = self.streams[0]
        self.assertEqual(6, revision)
        line = event_line("a", b"2", 6)
        receiver.on_data(line[:10])
        receiver.on_data(line[10:])
        self.assertEqual([("a", b"1", 4), ("a", b"2", 6)], self.seen)

    def test_silent_stream_is_reopened_in_time(self) -> None:
        """An idle watch would leave a process on an old configuration."""
        self.snapshot = Success((9, (self._item("a", b"3", 8),)))
        self.clock.advance(IDLE_LIMIT_MS)
        self.assertEqual(2, len(self.streams))
        self.assertEqual(("a", b"3", 8), self.seen[-1])

    def test_progress_keeps_the_stream(self) -> None:
        """Reopening a healthy stream would waste calls to the service."""
        for _ in range(10):
            self.clock.advance(2_000)
            self.streams[0][1].on_data(b'{"result":{"header":{}}}\n')
        self.assertEqual(1, len(self.streams))

    def test_older_snapshot_reverts_nothing(self) -> None:
        """A snapshot from a lagging replica must not restore an old value."""
        self.streams[0][1].on_data(event_line("a", b"2", 6))
        self.streams[0][1].on_close(False, True, "reset")
        self.clock.advance(etcd_watch.REOPEN_BACKOFF_MIN_MS)
        self.assertEqual(2, len(self.streams))
        self.assertEqual([("a", b"1", 4), ("a", b"2", 6)], self.seen)

    def test_missed_delete_is_delivered(self) -> None:
        """A key deleted while the stream was down would seem to exist."""
        self.streams[0][1].on_close(False, True, "reset")
        self.snapshot = Success((9, ()))
        self.clock.advance(etcd_watch.REOPEN_BACKOFF_MIN_MS)
        self.assertEqual(("a", None, 9), self.seen[-1])

    def test_retries_back_off_in_an_outage(self) -> None:
        """Retries without backoff would exhaust the service's rate limit."""
        self.snapshot = Failure(result_code.ResultCode.PLATFORM_UNAVAILABLE)
        self.streams[0][1].on_close(False, True, "reset")
        before = self.watch.reopen_count
        self.clock.advance(60_000)
        attempts = self.watch.reopen_count - before
        self.assertLessEqual(
            attempts, 60_000 // etcd_watch.REOPEN_BACKOFF_MAX_MS + 6
        )

    def test_cancelled_watch_is_silent(self) -> None:
        """The owner of a cancelled watch must not be called again."""
        self.watch.cancel()
        self.streams[0][1].on_data(event_line("a", b"2", 6))
        self.clock.advance(60_000)
        self.assertEqual([("a", b"1", 4)], self.seen)
        self.assertEqual(1, len(self.streams))
