"""Decision of the coordinator on tokens of a workspace."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class QuotaDecision:
    """Tokens granted, or the time until the request can be granted."""

    tokens: int
    wait_ms: int
    is_scarce: bool  # whether less than half of the burst is left

    @property
    def is_quota_known(self) -> bool:
        """Return whether the coordinator knows a quota of the workspace.

        Without one it neither grants tokens nor gives a wait.
        """
        return bool(self.tokens or self.wait_ms)
