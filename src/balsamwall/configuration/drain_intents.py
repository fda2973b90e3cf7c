"""Drains requested by operators that could not be sent to an agent yet."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.timing import clock as timing_clock

RETRY_INTERVAL_MS = 1_000
# A VM that stays unreachable for this long is considered removed, and its
# intent is deleted.
INTENT_TTL_MS = 3_600_000
MAX_INTENTS = 1_000


@dataclasses.dataclass(slots=True, frozen=True)
class DrainIntent:
    """Requested drain of a VM whose agent is unreachable."""

    tenant: str
    vm: str
    author: str
    since_ms: int  # monotonic


class DrainIntents:
    """Deliver drains to agents, with retries while they are unreachable.

    A drain can be withdrawn only until it is sent to a connected agent. The
    intents are kept in memory only and are lost when the process restarts.
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
        """Drain a VM; return whether the drain was sent to its agent.

        If not, it is retried, unless MAX_INTENTS drains are pending: then a
        drain of another VM is not stored.
        """
        if self._mark_leaving(tenant, vm):
            self._intents.pop((tenant, vm), None)
            return True
        if len(self._intents) < MAX_INTENTS:
            intent = DrainIntent(tenant, vm, author, self._clock.now_ms())
            self._intents.setdefault((tenant, vm), intent)
            self._schedule()
        return False

    def withdraw(self, tenant: str, vm: str) -> bool:
        """Remove a pending drain; return whether there was one."""
        return self._intents.pop((tenant, vm), None) is not None

    def pending(self, tenant: str) -> list[DrainIntent]:
        """Return the pending drains of a tenant."""
        return [i for i in self._intents.values() if i.tenant == tenant]

    def on_vm_reachable(self, tenant: str, vm: str) -> None:
        """Try to send a pending drain to the agent of a VM."""
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
                self.on_vm_reachable(tenant, vm)
        if self._intents:
            self._schedule()
