"""Amount by which a deployment lets requests exceed their quota."""

from __future__ import annotations

import dataclasses

MIN_GRANT_LIFETIME_MS = 100
# Longer use saves no queries: a reserve is what an entry uses in 250 ms.
MAX_GRANT_LIFETIME_MS = 800


@dataclasses.dataclass(slots=True, frozen=True)
class QuotaTolerance:
    """Bound what passes above the quota of a workspace.

    In any window, at most (rate x window + burst) x (1 + overshoot) + slack
    may pass. The slack only applies to quotas of tokens.
    """

    window_ms: int = 8_000
    overshoot: float = 0.1  # fraction of what the quota allows in a window
    slack: int = 0  # tokens

    @property
    def grant_lifetime_ms(self) -> int:
        """Return for how long granted tokens may be used.

        Late use exceeds a quota by at most this fraction of the window. The
        time on the way to an entry is left in any case.
        """
        allowed_ms = round(self.window_ms * self.overshoot)
        return min(
            MAX_GRANT_LIFETIME_MS, max(MIN_GRANT_LIFETIME_MS, allowed_ms)
        )
