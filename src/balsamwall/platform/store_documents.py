"""Decoding of the responses of the store: objects, items and pages."""

from __future__ import annotations

import base64
import binascii
import dataclasses
from typing import Any
from typing import TYPE_CHECKING

import eliot

from balsamwall.infrastructure import key_value_service
from balsamwall.platform import documents

if TYPE_CHECKING:
    from balsamwall.infrastructure import http_client


def decode_item(fields: dict[str, Any]) -> key_value_service.KeyValue:
    """Decode an item or event of the store; raise ValueError if invalid."""
    key, revision = fields.get("key"), fields.get("revision")
    if type(key) is not str or type(revision) is not int:
        # The value may hold API keys, which must not be logged.
        raise ValueError(
            "item: expected a string as key and an integer as revision, found "
            f"{str(key)[:80]!r} and a revision of {type(revision).__name__}"
        )
    if fields.get("deleted"):
        return key_value_service.KeyValue(key, None, revision)
    try:
        value = base64.b64decode(fields.get("value", ""), validate=True)
    except (TypeError, binascii.Error) as error:
        raise ValueError(f"{key}: {error}") from error
    lease = fields.get("lease", 0)
    lease_id = lease if type(lease) is int else 0
    return key_value_service.KeyValue(key, value, revision, lease_id)


# Response header that rises each time the store is restored from a copy.
ERA_FIELD = "store-era"
# Era of a store that states none.
NO_ERA = 0
MAX_ERA_DIGITS = 15


def read_era(answer: http_client.HttpResponse) -> int:
    """Return the era of the store that a response states."""
    text = answer.headers.get(ERA_FIELD, "")
    is_number = text.isascii() and text.isdigit()
    if not is_number or len(text) > MAX_ERA_DIGITS:
        return NO_ERA
    return int(text)


@dataclasses.dataclass(slots=True, frozen=True)
class StorePage:
    """Items or events of one response, with the store's revision."""

    items: tuple[key_value_service.KeyValue, ...]
    revision: int
    era: int = NO_ERA
    is_truncated: bool = False  # whether further pages follow
    has_rows: bool = False  # whether there were any, readable or not


def read_object(answer: http_client.HttpResponse) -> dict[str, Any] | None:
    """Decode the JSON object of a response; None on error or bad status."""
    if answer.status != 200:
        return None
    try:
        return documents.decode_object(answer.body)
    except documents.DocumentError as error:
        eliot.log_message("store_answer_unreadable", reason=str(error)[:200])
        return None


def read_page(
    answer: http_client.HttpResponse, rows_field: str
) -> StorePage | None:
    """Decode a page of items or events; None on error or bad status.

    Rows that can't be decoded are logged and left out.
    """
    document = read_object(answer)
    if document is None:
        return None
    rows = document.get(rows_field, [])
    revision = document.get("current_rev")
    if type(rows) is not list or type(revision) is not int:
        eliot.log_message(
            "store_answer_unreadable",
            reason=f"{rows_field} or current_rev is missing or invalid",
        )
        return None
    decoded = [_decode_or_log(row) for row in rows]
    items = tuple(item for item in decoded if item is not None)
    is_truncated = bool(document.get("truncated"))
    return StorePage(
        items, revision, read_era(answer), is_truncated, bool(rows)
    )


def _decode_or_log(row: object) -> key_value_service.KeyValue | None:
    """Decode an item; log an invalid one and return None."""
    try:
        if type(row) is not dict:
            raise ValueError(
                f"item: expected a JSON object, found {type(row).__name__}"
            )
        return decode_item(row)
    except ValueError as error:
        eliot.log_message("store_item_unreadable", reason=str(error)[:200])
        return None
