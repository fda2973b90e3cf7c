"""Revisioned key-value store with leases that does no network I/O."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.timing import clock as clock_module


MIN_HISTORY_ENTRIES = 10_000


@dataclasses.dataclass(slots=True, frozen=True)
class Entry:
    """Value of a key; a deleted key has version 0."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease_id: int


@dataclasses.dataclass(slots=True)
class _Lease:
    ttl_ms: int
    expires_ms: int
    keys: set[bytes]


class KeyValueStore:
    """Keys, revisions, history of changes and leases."""

    __slots__ = (
        "_clock",
        "_entries",
        "_history",
        "_leases",
        "_next_lease",
        "compacted_revision",
        "listeners",
        "revision",
    )

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._entries: dict[bytes, Entry] = {}
        self._history: list[Entry] = []
        self._leases: dict[int, _Lease] = {}
        self._next_lease = 1
        self.listeners: list[Callable[[list[Entry]], None]] = []
        self.revision = 1
        self.compacted_revision = 0

    def read(self, key: bytes, range_end: bytes) -> list[Entry]:
        """Return the entries of a key or a half-open range, in key order."""
        if not range_end:
            found = self._entries.get(key)
            return [] if found is None else [found]
        return [
            self._entries[name]
            for name in sorted(self._entries)
            if is_in_range(name, key, range_end)
        ]

    def changes_since(self, revision: int) -> list[Entry]:
        """Return the changes from a revision on."""
        return [e for e in self._history if e.mod_revision >= revision]

    def has_lease(self, lease_id: int) -> bool:
        """Tell whether a lease exists; 0 stands for no lease."""
        return lease_id == 0 or lease_id in self._leases

    def apply(
        self,
        puts: list[tuple[bytes, bytes, int]],
        deletes: list[tuple[bytes, bytes]],
    ) -> int:
        """Apply changes as one revision; return the number of deletions."""
        revision = self.revision + 1
        changed: list[Entry] = []
        for key, value, lease_id in puts:
            changed.append(self._put(key, value, lease_id, revision))
        deleted = 0
        for key, range_end in deletes:
            for entry in self.read(key, range_end):
                changed.append(self._delete(entry, revision))
                deleted += 1
        if changed:
            self.revision = revision
            self._history += changed
            if len(self._history) > 2 * MIN_HISTORY_ENTRIES:
                dropped = self._history[:MIN_HISTORY_ENTRIES]
                self.compacted_revision = dropped[-1].mod_revision
                del self._history[:MIN_HISTORY_ENTRIES]
            for listener in list(self.listeners):
                listener(changed)
        return deleted

    def grant(self, ttl_ms: int) -> int:
        """Grant a lease and return its identifier."""
        lease_id = self._next_lease
        self._next_lease += 1
        expires_ms = self._clock.now_ms() + ttl_ms
        self._leases[lease_id] = _Lease(ttl_ms, expires_ms, set())
        self._clock.call_later(ttl_ms, self._expire, lease_id)
        return lease_id

    def keep_alive(self, lease_id: int) -> int:
        """Renew a lease; return its TTL in ms, 0 if it has expired."""
        lease = self._leases.get(lease_id)
        if lease is None:
            return 0
        lease.expires_ms = self._clock.now_ms() + lease.ttl_ms
        return lease.ttl_ms

    def revoke(self, lease_id: int) -> bool:
        """End a lease and delete its keys; return whether it existed."""
        lease = self._leases.pop(lease_id, None)
        if lease is None:
            return False
        self.apply([], [(key, b"") for key in sorted(lease.keys)])
        return True

    def _expire(self, lease_id: int) -> None:
        lease = self._leases.get(lease_id)
        if lease is None:
            return
        remaining_ms = lease.expires_ms - self._clock.now_ms()
        if remaining_ms > 0:
            self._clock.call_later(remaining_ms, self._expire, lease_id)
        else:
            self.revoke(lease_id)

    def _put(
        self, key: bytes, value: bytes, lease_id: int, revision: int
    ) -> Entry:
        old = self._entries.get(key)
        if old is not None:
            self._detach_from_lease(old)
        created = revision if old is None else old.create_revision
        version = 1 if old is None else old.version + 1
        entry = Entry(key, value, created, revision, version, lease_id)
        self._entries[key] = entry
        if lease_id in self._leases:
            self._leases[lease_id].keys.add(key)
        return entry

    def _delete(self, entry: Entry, revision: int) -> Entry:
        self._detach_from_lease(entry)
        del self._entries[entry.key]
        return Entry(entry.key, b"", 0, revision, 0, 0)

    def _detach_from_lease(self, entry: Entry) -> None:
        lease = self._leases.get(entry.lease_id)
        if lease is not None:
            lease.keys.discard(entry.key)


def is_in_range(name: bytes, key: bytes, range_end: bytes) -> bool:
    """Tell whether a name is in a range.

    An empty range_end means the single key, a zero byte no upper bound.
    """
    if not range_end:
        return name == key
    return name >= key and (range_end == b"\0" or name < range_end)
