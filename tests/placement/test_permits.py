"""Tests of permits under outages and changes of the granter."""

from __future__ import annotations

import random
import unittest

from balsamwall.placement import lease_keeper
from balsamwall.placement import permit_task
from balsamwall.residency import permit_client
from balsamwall.timing import virtual_clock
from tests.order_schedules import fake_store


class _Vm:
    """VM with a permit task and a client; loads take a fixed time."""

    def __init__(self, world, vm):
        self.world = world
        self.vm = vm
        self.pause_until_ms = 0
        clock = world.clock
        self.lease = lease_keeper.LeaseKeeper(
            clock, world.store, "permits", vm, lambda: world.first == vm
        )
        self.lease.start()
        self.task = permit_task.PermitTask(
            clock, self, self.lease, 2.0, 6, lambda k: world.owners[k] == vm
        )
        self.task.start()
        self.client = permit_client.PermitClient(
            clock,
            self,
            random.Random(vm),
            lambda: world.first,
            lambda: world.owners,
        )

    def send(self, peer, item):
        self.world.clock.call_later(
            self.world.rng.randint(1, 20),
            self.world.vms[peer].receive,
            self.vm,
            item,
        )

    def receive(self, sender, item):
        wait_ms = self.pause_until_ms - self.world.clock.now_ms()
        if wait_ms > 0:
            self.world.clock.call_later(wait_ms, self.receive, sender, item)
        elif not self.client.on_message(sender, item):
            self.task.on_message(sender, item)

    def load(self, urgency=0, duration_ms=4_000):
        def on_granted(permit_id):
            self.world.clock.call_later(0, begin, permit_id)

        def begin(permit_id):
            if self.client.is_usable(permit_id):
                self.client.mark_started(permit_id)
                self.world.begin(urgency)
                self.world.clock.call_later(duration_ms, end, permit_id)

        def end(permit_id):
            self.world.running -= 1
            self.client.release(permit_id)

        self.client.acquire("m", urgency, on_granted)


class _World:
    """Several VMs; counts the loads that run at once."""

    def __init__(self, seed, count=8):
        self.clock = virtual_clock.VirtualClock()
        self.rng = random.Random(seed)
        self.store = fake_store.FakeLeaseStore(self.clock, self.rng, 0.05)
        self.first = "vm0"
        self.owners = ["vm1", "vm2"]
        self.running = 0
        self.most = 0
        self.starts = []
        self.vms = {}
        for index in range(count):
            self.vms[f"vm{index}"] = _Vm(self, f"vm{index}")

    def begin(self, urgency):
        self.running += 1
        self.most = max(self.most, self.running)
        self.starts.append((self.clock.now_ms(), urgency))


class PermitsTest(unittest.TestCase):
    """Guard the limits of the weight store and progress without leases."""

    def test_urgent_loads_go_first(self) -> None:
        """Rebalancing must not delay a model that is unreachable."""
        world = _World(1)
        world.store.fault_rate = 0.0
        world.clock.advance(40_000)
        for index in range(20):
            world.vms[f"vm{index % 8}"].load(0)
        world.clock.advance(1_500)
        world.vms["vm5"].load(4)
        world.clock.advance(60_000)
        urgencies = [urgency for _, urgency in world.starts]
        self.assertEqual(21, len(urgencies))
        self.assertLessEqual(urgencies.index(4), 5)

    def test_fixed_shares_serve_without_the_key_value_service(self) -> None:
        """R2: reloads must continue in an outage."""
        world = _World(2)
        world.store.is_up = False
        world.clock.advance(30_000)
        for index in range(4):
            world.vms[f"vm{index}"].load(4)
        world.clock.advance(60_000)
        self.assertEqual(4, len(world.starts))
        self.assertLessEqual(world.most, 2)

    def test_limits_hold_while_granters_change(self) -> None:
        """Old permits are in use when another granter takes over."""
        for seed in range(8):
            world = _World(seed)
            for _ in range(300):
                world.clock.advance(1_000)
                vm = world.rng.choice(list(world.vms.values()))
                vm.load(world.rng.randint(0, 4), world.rng.randint(500, 9_000))
                roll = world.rng.random()
                if roll < 0.02:
                    world.store.is_up = not world.store.is_up
                elif roll < 0.03:
                    world.first = world.rng.choice(list(world.vms))
                elif roll < 0.04:
                    world.owners[0] = world.rng.choice(list(world.vms))
                elif roll < 0.05:
                    pause_ms = world.rng.randint(2_000, 30_000)
                    vm.pause_until_ms = world.clock.now_ms() + pause_ms
            self.assertLessEqual(world.most, 6, f"seed {seed}")
            self.assertGreater(len(world.starts), 50, f"seed {seed}")
            times = [at_ms for at_ms, _ in world.starts]
            # 25 starts at 2 a second; each of the 3 granters may grant one
            # at once, and up to 6 permits may wait before their loads start.
            least_ms = (24 - 3 - 6) * 1_000 // 2
            for first_ms, last_ms in zip(times, times[24:], strict=False):
                self.assertGreaterEqual(last_ms - first_ms, least_ms)
