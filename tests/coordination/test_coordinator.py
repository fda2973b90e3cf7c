"""Tests of the coordinator during outages of the store."""

from __future__ import annotations

import types
import unittest
from unittest import mock

from balsamwall.coordination import coordinator as coordinator_module
from balsamwall.coordination import coordinator_election
from balsamwall.coordination import engine_control
from balsamwall.coordination import engine_speed
from balsamwall.coordination import leased_orders
from balsamwall.coordination import messages_fleet
from balsamwall.coordination import order_authority
from balsamwall.coordination import residency_log
from balsamwall.gateway import backend_directory
from balsamwall.gateway import configuration_holder
from balsamwall.logs import decision_log
from balsamwall.timing import virtual_clock
from tests.fixtures import gateway_harness
from tests.fixtures import origin_harness


class FakeLease:
    """Lease whose state a test sets."""

    def __init__(self):
        self.is_held = False
        self.revision = 0
        self.valid_until_ms = 0


class FakeLinks:
    """Links that record broadcasts to a given number of entries."""

    def __init__(self):
        self.count = 5
        self.sent = []

    def broadcast(self, item):
        self.sent.append(item)

    def send(self, vm, item):
        self.sent.append(item)

    def close_all(self):
        self.count = 1


class CoordinatorTest(unittest.TestCase):
    """Orders stop as soon as another entry may be the coordinator."""

    def setUp(self):
        self.clock = virtual_clock.VirtualClock(start_ms=1_000)
        self.lease = FakeLease()
        self.links = FakeLinks()
        self.is_connected = True
        self.coordinator = self.make_coordinator(None)
        self.coordinator.start()
        self.lease.is_held, self.lease.revision = True, 7
        self.clock.advance(500)

    def make_coordinator(self, orders):
        log = decision_log.DecisionLog(self.clock)
        return coordinator_module.Coordinator(
            self.clock,
            configuration_holder.ConfigurationHolder(),
            backend_directory.BackendDirectory(self.clock.now_ms),
            order_authority.OrderAuthority(
                self.clock,
                self.lease,
                lambda: self.links.count,
                lambda: self.is_connected,
                log,
                orders,
            ),
            None,
            self.links,
            log,
            *gateway_harness.make_limits(self.clock),
            origin_harness.make_parts(
                gateway_harness.GatewayHarness(clock=self.clock)
            ).merger,
        )

    def expire_lease(self):
        self.lease.is_held = False
        self.clock.advance(500)

    def test_lease_revision_is_the_fencing_token(self):
        """Guards against orders that engines can't fence."""
        self.assertEqual(self.coordinator.fencing_token, 7)

    def test_lost_lease_stops_orders(self):
        """Guards against two coordinators while the store is reachable."""
        self.expire_lease()
        self.assertEqual(self.coordinator.fencing_token, 0)

    def test_orders_continue_during_a_store_outage(self):
        """Guards against model loads that stop during an outage."""
        self.is_connected = False
        self.expire_lease()
        self.assertEqual(self.coordinator.fencing_token, 7)
        self.is_connected = True
        self.assertEqual(self.coordinator.fencing_token, 0)

    def test_partitioned_coordinator_stops_orders(self):
        """Guards against orders after most entries have disconnected.

        They may already follow a newer coordinator.
        """
        self.is_connected = False
        self.links.count = 2
        self.expire_lease()
        self.assertEqual(self.coordinator.fencing_token, 0)

    def test_rejected_token_stops_orders(self):
        """Guards against orders after those of a newer coordinator."""
        self.is_connected = False
        self.coordinator.on_fenced()
        self.clock.advance(500)
        self.assertEqual(self.coordinator.fencing_token, 0)

    def coordinate_unchecked_engines(self):
        """Begin a term in which orders need the lease, after the pause."""
        self.lease.is_held = False
        orders = leased_orders.LeasedOrders(self.clock, self.lease, 3_000)
        self.coordinator = self.make_coordinator(orders)
        self.coordinator.start()
        self.clock.advance(4_000)
        self.lease.is_held, self.lease.revision = True, 9
        self.lease.valid_until_ms = self.clock.now_ms() + 2_500
        self.clock.advance(500)

    def test_entries_are_answered_without_orders(self):
        """Guards against entries that are left alone with the orders.

        The store is away, and engines check no tokens.
        """
        self.coordinate_unchecked_engines()
        self.assertEqual(self.coordinator.fencing_token, 9)
        self.is_connected = False
        self.expire_lease()
        self.assertEqual(self.coordinator.fencing_token, 0)
        self.assertTrue(self.coordinator.is_active)

    def test_orders_have_an_end_where_engines_check_no_tokens(self):
        """Guards against an order that is sent after the lease has ended."""
        self.assertIsNone(self.coordinator.send_by_ms)
        self.coordinate_unchecked_engines()
        self.assertEqual(
            self.coordinator.send_by_ms, self.lease.valid_until_ms
        )

    def test_margin_of_the_lease_covers_an_order(self):
        """Guards against an order that arrives after the end of the lease."""
        self.assertLess(
            engine_control.ORDER_TIMEOUT_MS,
            coordinator_election.LEASE_MARGIN_MS,
        )

    def test_speed_averages_do_not_depend_on_traffic(self):
        """Guards against averages that requests for models speed up.

        None of the engines is idle, which must not stop the updates.
        """
        tracker = types.SimpleNamespace(
            record=gateway_harness.make_record("e0", slots=32),
            spec=types.SimpleNamespace(slots=32),
        )
        engines = types.SimpleNamespace(
            all=lambda: [tracker],
            services=lambda: [("app", tracker.spec)],
            ready=lambda service: [],
            refresh_holders=lambda *names: None,
        )
        self.coordinator._engines = engines
        self.coordinator._broadcast = types.SimpleNamespace(tick=lambda: None)
        wanted = messages_fleet.LoadWanted("app", "m1", "")
        with (
            mock.patch.object(engine_speed, "update") as update,
            mock.patch.object(residency_log, "write"),
        ):
            for _ in range(10):
                self.coordinator.on_message("front-2", wanted)
                self.clock.advance(coordinator_module.TICK_INTERVAL_MS)
        self.assertEqual(update.call_count, 10)

    def test_long_outage_stops_orders(self):
        """Guards against a partitioned VM that never stops its orders."""
        self.is_connected = False
        self.expire_lease()
        self.clock.advance(order_authority.MAX_WITHOUT_LEASE_MS)
        self.assertEqual(self.coordinator.fencing_token, 0)

    def test_rejected_token_is_not_used_again_without_the_lease(self):
        """Guards against orders after a newer coordinator has given some.

        The store is away, and this process would go on without its lease.
        """
        self.is_connected = False
        self.expire_lease()
        self.assertEqual(self.coordinator.fencing_token, 7)
        self.coordinator.on_fenced()
        for _ in range(5):
            self.clock.advance(coordinator_module.TICK_INTERVAL_MS)
            self.assertEqual(self.coordinator.fencing_token, 0)

    def test_next_term_after_a_rejected_token_has_orders(self):
        """Guards against an entry that never coordinates again."""
        self.coordinator.on_fenced()
        self.clock.advance(500)
        self.expire_lease()
        self.lease.is_held, self.lease.revision = True, 11
        self.clock.advance(500)
        self.assertEqual(self.coordinator.fencing_token, 11)

    def test_query_read_after_a_pause_gets_no_permit(self):
        """Guards against a permit of a coordinator whose lease has expired.

        After a pause, the query is read before the next check of the lease.
        """
        self.lease.is_held = False
        self.clock.suspend(4_000)
        self.links.sent.clear()
        self.coordinator.on_message("vm1", messages_fleet.PermitQuery(1, "e1"))
        self.assertEqual(self.links.sent, [])
        self.assertEqual(self.coordinator.on_entry_connected("front-2"), [])
