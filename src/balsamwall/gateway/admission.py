"""Limit the requests that are sent to each backend server."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from balsamwall.gateway import backend_directory
from balsamwall.gateway import room_waiter

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    import random

    from balsamwall.gateway import incoming_request
    from balsamwall.timing import clock as clock_module

# Requests that may wait at an engine beyond its slots. Their prompts are
# prefilled while the batch is full.
MAX_WAITING_AT_ENGINE = 3
# Further urgent requests that may wait at an engine. The engine admits them
# before all others, so they need not wait for those at the entry.
EXTRA_WAITING_URGENT = 24
# Requests with at most this priority number are urgent.
URGENT_PRIORITY = 0
# Slots that are left to urgent requests while both kinds compete, as a
# fraction of all slots. The next urgent request then begins at once, not when
# a stream has ended.
URGENT_RESERVE = 1 / 8
# Part of the slots that a server has for requests that are not urgent, however
# slow it is.
MIN_SUSTAINABLE_PART = 1 / 2
# Requests that a workspace which asks for less than its share may borrow from
# the next sends of its entry. With 30 entries one has room for less than two a
# second, and a request that is first there would often become late.
MAX_BORROWED = 1.0
# Time after an urgent request of a service in which slots stay reserved.
URGENT_MEMORY_MS = 1_000
# Interval of the coordinator's reports of the fleet load.
FLEET_REPORT_MS = 250


def is_route_urgent(priority: int) -> bool:
    """Return whether the priority of a route makes its requests urgent."""
    return priority <= URGENT_PRIORITY


def is_urgent(priority: room_waiter.Priority) -> bool:
    """Return whether a request is urgent, by the priority of its route.

    The priority of its workspace decides on the order, while the route tells
    whether somebody waits for the response.
    """
    return is_route_urgent(priority[1])


def _urgent_limit(server: backend_directory.BackendServer) -> int:
    """Return the limit of the load for urgent requests."""
    slots = server.record.slots
    return slots + MAX_WAITING_AT_ENGINE + EXTRA_WAITING_URGENT


def _sustainable(
    server: backend_directory.BackendServer,
    model: str,
    gap_target_ms: int,
    now_ms: int,
) -> int:
    """Return the limit of the load at which pauses are within the target.

    A very slow server still takes a part of its slots: its model may have no
    other replica, and a late response is better than none.
    """
    slots = server.record.slots
    if gap_target_ms:
        count = server.speed.sustainable_requests(
            model, slots, gap_target_ms, now_ms
        )
        if count < slots:
            return max(count, int(slots * MIN_SUSTAINABLE_PART))
    return slots + MAX_WAITING_AT_ENGINE


@dataclasses.dataclass(slots=True, frozen=True)
class FleetRoom:
    """Describe the room for a request, and what of it this entry may use."""

    # The servers that may serve the request. They are looked up only when a
    # new report renews the credit.
    holders: Callable[[], Iterable[backend_directory.BackendServer]]
    entry_share: float  # fraction of the fleet's room
    stream_ms: float  # time for which a request uses a slot

    def free_slots(self, is_reserved: bool) -> float:
        """Return the slots that are free until the next report.

        Slots that become free in this time are left to urgent requests while
        there are any.
        """
        ends_per_slot = (
            0.0 if is_reserved else FLEET_REPORT_MS / self.stream_ms
        )
        return sum(
            max(
                0.0,
                _fair_limit(server, is_reserved)
                + ends_per_slot * server.record.slots
                - server.fleet_load,
            )
            for server in self.holders()
        )


class Admission:
    """Limit the requests at each engine; the others are queued at the entry.

    When demand for a model grows faster than replicas are loaded, a request
    that waits at a full engine can't move to a new replica. One that is queued
    at the entry is sent to the first engine that has room. A slow engine has
    room for as many requests as keep the pauses of its streams within the
    target of the route. Urgent requests are not held back by this, since they
    would be late as well and the engine prefills them before all others.
    """

    __slots__ = ("_clock", "_credits", "_random", "_urgent_ms")

    def __init__(
        self, clock: clock_module.Clock, random_source: random.Random
    ) -> None:
        self._clock = clock
        self._random = random_source
        # By target: what this entry may send until the next report.
        self._credits: dict[room_waiter.Target, _SendCredit] = {}
        # By service: when an urgent request was last dispatched.
        self._urgent_ms: dict[str, int] = {}

    def has_room(
        self,
        server: backend_directory.BackendServer,
        request: incoming_request.IncomingRequest,
        priority: room_waiter.Priority,
        gap_target_ms: int = 0,
    ) -> bool:
        """Return whether a request may be sent to the server now.

        Requests without a model are not limited.
        """
        if not request.model:
            return True
        now_ms = self._clock.now_ms()
        if is_urgent(priority):
            limit = _urgent_limit(server)
        else:
            limit = _sustainable(server, request.model, gap_target_ms, now_ms)
        return server.load(now_ms) < limit

    def has_fair_room(
        self,
        server: backend_directory.BackendServer,
        waiter: room_waiter.RoomWaiter,
        fleet: FleetRoom,
        *,
        is_owed: bool,
        is_sparse: bool = False,
        gap_target_ms: int = 0,
    ) -> bool:
        """Return whether a fairly ordered request may be sent now.

        One that is not urgent leaves a reserve to urgent ones, unless the send
        is owed to it because it has waited longest. It also needs credit; that
        of a sparse workspace may borrow it.
        """
        service, model, _ = waiter.target
        if not model:
            return True
        now_ms = self._clock.now_ms()
        is_request_urgent = is_urgent(waiter.priority)
        if is_request_urgent:
            self._urgent_ms[service] = now_ms
        if is_request_urgent or is_owed:
            return server.load(now_ms) < _urgent_limit(server)
        is_reserved = self._has_urgent(service, now_ms)
        sustainable = _sustainable(server, model, gap_target_ms, now_ms)
        limit = min(sustainable, _fair_limit(server, is_reserved))
        if server.load(now_ms) >= limit:
            return False
        age_ms = now_ms - server.fleet_load_at_ms
        if age_ms > backend_directory.FLEET_LOAD_MAX_AGE_MS:
            return True
        credit = self._renewed_credit(
            server, waiter.target, fleet, is_reserved
        )
        return credit.amount >= (1.0 - MAX_BORROWED if is_sparse else 1.0)

    def _renewed_credit(
        self,
        server: backend_directory.BackendServer,
        target: room_waiter.Target,
        fleet: FleetRoom,
        is_reserved: bool,
    ) -> _SendCredit:
        """Return the credit of a target, renewed after a new report."""
        credit = self._credits.get(target)
        if credit is None:
            credit = _SendCredit(self._random.random())
            self._credits[target] = credit
        if credit.is_renewed_by(server.fleet_load_at_ms):
            credit.add(fleet.entry_share * fleet.free_slots(is_reserved))
        return credit

    def on_fair_sent(
        self, waiter: room_waiter.RoomWaiter, may_borrow: bool
    ) -> None:
        """Take the credit of a request that is being sent.

        Urgent and owed requests use what there is, and borrow nothing.
        """
        credit = self._credits.get(waiter.target)
        if credit is not None:
            is_borrower = may_borrow and not is_urgent(waiter.priority)
            credit.take(MAX_BORROWED if is_borrower else 0.0)

    def _has_urgent(self, service: str, now_ms: int) -> bool:
        """Return whether urgent requests have been dispatched recently."""
        last_ms = self._urgent_ms.get(service)
        return last_ms is not None and now_ms - last_ms <= URGENT_MEMORY_MS


class _SendCredit:
    """Limit what one entry sends for a target between two reports.

    Load pattern: all entries hold waiting requests and see the same room in a
    report. Each may use its share of the room; fractions are carried over, and
    begin at random, so that the entries do not reach a whole one together.
    """

    __slots__ = ("_reported_ms", "amount")

    def __init__(self, amount: float) -> None:
        self.amount = amount
        self._reported_ms: int | None = None

    def is_renewed_by(self, reported_ms: int) -> bool:
        """Return whether a report is new, once for each report."""
        is_new = reported_ms != self._reported_ms
        self._reported_ms = reported_ms
        return is_new

    def add(self, amount: float) -> None:
        """Add the share of the room in a new report."""
        self.amount = min(1.0, self.amount) + amount

    def take(self, max_borrowed: float) -> None:
        """Take one send; a part of it may be borrowed."""
        floor = min(self.amount, -max_borrowed)
        self.amount = max(floor, self.amount - 1.0)


def _fair_limit(
    server: backend_directory.BackendServer, is_reserved: bool
) -> int:
    """Return the limit of the load for requests that are not urgent."""
    slots = server.record.slots
    if not is_reserved:
        return slots + MAX_WAITING_AT_ENGINE
    return max(1, slots - max(1, int(slots * URGENT_RESERVE)))
