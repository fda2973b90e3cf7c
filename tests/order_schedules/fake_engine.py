"""Engine that checks its memory against all orders in flight."""

from __future__ import annotations

import dataclasses

from balsamwall.backend import backend_server
from balsamwall.results import result_code

CODE = result_code.ResultCode


@dataclasses.dataclass(slots=True)
class PendingOrder:
    """Order in flight."""

    order: backend_server.EngineOrder
    sent_ms: int
    incarnation: int


@dataclasses.dataclass(slots=True)
class HeldCopy:
    """Copy in the memory of the engine, with the order that loaded it."""

    load_order: backend_server.EngineOrder
    state: str


class FakeEngine:
    """Engine that loses, delays and repeats orders and answers."""

    def __init__(self, clock, rng, vm, capacity, fence_mode, max_delay_ms):
        self.clock = clock
        self.rng = rng
        self.vm = vm
        self.capacity = capacity
        self.fence_mode = fence_mode  # "ignored", "kept" or "reset"
        self.max_delay_ms = max_delay_ms
        self.fence = 0
        self.role = "general"
        self.held = {}
        self.open_orders = set()
        self.pending_orders = []
        self.kv = {}
        self.is_up = True
        self.generation = 0
        self.incarnation = 0
        self.deliver = None
        self.fault_rate = 0.0
        self.report = lambda kind, detail: None
        self.on_copy_lost = lambda vm, name, is_fault, sent_ms: None
        self.is_in_use = lambda name: False
        self.on_late_order = lambda vm: None
        self.loads_started = 0

    def order(self, order, callback):
        pending_order = PendingOrder(
            order, self.clock.now_ms(), self.incarnation
        )
        self.pending_orders.append(pending_order)
        deliver, roll = self.deliver, self.rng.random()
        if roll < self.fault_rate * 0.4:  # lost
            self.clock.call_later(
                self.max_delay_ms, self.lose_order, pending_order
            )
        else:
            is_late = roll < self.fault_rate * 0.8
            delay = self.rng.randint(1, self.max_delay_ms if is_late else 40)
            if is_late:
                self.on_late_order(self.vm)
            self.clock.call_later(delay, self.arrive, pending_order, callback)
        if roll > 1 - self.fault_rate * 0.2 and order.action == "load":
            duplicate = PendingOrder(
                order, pending_order.sent_ms, self.incarnation
            )
            self.pending_orders.append(duplicate)
            delay = self.rng.randint(1, self.max_delay_ms)
            self.clock.call_later(delay, self.arrive, duplicate, callback)
        if self.rng.random() < 0.5:  # the client gives up without an answer
            unknown = CODE.ORDER_OUTCOME_UNKNOWN
            self.clock.call_later(5_000, deliver, callback, unknown)
        self.check_memory()

    def lose_order(self, pending_order):
        if pending_order in self.pending_orders:
            self.pending_orders.remove(pending_order)

    def arrive(self, pending_order, callback):
        if pending_order not in self.pending_orders:
            return
        self.pending_orders.remove(pending_order)
        if not self.is_up:
            return
        code = self.apply(pending_order)
        self.check_memory()
        if self.rng.random() < self.fault_rate:
            return
        delay = self.rng.randint(1, 40)
        if self.rng.random() < self.fault_rate:
            delay = self.rng.randint(1, 8_000)
        self.clock.call_later(delay, self.deliver, callback, code)
        if self.rng.random() < self.fault_rate:
            self.clock.call_later(delay + 500, self.deliver, callback, code)

    def apply(self, pending_order):
        order = pending_order.order
        key = (order.name, order.version)
        if self.fence_mode != "ignored" and order.fence < self.fence:
            return CODE.ORDER_STALE_FENCE
        if order.action == "fence":
            self.fence = max(self.fence, order.fence)
        elif order.action == "role":
            self.role = order.name
        elif order.action == "load" and key not in self.held:
            if order.base and not self.is_ready(order.base):
                return CODE.ORDER_REFUSED_MEMORY
            self.held[key] = HeldCopy(order, "loading")
            self.open_orders.add(order.order_id)
            self.loads_started += 1
            duration = self.rng.randint(300, 4_000)
            fails = self.rng.random() < self.fault_rate * 0.3
            self.clock.call_later(
                duration, self.end_load, key, order, self.generation, fails
            )
        elif order.action == "unload" and key in self.held:
            self.begin_unload(pending_order, key)
        return CODE.OK

    def begin_unload(self, pending_order, key):
        order = pending_order.order
        held = self.held[key]
        if held.state != "ready":
            return
        is_own = pending_order.incarnation == self.incarnation
        others = [k for k in self.held if k[0] == key[0] and k != key]
        if is_own and not others:
            if self.is_in_use(order.name):
                self.report("unload in use", order.name)
            for other in self.held.values():
                if other.load_order.base == order.name:
                    self.report("base under adapter", order.name)
        held.state = "unloading"
        self.open_orders.add(order.order_id)
        self.on_copy_lost(
            self.vm, order.name, not is_own, pending_order.sent_ms
        )
        duration = self.rng.randint(20, 400)
        self.clock.call_later(
            duration, self.end_unload, key, order, self.generation
        )

    def end_load(self, key, order, generation, fails):
        if generation != self.generation:
            return
        self.open_orders.discard(order.order_id)
        held = self.held.get(key)
        if held is not None and held.state == "loading":
            held.state = "ready"
            if fails:
                del self.held[key]

    def end_unload(self, key, order, generation):
        if generation == self.generation:
            self.open_orders.discard(order.order_id)
            self.held.pop(key, None)

    def is_ready(self, name):
        return any(
            key[0] == name and held.state == "ready"
            for key, held in self.held.items()
        )

    def is_serving(self, name):
        for key, held in self.held.items():
            if key[0] == name and held.state == "ready":
                if not held.load_order.base or self.is_ready(
                    held.load_order.base
                ):
                    return self.is_up
        return False

    def used(self):
        weights = sum(h.load_order.memory_bytes for h in self.held.values())
        return weights + sum(self.kv.values())

    def check_memory(self):
        """Report a violation if loads in flight could exceed the capacity."""
        pending_bytes = {}
        for pending_order in self.pending_orders:
            order = pending_order.order
            if order.action != "load":
                continue
            if self.fence_mode != "ignored" and order.fence < self.fence:
                continue
            key = (order.name, order.version)
            if key not in self.held:
                pending_bytes[key] = order.memory_bytes
        worst = self.used() + sum(pending_bytes.values())
        if worst > self.capacity:
            self.report("memory", f"{self.vm} {worst} of {self.capacity}")

    def crash(self, down_ms):
        lost = {key[0] for key in self.held}
        self.held.clear()
        self.kv.clear()
        self.open_orders.clear()
        self.generation += 1
        self.is_up = False
        if self.fence_mode == "reset":
            self.fence = 0
            self.pending_orders.clear()
        for name in lost:
            self.on_copy_lost(self.vm, name, True, 0)
        self.clock.call_later(down_ms, self.restart)

    def restart(self):
        self.is_up = True

    def listing(self, callback):
        deliver = self.deliver
        if self.rng.random() < self.fault_rate * 0.3:
            if self.rng.random() < 0.5:
                self.clock.call_later(50, deliver, callback, None)
            return
        is_late = self.rng.random() < self.fault_rate * 0.3
        total = self.rng.randint(1, 5_000 if is_late else 20)
        before = self.rng.randint(0, total)
        self.clock.call_later(
            before, self.read, deliver, callback, total - before
        )

    def read(self, deliver, callback, delay):
        listing = None
        if self.is_up:
            residents = tuple(
                backend_server.Resident(
                    held.load_order.name,
                    held.load_order.kind,
                    held.load_order.version,
                    held.load_order.base,
                    held.load_order.memory_bytes,
                    held.state,
                )
                for held in self.held.values()
            )
            listing = backend_server.EngineListing(
                self.capacity,
                self.used(),
                self.fence,
                self.fence_mode != "ignored",
                self.role,
                residents,
                tuple(sorted(self.open_orders)),
            )
        self.clock.call_later(delay, deliver, callback, listing)

    def load(self, callback):
        callback(None)
