"""Requests whose servers crashed while they ran."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.gateway import backend_directory
    from balsamwall.gateway import caller_exchange
    from balsamwall.timing import clock as clock_module

# A crash shows as broken answers first and as a lost server later.
CRASH_CONFIRMATION_MS = 3_000
# Requests that ran beside the one at fault are blamed as well; the same
# fingerprint on three servers that crashed is no coincidence.
CRASHES_TO_QUARANTINE = 3
QUARANTINE_MS = 300_000
MAX_FINGERPRINTS = 10_000
FINGERPRINT_BYTES = 16


def request_fingerprint(
    head: caller_exchange.RequestHead, body: bytes
) -> bytes:
    """Return a digest of what a resend of a request has in common with it."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (head.method, head.target, body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


class CrashSuspects:
    """Attribute crashes to requests, and refuse those that repeat.

    Load pattern: one request crashes each server that runs it, and its caller
    sends it again, through any entry.
    """

    __slots__ = ("_broken_responses", "_clock", "_on_crash", "_quarantined")

    def __init__(
        self,
        clock: clock_module.Clock,
        on_crash: Callable[[bytes, str], None],
    ) -> None:
        self._clock = clock
        self._on_crash = on_crash
        # Broken requests by server, with the time of the break and the
        # process of the server.
        self._broken_responses: dict[str, list[tuple[int, bytes, str]]] = {}
        self._quarantined: dict[bytes, int] = {}

    def on_broken_response(
        self, record: backend_directory.ServerRecord, fingerprint: bytes
    ) -> None:
        """Note a request whose answer broke off."""
        process = f"{record.server_id}@{record.started_ms}"
        rows = self._pop_recent(record.server_id)
        rows.append((self._clock.now_ms(), fingerprint, process))
        self._broken_responses[record.server_id] = rows

    def on_server_lost(self, server_id: str) -> None:
        """Blame the requests that broke off just before."""
        for _, fingerprint, process in self._pop_recent(server_id):
            self._on_crash(fingerprint, process)

    def _pop_recent(self, server_id: str) -> list[tuple[int, bytes, str]]:
        """Remove the breaks of a server and return those that still count."""
        oldest_ms = self._clock.now_ms() - CRASH_CONFIRMATION_MS
        rows = self._broken_responses.pop(server_id, [])
        return [row for row in rows if row[0] >= oldest_ms]

    def quarantine(self, fingerprint: bytes) -> None:
        """Refuse a request from now on."""
        if len(self._quarantined) >= MAX_FINGERPRINTS:
            self._quarantined.clear()
        self._quarantined[fingerprint] = self._clock.now_ms() + QUARANTINE_MS

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Tell whether a request must not reach a server."""
        until_ms = self._quarantined.get(fingerprint)
        if until_ms is None:
            return False
        if self._clock.now_ms() < until_ms:
            return True
        del self._quarantined[fingerprint]
        return False


class CrashCounter:
    """Crashes by fingerprint, counted over all entries.

    A server process counts once, however many requests with the fingerprint
    it ran and however many entries report the crash.
    """

    __slots__ = ("_clock", "_crashes")

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        # Server processes by fingerprint, with the time until they count.
        self._crashes: dict[bytes, dict[str, int]] = {}

    def add(self, fingerprint: bytes, process: str) -> bool:
        """Count a crash; tell whether the fingerprint is to be refused."""
        now_ms = self._clock.now_ms()
        if len(self._crashes) >= MAX_FINGERPRINTS:
            self._crashes.clear()
        rows = {
            name: until_ms
            for name, until_ms in self._crashes.get(fingerprint, {}).items()
            if now_ms < until_ms
        }
        rows[process] = now_ms + QUARANTINE_MS
        self._crashes[fingerprint] = rows
        return len(rows) >= CRASHES_TO_QUARANTINE
