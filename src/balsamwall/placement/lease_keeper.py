"""Lease of a background task on the key-value service."""

from __future__ import annotations

import dataclasses
from typing import Protocol
from typing import TYPE_CHECKING

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.timing import clock as clock_module

LEASE_TTL_MS = 10_000
LEASE_RENEW_MS = 3_000
# The holder stops this long before the service may give the lease away.
LEASE_MARGIN_MS = 1_000


@dataclasses.dataclass(slots=True, frozen=True)
class LeaseTimes:
    """Times of a lease in milliseconds."""

    ttl_ms: int = LEASE_TTL_MS
    renew_ms: int = LEASE_RENEW_MS
    margin_ms: int = LEASE_MARGIN_MS


StoreResult = Result[int, result_code.ResultCode]


class LeaseStore(Protocol):
    """The calls of the key-value service that a lease needs."""

    def compare_and_swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        callback: Callable[[StoreResult], None],
        lease_id: int = 0,
    ) -> None:
        """Write a key if its revision is as expected, 0 for an absent key."""

    def lease(
        self, ttl_ms: int, callback: Callable[[StoreResult], None]
    ) -> None:
        """Grant a lease and return its identifier."""

    def keep_alive(
        self, lease_id: int, callback: Callable[[StoreResult], None]
    ) -> None:
        """Renew a lease; COMPARE_FAILED if it is gone."""

    def revoke(
        self, lease_id: int, callback: Callable[[StoreResult], None]
    ) -> None:
        """End a lease and delete its keys."""


class LeaseKeeper:
    """Try to hold one lease while this process is a candidate.

    The lease only avoids double work. A paused holder finds out by its own
    clock that its time has passed, before it does anything else.
    """

    __slots__ = (
        "_attempt",
        "_clock",
        "_is_candidate",
        "_is_renewal_failing",
        "_key",
        "_lease_id",
        "_owner",
        "_store",
        "_revision",
        "_taken_ms",
        "_timer",
        "_times",
        "_valid_until_ms",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        store: LeaseStore,
        key: str,
        owner: str,
        is_candidate: Callable[[], bool],
        times: LeaseTimes | None = None,
    ) -> None:
        self._clock = clock
        self._times = times or LeaseTimes()
        self._revision = 0
        self._store = store
        self._key = key
        self._owner = owner
        self._is_candidate = is_candidate
        self._lease_id = 0
        self._valid_until_ms: int | None = None
        self._taken_ms: int | None = None
        self._attempt = 0
        self._is_renewal_failing = False
        self._timer: clock_module.Timer | None = None

    @property
    def is_held(self) -> bool:
        """Tell whether the lease is valid now by the local clock."""
        end_ms = self._valid_until_ms
        return end_ms is not None and self._clock.now_ms() < end_ms

    @property
    def held_since_ms(self) -> int | None:
        """Return when the lease was taken, None while it is not held."""
        return self._taken_ms if self.is_held else None

    @property
    def revision(self) -> int:
        """Return the revision at which the lease was taken.

        It grows with each holder, so that it serves as a fencing token.
        """
        return self._revision

    @property
    def is_renewal_failing(self) -> bool:
        """Tell whether the last renewal had no answer in time.

        A service that says that the lease has ended has answered.
        """
        return self._is_renewal_failing

    def start(self) -> None:
        """Try to take the lease, then renew it, until stopped."""
        self._timer = self._clock.call_later(self._times.renew_ms, self.start)
        if not self._is_candidate():
            self._give_up()
        elif self._lease_id:
            # A service that was away may have kept the lease all the while.
            self._renew()
        else:
            self._give_up()
            self._take()

    def stop(self) -> None:
        """Give the lease back."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._give_up()

    def _give_up(self) -> None:
        self._attempt += 1
        self._is_renewal_failing = False
        lease_id, self._lease_id = self._lease_id, 0
        self._valid_until_ms = None
        self._taken_ms = None
        if lease_id:
            self._store.revoke(lease_id, lambda result: None)

    def _take(self) -> None:
        attempt = self._attempt
        sent_ms = self._clock.now_ms()

        def on_lease(result: StoreResult) -> None:
            if not isinstance(result, Success):
                return
            lease_id = result.unwrap()
            if attempt != self._attempt:
                self._store.revoke(lease_id, lambda result: None)
                return
            self._lease_id = lease_id
            self._store.compare_and_swap(
                self._key, 0, self._owner.encode(), on_written, lease_id
            )

        def on_written(result: StoreResult) -> None:
            if attempt != self._attempt:
                return
            if isinstance(result, Success):
                self._revision = result.unwrap()
                self._taken_ms = self._clock.now_ms()
                self._extend(sent_ms)
            else:
                # Ending the lease also removes a key whose write took
                # effect without an answer.
                self._give_up()

        self._store.lease(self._times.ttl_ms, on_lease)

    def _renew(self) -> None:
        attempt = self._attempt
        sent_ms = self._clock.now_ms()

        def on_renewed(result: StoreResult) -> None:
            if attempt != self._attempt:
                return
            is_ended = result == Failure(result_code.ResultCode.COMPARE_FAILED)
            self._is_renewal_failing = not (
                isinstance(result, Success) or is_ended
            )
            if isinstance(result, Success):
                self._extend(sent_ms)
            elif is_ended:
                self._give_up()

        self._store.keep_alive(self._lease_id, on_renewed)

    def _extend(self, sent_ms: int) -> None:
        """Count the validity from the time at which the call was sent."""
        end_ms = sent_ms + self._times.ttl_ms - self._times.margin_ms
        self._valid_until_ms = max(self._valid_until_ms or 0, end_ms)
