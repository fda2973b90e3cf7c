"""Batch key records for a transfer between homes."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamwall.idempotency import key_record

MAX_BATCH_BYTES = 1024 * 1024
_ROW_OVERHEAD_BYTES = 200


def split(records: Iterable[key_record.KeyRecord]) -> list[list[list[Any]]]:
    """Return rows in batches of about `MAX_BATCH_BYTES` at most.

    There is at least one batch, and a larger record gets its own.
    """
    batches: list[list[list[Any]]] = [[]]
    size_bytes = 0
    for record in records:
        row_bytes = _ROW_OVERHEAD_BYTES + record.answer_bytes
        if batches[-1] and size_bytes + row_bytes > MAX_BATCH_BYTES:
            batches.append([])
            size_bytes = 0
        batches[-1].append(record.to_row())
        size_bytes += row_bytes
    return batches
