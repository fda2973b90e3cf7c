"""Messages between the key homes of a service."""

from __future__ import annotations

from typing import Any

from balsamwall.protocol import message


@message.register(80)
class HomeJoin(message.Message):
    """Ask a member to accept the sender as a new key home."""

    service: str
    map_revision: int
    joiner: str
    joiner_incarnation: int


@message.register(81)
class HomeGrant(message.Message):
    """Accept a joiner; keys that will be its own are refused from now."""

    service: str
    map_revision: int
    joiner: str
    complete_since_ms: int
    record_batches: int


@message.register(82)
class HomeRefuse(message.Message):
    """Refuse a joiner."""

    service: str
    map_revision: int
    reason: str


@message.register(83)
class HomeRecords(message.Message):
    """Transfer records of keys to their new home."""

    service: str
    map_revision: int
    batch: int
    batches: int
    rows: list[list[Any]]


@message.register(84)
class HomeRecordsReceived(message.Message):
    """Confirm a batch of transferred records."""

    service: str
    map_revision: int
    batch: int


@message.register(85)
class HomeMapChanged(message.Message):
    """Carry the map of a service as it was written."""

    service: str
    map_revision: int
    content: bytes
