"""Authentication with hashed API keys."""

from __future__ import annotations

import collections
import hashlib
import hmac
from typing import TYPE_CHECKING

from balsamwall.limits import token_bucket
from balsamwall.results import exceptions
from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamwall.timing import clock

# Above this number, the address whose last rejection is the oldest is removed.
MAX_ADDRESSES = 1_024
# Burst of rejected keys, as seconds at the permitted rate.
BURST_SECONDS = 4


class RejectionLimiter:
    """Rate limit of rejected keys for each client address.

    It never applies to a valid key: callers share the address of the
    platform's load balancer, and one of them must not lock out the others.
    """

    __slots__ = ("_buckets", "_clock", "_per_second")

    def __init__(self, clock: clock.Clock, per_second: int) -> None:
        self._clock = clock
        self._per_second = per_second
        self._buckets: collections.OrderedDict[
            str, token_bucket.TokenBucket
        ] = collections.OrderedDict()

    def reject(self, address: str) -> int:
        """Count a rejected key; return the wait in ms, 0 within the limit."""
        bucket = self._buckets.get(address)
        if bucket is None:
            bucket = token_bucket.TokenBucket(
                self._clock, self._per_second, BURST_SECONDS * self._per_second
            )
            self._buckets[address] = bucket
            if len(self._buckets) > MAX_ADDRESSES:
                self._buckets.popitem(last=False)
        self._buckets.move_to_end(address)
        return bucket.take_or_wait_ms()


class KeyTable:
    """Table of key owners by the SHA-256 of their keys."""

    __slots__ = ("_limiter", "_rows")

    def __init__(self, limiter: RejectionLimiter) -> None:
        self._limiter = limiter
        self._rows: list[tuple[bytes, str]] = []

    def replace(self, rows: Iterable[tuple[str, str]]) -> None:
        """Replace the table by pairs of a hexadecimal hash and an owner."""
        self._rows = [(bytes.fromhex(digest), name) for digest, name in rows]

    def find(self, authorization: str | None, address: str) -> str:
        """Return the owner of a bearer key.

        Raise BalsamwallError: KEY_MISSING_OR_WRONG, or RATE_LIMITED if too
        many keys from the address were rejected.
        """
        scheme, _, key = (authorization or "").partition(" ")
        digest = hashlib.sha256(key.strip().encode()).digest()
        found = ""
        # Compare every row so that the time does not reveal the match.
        for known, name in self._rows:
            if hmac.compare_digest(known, digest):
                found = name
        if found and scheme.lower() == "bearer":
            return found
        if self._limiter.reject(address):
            raise exceptions.BalsamwallError(
                result_code.ResultCode.RATE_LIMITED, "too many rejected keys"
            )
        raise exceptions.BalsamwallError(
            result_code.ResultCode.KEY_MISSING_OR_WRONG,
            "no valid key in the Authorization header (Bearer KEY)",
        )
