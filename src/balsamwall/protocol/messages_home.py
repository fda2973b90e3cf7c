"""Messages between the key homes of a service.

A key home stores the idempotency records of a share of the keys.
"""

from __future__ import annotations

from typing import Any

from balsamwall.protocol import message


@message.register(80)
class HomeJoin(message.Message):
    """Request that a member accepts the sender as a new key home."""

    service: str
    map_revision: int
    joiner: str
    joiner_incarnation: int


@message.register(81)
class HomeGrant(message.Message):
    """Accept a joiner.

    From then on the member refuses the keys that move to the joiner.
    """

    service: str
    map_revision: int
    joiner: str
    complete_since_ms: int
    record_batches: int


@message.register(82)
class HomeRefuse(message.Message):
    """Refuse a joiner, with the reason as text."""

    service: str
    map_revision: int
    reason: str


@message.register(83)
class HomeRecords(message.Message):
    """Transfer one batch of key records to their new home."""

    service: str
    map_revision: int
    batch: int
    batches: int
    rows: list[list[Any]]


@message.register(84)
class HomeRecordsReceived(message.Message):
    """Acknowledge one batch of transferred records."""

    service: str
    map_revision: int
    batch: int


@message.register(85)
class HomeMapChanged(message.Message):
    """Carry the home map of a service as it was stored."""

    service: str
    map_revision: int
    content: bytes
