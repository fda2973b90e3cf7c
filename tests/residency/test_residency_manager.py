"""Tests of the residency manager with one engine fault each."""

from __future__ import annotations

import dataclasses
import random
import unittest

from balsamwall.configuration import tenant_configuration
from balsamwall.protocol import messages_residency
from balsamwall.residency import memory_ledger
from balsamwall.residency import residency_hooks
from balsamwall.residency import residency_manager
from balsamwall.residency import retention
from balsamwall.results import result_code
from balsamwall.timing import virtual_clock
from tests.order_schedules import fake_engine
from tests.order_schedules import fleet as fleet_module

CODE = result_code.ResultCode
ORDER = fake_engine.backend_server.EngineOrder


class _Engine(fake_engine.FakeEngine):
    """Engine that records orders and loses chosen ones."""

    def __init__(self, clock, fence_mode):
        super().__init__(
            clock, random.Random(1), "vm0", 100, fence_mode, 30_000
        )
        self.deliver = lambda function, *args: function(*args)
        self.lost_orders = set()
        self.sent = []
        self.last_load_order_ms = 0

    def order(self, order, callback):
        if order.action == "load":
            self.last_load_order_ms = self.clock.now_ms()
        self.sent.append((order.action, order.name, order.version))
        if (order.action, order.name) in self.lost_orders:
            return
        super().order(order, callback)

    def hold(self, name, size, version="1", base=""):
        order = ORDER(
            "", 0, "load", name, "adapter" if base else "model", version,
            base, size,
        )  # fmt: skip
        self.held[(name, version)] = fake_engine.HeldCopy(order, "ready")


