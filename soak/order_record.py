"""Orders of an engine, with a check of their holders."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from soak import ledger as ledger_module

if TYPE_CHECKING:
    from collections.abc import Mapping

# Orders that arrive within this time after their sender was disturbed were
# under way.
THAW_SLACK_MS = 300


@dataclasses.dataclass(slots=True, frozen=True)
class EngineOrder:
    """One order as it arrived."""

    at_ms: int
    holder: str
    token: int


class OrderRecord:
    """Orders that one process of an engine has got, in order of arrival."""

    __slots__ = ("_turn_ms", "orders")

    def __init__(self, turn_ms: int) -> None:
        """Set the time within which two holders may not take turns."""
        self._turn_ms = turn_ms
        self.orders: list[EngineOrder] = []

    def add(self, holder: str, token: int) -> None:
        """Record an order that arrives now."""
        now_ms = ledger_module.now_ms()
        self.orders.append(EngineOrder(now_ms, holder, token))

    def violations(
        self, disturbed: Mapping[str, list[tuple[int, int]]]
    ) -> list[str]:
        """Return the orders of a holder beside those of another one.

        `disturbed` has the times by entry in which it was frozen, and under
        "" those in which the link to the engine was harmed.
        """
        found = []
        highest, previous = 0, ""
        last_ms: dict[str, int] = {}
        for order in self.orders:
            if self._is_excused(order, disturbed):
                continue
            name = f"{order.holder}: order with token {order.token}"
            if order.token < highest:
                found.append(f"{name} after one with {highest}")
            since_ms = order.at_ms - last_ms.get(order.holder, -self._turn_ms)
            if previous not in ("", order.holder) and since_ms < self._turn_ms:
                found.append(f"{name} {since_ms} ms after its last turn")
            highest = max(highest, order.token)
            last_ms[order.holder], previous = order.at_ms, order.holder
        return found

    @staticmethod
    def _is_excused(
        order: EngineOrder, disturbed: Mapping[str, list[tuple[int, int]]]
    ) -> bool:
        windows = [*disturbed.get(order.holder, []), *disturbed.get("", [])]
        return any(
            begin_ms <= order.at_ms <= end_ms + THAW_SLACK_MS
            for begin_ms, end_ms in windows
        )
