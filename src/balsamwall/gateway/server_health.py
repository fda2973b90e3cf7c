"""Servers that fail requests although they are listed as ready."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.gateway import backend_directory
    from balsamwall.timing import clock as clock_module

# Weight of the newest outcome; about the last ten outcomes count.
OUTCOME_WEIGHT = 0.15
# A server that fails this share of its requests is left out for a while.
EJECTION_FAILURE_SHARE = 0.5
EJECTION_MS = 3_000
# The share after an ejection; the server is tried again, and one more failure
# in a row ejects it once more.
PROBATION_FAILURE_SHARE = 0.45
# At most one in this many ready servers is left out.
SERVERS_PER_EJECTION = 2


class ServerHealth:
    """Ejection by the share of failed requests.

    Load pattern: a server answers its health check and fails a part of its
    requests, so that consecutive failures are rare.
    """

    __slots__ = ("_clock",)

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock

    def on_outcome(
        self, server: backend_directory.BackendServer, is_failure: bool
    ) -> None:
        """Count the outcome of a request."""
        share = server.failure_share
        share += OUTCOME_WEIGHT * (float(is_failure) - share)
        server.failure_share = share
        if is_failure and share > EJECTION_FAILURE_SHARE:
            server.ejected_until_ms = self._clock.now_ms() + EJECTION_MS
            server.failure_share = PROBATION_FAILURE_SHARE

    def usable(
        self, servers: list[backend_directory.BackendServer]
    ) -> list[backend_directory.BackendServer]:
        """Return the servers that are not ejected.

        If more are ejected than allowed, the cause is not in the servers, and
        all of them are returned.
        """
        now_ms = self._clock.now_ms()
        kept = [
            server for server in servers if server.ejected_until_ms <= now_ms
        ]
        ejected = len(servers) - len(kept)
        if ejected * SERVERS_PER_EJECTION > len(servers):
            return servers
        return kept
