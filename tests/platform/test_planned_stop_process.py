"""Tests of requests that arrive while an entry is stopped as planned."""

from __future__ import annotations

import http.client
import signal
import threading
import time
import unittest
from unittest import mock

from soak import backend_server
from soak import entry as entry_module
from tests.fixtures import entry_fleet

# A request runs for this long at a server.
WORK_S = 1.2
# Requests are sent all through the grace, and a little longer.
OBSERVED_S = entry_module.GRACE_S + 1.0
CALLERS_OF_KIND = 3
FREEZE_S = 1.5
# Callers are busy for this long before the stop.
BUSY_S = 1.0
TIMEOUT_S = 30
HEAD = (
    "POST /{route}/1 HTTP/1.1\r\n"
    f"Host: {entry_fleet.HOST}\r\n"
    "Balsamwall-Request-Id: {request_id}\r\n"
    "Balsamwall-Deadline-Ms: 15000\r\n"
    "X-Events: {events}\r\n"
    "Content-Length: {length}\r\n\r\n"
)
BODY = b"x" * 1_000


class Caller(threading.Thread):
    """Sends requests on one route until the entry accepts no more."""

    def __init__(self, fleet, entry, route, *, is_kept, pause_s=0.0, events=0):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.entry = entry
        self.route = route
        self.is_kept = is_kept
        self.pause_s = pause_s  # in the middle of the body
        self.events = events
        self.results = {}  # by request: whether its response was complete
        self.end_s = time.monotonic() + TIMEOUT_S

    def run(self):
        connection = None
        while time.monotonic() < self.end_s:
            if connection is None or not self.is_kept:
                connection = http.client.HTTPConnection(
                    "127.0.0.1", self.entry.callers_port, timeout=TIMEOUT_S
                )
            request_id = f"{next(self.fleet.numbers):016x}"
            try:
                self.send(connection, request_id)
            except OSError:
                # Nothing was read by the entry in full.
                self.results.setdefault(request_id, False)
                connection.close()
                connection = None
                time.sleep(0.02)
            except http.client.HTTPException:
                self.results[request_id] = False
                connection.close()
                connection = None

    def send(self, connection, request_id):
        head = HEAD.format(
            route=self.route,
            request_id=request_id,
            events=self.events,
            length=len(BODY),
        )
        if connection.sock is None:
            connection.connect()
        half = len(BODY) // 2
        connection.sock.sendall(head.encode() + BODY[:half])
        time.sleep(self.pause_s)
        connection.sock.sendall(BODY[half:])
        response = http.client.HTTPResponse(connection.sock, method="POST")
        try:
            response.begin()
            response.read()
            self.results[request_id] = True
            is_closing = response.will_close
        finally:
            response.close()
        if is_closing or not self.is_kept:
            connection.close()


class PlannedStopProcessTest(unittest.TestCase):
    """One of two entries gets SIGTERM, under requests of several kinds."""

    def setUp(self):
        patch = mock.patch.object(backend_server, "WORK_S", WORK_S)
        patch.start()
        self.addCleanup(patch.stop)
        self.fleet = entry_fleet.EntryFleet(self, entries=2)
        kinds = {"place": 2_000, "slow": 20_000, "live": 20_000}
        for name, timeout_ms in kinds.items():
            self.fleet.add_route(
                name,
                kind="streaming" if name == "live" else "non_idempotent",
                timeout_ms=timeout_ms,
                attempts=1,
            )
        time.sleep(BUSY_S)

    def callers(self, entry):
        for is_kept in (True, False):
            for route in ("place", "slow"):
                yield Caller(self.fleet, entry, route, is_kept=is_kept)
            yield Caller(
                self.fleet, entry, "place", is_kept=is_kept, pause_s=0.7
            )
            yield Caller(self.fleet, entry, "live", is_kept=is_kept, events=20)

    def begin(self, *entries):
        """Send requests of all kinds to the entries."""
        found = [
            caller
            for entry in entries
            for _ in range(CALLERS_OF_KIND)
            for caller in self.callers(entry)
        ]
        for caller in found:
            caller.start()
        time.sleep(BUSY_S)
        return found

    def stop(self, entry):
        entry.is_stopping = True
        entry.send_signal(signal.SIGTERM)

    def check(self, callers):
        """Check that no request ran whose caller got no whole response."""
        for caller in callers:
            caller.end_s = 0.0
        for caller in callers:
            caller.join(TIMEOUT_S)
            self.assertFalse(caller.is_alive())
        cut = [
            (caller.route, caller.is_kept, caller.pause_s)
            for caller in callers
            for request_id, is_complete in caller.results.items()
            if not is_complete and request_id in self.fleet.ledger.runs
        ]
        self.assertEqual(cut, [])
        self.assertTrue(all(any(item.results.values()) for item in callers))

    def test_no_request_is_run_and_cut(self):
        """Guards against requests that are taken late and cut at the end."""
        callers = self.begin(self.fleet.entries[0])
        self.stop(self.fleet.entries[0])
        time.sleep(OBSERVED_S)
        self.assertFalse(self.fleet.entries[0].is_running)
        self.check(callers)

    def test_two_entries_stop_at_once(self):
        """Guards against requests that the other entry would have to take."""
        callers = self.begin(*self.fleet.entries)
        for entry in self.fleet.entries:
            self.stop(entry)
        time.sleep(OBSERVED_S)
        self.check(callers)

    def test_entry_that_was_frozen_in_the_grace(self):
        """Guards against a grace that begins again after a freeze."""
        entry = self.fleet.entries[0]
        callers = self.begin(entry)
        self.stop(entry)
        time.sleep(1.0)
        entry.send_signal(signal.SIGSTOP)
        time.sleep(FREEZE_S)
        entry.send_signal(signal.SIGCONT)
        time.sleep(entry_module.GRACE_S - 1.0 - FREEZE_S)
        entry.kill()
        time.sleep(OBSERVED_S - entry_module.GRACE_S)
        self.check(callers)
