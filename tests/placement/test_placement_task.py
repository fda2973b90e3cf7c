"""Tests of the placement task."""

from __future__ import annotations

import unittest

from balsamwall.configuration import tenant_configuration
from balsamwall.placement import demand_forecast
from balsamwall.placement import fleet_view
from balsamwall.placement import placement_task
from balsamwall.placement import planner
from balsamwall.timing import virtual_clock


class HeldLease:
    """Lease that is held from the start."""

    held_since_ms = 0


class PlacementTaskTest(unittest.TestCase):
    """Guard against names that stay without a replica."""

    def test_missing_names_do_not_wait_for_the_regular_round(self) -> None:
        """Names without a replica must be placed within 10 s of a cold start.

        With eight loads per 10 s, a cold fleet was unreachable for a minute.
        """
        clock = virtual_clock.VirtualClock()
        models = {
            f"m{index}": tenant_configuration.ModelSpec(
                f"m{index}", "1", 1_000, 1, 100
            )
            for index in range(24)
        }
        workspace = tenant_configuration.WorkspaceSpec(
            "w",
            (),
            tuple(models),
            (),
            (),
            True,
            1_000,
            1_000,
            500,
            1.0,
            1,
            1,
            1,
            1.0,
            1.0,
            1_000,
            True,
        )
        configuration = tenant_configuration.TenantConfiguration(
            "t", 1, "c", models, {}, {}, {"w": workspace}
        )
        worker = fleet_view.WorkerView("vm", "a", "t", 10**6, frozenset())
        view = fleet_view.FleetView((worker,), {"t": configuration})
        sent = []

        class Outbox:
            def send(self, peer, item) -> None:
                sent.append(item.name)

        task = placement_task.PlacementTask(
            clock,
            Outbox(),
            HeldLease(),
            planner.Planner(),
            lambda: view,
            demand_forecast.DemandForecast(),
        )
        task.start()
        clock.advance(10_000)
        self.assertEqual(set(models), set(sent))
        self.assertEqual(len(models), len(sent))
