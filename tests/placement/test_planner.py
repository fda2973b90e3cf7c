"""Tests of the planner and of the demand forecast."""

from __future__ import annotations

import random
import unittest

from balsamwall.configuration import tenant_configuration
from balsamwall.placement import demand_forecast
from balsamwall.placement import fleet_view
from balsamwall.placement import lease_keeper
from balsamwall.placement import placement_task
from balsamwall.placement import planner
from balsamwall.timing import virtual_clock
from tests.order_schedules import fake_store

GB = 10**9


def make_configuration(models, adapters=0, move_weight=1.0):
    """Return a tenant with models of 20 GB and adapters of 1 GB."""
    specs = {
        f"m{i}": tenant_configuration.ModelSpec(f"m{i}", "1", 20 * GB, 1, 9)
        for i in range(models)
    }
    adapter_specs = {
        f"a{i}": tenant_configuration.AdapterSpec(
            f"a{i}", f"m{i % models}", "1", GB
        )
        for i in range(adapters)
    }
    workspace = tenant_configuration.WorkspaceSpec(
        "w", (), tuple(specs), tuple(adapter_specs), (), True, 1, 1, 1, 1.0,
        1, 1, 1, move_weight, 1.0, 1, True,
    )  # fmt: skip
    return tenant_configuration.TenantConfiguration(
        "t", 1, "", specs, adapter_specs, {}, {"w": workspace}
    )


class _Fleet:
    """Fleet that executes every step immediately."""

    def __init__(self, workers, configuration):
        self.configuration = configuration
        self.held = {f"vm{i}": set() for i in range(workers)}
        self.demand = demand_forecast.DemandForecast()
        self.planner = planner.Planner()
        self.rng = random.Random(3)
        self.now_ms = 0

    def view(self):
        return fleet_view.FleetView(
            tuple(
                fleet_view.WorkerView(
                    vm, f"z{index % 3}", "t", 72 * GB, frozenset(names)
                )
                for index, (vm, names) in enumerate(self.held.items())
            ),
            {"t": self.configuration},
        )

    def round(self, work):
        """Observe 10 s of Poisson demand, plan and execute the steps."""
        for name, engines in work.items():
            mean = engines * 100
            count = round(self.rng.gauss(mean, mean**0.5))
            if count > 0:
                self.demand.observe(
                    name, True, count, 100 * count, self.now_ms
                )
        self.now_ms += 10_000
        steps = self.planner.plan(self.view(), self.demand, self.now_ms)
        for step in steps:
            names = self.held[step.vm]
            names.discard(step.other)
            names |= {step.name, self.configuration.base_of(step.name)}
        return steps

    def holders(self, name):
        return [vm for vm, names in self.held.items() if name in names]


class PlannerTest(unittest.TestCase):
    """Guard against unreachable models and unnecessary moves."""

    def test_everything_is_placed_with_its_base(self) -> None:
        """A name without a replica is unreachable."""
        fleet = _Fleet(6, make_configuration(12, 10))
        for _ in range(6):
            fleet.round({})
        for name in fleet.configuration.configured_names():
            self.assertEqual(1, len(fleet.holders(name)), name)
        for names in fleet.held.values():
            for name in names:
                self.assertIn(fleet.configuration.base_of(name), names)

    def test_steady_demand_causes_no_move(self) -> None:
        """Moves without benefit would take bandwidth of the weight store."""
        fleet = _Fleet(12, make_configuration(12))
        work = {f"m{i}": 0.45 for i in range(12)}
        for _ in range(60):
            fleet.round(work)
        moves = sum(len(fleet.round(work)) for _ in range(360))
        self.assertEqual(0, moves)

    def test_burst_adds_replicas_in_other_zones(self) -> None:
        """One replica cannot serve ten times its usual demand."""
        fleet = _Fleet(12, make_configuration(12))
        work = {f"m{i}": 0.2 for i in range(12)}
        for _ in range(60):
            fleet.round(work)
        self.assertEqual(1, len(fleet.holders("m0")))
        work["m0"] = 2.0
        for _ in range(12):
            fleet.round(work)
        holders = fleet.holders("m0")
        self.assertGreaterEqual(len(holders), 3)
        zones = {int(vm[2:]) % 3 for vm in holders}
        self.assertEqual(3, len(zones))
        moves = sum(len(fleet.round(work)) for _ in range(30))
        self.assertLessEqual(moves, 1)

    def test_spare_copy_is_swapped_and_the_last_is_not(self) -> None:
        """A replica is unloaded only for memory, and never the last one."""
        fleet = _Fleet(2, make_configuration(4))
        fleet.held = {"vm0": {"m0", "m1", "m2"}, "vm1": {"m0", "m1", "m2"}}
        steps = fleet.round({})
        self.assertEqual(["swap"], [step.action for step in steps])
        for index in range(4):
            self.assertTrue(fleet.holders(f"m{index}"))
        self.assertEqual([], fleet.round({}))

    def test_move_weight_raises_the_cost(self) -> None:
        """A high move weight must suppress moves that are otherwise made."""
        for move_weight, has_steps in ((1.0, True), (500.0, False)):
            configuration = make_configuration(2, 0, move_weight)
            fleet = _Fleet(4, configuration)
            fleet.held["vm0"] = {"m0"}
            fleet.held["vm1"] = {"m1"}
            steps = []
            for _ in range(12):
                steps += fleet.round({"m0": 1.2})
            self.assertEqual(has_steps, bool(steps))

    def test_steps_per_round_are_bounded(self) -> None:
        """A wrong view of the fleet must not cause a burst of moves."""
        fleet = _Fleet(40, make_configuration(100))
        self.assertEqual(8, len(fleet.round({})))


class PlacementTaskTest(unittest.TestCase):
    """Guard against steps of a process that has lost its lease."""

    def test_steps_only_while_the_lease_is_held(self) -> None:
        """A holder must stop by its own clock when it cannot renew."""
        clock = virtual_clock.VirtualClock()
        store = fake_store.FakeLeaseStore(clock, random.Random(1))
        lease = lease_keeper.LeaseKeeper(
            clock, store, "placement", "vm0", lambda: True
        )
        fleet = _Fleet(3, make_configuration(4))
        sent = []

        class Outbox:
            def send(self, peer, item):
                sent.append((peer, item))

        task = placement_task.PlacementTask(
            clock,
            Outbox(),
            lease,
            planner.Planner(),
            fleet.view,
            fleet.demand,
        )
        task.start()
        clock.advance(60_000)
        self.assertEqual([], sent)
        lease.start()
        clock.advance(40_000)
        # The reports do not show the loads yet; no step is proposed twice.
        self.assertEqual(4, len(sent))
        store.is_up = False
        clock.advance(12_000)
        self.assertFalse(lease.is_held)
        clock.advance(120_000)
        self.assertEqual(4, len(sent))
