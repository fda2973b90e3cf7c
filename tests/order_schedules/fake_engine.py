"""Engine that keeps its own account and checks the worst arrival."""

from __future__ import annotations

import dataclasses

from balsamwall.backend import backend_server
from balsamwall.results import result_code

CODE = result_code.ResultCode


@dataclasses.dataclass(slots=True)
class Flight:
    """Order that was sent and has not arrived."""

    order: backend_server.EngineOrder
    sent_ms: int
    incarnation: int


@dataclasses.dataclass(slots=True)
class Held:
    """Copy in the memory of the engine."""

    item: backend_server.EngineOrder
    state: str


class FakeEngine:
    """Engine with lost, late and repeated orders and answers."""

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
        self.flights = []
        self.kv = {}
        self.is_up = True
        self.life = 0
        self.incarnation = 0
        self.deliver = None
        self.fault_rate = 0.0
        self.report = lambda kind, detail: None
        self.on_loss = lambda vm, name, is_fault, sent_ms: None
        self.is_in_use = lambda name: False
        self.loads_started = 0

    def order(self, order, callback):
        flight = Flight(order, self.clock.now_ms(), self.incarnation)
        self.flights.append(flight)
        deliver, roll = self.deliver, self.rng.random()
        if roll < self.fault_rate * 0.4:  # lost
            self.clock.call_later(self.max_delay_ms, self.drop, flight)
        else:
            late = roll < self.fault_rate * 0.8
            delay = self.rng.randint(1, self.max_delay_ms if late else 40)
            self.clock.call_later(delay, self.arrive, flight, callback)
        if roll > 1 - self.fault_rate * 0.2 and order.action == "load":
            again = Flight(order, flight.sent_ms, self.incarnation)
            self.flights.append(again)
            delay = self.rng.randint(1, self.max_delay_ms)
            self.clock.call_later(delay, self.arrive, again, callback)
        if self.rng.random() < 0.5:  # the client gives up without an answer
            unknown = CODE.ORDER_OUTCOME_UNKNOWN
            self.clock.call_later(5_000, deliver, callback, unknown)
        self.check_memory()

    def drop(self, flight):
        if flight in self.flights:
            self.flights.remove(flight)

    def arrive(self, flight, callback):
        if flight not in self.flights:
            return
        self.flights.remove(flight)
        if not self.is_up:
            return
        code = self.apply(flight)
        self.check_memory()
        if self.rng.random() < self.fault_rate:
            return
        delay = self.rng.randint(1, 40)
        if self.rng.random() < self.fault_rate:
            delay = self.rng.randint(1, 8_000)
        self.clock.call_later(delay, self.deliver, callback, code)
        if self.rng.random() < self.fault_rate:
            self.clock.call_later(delay + 500, self.deliver, callback, code)

    def apply(self, flight):
        order = flight.order
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
            self.held[key] = Held(order, "loading")
            self.open_orders.add(order.order_id)
            self.loads_started += 1
            duration = self.rng.randint(300, 4_000)
            fails = self.rng.random() < self.fault_rate * 0.3
            self.clock.call_later(
                duration, self.end_load, key, order, self.life, fails
            )
        elif order.action == "unload" and key in self.held:
            self.begin_unload(flight, key)
        return CODE.OK

    def begin_unload(self, flight, key):
        order = flight.order
        held = self.held[key]
        if held.state != "ready":
            return
        is_own = flight.incarnation == self.incarnation
        others = [k for k in self.held if k[0] == key[0] and k != key]
        if is_own and not others:
            if self.is_in_use(order.name):
                self.report("unload in use", order.name)
            for other in self.held.values():
                if other.item.base == order.name:
                    self.report("base under adapter", order.name)
        held.state = "unloading"
        self.open_orders.add(order.order_id)
        self.on_loss(self.vm, order.name, not is_own, flight.sent_ms)
        duration = self.rng.randint(20, 400)
        self.clock.call_later(duration, self.end_unload, key, order, self.life)

    def end_load(self, key, order, life, fails):
        if life != self.life:
            return
        self.open_orders.discard(order.order_id)
        held = self.held.get(key)
        if held is not None and held.state == "loading":
            held.state = "ready"
            if fails:
                del self.held[key]

    def end_unload(self, key, order, life):
        if life == self.life:
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
                if not held.item.base or self.is_ready(held.item.base):
                    return self.is_up
        return False

    def used(self):
        weights = sum(h.item.memory_bytes for h in self.held.values())
        return weights + sum(self.kv.values())

    def check_memory(self):
        """Add every load that could still arrive to what is used."""
        coming = {}
        for flight in self.flights:
            order = flight.order
            if order.action != "load":
                continue
            if self.fence_mode != "ignored" and order.fence < self.fence:
                continue
            key = (order.name, order.version)
            if key not in self.held:
                coming[key] = order.memory_bytes
        worst = self.used() + sum(coming.values())
        if worst > self.capacity:
            self.report("memory", f"{self.vm} {worst} of {self.capacity}")

    def crash(self, down_ms):
        lost = {key[0] for key in self.held}
        self.held.clear()
        self.kv.clear()
        self.open_orders.clear()
        self.life += 1
        self.is_up = False
        if self.fence_mode == "reset":
            self.fence = 0
            self.flights.clear()
        for name in lost:
            self.on_loss(self.vm, name, True, 0)
        self.clock.call_later(down_ms, self.come_up)

    def come_up(self):
        self.is_up = True

    def listing(self, callback):
        deliver = self.deliver
        if self.rng.random() < self.fault_rate * 0.3:
            if self.rng.random() < 0.5:
                self.clock.call_later(50, deliver, callback, None)
            return
        late = self.rng.random() < self.fault_rate * 0.3
        total = self.rng.randint(1, 5_000 if late else 20)
        before = self.rng.randint(0, total)
        self.clock.call_later(
            before, self.read, deliver, callback, total - before
        )

    def read(self, deliver, callback, delay):
        listing = None
        if self.is_up:
            residents = tuple(
                backend_server.Resident(
                    held.item.name,
                    held.item.kind,
                    held.item.version,
                    held.item.base,
                    held.item.memory_bytes,
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
