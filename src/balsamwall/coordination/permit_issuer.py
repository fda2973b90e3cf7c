"""Permits of the coordinator for requests to servers with a limit."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.gateway import server_limits
from balsamwall.limits import token_bucket

if TYPE_CHECKING:
    from balsamwall.limits import fleet_size
    from balsamwall.timing import clock as clock_module

# Permits that may be issued at once, as the time in which they accrue.
BURST_MS = 500
# Longest time between permits for requests, even if reports and orders have
# used up the limit: only the response to a request shows that it has ended.
MAX_PERMIT_INTERVAL_MS = int(1_000 / server_limits.MIN_RATE_PER_S)
# Requests per second that a server is assumed to serve in each slot.
REQUESTS_PER_SLOT_S = 0.4
# Part of a limit that reading the state of an engine may use.
REPORT_FRACTION = 0.5
# Longest time between reports, even if a limit leaves hardly any request: an
# engine whose state is not known gets no order.
MAX_REPORT_INTERVAL_MS = 2_000


class _ServerPermits:
    """Bucket of one server, which starts empty."""

    __slots__ = ("_clock", "_taken_ms", "bucket", "rate")

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self.bucket = token_bucket.TokenBucket(clock, 0.0, 1)
        self.bucket.drain()
        self.rate = 0.0
        self._taken_ms = clock.now_ms()

    def wait_ms(self) -> int:
        """Return the time until a request may be sent."""
        now_ms = self._clock.now_ms()
        due_ms = max(0, self._taken_ms + MAX_PERMIT_INTERVAL_MS - now_ms)
        return min(due_ms, self.bucket.wait_ms())

    def take(self) -> None:
        """Take a permit, which later ones pay for if there is none."""
        self._taken_ms = self._clock.now_ms()
        self.bucket.charge()


class PermitIssuer:
    """Issue the permits of each limited server to all entries together.

    Load pattern: a single request of each entry together exceeds a low limit
    for some seconds, so that no entry may decide by itself.
    """

    __slots__ = ("_clock", "_connected", "_fleet_size", "_limits", "_servers")

    def __init__(
        self,
        clock: clock_module.Clock,
        limits: server_limits.ServerLimits,
        fleet_size: fleet_size.FleetSize,
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._fleet_size = fleet_size
        self._connected = 1
        self._servers: dict[str, _ServerPermits] = {}

    def restart(self) -> None:
        """Begin a term without saved permits; earlier ones were just used."""
        self._servers.clear()

    def set_connected(self, count: int) -> None:
        """Set the number of entries that take permits here.

        The others use shares of their own, which are left to them.
        """
        self._connected = count

    def take(self, server_id: str) -> int:
        """Take a permit and return 0, or return the wait in milliseconds."""
        permits = self._permits(server_id)
        if permits is None:
            return 0
        wait_ms = permits.wait_ms()
        if not wait_ms:
            permits.take()
        return wait_ms

    def wait_ms(self, server_id: str) -> int:
        """Return the time until a permit is available."""
        permits = self._permits(server_id)
        return 0 if permits is None else permits.wait_ms()

    def charge(self, server_id: str) -> None:
        """Take a permit for a call that is made in any case."""
        permits = self._permits(server_id)
        if permits is not None:
            permits.bucket.charge()

    def report_interval_ms(self, server_id: str) -> int:
        """Return the shortest time between reports of an engine."""
        rate = self._limits.rate_of(server_id)
        if rate is None:
            return 0
        return min(
            MAX_REPORT_INTERVAL_MS, int(1_000 / (rate * REPORT_FRACTION))
        )

    def capacity(self, server_id: str, slots: int) -> float:
        """Return the part of its slots that a server can use, at most 1."""
        rate = self._limits.rate_of(server_id)
        if rate is None:
            return 1.0
        return min(1.0, rate / (max(1, slots) * REQUESTS_PER_SLOT_S))

    def _permits(self, server_id: str) -> _ServerPermits | None:
        """Return the permits of a server at its current rate."""
        limit = self._limits.rate_of(server_id)
        if limit is None:
            self._servers.pop(server_id, None)
            return None
        permits = self._servers.get(server_id)
        if permits is None:
            permits = self._servers[server_id] = _ServerPermits(self._clock)
        rate = limit * min(1.0, self._connected / self._fleet_size.count)
        if rate != permits.rate:
            permits.rate = rate
            permits.bucket.set_rate(rate, rate * BURST_MS / 1_000)
        return permits
