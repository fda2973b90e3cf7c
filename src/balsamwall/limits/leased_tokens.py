"""Tokens that are granted for a short time."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.timing import clock as clock_module


@dataclasses.dataclass(slots=True)
class _Lease:
    """Tokens that may be used until a time."""

    expires_ms: int
    tokens: int


class LeasedTokens:
    """Keep granted tokens until they are used or expire.

    Load pattern: an entry that was frozen resumes with tokens that others
    were granted again in the meantime. The clock includes suspension.
    """

    __slots__ = ("_clock", "_leases", "_lifetime_ms")

    def __init__(self, clock: clock_module.Clock, lifetime_ms: int) -> None:
        """Set for how long tokens may be used after they are granted."""
        self._clock = clock
        self._lifetime_ms = lifetime_ms
        # In the order of expiry.
        self._leases: collections.deque[_Lease] = collections.deque()

    @property
    def available(self) -> int:
        """Return the tokens that have not expired."""
        self._drop_expired()
        return sum(lease.tokens for lease in self._leases)

    def add(self, tokens: int, granted_ms: int | None = None) -> None:
        """Add a grant, whose time is now unless it is given."""
        if granted_ms is None:
            granted_ms = self._clock.now_ms()
        expires_ms = granted_ms + self._lifetime_ms
        if tokens <= 0 or expires_ms <= self._clock.now_ms():
            return
        position = len(self._leases)
        while position and self._leases[position - 1].expires_ms > expires_ms:
            position -= 1
        self._leases.insert(position, _Lease(expires_ms, tokens))

    def take(self, tokens: int) -> bool:
        """Take tokens that expire first; return False if there are too few."""
        if self.available < tokens:
            return False
        while tokens > 0:
            lease = self._leases[0]
            used = min(tokens, lease.tokens)
            lease.tokens -= used
            tokens -= used
            if not lease.tokens:
                self._leases.popleft()
        return True

    def put_back(self, tokens: int) -> None:
        """Return tokens that were taken but not used."""
        self.add(tokens)

    def _drop_expired(self) -> None:
        now_ms = self._clock.now_ms()
        while self._leases and self._leases[0].expires_ms <= now_ms:
            self._leases.popleft()
