"""Wiring of the election of the coordinator and of its right to order."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.coordination import coordinator_election
from balsamwall.coordination import engine_control
from balsamwall.coordination import leased_orders
from balsamwall.coordination import order_authority

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from balsamwall.composition import gateway_dependencies
    from balsamwall.gateway import gateway_settings
    from balsamwall.logs import decision_log
    from balsamwall.timing import clock as clock_module


class OrderParts:
    """Election, and authority for orders by whether engines check tokens."""

    __slots__ = ("authority", "election")

    def __init__(
        self,
        clock: clock_module.Clock,
        random_source: random.Random,
        dependencies: gateway_dependencies.GatewayDependencies,
        settings: gateway_settings.GatewaySettings,
        address: str,
        on_holder: Callable[[str], None],
        count_entries: Callable[[], int],
        log: decision_log.DecisionLog,
    ) -> None:
        checks_tokens = settings.engines_check_tokens
        lease_ms = max(settings.lease_ms, settings.min_lease_ms)
        self.election = coordinator_election.CoordinatorElection(
            clock,
            random_source,
            dependencies.store,
            dependencies.connection,
            address,
            lease_ms,
            on_holder,
            # Engines that check tokens reject an order that arrives later.
            0 if checks_tokens else engine_control.ORDER_TIMEOUT_MS,
        )
        lease = self.election.lease
        self.authority = order_authority.OrderAuthority(
            clock,
            lease,
            count_entries,
            lambda: self.election.is_store_available,
            log,
            None
            if checks_tokens
            else leased_orders.LeasedOrders(clock, lease, lease_ms),
        )
