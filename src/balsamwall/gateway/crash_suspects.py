"""Attribute server crashes to requests and quarantine these."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.gateway import backend_directory
    from balsamwall.gateway import caller_exchange
    from balsamwall.timing import clock as clock_module

# A crash first breaks the responses; the loss of the server is detected later,
# within this time.
CRASH_CONFIRMATION_MS = 3_000
# Concurrent requests on a crashed server are counted as well as the one at
# fault. The same fingerprint on three crashed processes is no coincidence.
CRASHES_TO_QUARANTINE = 3
QUARANTINE_MS = 300_000
# When this many fingerprints are held, all of them are discarded.
MAX_FINGERPRINTS = 10_000
FINGERPRINT_BYTES = 16


def request_fingerprint(
    head: caller_exchange.RequestHead, body: bytes
) -> bytes:
    """Return a digest of method, target and body, equal for all resends."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (head.method, head.target, body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


class CrashSuspects:
    """Report requests that ran on a crashed server; hold the quarantine.

    A request may crash each server that runs it while its caller keeps
    sending it, through any entry. Crashes are therefore reported to a counter
    of the whole fleet, which decides on the quarantine.
    """

    __slots__ = ("_broken_responses", "_clock", "_on_crash", "_quarantined")

    def __init__(
        self,
        clock: clock_module.Clock,
        on_crash: Callable[[bytes, str], None],
    ) -> None:
        self._clock = clock
        self._on_crash = on_crash
        # By server: time, request fingerprint and server process of each
        # broken response.
        self._broken_responses: dict[str, list[tuple[int, bytes, str]]] = {}
        self._quarantined: dict[bytes, int] = {}

    def on_broken_response(
        self, record: backend_directory.ServerRecord, fingerprint: bytes
    ) -> None:
        """Record a request whose response was cut off."""
        process = f"{record.server_id}@{record.started_ms}"
        records = self._pop_recent(record.server_id)
        records.append((self._clock.now_ms(), fingerprint, process))
        self._broken_responses[record.server_id] = records

    def on_server_lost(self, server_id: str) -> None:
        """Report the requests that ran on a lost server.

        These are the ones whose responses were cut off within the last
        CRASH_CONFIRMATION_MS.
        """
        for _, fingerprint, process in self._pop_recent(server_id):
            self._on_crash(fingerprint, process)

    def _pop_recent(self, server_id: str) -> list[tuple[int, bytes, str]]:
        """Remove the records of a server; return those not yet expired."""
        oldest_ms = self._clock.now_ms() - CRASH_CONFIRMATION_MS
        records = self._broken_responses.pop(server_id, [])
        return [record for record in records if record[0] >= oldest_ms]

    def quarantine(self, fingerprint: bytes) -> None:
        """Refuse requests with a fingerprint for QUARANTINE_MS."""
        if len(self._quarantined) >= MAX_FINGERPRINTS:
            self._quarantined.clear()
        self._quarantined[fingerprint] = self._clock.now_ms() + QUARANTINE_MS

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Return whether requests with a fingerprint must be refused."""
        until_ms = self._quarantined.get(fingerprint)
        if until_ms is None:
            return False
        if self._clock.now_ms() < until_ms:
            return True
        del self._quarantined[fingerprint]
        return False


class CrashCounter:
    """Count crashes by request fingerprint over all entries.

    A server process counts once, however many requests with the fingerprint
    it ran and however many entries report the crash. A crash is counted for
    QUARANTINE_MS.
    """

    __slots__ = ("_clock", "_crashes")

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        # By fingerprint: crashed server processes with their expiry time.
        self._crashes: dict[bytes, dict[str, int]] = {}

    def add(self, fingerprint: bytes, process: str) -> bool:
        """Count a crash; return whether to quarantine the fingerprint."""
        now_ms = self._clock.now_ms()
        if len(self._crashes) >= MAX_FINGERPRINTS:
            self._crashes.clear()
        processes = {
            name: until_ms
            for name, until_ms in self._crashes.get(fingerprint, {}).items()
            if now_ms < until_ms
        }
        processes[process] = now_ms + QUARANTINE_MS
        self._crashes[fingerprint] = processes
        return len(processes) >= CRASHES_TO_QUARANTINE
