"""Fake of the lease operations of the key-value service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure
from returns.result import Success

from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.placement import lease_keeper
    from balsamwall.timing import virtual_clock

RESPONSE_DELAY_MS = 3


class FakeLeaseStore:
    """In-memory leased keys; responds after RESPONSE_DELAY_MS."""

    __slots__ = ("_clock", "_expiries_ms", "_keys", "_last_lease", "_ttls_ms")

    def __init__(self, clock: virtual_clock.VirtualClock) -> None:
        self._clock = clock
        self._last_lease = 0
        self._expiries_ms: dict[int, int] = {}
        self._ttls_ms: dict[int, int] = {}
        self._keys: dict[str, int] = {}

    def _respond(
        self,
        callback: Callable[[lease_keeper.StoreResult], None],
        number: int | None,
    ) -> None:
        result: lease_keeper.StoreResult
        result = Failure(result_code.ResultCode.COMPARE_FAILED)
        if number is not None:
            result = Success(number)
        self._clock.call_later(RESPONSE_DELAY_MS, callback, result)

    def _is_alive(self, lease_id: int) -> bool:
        return self._expiries_ms.get(lease_id, 0) > self._clock.now_ms()

    def compare_and_swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        callback: Callable[[lease_keeper.StoreResult], None],
        lease_id: int = 0,
    ) -> None:
        """Write a key unless an unexpired lease holds it; ignore revisions."""
        holder = self._keys.get(key, 0)
        if self._is_alive(holder):
            self._respond(callback, None)
            return
        self._keys[key] = lease_id
        self._respond(callback, 1)

    def lease(
        self,
        ttl_ms: int,
        callback: Callable[[lease_keeper.StoreResult], None],
    ) -> None:
        """Grant a lease and return its identifier."""
        self._last_lease += 1
        self._ttls_ms[self._last_lease] = ttl_ms
        self._expiries_ms[self._last_lease] = self._clock.now_ms() + ttl_ms
        self._respond(callback, self._last_lease)

    def keep_alive(
        self,
        lease_id: int,
        callback: Callable[[lease_keeper.StoreResult], None],
    ) -> None:
        """Renew a lease; COMPARE_FAILED if it has expired."""
        if not self._is_alive(lease_id):
            self._respond(callback, None)
            return
        ttl_ms = self._ttls_ms[lease_id]
        self._expiries_ms[lease_id] = self._clock.now_ms() + ttl_ms
        self._respond(callback, lease_id)

    def revoke(
        self,
        lease_id: int,
        callback: Callable[[lease_keeper.StoreResult], None],
    ) -> None:
        """Revoke a lease, whether or not it has expired."""
        self._expiries_ms.pop(lease_id, None)
        self._respond(callback, lease_id)
