"""Decision which engine loads which model or adapter next."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from balsamwall.coordination import engine_control

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamwall.coordination import demand as demand_module
    from balsamwall.coordination import engine_book
    from balsamwall.gateway import residency_waits

_Kind = engine_control.OrderKind
# All costs and gains are in requests that are delayed.
# Time for which a change is weighed; busy models change within seconds.
HORIZON_S = 4.0
# A backlog that grows lasts until the demand moves on, so that one more copy
# is weighed over a longer time. An engine that is only busy may be idle before
# the copy is there.
SPREAD_HORIZON_S = 8.0
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
# Waiting requests and the time that they have waited add to a gain, so that
# rare models get their turn. Both are bounded: a backlog must not push out a
# model that is asked for more often, whose own backlog would follow.
MAX_WAITING_GAIN = 2.0
MAX_WAITED_GAIN_S = 2.5
# Models that are asked for less than this use a part of the engines' time for
# changes only; the rest is left for models whose demand rises.
RARE_RATE = 1.5
RARE_PART = 0.45
# A model that was just loaded stays for the requests that wait for it.
MIN_STAY_MS = 800
# Share of the slots below which models are loaded without a request, and the
# gain of such a load: less than that of keeping a model that is asked for.
QUIET_LOAD = 0.1
RESERVE_GAIN = 3.0
# VMs that should have a model at hand.
RESERVE_COPIES = 2
# Utilisation above which a model gets one more copy, and the one at which
# every request is delayed. Arrivals come in groups, so that the delayed share
# grows with the square of the utilisation.
SPREAD_LOAD = 0.75
FULL_DELAY_LOAD = 0.8
# Utilisation above which more requests come than an engine can answer.
BACKLOG_LOAD = 1.4
# A model that nobody has asked for in this time is not missed at once.
RECENT_USE_MS = 5_000
MAX_DELAY = 16.0
# A request that a full engine delays is still served, unlike one whose model
# has no copy, so that it counts as a part of one.
SPREAD_PART = 0.6
# Slots are taken for the whole time of a request and delay nobody until all
# are taken, so that their share counts less than that of the prompts.
SLOT_WEIGHT = 0.8


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

    __slots__ = ("_demand",)

    def __init__(self, demand: demand_module.Demand) -> None:
        self._demand = demand

    def plan_model(
        self,
        books: list[engine_book.EngineBook],
        wanted: residency_waits.Wanted,
        count: int,
        now_ms: int,
    ) -> Plan | None:
        """Plan the first copy of a model that requests wait for."""
        changing = sum(1 for book in books if not book.is_idle)
        is_rare = self._demand.rate(wanted.model) < RARE_RATE
        if is_rare and changing >= max(1, RARE_PART * len(books)):
            return None
        gain = self.gain(wanted, count)
        return self._cheapest(books, books, wanted.model, now_ms, gain)

    def gain(self, wanted: residency_waits.Wanted, count: int) -> float:
        """Return the gain of a first copy."""
        gain = min(MAX_WAITING_GAIN, float(max(1, count)))
        gain += self._demand.rate(wanted.model) * HORIZON_S
        waited_s = self._demand.waited_ms(wanted) / 1_000
        return gain + min(MAX_WAITED_GAIN_S, waited_s)

    def plan_spread(
        self, books: list[engine_book.EngineBook], now_ms: int
    ) -> Plan | None:
        """Plan one more copy of the model that gains most by it."""
        holders = _holders(books)
        used = self._utilisation(books, holders)
        pressures = []
        for model, rows in holders.items():
            saved_per_s = self._saved_by_spread(model, rows, used)
            if saved_per_s > 0:
                pressures.append((saved_per_s, model))
        for saved_per_s, model in sorted(pressures, reverse=True):
            share = self._work(model, holders[model][0]) / (
                len(holders[model]) + 1
            )
            worst = max(used[book.record.server_id] for book in holders[model])
            free = [
                book
                for book in books
                if not book.will_hold(model)
                and used[book.record.server_id] + share < worst
            ]
            kept = self._kept_from_spread(holders, worst)
            if worst < BACKLOG_LOAD:
                gain = saved_per_s * HORIZON_S
                lost_per_s = self._demand.rate(model)
            else:
                gain = saved_per_s * SPREAD_HORIZON_S
                lost_per_s = saved_per_s
            plan = self._cheapest(
                free, books, model, now_ms, gain, lost_per_s, kept
            )
            if plan is not None:
                return plan
        return None

    def _kept_from_spread(
        self, holders: dict[str, list[engine_book.EngineBook]], worst: float
    ) -> frozenset[str]:
        """Return the models whose only copy does not make way.

        A request at a full engine is late, one without a copy is lost. Only a
        backlog that grows is worth the copy of a model that is asked for
        rarely.
        """
        kept = set()
        for name, rows in holders.items():
            if len(rows) > 1:
                continue
            is_busy = self._demand.rate(name) >= RARE_RATE
            is_wanted = self._demand.idle_ms(name) < RECENT_USE_MS
            if is_busy or (is_wanted and worst < BACKLOG_LOAD):
                kept.add(name)
        return frozenset(kept)

    def _saved_by_spread(
        self,
        model: str,
        rows: list[engine_book.EngineBook],
        used: dict[str, float],
    ) -> float:
        """Return the requests per second that one more copy helps."""
        count = len(rows)
        work = self._work(model, rows[0])
        relief = work / count - work / (count + 1)
        before = sum(used[book.record.server_id] for book in rows) / count
        if before < SPREAD_LOAD:
            return 0.0
        saved = _delay(before) - _delay(before - relief)
        # No more requests are saved than there are.
        saved = min(1.0, saved)
        return self._demand.rate(model) * saved * SPREAD_PART

    def _work(self, model: str, book: engine_book.EngineBook) -> float:
        """Return the engines that a model keeps busy.

        Either the time for prompts or the slots bind first.
        """
        slots = max(1, book.spec.slots)
        by_slots = self._demand.open_requests(model) / slots
        return max(self._demand.work(model), SLOT_WEIGHT * by_slots)

    def _utilisation(
        self,
        books: list[engine_book.EngineBook],
        holders: dict[str, list[engine_book.EngineBook]],
    ) -> dict[str, float]:
        """Return the share of time in which each engine reads prompts."""
        return {
            book.record.server_id: sum(
                self._work(model, book) / len(holders[model])
                for model in book.coming_models()
            )
            for book in books
        }

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
        plan = self._cheapest(others, books, model, now_ms, RESERVE_GAIN)
        return None if plan is None else _restoring(plan)

    def plan_adapter(
        self,
        books: list[engine_book.EngineBook],
        model: str,
        adapter: str,
    ) -> Plan | None:
        """Plan an adapter on the least busy engine with its base model."""
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
        model: str,
        now_ms: int,
        gain: float,
        lost_per_s: float = 0.0,
        kept: frozenset[str] = frozenset(),
    ) -> Plan | None:
        """Return the load that costs least, if it costs less than it gains.

        The gain shrinks by a loss for each second until the load is over. A
        model without any copy loses nothing by waiting: the wait is the same
        wherever it is loaded, but for the time that the engines differ in.
        """
        best: tuple[float, float, engine_book.EngineBook, list[str]] | None
        best = None
        loads = self._loads(candidates)
        copies = _ready_copies(books)
        rate = self._demand.rate(model)
        for book in candidates:
            if not book.is_idle or book.will_hold(model):
                continue
            found = self._victims(book, model, now_ms, copies, kept)
            if found is None:
                continue
            cost, victims = found
            delay_s = self._delay_s(book, model, victims)
            is_at_hand = model in book.at_hand
            cost += DISK_LOAD_COST if is_at_hand else STORE_LOAD_COST
            cost += BUSY_COST * loads[book.record.server_id]
            cost += lost_per_s * delay_s
            rank = cost + rate * delay_s
            if best is None or rank < best[0]:
                best = (rank, cost, book, victims)
        if best is None or best[1] > gain:
            return None
        orders = [
            engine_control.Order(_Kind.UNLOAD, victim) for victim in best[3]
        ]
        orders.append(engine_control.Order(_Kind.LOAD, model))
        return Plan(best[2], tuple(orders), best[1], gain)

    def _delay_s(
        self,
        book: engine_book.EngineBook,
        model: str,
        victims: list[str],
    ) -> float:
        """Return the time until a model is loaded."""
        spec = book.spec.models[model]
        running = self._demand.running()
        is_at_hand = model in book.at_hand
        delay_s = (spec.disk_ms if is_at_hand else spec.load_ms) / 1_000
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
        cost = self._demand.rate(model) * HORIZON_S * DROPPED_PART
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


def _delay(utilisation: float) -> float:
    """Return the delay of a request, 1.0 at full delay.

    Beyond it a backlog grows, so that relief counts there as well.
    """
    return min(MAX_DELAY, (utilisation / FULL_DELAY_LOAD) ** 2)


def _restoring(plan: Plan) -> Plan:
    """Return a plan that ends with the models that were there before."""
    *unloads, load = plan.orders
    orders = [*plan.orders]
    if unloads:
        orders.append(engine_control.Order(_Kind.UNLOAD, load.model))
    for unload in unloads:
        orders.append(engine_control.Order(_Kind.LOAD, unload.model))
    return Plan(plan.book, tuple(orders), plan.cost, plan.gain)


def _holders(
    books: Iterable[engine_book.EngineBook],
) -> dict[str, list[engine_book.EngineBook]]:
    found: dict[str, list[engine_book.EngineBook]] = {}
    for book in books:
        for model in book.coming_models():
            found.setdefault(model, []).append(book)
    return found


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
