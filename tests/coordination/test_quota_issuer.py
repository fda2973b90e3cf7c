"""Tests of the tokens that the coordinator grants to all entries."""

from __future__ import annotations

import unittest

from balsamwall.coordination import coordinator as coordinator_module
from balsamwall.coordination import quota_issuer
from balsamwall.gateway import configuration_holder
from balsamwall.gateway import gateway_metrics
from balsamwall.gateway import workspace as workspace_module
from balsamwall.gateway import workspace_balance
from balsamwall.limits import fleet_size
from balsamwall.limits import quota_tolerance
from balsamwall.timing import virtual_clock
from tests.fixtures import gateway_harness
from tests.fixtures import quota_fleet

RATE = 1_000
ENTRIES = ("f1", "f2", "f3", "f4")


class QuotaIssuerTest(unittest.TestCase):
    """The buckets hold no more than the connected entries may use."""

    def setUp(self):
        self.clock = virtual_clock.VirtualClock(start_ms=50_000)
        self.configuration = configuration_holder.ConfigurationHolder()
        self.configure(1, RATE, 5 * RATE)
        self.metrics = gateway_metrics.GatewayMetrics()
        self.issuer = self.make_issuer(
            quota_tolerance.QuotaTolerance(slack=17_000)
        )

    def make_issuer(self, tolerance):
        size = fleet_size.FleetSize(
            self.clock, 100, quota_issuer.FLEET_MEMORY_MS
        )
        issuer = quota_issuer.QuotaIssuer(
            self.clock,
            self.configuration,
            size,
            self.metrics.workspaces,
            tolerance,
        )
        size.observe(len(ENTRIES))
        issuer.restart()
        return issuer

    def configure(self, version, rate, burst):
        workspace = quota_fleet.make_workspace(rate, burst)
        table = workspace_module.WorkspaceTable([workspace])
        self.configuration.offer(
            gateway_harness.make_configuration(version, workspaces=table)
        )

    def tick(self, duration_ms, heard=ENTRIES):
        for _ in range(duration_ms // coordinator_module.TICK_INTERVAL_MS):
            for vm in heard:
                self.issuer.on_heard(vm)
            self.issuer.set_connected(len(ENTRIES))
            self.clock.advance(coordinator_module.TICK_INTERVAL_MS)

    def left(self):
        """Return the tokens in the bucket, and take them."""
        return self.issuer.grant("w1", 0, 1_000_000).tokens

    def test_bucket_fills_while_no_traffic_comes(self):
        """Guards against a bucket that begins with its first query."""
        self.tick(2_000)
        self.assertEqual(self.left(), 2 * RATE)

    def test_term_begins_empty(self):
        """Guards against two coordinators that each grant the burst."""
        self.tick(5_000)
        self.issuer.restart()
        self.assertEqual(self.left(), 0)

    def test_time_of_a_pause_is_not_granted(self):
        """Guards against tokens that entries used by themselves."""
        self.tick(1_000)
        self.clock.advance(4_000)
        self.assertLessEqual(self.left(), RATE)

    def test_silent_entries_have_their_share(self):
        """Guards against a share that is granted and used by its entry."""
        self.tick(2_000)
        self.left()
        self.tick(2_000, ENTRIES[:2])
        self.left()
        self.tick(1_000, ENTRIES[:2])
        self.assertEqual(self.left(), RATE / 2)

    def test_scarce_with_less_than_half_of_the_burst(self):
        """Guards against requests in advance of a scarce workspace."""
        self.tick(2_000)
        self.assertTrue(self.issuer.grant("w1", 1, 0).is_scarce)
        self.tick(1_000)
        self.assertFalse(self.issuer.grant("w1", 1, 0).is_scarce)

    def test_large_request_is_not_starved(self):
        """Guards against small requests that take all tokens first."""
        self.tick(100)
        self.assertEqual(self.issuer.grant("w1", 4_000, 0).tokens, 4_000)
        decision = self.issuer.grant("w1", 1, 0)
        self.assertEqual(decision.tokens, 0)
        self.assertEqual(decision.wait_ms, 3_901)

    def test_lower_burst_drops_tokens(self):
        """Guards against a burst saved under a former configuration."""
        self.tick(5_000)
        self.configure(2, RATE, 500)
        self.tick(100)
        self.assertEqual(self.left(), 500)

    def test_burst_below_one_request(self):
        """Guards against a quota of requests that admits none."""
        unit = workspace_module.QuotaUnit.REQUESTS
        table = workspace_module.WorkspaceTable(
            [quota_fleet.make_workspace(0.5, 0.5, unit)]
        )
        self.configuration.offer(
            gateway_harness.make_configuration(2, workspaces=table)
        )
        self.tick(2_100)
        self.assertEqual(self.issuer.grant("w1", 1, 0).tokens, 1)
        self.assertEqual(self.issuer.grant("w1", 1, 0).tokens, 0)

    def test_half_of_the_slack_is_granted_in_advance(self):
        """Guards against a request that uses the slack of all others."""
        self.tick(1_000)
        cost = RATE + 8_500
        self.assertGreater(self.issuer.grant("w1", cost + 1, 0).wait_ms, 0)
        self.assertEqual(self.issuer.grant("w1", cost, 0).tokens, cost)

    def test_cost_above_the_slack_is_refused(self):
        """Guards against a request that no deployment tolerates."""
        self.tick(1_000)
        largest = 5 * RATE + 17_000
        never_ms = workspace_balance.TOO_LARGE_RETRY_AFTER_MS
        self.assertLess(self.issuer.grant("w1", largest, 0).wait_ms, never_ms)
        decision = self.issuer.grant("w1", largest + 1, 0)
        self.assertEqual(decision.wait_ms, never_ms)

    def test_nothing_is_granted_in_advance_without_slack(self):
        """Guards against slack in a deployment that has set none."""
        self.issuer = self.make_issuer(quota_tolerance.QuotaTolerance())
        self.tick(1_000)
        self.assertGreater(self.issuer.grant("w1", RATE + 1, 0).wait_ms, 0)
        self.assertEqual(self.issuer.grant("w1", RATE, 0).tokens, RATE)
        decision = self.issuer.grant("w1", 5 * RATE + 1, 0)
        self.assertEqual(
            decision.wait_ms, workspace_balance.TOO_LARGE_RETRY_AFTER_MS
        )

    def test_slack_does_not_apply_to_requests(self):
        """Guards against 17,000 requests above a quota of requests."""
        unit = workspace_module.QuotaUnit.REQUESTS
        table = workspace_module.WorkspaceTable(
            [quota_fleet.make_workspace(10, 5, unit)]
        )
        self.configuration.offer(
            gateway_harness.make_configuration(2, workspaces=table)
        )
        self.tick(1_000)
        decision = self.issuer.grant("w1", 6, 0)
        self.assertEqual(
            decision.wait_ms, workspace_balance.TOO_LARGE_RETRY_AFTER_MS
        )
        self.assertEqual(self.issuer.grant("w1", 5, 0).tokens, 5)
        self.assertGreater(self.issuer.grant("w1", 1, 0).wait_ms, 0)

    def test_unknown_workspace_is_left_to_the_entry(self):
        """Guards against grants by an older configuration."""
        decision = self.issuer.grant("w2", 10, 0)
        self.assertEqual((decision.tokens, decision.wait_ms), (0, 0))

    def test_quota_left_is_exported_during_a_term(self):
        """Guards against a value that a former coordinator keeps showing."""
        self.tick(1_000)
        name = b'balsamwall_gateway_quota_left{workspace="w1"} '
        self.assertIn(name + b"900.0", self.metrics.render())
        self.issuer.stop()
        self.assertNotIn(name, self.metrics.render())
