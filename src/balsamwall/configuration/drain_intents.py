"""Drains that an operator asked for and no agent has seen yet."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.timing import clock as timing_clock

RETRY_INTERVAL_MS = 1_000
# A VM that stays unreachable this long is gone or replaced.
INTENT_TTL_MS = 3_600_000
MAX_INTENTS = 1_000


@dataclasses.dataclass(slots=True, frozen=True)
class DrainIntent:
    """One drain that waits for its agent."""

    tenant: str
    vm: str
    author: str
    since_ms: int  # monotonic


class DrainIntents:
    """Hand drains to agents; only a waiting one can be withdrawn.

    A leaving mark that an agent has seen is never removed.
    """

    __slots__ = ("_clock", "_intents", "_mark_leaving", "_timer")

    def __init__(
        self,
        clock: timing_clock.Clock,
        mark_leaving: Callable[[str, str], bool],
    ) -> None:
        self._clock = clock
        self._mark_leaving = mark_leaving
        self._intents: dict[tuple[str, str], DrainIntent] = {}
        self._timer: timing_clock.Timer | None = None

    def request(self, tenant: str, vm: str, author: str) -> bool:
        """Drain a VM; return False while its agent has not seen it."""
        if self._mark_leaving(tenant, vm):
            self._intents.pop((tenant, vm), None)
            return True
        if len(self._intents) < MAX_INTENTS:
            intent = DrainIntent(tenant, vm, author, self._clock.now_ms())
            self._intents.setdefault((tenant, vm), intent)
            self._schedule()
        return False

    def withdraw(self, tenant: str, vm: str) -> bool:
        """Remove a waiting intent; return False without one."""
        return self._intents.pop((tenant, vm), None) is not None

    def waiting(self, tenant: str) -> list[DrainIntent]:
        """Return the intents of a tenant."""
        return [i for i in self._intents.values() if i.tenant == tenant]

    def on_vm_seen(self, tenant: str, vm: str) -> None:
        """Hand over the intent when the VM's agent is reachable."""
        if (tenant, vm) in self._intents and self._mark_leaving(tenant, vm):
            del self._intents[tenant, vm]

    def _schedule(self) -> None:
        if self._timer is None:
            self._timer = self._clock.call_later(
                RETRY_INTERVAL_MS, self._retry
            )

    def _retry(self) -> None:
        self._timer = None
        oldest_ms = self._clock.now_ms() - INTENT_TTL_MS
        for (tenant, vm), intent in list(self._intents.items()):
            if intent.since_ms < oldest_ms:
                del self._intents[tenant, vm]
            else:
                self.on_vm_seen(tenant, vm)
        if self._intents:
            self._schedule()