class ResidencyManagerTest(unittest.TestCase):
    """Guard against wrong memory charges and lost copies after a fault."""

    def setUp(self) -> None:
        self.fleet = fleet_module.Fleet(0)
        self.fleet.sizes = {f"m{i}": 40 for i in range(5)}
        self.fleet.configure()
        self.clock = virtual_clock.VirtualClock()
        self.sent = []
        self.holders = {}
        self.targets = []
        self.in_use = set()

    def build(self, fence_mode="kept", incarnation=1):
        if incarnation == 1:
            self.engine = _Engine(self.clock, fence_mode)
        self.engine.incarnation = incarnation
        self.ledger = memory_ledger.MemoryLedger()
        self.manager = residency_manager.ResidencyManager(
            self.clock,
            self,
            self.engine,
            self.ledger,
            "vm0",
            incarnation,
            random.Random(2),
            residency_hooks.ResidencyHooks(
                is_in_use=lambda name: name in self.in_use,
                holders=lambda name: self.holders.get(name, []),
                load_targets=lambda name: self.targets,
            ),
        )
        self.manager.set_configuration(self.fleet.configuration)

    def start(self, wait_ms=1_000):
        self.manager.start_recovery()
        self.clock.advance(wait_ms)

    def send(self, peer, item):
        """Act as the peers: grant every retention request."""
        self.sent.append((peer, item))
        if isinstance(item, messages_residency.RetainRequest):
            grant = messages_residency.RetainGranted(
                item.request_id, item.name
            )
            self.clock.call_later(5, self.manager.on_message, peer, grant)

    def orders(self, action):
        return [sent[1:] for sent in self.engine.sent if sent[0] == action]

    def test_lost_load_keeps_its_charge_for_the_whole_delay(self) -> None:
        """A late load would exceed the capacity after an early release."""
        self.build("ignored")
        self.start(31_000)
        self.engine.lost_orders.add(("load", "m0"))
        self.manager.ensure("m0")
        self.manager.ensure("m1", 0)
        self.clock.advance(29_000)
        self.assertEqual(40, self.ledger.committed_bytes)
        self.assertEqual([("m0", "1")], self.orders("load"))
        self.engine.lost_orders.clear()
        self.clock.advance(12_000)
        self.assertTrue(self.manager.is_served("m0"))

    def test_fence_replaces_the_wait_after_a_lost_order(self) -> None:
        """A lost order must not block a fencing engine for the whole delay."""
        self.build("kept")
        self.start()
        self.engine.lost_orders.add(("load", "m0"))
        self.manager.ensure("m0")
        self.clock.advance(5_500)
        self.engine.lost_orders.clear()
        self.clock.advance(12_000)
        self.assertTrue(self.manager.is_served("m0"))

    def test_no_order_early_after_a_restart_without_fencing(self) -> None:
        """An order of the earlier incarnation may still take effect."""
        self.build("ignored")
        self.start(0)
        self.manager.ensure("m0")
        self.clock.advance(30_000)
        self.assertEqual([], self.engine.sent)
        self.assertEqual(40, self.ledger.committed_bytes)
        self.clock.advance(6_000)
        self.assertTrue(self.manager.is_served("m0"))

    def test_swap_loads_first_if_both_fit(self) -> None:
        """Unloading first would interrupt the model although both fit."""
        self.build()
        self.engine.hold("m0", 40)
        self.holders["m0"] = ["vm1"]
        self.start(retention.GRANT_DURATION_MS + 1_000)
        self.manager.swap("m0", "m1")
        self.clock.advance(6_000)
        actions = [s[:2] for s in self.engine.sent if s[0] != "fence"]
        self.assertEqual([("load", "m1"), ("unload", "m0")], actions)

    def test_swap_without_memory_needs_a_grant_first(self) -> None:
        """Without a grant the swap would unload the only copy."""
        self.build()
        self.engine.hold("m0", 40)
        self.engine.hold("m2", 40)
        self.start(retention.GRANT_DURATION_MS + 1_000)
        codes = []
        self.manager.swap("m0", "m1", on_done=codes.append)
        self.clock.advance(3_000)
        self.assertEqual([CODE.INSUFFICIENT_MEMORY], codes)
        self.assertEqual([], self.orders("unload"))
        self.holders["m0"] = ["vm1"]
        self.manager.swap("m0", "m1", on_done=codes.append)
        self.clock.advance(8_000)
        self.assertEqual(CODE.OK, codes[1])
        self.assertFalse(self.manager.is_served("m0"))

    def test_adapter_is_loaded_after_and_unloaded_before_its_base(
        self,
    ) -> None:
        """An adapter without its base serves nothing."""
        self.build()
        self.start(retention.GRANT_DURATION_MS + 1_000)
        self.manager.ensure("a0")
        self.clock.advance(10_000)
        self.assertEqual([("m0", "1"), ("a0", "1")], self.orders("load"))
        self.assertEqual(("a0",), self.manager.residents.adapters)
        self.holders = {"m0": ["vm1"], "a0": ["vm1"]}
        self.manager.evict("m0")
        self.clock.advance(10_000)
        self.assertEqual([("a0", "1")], self.orders("unload"))
        self.clock.advance(40_000)  # no duplicate load of a0 can arrive now
        self.manager.evict("m0")
        self.clock.advance(3_000)
        unloads = [("a0", "1"), ("m0", "1")]
        self.assertEqual(unloads, self.orders("unload"))

    def test_copy_in_use_is_not_unloaded(self) -> None:
        """R7: an unload would interrupt running requests."""
        self.build()
        self.engine.hold("m0", 40)
        self.holders["m0"] = ["vm1"]
        self.start(retention.GRANT_DURATION_MS + 1_000)
        self.in_use.add("m0")
        self.manager.evict("m0")
        self.clock.advance(5_000)
        self.assertEqual([], self.orders("unload"))
        self.assertFalse(self.manager.is_served("m0"))
        self.clock.advance(30_000)
        self.assertTrue(self.manager.is_served("m0"))

    def test_models_of_crashed_engine_are_reloaded(self) -> None:
        """Models without another holder would stay unreachable."""
        self.build()
        self.engine.hold("m0", 40)
        self.engine.hold("m1", 40)
        self.holders["m1"] = ["vm1"]
        self.start()
        self.engine.crash(500)
        self.clock.advance(12_000)
        self.assertEqual([("m0", "1")], self.orders("load"))
        self.assertEqual(40, self.ledger.committed_bytes)
        self.assertEqual(2, self.manager.lost_count)

    def test_new_version_is_loaded_before_old_one_is_unloaded(self) -> None:
        """A rollout must not interrupt the model, forward or back."""
        self.build()
        self.engine.hold("m0", 40)
        self.start()
        for version, old in (("2", "1"), ("1", "2")):
            self.fleet.versions["m0"] = version
            self.fleet.configure()
            self.manager.set_configuration(self.fleet.configuration)
            for _ in range(60):
                self.clock.advance(1_000)
                self.assertTrue(self.manager.is_served("m0"))
            self.assertIn(("m0", old), self.orders("unload"))
            self.assertIn(("m0", version), self.engine.held)

    def test_rollout_without_memory_waits_for_another_holder(self) -> None:
        """Without memory for both versions the only copy must stay."""
        self.build()
        self.engine.hold("m0", 40)
        self.engine.hold("m2", 40)
        self.targets = ["vm3"]
        self.start(retention.GRANT_DURATION_MS + 1_000)
        self.fleet.versions["m0"] = "2"
        self.fleet.configure()
        self.manager.set_configuration(self.fleet.configuration)
        for _ in range(30):
            self.clock.advance(1_000)
            self.assertTrue(self.manager.is_served("m0"))
        asked = messages_residency.EnsureResident("m0", False)
        self.assertIn(("vm3", asked), self.sent)
        self.holders["m0"] = ["vm3"]
        self.clock.advance(30_000)
        self.assertIn(("m0", "2"), self.engine.held)
        self.assertTrue(self.manager.is_served("m0"))

    def test_repeated_load_stays_charged_after_its_unload(self) -> None:
        """A duplicate order can load a copy again after its removal."""
        self.build("ignored")
        self.holders["m0"] = ["vm1"]
        self.start(retention.GRANT_DURATION_MS + 1_000)
        self.manager.ensure("m0")
        self.clock.advance(5_000)
        self.manager.evict("m0")
        self.clock.advance(5_000)
        self.assertEqual({}, self.engine.held)
        self.assertEqual(40, self.ledger.committed_bytes)
        self.clock.run_until(self.engine.last_load_order_ms + 29_990)
        self.engine.hold("m0", 40)
        for _ in range(400):
            self.clock.advance(10)
            self.assertEqual(40, self.ledger.committed_bytes)
        self.engine.held.clear()
        self.clock.advance(4_000)
        self.assertEqual(0, self.ledger.committed_bytes)

    def test_role_change_is_confirmed_by_the_listing(self) -> None:
        """A lost answer must not leave the role unknown."""
        self.build()
        self.start()
        codes = []
        self.manager.change_role("prefill", codes.append)
        self.clock.advance(2_000)
        self.assertEqual([CODE.OK], codes)
        self.assertEqual("prefill", self.engine.role)

    def test_empty_engine_is_announced(self) -> None:
        """Peers would still list the copies of the earlier incarnation."""
        self.build()
        seen = []
        self.manager.add_listener(seen.append)
        self.start()
        self.assertEqual([residency_manager.ResidentNames()], seen)

    def test_late_step_of_a_paused_planner_is_ignored(self) -> None:
        """The state behind the step may be minutes old when it arrives."""
        self.build()
        self.start()
        step_id = (self.clock.wall_ms() - 31_000) * 1_000
        step = messages_residency.PlacementStep(step_id, "load", "m0", "", 2)
        self.manager.on_message("vm9", step)
        self.clock.advance(5_000)
        self.assertEqual([], self.orders("load"))

    def test_last_copy_is_loaded_elsewhere_before_leaving(self) -> None:
        """A leaving VM must not take the last copy with it."""
        self.build()
        self.engine.hold("m0", 40)
        self.targets = ["vm2"]
        self.start()
        done = []
        self.manager.start_handover(lambda: done.append(self.clock.now_ms()))
        self.clock.advance(10_000)
        self.assertEqual([], done)
        asked = messages_residency.EnsureResident("m0", False)
        self.assertIn(("vm2", asked), self.sent)
        self.holders["m0"] = ["vm2"]
        self.clock.advance(3_000)
        self.assertEqual(1, len(done))

    def test_weights_leave_the_kv_reserve_free(self) -> None:
        """Weights that fill the memory would leave no room for requests."""
        self.build()
        self.fleet.configuration = dataclasses.replace(
            self.fleet.configuration,
            fleet=tenant_configuration.FleetSpec(1, 100, 0.5, 0),
        )
        self.manager.set_configuration(self.fleet.configuration)
        self.manager.start_recovery()
        self.manager.ensure("m0", 2)
        self.manager.ensure("m1", 2)
        self.clock.advance(60_000)
        self.assertEqual(("m0",), self.manager.residents.models)
