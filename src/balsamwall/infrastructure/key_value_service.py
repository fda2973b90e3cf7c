"""Interface of the platform's key-value service."""

from __future__ import annotations

import dataclasses
from typing import Protocol
from typing import TYPE_CHECKING

from returns.result import Result

from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_VALUE_BYTES = 1_000_000


@dataclasses.dataclass(slots=True, frozen=True)
class KeyValue:
    """Value of a key at a revision; None for a deleted key."""

    key: str
    value: bytes | None
    # Revision of the last change of the key, greater for a later change also
    # after the service was restored from a copy.
    revision: int
    lease_id: int = 0
    # Whether it was first read in a restored service, so that it may be older
    # than what was known before.
    is_restored: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class StoreUpdate:
    """Changes between two revisions of the service, the later included."""

    after_revision: int
    revision: int
    items: tuple[KeyValue, ...]
    is_complete: bool = True  # whether the items hold all relevant changes


RevisionResult = Result[int, result_code.ResultCode]
GetResult = Result[KeyValue | None, result_code.ResultCode]
ListResult = Result[tuple[KeyValue, ...], result_code.ResultCode]
LeaseResult = Result[int, result_code.ResultCode]


class Watch(Protocol):
    """Handle of an active watch."""

    def cancel(self) -> None:
        """Stop the watch; do nothing if it is already cancelled."""


class KeyValueService(Protocol):
    """Small consistent store; each callback is called exactly once.

    A failure is PLATFORM_UNAVAILABLE (a read failed, or a write had no
    effect), PLATFORM_OUTCOME_UNKNOWN (a write that may have taken effect),
    COMPARE_FAILED, or BODY_TOO_LARGE for a value over MAX_VALUE_BYTES.
    """

    def get(self, key: str, callback: Callable[[GetResult], None]) -> None:
        """Read a key; call back with None if it is absent."""

    def get_prefix(
        self, prefix: str, callback: Callable[[ListResult], None]
    ) -> None:
        """Read all keys that start with a prefix, sorted by key."""

    def put(
        self,
        key: str,
        value: bytes,
        callback: Callable[[RevisionResult], None],
        lease_id: int = 0,
    ) -> None:
        """Write a key unconditionally; call back with the new revision."""

    def compare_and_swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        callback: Callable[[RevisionResult], None],
        lease_id: int = 0,
    ) -> None:
        """Write a key if its revision matches; 0 means an absent key."""

    def delete(
        self,
        key: str,
        callback: Callable[[RevisionResult], None],
        expected_revision: int = 0,
    ) -> None:
        """Delete a key, only at the expected revision if that is not 0."""

    def lease(
        self, ttl_ms: int, callback: Callable[[LeaseResult], None]
    ) -> None:
        """Grant a lease; call back with its identifier."""

    def keep_alive(
        self, lease_id: int, callback: Callable[[LeaseResult], None]
    ) -> None:
        """Renew a lease; call back with its remaining time in ms.

        An expired lease fails with COMPARE_FAILED, a renewal without a
        response with PLATFORM_OUTCOME_UNKNOWN.
        """

    def revoke(
        self, lease_id: int, callback: Callable[[LeaseResult], None]
    ) -> None:
        """Revoke a lease and delete its keys."""

    def watch(
        self,
        key: str,
        on_change: Callable[[KeyValue], None],
        is_prefix: bool = False,
    ) -> Watch:
        """Deliver the current value, then every newer one.

        After an interruption only the newest value of a key is delivered.
        """
