"""Decision which engine loads which model or adapter next."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from balsamwall.coordination import copy_demand
from balsamwall.coordination import engine_control

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamwall.coordination import demand as demand_module
    from balsamwall.coordination import engine_book
    from balsamwall.gateway import residency_waits

_Kind = engine_control.OrderKind
# All costs and gains are in requests that are delayed.
# Part of the horizon for which the requests of a dropped model are delayed.
DROPPED_PART = 0.8
# Price of a load from the weight store and of one of its permits, beside the
# time that it takes.
STORE_LOAD_COST = 1.2
DISK_LOAD_COST = 0.1
# Dropping one of several copies delays nobody while the others have room.
SPARE_COPY_PART = 0.15
# An unload waits for the requests that run. Nothing uses the place meanwhile.
RUNNING_COST = 3.0
RUNNING_WAIT_S = 2.5
BUSY_COST = 0.3
# Part of the engines that rare models may keep changing.
RARE_PART = 0.45
# A model that was just loaded stays for the requests that wait for it.
MIN_STAY_MS = 800
# Share of the slots below which models are loaded without a request, and the
# gain of such a load: less than that of keeping a model that is asked for.
QUIET_LOAD = 0.1
RESERVE_GAIN = 3.0
# VMs that should have a model at hand.
RESERVE_COPIES = 2


@dataclasses.dataclass(slots=True, frozen=True)
class Plan:
    """Orders for one engine, to be carried out in turn."""

    book: engine_book.EngineBook
    orders: tuple[engine_control.Order, ...]
    cost: float = 0.0
    gain: float = 0.0


class ResidencyPlanner:
    """Plans one change at a time; a pure function of books and demand.

    Load patterns: rare models that are asked for one at a time and share few
    places (the place with the least recent demand gives way), and busy models
    whose demand moves within seconds (they get copies where engines are less
    busy).
    """

    __slots__ = ("_copy_demand", "_demand")

    def __init__(self, demand: demand_module.Demand) -> None:
        self._demand = demand
        self._copy_demand = copy_demand.CopyDemand(demand)

    def needs(
        self,
        books: list[engine_book.EngineBook],
        waiting: dict[residency_waits.WantedModel, int],
    ) -> list[copy_demand.Need]:
        """Return what the engines of a service lack, the greatest first."""
        return self._copy_demand.needs(books, waiting)

    def plan(
        self,
        need: copy_demand.Need,
        books: list[engine_book.EngineBook],
        now_ms: int,
    ) -> Plan | None:
        """Plan the change that meets a need, None if none is worth it."""
        if need.adapter and need.copies:
            return self._plan_adapter(books, need.model, need.adapter)
        if need.copies:
            return self._plan_further_copy(need, books, now_ms)
        return self._plan_first_copy(need, books, now_ms)

    def _plan_first_copy(
        self,
        need: copy_demand.Need,
        books: list[engine_book.EngineBook],
        now_ms: int,
    ) -> Plan | None:
        """Plan the first copy of a model that requests wait for."""
        if any(book.will_hold(need.model) for book in books):
            return None
        changing = sum(1 for book in books if not book.is_idle)
        is_rare = self._copy_demand.is_rare(need.model)
        if is_rare and changing >= max(1, RARE_PART * len(books)):
            return None
        return self._cheapest(books, books, need, now_ms)

    def _plan_further_copy(
        self,
        need: copy_demand.Need,
        books: list[engine_book.EngineBook],
        now_ms: int,
    ) -> Plan | None:
        """Plan one more copy on an engine that stays less busy."""
        used = self._copy_demand.utilisation(books)
        free = [
            book
            for book in books
            if not book.will_hold(need.model)
            and used[book.record.server_id] + need.share < need.worst_load
        ]
        return self._cheapest(free, books, need, now_ms)

    def plan_reserve(
        self, books: list[engine_book.EngineBook], now_ms: int
    ) -> Plan | None:
        """Plan a load of a model that no VM has at hand, while it is quiet.

        A load from the VM's own disk takes a fourth of the time of one from
        the weight store, and needs no permit. The engine goes back to what
        it held, which was chosen for the demand of an earlier time.
        """
        if not books or max(self._loads(books).values()) > QUIET_LOAD:
            return None
        at_hand = collections.Counter(
            name
            for book in books
            for name in book.at_hand | book.coming_models()
        )
        models = list(books[0].spec.models)
        model = min(models, key=lambda name: at_hand[name], default="")
        if not model or at_hand[model] >= RESERVE_COPIES:
            return None
        others = [book for book in books if model not in book.at_hand]
        need = copy_demand.Need(model, RESERVE_GAIN)
        plan = self._cheapest(others, books, need, now_ms)
        return None if plan is None else _restoring(plan)

    def _plan_adapter(
        self,
        books: list[engine_book.EngineBook],
        model: str,
        adapter: str,
    ) -> Plan | None:
        """Plan an adapter on the least busy engine with its base model."""
        if any(book.will_hold(model, adapter) for book in books):
            return None
        loads = self._loads(books)
        in_use = self._demand.adapters_in_use()
        rows = [
            book for book in books if book.is_idle and model in book.models
        ]
        rows.sort(key=lambda book: loads[book.record.server_id])
        load = engine_control.Order(_Kind.LOAD, model, adapter)
        for book in rows:
            if book.fits(load):
                return Plan(book, (load,))
            victim = _oldest_adapter(book, in_use)
            if victim is not None:
                unload = engine_control.Order(_Kind.UNLOAD, *victim)
                return Plan(book, (unload, load))
        return None

    def _cheapest(
        self,
        candidates: list[engine_book.EngineBook],
        books: list[engine_book.EngineBook],
        need: copy_demand.Need,
        now_ms: int,
    ) -> Plan | None:
        """Return the load that costs least, if it costs less than it gains.

        The gain shrinks by a loss for each second until the load is over. A
        model without any copy loses nothing by waiting: the wait is the same
        wherever it is loaded, but for the time that the engines differ in.
        """
        best: tuple[float, float, engine_book.EngineBook, list[str]] | None
        best = None
        model = need.model
        loads = self._loads(candidates)
        copies = _ready_copies(books)
        rate = self._demand.rate(model)
        for book in candidates:
            if not book.is_idle or book.will_hold(model):
                continue
            found = self._victims(book, model, now_ms, copies, need.kept)
            if found is None:
                continue
            cost, victims = found
            delay_s = self._delay_s(book, model, victims)
            is_at_hand = model in book.at_hand
            cost += DISK_LOAD_COST if is_at_hand else STORE_LOAD_COST
            cost += BUSY_COST * loads[book.record.server_id]
            cost += need.lost_per_s * delay_s
            rank = cost + rate * delay_s
            if best is None or rank < best[0]:
                best = (rank, cost, book, victims)
        if best is None or best[1] > need.gain:
            return None
        orders = [
            engine_control.Order(_Kind.UNLOAD, victim) for victim in best[3]
        ]
        orders.append(engine_control.Order(_Kind.LOAD, model))
        return Plan(best[2], tuple(orders), best[1], need.gain)

    def _delay_s(
        self,
        book: engine_book.EngineBook,
        model: str,
        victims: list[str],
    ) -> float:
        """Return the time until a model is loaded."""
        running = self._demand.running()
        delay_s = book.load_ms(model) / 1_000
        if any((book.record.server_id, name) in running for name in victims):
            delay_s += RUNNING_WAIT_S
        return delay_s

    def _victims(
        self,
        book: engine_book.EngineBook,
        model: str,
        now_ms: int,
        copies: collections.Counter[str],
        kept: frozenset[str],
    ) -> tuple[float, list[str]] | None:
        """Return the models that make way, with the cost of dropping them."""
        spec = book.spec.models.get(model)
        if spec is None:
            return None
        missing_mb = spec.weights_mb - book.free_mb()
        if missing_mb <= 0:
            return 0.0, []
        running = self._demand.running()
        costs = sorted(
            (self._drop_cost(book, name, copies, running), name)
            for name in book.models
            if name not in kept
            and now_ms - book.changed_ms.get(name, 0) >= MIN_STAY_MS
        )
        chosen: list[str] = []
        total = 0.0
        for cost, name in costs:
            if missing_mb <= 0:
                break
            chosen.append(name)
            total += cost
            missing_mb -= book.freed_mb(name)
        if missing_mb > 0:
            return None
        return total, chosen

    def _drop_cost(
        self,
        book: engine_book.EngineBook,
        model: str,
        copies: collections.Counter[str],
        running: dict[tuple[str, str], int],
    ) -> float:
        cost = self._demand.rate(model) * copy_demand.HORIZON_S * DROPPED_PART
        if copies[model] > 1:
            cost *= SPARE_COPY_PART
        if running.get((book.record.server_id, model)):
            cost += RUNNING_COST
        return cost

    def _loads(
        self, books: Iterable[engine_book.EngineBook]
    ) -> dict[str, float]:
        running = self._demand.loads()
        return {
            book.record.server_id: running.get(book.record.server_id, 0)
            / max(1, book.spec.slots)
            for book in books
        }


def _restoring(plan: Plan) -> Plan:
    """Return a plan that ends with the models that were there before."""
    *unloads, load = plan.orders
    orders = [*plan.orders]
    if unloads:
        orders.append(engine_control.Order(_Kind.UNLOAD, load.model))
    for unload in unloads:
        orders.append(engine_control.Order(_Kind.LOAD, unload.model))
    return Plan(plan.book, tuple(orders), plan.cost, plan.gain)


def _ready_copies(
    books: Iterable[engine_book.EngineBook],
) -> collections.Counter[str]:
    return collections.Counter(name for book in books for name in book.models)


def _oldest_adapter(
    book: engine_book.EngineBook, in_use: set[tuple[str, str, str]]
) -> tuple[str, str] | None:
    """Return the adapter that was used least recently and is not in use."""
    rows = [
        (book.used_ms.get((model, adapter), 0), model, adapter)
        for model, adapters in book.models.items()
        for adapter in adapters
        if (book.record.server_id, model, adapter) not in in_use
    ]
    if not rows:
        return None
    _, model, adapter = min(rows)
    return model, adapter
