"""Tests of load permits during outages and changes of the granter."""

from __future__ import annotations

import random
import unittest

from balsamwall.placement import lease_keeper
from balsamwall.placement import permit_task
from balsamwall.residency import permit_client
from balsamwall.timing import virtual_clock
from tests.order_schedules import fake_store


class _Vm:
    """VM with a permit task and a permit client."""

    def __init__(self, fleet, vm):
        self.fleet = fleet
        self.vm = vm
        self.pause_until_ms = 0
        clock = fleet.clock
        self.lease = lease_keeper.LeaseKeeper(
            clock, fleet.store, "permits", vm, lambda: fleet.first == vm
        )
        self.lease.start()
        self.task = permit_task.PermitTask(
            clock, self, self.lease, 2.0, 6, lambda k: fleet.owners[k] == vm
        )
        self.task.start()
        self.client = permit_client.PermitClient(
            clock,
            self,
            random.Random(vm),
            lambda: fleet.first,
            lambda: fleet.owners,
        )

    def send(self, peer, item):
        self.fleet.clock.call_later(
            self.fleet.rng.randint(1, 20),
            self.fleet.vms[peer].receive,
            self.vm,
            item,
        )

    def receive(self, sender, item):
        wait_ms = self.pause_until_ms - self.fleet.clock.now_ms()
        if wait_ms > 0:
            self.fleet.clock.call_later(wait_ms, self.receive, sender, item)
        elif not self.client.on_message(sender, item):
            self.task.on_message(sender, item)

    def load(self, urgency=0, duration_ms=4_000):
        def on_granted(permit_id):
            self.fleet.clock.call_later(0, begin, permit_id)

        def begin(permit_id):
            if self.client.is_usable(permit_id):
                self.client.mark_started(permit_id)
                self.fleet.begin(urgency)
                self.fleet.clock.call_later(duration_ms, end, permit_id)

        def end(permit_id):
            self.fleet.running -= 1
            self.client.release(permit_id)

        self.client.acquire("m", urgency, on_granted)


class _Fleet:
    """Several VMs; counts their concurrent loads."""

    def __init__(self, seed, count=8):
        self.clock = virtual_clock.VirtualClock()
        self.rng = random.Random(seed)
        self.store = fake_store.FakeLeaseStore(self.clock, self.rng, 0.05)
        self.first = "vm0"
        self.owners = ["vm1", "vm2"]
        self.running = 0
        self.max_running = 0
        self.starts = []
        self.vms = {}
        for index in range(count):
            self.vms[f"vm{index}"] = _Vm(self, f"vm{index}")

    def begin(self, urgency):
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        self.starts.append((self.clock.now_ms(), urgency))


class PermitsTest(unittest.TestCase):
    """Guard against overload of the weight store and against lost progress."""

    def test_urgent_loads_go_first(self) -> None:
        """Rebalancing must not delay the load of an unreachable model."""
        fleet = _Fleet(1)
        fleet.store.fault_rate = 0.0
        fleet.clock.advance(40_000)
        for index in range(20):
            fleet.vms[f"vm{index % 8}"].load(0)
        fleet.clock.advance(1_500)
        fleet.vms["vm5"].load(4)
        fleet.clock.advance(60_000)
        urgencies = [urgency for _, urgency in fleet.starts]
        self.assertEqual(21, len(urgencies))
        self.assertLessEqual(urgencies.index(4), 5)

    def test_fixed_shares_serve_without_the_key_value_service(self) -> None:
        """R2: loads must continue while the key-value service is down."""
        fleet = _Fleet(2)
        fleet.store.is_up = False
        fleet.clock.advance(30_000)
        for index in range(4):
            fleet.vms[f"vm{index}"].load(4)
        fleet.clock.advance(60_000)
        self.assertEqual(4, len(fleet.starts))
        self.assertLessEqual(fleet.max_running, 2)

    def test_limits_hold_while_granters_change(self) -> None:
        """A new granter must count the permits of its predecessor.

        Otherwise the loads of both would exceed the limits together.
        """
        for seed in range(8):
            fleet = _Fleet(seed)
            for _ in range(300):
                fleet.clock.advance(1_000)
                vm = fleet.rng.choice(list(fleet.vms.values()))
                vm.load(fleet.rng.randint(0, 4), fleet.rng.randint(500, 9_000))
                roll = fleet.rng.random()
                if roll < 0.02:
                    fleet.store.is_up = not fleet.store.is_up
                elif roll < 0.03:
                    fleet.first = fleet.rng.choice(list(fleet.vms))
                elif roll < 0.04:
                    fleet.owners[0] = fleet.rng.choice(list(fleet.vms))
                elif roll < 0.05:
                    pause_ms = fleet.rng.randint(2_000, 30_000)
                    vm.pause_until_ms = fleet.clock.now_ms() + pause_ms
            self.assertLessEqual(fleet.max_running, 6, f"seed {seed}")
            self.assertGreater(len(fleet.starts), 50, f"seed {seed}")
            times = [at_ms for at_ms, _ in fleet.starts]
            # 25 starts at 2 per second. Each of the 3 granters may grant one
            # immediately, and up to 6 granted permits may be unused so far.
            least_ms = (24 - 3 - 6) * 1_000 // 2
            for first_ms, last_ms in zip(times, times[24:], strict=False):
                self.assertGreaterEqual(last_ms - first_ms, least_ms)
