"""Log line that shows what the engines hold and what is asked for."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamwall.coordination import demand as demand_module
    from balsamwall.coordination import engine_book
    from balsamwall.logs import decision_log

MAX_LOGGED_MODELS = 12


def write(
    log: decision_log.DecisionLog,
    books: Iterable[engine_book.EngineBook],
    demand: demand_module.Demand,
) -> None:
    """Write the load, the models and the open orders of each engine."""
    loads = demand.loads()
    log.write(
        "residency",
        engines={
            book.record.server_id: [
                loads.get(book.record.server_id, 0),
                *sorted(book.models),
                f"+{book.loading}" if book.loading else "",
                len(book.queue),
            ]
            for book in books
        },
        rates={
            model: round(rate, 1)
            for model, rate in demand.top_rates(MAX_LOGGED_MODELS)
        },
        queued=demand.queued(),
        waiting={
            f"{wanted.model}/{wanted.adapter}": count
            for wanted, count in demand.waiting().items()
        },
    )
