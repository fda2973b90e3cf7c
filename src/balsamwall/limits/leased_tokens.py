"""Tokens that are granted for a short time."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.timing import clock as clock_module

# Lifetime of a grant. Late use exceeds a limit by at most the part that this
# is of the window in which quotas are checked.
LEASE_MS = 800


class LeasedTokens:
    """Keep granted tokens until they are used or expire.

    Load pattern: an entry that was frozen resumes with tokens that others
    were granted again in the meantime. The clock includes suspension.
    """

    __slots__ = ("_clock", "_leases")

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        # Time of expiry and tokens of each grant, in the order of expiry.
        self._leases: collections.deque[tuple[int, int]] = collections.deque()

    @property
    def available(self) -> int:
        """Return the tokens that have not expired."""
        self._drop_expired()
        return sum(tokens for _, tokens in self._leases)

    def add(self, tokens: int, granted_ms: int | None = None) -> None:
        """Add a grant, whose time is now unless it is given."""
        if granted_ms is None:
            granted_ms = self._clock.now_ms()
        expires_ms = granted_ms + LEASE_MS
        if tokens <= 0 or expires_ms <= self._clock.now_ms():
            return
        position = len(self._leases)
        while position and self._leases[position - 1][0] > expires_ms:
            position -= 1
        self._leases.insert(position, (expires_ms, tokens))

    def take(self, tokens: int) -> bool:
        """Take tokens that expire first; return False if there are too few."""
        if self.available < tokens:
            return False
        while tokens > 0:
            expires_ms, found = self._leases.popleft()
            if found > tokens:
                self._leases.appendleft((expires_ms, found - tokens))
            tokens -= found
        return True

    def put_back(self, tokens: int) -> None:
        """Return tokens that were taken but not used."""
        self.add(tokens)

    def _drop_expired(self) -> None:
        now_ms = self._clock.now_ms()
        while self._leases and self._leases[0][0] <= now_ms:
            self._leases.popleft()
