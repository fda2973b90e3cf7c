"""Lease in the key-value service that elects one process for a task."""

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

# The service expires a lease that is not renewed within the TTL. An attempt
# to renew it is made at each renewal interval.
LEASE_TTL_MS = 10_000
LEASE_RENEW_MS = 3_000
# The holder stops this long before the service may expire the lease.
LEASE_MARGIN_MS = 1_000


@dataclasses.dataclass(slots=True, frozen=True)
class LeaseTimes:
    """Validity, renewal interval and safety margin of a lease."""

    ttl_ms: int = LEASE_TTL_MS
    renew_ms: int = LEASE_RENEW_MS
    margin_ms: int = LEASE_MARGIN_MS
    # Time from the end of the task to the revocation of the lease, in which
    # calls that are under way arrive.
    release_delay_ms: int = 0


StoreResult = Result[int, result_code.ResultCode]


class LeaseStore(Protocol):
    """Calls of the key-value service that a lease needs."""

    def compare_and_swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        callback: Callable[[StoreResult], None],
        lease_id: int = 0,
    ) -> None:
        """Write a key if its revision is as expected, 0 for an absent key.

        The result is the new revision.
        """

    def lease(
        self, ttl_ms: int, callback: Callable[[StoreResult], None]
    ) -> None:
        """Grant a lease; the result is its identifier."""

    def keep_alive(
        self, lease_id: int, callback: Callable[[StoreResult], None]
    ) -> None:
        """Renew a lease; fails with COMPARE_FAILED if it has expired."""

    def revoke(
        self, lease_id: int, callback: Callable[[StoreResult], None]
    ) -> None:
        """Revoke a lease and delete its keys."""


class LeaseKeeper:
    """Acquire and renew one lease while this process is a candidate.

    The lease only avoids duplicate work. After a pause of the process,
    is_held is false by the local clock if the lease may have expired.
    """

    __slots__ = (
        "_attempt",
        "_clock",
        "_expected_revision",
        "_is_candidate",
        "_is_renewal_failing",
        "_key",
        "_lease_id",
        "_owner",
        "_store",
        "_revision",
        "_acquired_ms",
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
        expected_revision: Callable[[], int | None] = lambda: 0,
    ) -> None:
        """Set what to acquire, and the revision that the key must have.

        It is that of a record which this process has written under a lease
        that it has lost, 0 if the key must be absent, and None if the
        acquisition is given up after all.
        """
        self._expected_revision = expected_revision
        self._clock = clock
        self._times = times or LeaseTimes()
        self._revision = 0
        self._store = store
        self._key = key
        self._owner = owner
        self._is_candidate = is_candidate
        self._lease_id = 0
        self._valid_until_ms: int | None = None
        self._acquired_ms: int | None = None
        self._attempt = 0
        self._is_renewal_failing = False
        self._timer: clock_module.Timer | None = None

    @property
    def is_held(self) -> bool:
        """Return whether the lease is valid by the local clock.

        A lease whose key has not been written yet elects nobody, although the
        service may already have renewed it.
        """
        end_ms = self._valid_until_ms
        if self._acquired_ms is None or end_ms is None:
            return False
        return self._clock.now_ms() < end_ms

    @property
    def valid_until_ms(self) -> int:
        """Return until when the lease is valid, 0 while it is not held."""
        return self._valid_until_ms or 0 if self.is_held else 0

    @property
    def held_since_ms(self) -> int | None:
        """Return when the lease was acquired, None while it is not held."""
        return self._acquired_ms if self.is_held else None

    @property
    def revision(self) -> int:
        """Return the revision at which the lease was acquired.

        It increases with each holder, so that it serves as a fencing token.
        It is 0 before the first acquisition and kept after the lease is lost.
        """
        return self._revision

    @property
    def is_renewal_failing(self) -> bool:
        """Return whether the last renewal got no response in time.

        A response that the lease has expired does not count as a failure.
        """
        return self._is_renewal_failing

    def start(self) -> None:
        """Acquire the lease and renew it until stopped.

        It is checked every renew_ms and released while this process is not a
        candidate.
        """
        self._timer = self._clock.call_later(self._times.renew_ms, self.start)
        if not self._is_candidate():
            self._release(self._times.release_delay_ms)
        elif self._lease_id:
            # The service may have kept the lease during an outage.
            self._renew()
        else:
            self._release()
            self._acquire()

    def stop(self) -> None:
        """Stop renewing and revoke the lease."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._release()

    def _release(self, delay_ms: int = 0) -> None:
        """End the task now, and revoke the lease after a delay."""
        self._attempt += 1
        self._is_renewal_failing = False
        lease_id, self._lease_id = self._lease_id, 0
        self._valid_until_ms = None
        self._acquired_ms = None
        if not lease_id:
            return
        if delay_ms:
            self._clock.call_later(delay_ms, self._revoke, lease_id)
        else:
            self._revoke(lease_id)

    def _revoke(self, lease_id: int) -> None:
        self._store.revoke(lease_id, lambda result: None)

    def _acquire(self) -> None:
        attempt = self._attempt
        sent_ms = self._clock.now_ms()

        def on_lease(result: StoreResult) -> None:
            if not isinstance(result, Success):
                return
            lease_id = result.unwrap()
            expected = self._expected_revision()
            if attempt != self._attempt or expected is None:
                self._revoke(lease_id)
                return
            self._lease_id = lease_id
            self._store.compare_and_swap(
                self._key,
                expected,
                self._owner.encode(),
                on_written,
                lease_id,
            )

        def on_written(result: StoreResult) -> None:
            if attempt != self._attempt:
                return
            if isinstance(result, Success):
                self._revision = result.unwrap()
                self._acquired_ms = self._clock.now_ms()
                self._extend_validity(sent_ms)
            else:
                # Revoking the lease also deletes a key that was written
                # although the response was lost.
                self._release()

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
                self._extend_validity(sent_ms)
            elif is_ended:
                self._release()

        self._store.keep_alive(self._lease_id, on_renewed)

    def _extend_validity(self, sent_ms: int) -> None:
        """Extend the validity, counted from when the call was sent."""
        end_ms = sent_ms + self._times.ttl_ms - self._times.margin_ms
        self._valid_until_ms = max(self._valid_until_ms or 0, end_ms)
