"""Decoding of the responses of the store: objects, items and pages."""

from __future__ import annotations

import base64
import binascii
import dataclasses
from typing import Any
from typing import TYPE_CHECKING

import eliot

from balsamwall.infrastructure import key_value_service
from balsamwall.platform import json_fields
from balsamwall.platform import store_revision

if TYPE_CHECKING:
    from balsamwall.infrastructure import http_client


def decode_item(
    fields: dict[str, Any], era: int
) -> key_value_service.KeyValue:
    """Decode an item or event of the store; raise ValueError if invalid."""
    key, number = fields.get("key"), fields.get("revision")
    if type(key) is not str or not store_revision.is_revision(number):
        # The value may hold API keys, which must not be logged.
        raise ValueError(
            "item: expected a string as key and a revision of the store, "
            f"found {str(key)[:80]!r} and a {type(number).__name__}"
        )
    revision = store_revision.StoreRevision(era, number).ordered
    if fields.get("deleted"):
        return key_value_service.KeyValue(key, None, revision)
    try:
        value = base64.b64decode(fields.get("value", ""), validate=True)
    except (TypeError, binascii.Error) as error:
        raise ValueError(f"{key}: {error}") from error
    lease = fields.get("lease", 0)
    lease_id = lease if type(lease) is int else 0
    return key_value_service.KeyValue(key, value, revision, lease_id)


@dataclasses.dataclass(slots=True, frozen=True)
class StorePage:
    """Items or events of one response, with the store's revision.

    All revisions are ordered across the eras of the store.
    """

    items: tuple[key_value_service.KeyValue, ...]
    revision: int
    is_truncated: bool = False  # whether further pages follow
    has_rows: bool = False  # whether there were any, readable or not


def read_object(answer: http_client.HttpResponse) -> dict[str, Any] | None:
    """Decode the JSON object of a response; None on error or bad status."""
    if answer.status != 200:
        return None
    try:
        return json_fields.decode_object(answer.body)
    except json_fields.DocumentError as error:
        eliot.log_message("store_answer_unreadable", reason=str(error)[:200])
        return None


def read_page(
    answer: http_client.HttpResponse, rows_field: str, known_era: int
) -> StorePage | None:
    """Decode a page of items or events; None on error or bad status.

    A response that states no era belongs to the known one. Rows that can't be
    decoded are logged and left out.
    """
    document = read_object(answer)
    if document is None:
        return None
    rows = document.get(rows_field, [])
    revision = document.get("current_rev")
    if type(rows) is not list or not store_revision.is_revision(revision):
        eliot.log_message(
            "store_answer_unreadable",
            reason=f"{rows_field} or current_rev is missing or invalid",
        )
        return None
    era = store_revision.read_era(answer)
    if era is None:
        era = known_era
    decoded = [_decode_or_log(row, era) for row in rows]
    items = tuple(item for item in decoded if item is not None)
    is_truncated = bool(document.get("truncated"))
    ordered = store_revision.StoreRevision(era, revision).ordered
    return StorePage(items, ordered, is_truncated, bool(rows))


def _decode_or_log(row: object, era: int) -> key_value_service.KeyValue | None:
    """Decode an item; log an invalid one and return None."""
    try:
        if type(row) is not dict:
            raise ValueError(
                f"item: expected a JSON object, found {type(row).__name__}"
            )
        return decode_item(row, era)
    except ValueError as error:
        eliot.log_message("store_item_unreadable", reason=str(error)[:200])
        return None
