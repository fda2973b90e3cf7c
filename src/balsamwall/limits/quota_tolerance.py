"""Amount by which a deployment lets requests exceed their quota."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class QuotaTolerance:
    """Bound what passes above the quota of a workspace.

    In any window, at most (rate x window + burst) x (1 + overshoot) + slack
    may pass. The slack only applies to quotas of tokens.
    """

    window_ms: int = 8_000
    overshoot: float = 0.1  # part of what the quota allows in a window
    slack: int = 0  # tokens
