"""Permits for requests to servers that limit what they accept."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

from balsamwall.gateway import coordinator_queries
from balsamwall.gateway import incoming_request
from balsamwall.limits import limit_book
from balsamwall.limits import paced_share

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from balsamwall.gateway import backend_directory
    from balsamwall.gateway import gateway_metrics
    from balsamwall.limits import fleet_size
    from balsamwall.logs import decision_log
    from balsamwall.timing import clock as clock_module

# Lowest rate at which requests are sent to a server, even if its limit is 0: a
# changed limit is only learned from a response.
MIN_RATE_PER_S = 0.25
# Part of the limit that entries use without the coordinator. Their turns may
# coincide by chance, and permits of the lost coordinator may have been used
# shortly before.
UNCOORDINATED_FRACTION = 0.75
# Queries for permits of one server that may be open at a time.
MAX_OPEN_QUERIES = 4
# Shortest time after a denial until the next query for the same server.
MIN_BLOCK_MS = 20
# Longest time after a denial. The limit may rise, and a new coordinator may
# have more permits, before a longer wait ends.
MAX_BLOCK_MS = 500


class PermitLink(Protocol):
    """Connection to the coordinator, which issues the permits."""

    def send_permit_query(self, number: int, server_id: str) -> bool:
        """Ask for a permit; return False without a coordinator."""

    def report_limits(self, found: list[limit_book.LimitObservation]) -> None:
        """Report limits, if there is a coordinator."""


class _LimitedServer:
    """Permits of one server as this entry knows them."""

    __slots__ = ("blocked_until_ms", "open_queries", "share")

    def __init__(self, share: paced_share.PacedShare) -> None:
        self.share = share
        self.blocked_until_ms = 0
        self.open_queries = 0


class ServerLimits:
    """Decide whether a request may be sent to a server with a limit.

    Load pattern: an overloaded server limits the requests of all entries
    together. Each request takes a permit of the coordinator. Without a
    coordinator the entry uses a share by the number of entries.
    """

    __slots__ = (
        "_book",
        "_clock",
        "_fleet_size",
        "_link",
        "_log",
        "_metrics",
        "_queries",
        "_random",
        "_servers",
        "_unreported",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        random_source: random.Random,
        fleet_size: fleet_size.FleetSize,
        log: decision_log.DecisionLog,
        metrics: gateway_metrics.GatewayMetrics,
    ) -> None:
        self._clock = clock
        self._random = random_source
        self._fleet_size = fleet_size
        self._log = log
        self._metrics = metrics
        self._book = limit_book.LimitBook(clock, self._on_change)
        self._link: PermitLink | None = None
        # The response is the wait for a permit, 0 if it is granted.
        self._queries: coordinator_queries.CoordinatorQueries[int] = (
            coordinator_queries.CoordinatorQueries(clock)
        )
        self._servers: dict[str, _LimitedServer] = {}
        self._unreported: dict[str, limit_book.LimitObservation] = {}

    @property
    def book(self) -> limit_book.LimitBook:
        """Return the limits that this process knows."""
        return self._book

    def set_link(self, link: PermitLink) -> None:
        """Set the connection to the coordinator."""
        self._link = link

    # Observations

    def on_response(
        self,
        server: backend_directory.BackendServer,
        status: int,
        head: incoming_request.ResponseHead,
    ) -> None:
        """Record the limit that a response announces, or its absence.

        Only a response that is certainly the server's ends a limit.
        """
        if status == incoming_request.WRONG_SERVER_STATUS:
            # It may come from another server at the same address.
            return
        if head.limit_per_s is None and not head.is_from_server:
            return
        found = limit_book.LimitObservation(
            server.server_id,
            server.record.started_ms,
            head.limit_per_s,
            self._clock.now_ms(),
        )
        is_first = self._book.limit_of(server.server_id) is None
        if not self._book.observe(found):
            return
        self._unreported[server.server_id] = found
        if is_first or found.per_s is None:
            self.report_changes()

    def on_observation(self, found: limit_book.LimitObservation) -> None:
        """Record what the coordinator knows of a limit.

        If this entry has observed another limit since, it reports it again.
        """
        if self._book.observe(found):
            return
        newest = self._book.newest(found.server_id)
        if newest is not None and newest.per_s != found.per_s:
            self._unreported[found.server_id] = newest

    def report_changes(self) -> None:
        """Report the limits that changed since the last report."""
        if self._unreported and self._link is not None:
            found = list(self._unreported.values())
            self._unreported.clear()
            self._link.report_limits(found)

    def _on_change(
        self, found: limit_book.LimitObservation, before: float | None
    ) -> None:
        server_id = found.server_id
        self._metrics.set_server_limit(server_id, found.per_s)
        self._log.write(
            "server_limit",
            server=server_id,
            per_s=found.per_s,
            before_per_s=before,
        )
        if found.per_s is None:
            self._servers.pop(server_id, None)

    # Permits

    def rate_of(self, server_id: str) -> float | None:
        """Return the requests per second to use, None without a limit."""
        limit = self._book.limit_of(server_id)
        return None if limit is None else max(MIN_RATE_PER_S, limit)

    def rate_of_process(
        self, server: backend_directory.BackendServer
    ) -> float | None:
        """Return the rate to use, None if only an earlier process had one."""
        newest = self._book.newest(server.server_id)
        if newest is None or newest.started_ms != server.record.started_ms:
            return None
        return self.rate_of(server.server_id)

    def is_open(self, server: backend_directory.BackendServer) -> bool:
        """Return whether a permit for a server may be available now."""
        known = self._servers.get(server.server_id)
        if known is None or self.rate_of_process(server) is None:
            return True
        if known.open_queries >= MAX_OPEN_QUERIES:
            return False
        return known.blocked_until_ms <= self._clock.now_ms()

    def request_permit(
        self,
        server: backend_directory.BackendServer,
        on_decided: Callable[[backend_directory.BackendServer, bool], None],
        *,
        is_needed: Callable[[], bool],
    ) -> None:
        """Ask for a permit; call back with the server and the decision.

        A server without a limit is permitted at once. A request that needs no
        permit any more uses no turn of this entry; there is no call back then.
        """
        server_id = server.server_id
        rate = self.rate_of_process(server)
        if rate is None:
            on_decided(server, True)
            return
        known = self._limited(server_id)

        def on_response(wait_ms: int | None) -> None:
            known.open_queries -= 1
            if wait_ms is None:
                if not is_needed():
                    return
                wait_ms = self._take_own_share(known, rate)
            self._decide(known, server, wait_ms, on_decided)

        link = self._link
        known.open_queries += 1
        is_asked = link is not None and self._queries.send(
            lambda number: link.send_permit_query(number, server_id),
            on_response,
        )
        if not is_asked:
            on_response(None)

    def on_permit(self, number: int, wait_ms: int) -> None:
        """Handle the coordinator's response to a query."""
        self._queries.resolve(number, wait_ms)

    def _limited(self, server_id: str) -> _LimitedServer:
        known = self._servers.get(server_id)
        if known is None:
            share = paced_share.PacedShare(self._random.random())
            known = self._servers[server_id] = _LimitedServer(share)
        return known

    def _take_own_share(self, known: _LimitedServer, rate: float) -> int:
        """Use a turn of this entry; return 0 or the wait for one."""
        own_rate = rate * UNCOORDINATED_FRACTION / self._fleet_size.count
        return known.share.take_or_wait_ms(
            self._clock.now_ms(), int(1_000 / own_rate)
        )

    def _decide(
        self,
        known: _LimitedServer,
        server: backend_directory.BackendServer,
        wait_ms: int,
        on_decided: Callable[[backend_directory.BackendServer, bool], None],
    ) -> None:
        is_granted = wait_ms <= 0
        if not is_granted:
            block_ms = min(MAX_BLOCK_MS, max(MIN_BLOCK_MS, wait_ms))
            known.blocked_until_ms = self._clock.now_ms() + block_ms
        self._metrics.count_permit(is_granted)
        on_decided(server, is_granted)
