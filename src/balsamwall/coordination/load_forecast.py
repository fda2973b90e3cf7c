"""Forecast when models that are being loaded can be used."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.coordination import engine_control

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamwall.coordination import engine_book

# An unload waits for running requests; most of them end within this time.
UNLOAD_ESTIMATE_MS = 800


def expected_loads(
    books: Iterable[engine_book.EngineBook], now_ms: int
) -> dict[str, int]:
    """Return the time in ms until each model that is on its way is there."""
    found: dict[str, int] = {}
    for book in books:
        for model, due_ms in _loads_of(book, now_ms):
            found[model] = min(due_ms, found.get(model, due_ms))
    return found


def _loads_of(
    book: engine_book.EngineBook, now_ms: int
) -> list[tuple[str, int]]:
    found = []
    due_ms = 0
    if book.loading:
        due_ms = max(0, book.loaded_at_ms - now_ms)
        found.append((book.loading, due_ms))
    for order in book.queue:
        if order.adapter:
            continue
        if order.kind is engine_control.OrderKind.UNLOAD:
            due_ms += UNLOAD_ESTIMATE_MS
        else:
            due_ms += book.load_ms(order.model)
            found.append((order.model, due_ms))
    return found
