"""Eject servers that fail requests (outlier ejection)."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.gateway import backend_directory
    from balsamwall.timing import clock as clock_module

# Weight of the latest outcome in the moving average, which covers about the
# last ten outcomes.
OUTCOME_WEIGHT = 0.15
# A server that fails a larger share of its requests is ejected.
EJECTION_FAILURE_SHARE = 0.5
EJECTION_MS = 3_000
# Failure share after an ejection. The server is tried again, and a failure of
# the next request ejects it again.
PROBATION_FAILURE_SHARE = 0.45
# At most one in this many servers is ejected.
SERVERS_PER_EJECTION = 2


class ServerHealth:
    """Eject servers by their share of failed requests.

    Consecutive failures are no criterion: a server may pass its health check
    and fail only a part of its requests.
    """

    __slots__ = ("_clock",)

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock

    def on_outcome(
        self, server: backend_directory.BackendServer, is_failure: bool
    ) -> None:
        """Update the failure share of a server and eject it if needed."""
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

        If more are ejected than allowed, the servers are unlikely to be the
        cause, and all of them are returned.
        """
        now_ms = self._clock.now_ms()
        kept = [
            server for server in servers if server.ejected_until_ms <= now_ms
        ]
        ejected = len(servers) - len(kept)
        if ejected * SERVERS_PER_EJECTION > len(servers):
            return servers
        return kept
