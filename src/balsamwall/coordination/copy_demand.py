"""Decision which models gain most by one more copy."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.coordination import demand as demand_module
    from balsamwall.coordination import engine_book
    from balsamwall.gateway import residency_waits

# Gains are in requests that are delayed.
# Time for which a change is weighed; busy models change within seconds.
HORIZON_S = 4.0
# A backlog that grows lasts until the demand moves on, so that one more copy
# is weighed over a longer time. An engine that is only busy may be idle before
# the copy is there.
SPREAD_HORIZON_S = 8.0
# Waiting requests and the time that they have waited add to a gain, so that
# rare models get their turn. Both are bounded: a backlog must not push out a
# model that is asked for more often, whose own backlog would follow.
MAX_WAITING_GAIN = 2.0
MAX_WAITED_GAIN_S = 2.5
# Models that are asked for less than this use a part of the engines' time for
# changes only; the rest is left for models whose demand rises.
RARE_RATE = 1.5
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
class Need:
    """Model or adapter that requests wait for, or that has too few copies."""

    model: str
    gain: float
    adapter: str = ""
    # Copies that there are, with the utilisation of the busiest of them.
    copies: int = 0
    worst_load: float = 0.0
    # Work that one more copy takes over, as a share of an engine.
    share: float = 0.0
    # Part of the gain that is lost in each second until the copy is there.
    lost_per_s: float = 0.0
    # Models that do not make way for it.
    kept: frozenset[str] = frozenset()


class CopyDemand:
    """Ranks first copies and further copies in one order.

    Load pattern: many rare models without a copy while busy models queue at
    full engines. An idle engine goes to whichever gains more.
    """

    __slots__ = ("_demand",)

    def __init__(self, demand: demand_module.Demand) -> None:
        self._demand = demand

    def needs(
        self,
        books: list[engine_book.EngineBook],
        waiting: dict[residency_waits.WantedModel, int],
    ) -> list[Need]:
        """Return what the engines of a service lack, the greatest first."""
        holders = _holders(books)
        found = [
            self._first_copy(wanted, count, holders)
            for wanted, count in waiting.items()
        ]
        found += self._further_copies(books, holders)
        return sorted(found, key=lambda need: need.gain, reverse=True)

    def is_rare(self, model: str) -> bool:
        """Tell whether a model is asked for rarely."""
        return self._demand.rate(model) < RARE_RATE

    def _first_copy(
        self,
        wanted: residency_waits.WantedModel,
        count: int,
        holders: dict[str, list[engine_book.EngineBook]],
    ) -> Need:
        gain = min(MAX_WAITING_GAIN, float(max(1, count)))
        gain += self._demand.rate(wanted.model) * HORIZON_S
        waited_s = self._demand.waited_ms(wanted) / 1_000
        gain += min(MAX_WAITED_GAIN_S, waited_s)
        copies = len(holders.get(wanted.model, ()))
        return Need(wanted.model, gain, wanted.adapter, copies)

    def _further_copies(
        self,
        books: list[engine_book.EngineBook],
        holders: dict[str, list[engine_book.EngineBook]],
    ) -> list[Need]:
        used = self._utilisation(books, holders)
        saved = {
            model: self._saved_by_spread(model, rows, used)
            for model, rows in holders.items()
        }
        pressed = [model for model in holders if saved[model] > 0]
        if not pressed:
            return []
        kept = {
            is_backlog: self._kept_from_spread(holders, is_backlog)
            for is_backlog in (False, True)
        }
        found = []
        for model in pressed:
            rows, saved_per_s = holders[model], saved[model]
            worst = max(used[book.record.server_id] for book in rows)
            is_backlog = worst >= BACKLOG_LOAD
            horizon_s = SPREAD_HORIZON_S if is_backlog else HORIZON_S
            found.append(
                Need(
                    model,
                    saved_per_s * horizon_s,
                    copies=len(rows),
                    worst_load=worst,
                    share=self._work(model, rows[0]) / (len(rows) + 1),
                    lost_per_s=(
                        saved_per_s if is_backlog else self._demand.rate(model)
                    ),
                    kept=kept[is_backlog],
                )
            )
        return found

    def _kept_from_spread(
        self,
        holders: dict[str, list[engine_book.EngineBook]],
        is_backlog: bool,
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
            is_wanted = self._demand.idle_ms(name) < RECENT_USE_MS
            if not self.is_rare(name) or (is_wanted and not is_backlog):
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

    def utilisation(
        self, books: list[engine_book.EngineBook]
    ) -> dict[str, float]:
        """Return the share of time in which each engine reads prompts."""
        return self._utilisation(books, _holders(books))

    def _utilisation(
        self,
        books: list[engine_book.EngineBook],
        holders: dict[str, list[engine_book.EngineBook]],
    ) -> dict[str, float]:
        used = {book.record.server_id: 0.0 for book in books}
        for model, rows in holders.items():
            share = self._work(model, rows[0]) / len(rows)
            for book in rows:
                used[book.record.server_id] += share
        return used


def _delay(utilisation: float) -> float:
    """Return the delay of a request, 1.0 at full delay.

    Beyond it a backlog grows, so that relief counts there as well.
    """
    return min(MAX_DELAY, (utilisation / FULL_DELAY_LOAD) ** 2)


def _holders(
    books: list[engine_book.EngineBook],
) -> dict[str, list[engine_book.EngineBook]]:
    found: dict[str, list[engine_book.EngineBook]] = {}
    for book in books:
        for model in book.coming_models():
            found.setdefault(model, []).append(book)
    return found
