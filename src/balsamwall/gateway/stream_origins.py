"""Remember at which software version streams began."""

from __future__ import annotations

import collections
import dataclasses
import hashlib
from typing import Any
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator

    from balsamwall.gateway import configuration_holder
    from balsamwall.gateway import software_versions
    from balsamwall.timing import clock as clock_module

DIGEST_BYTES = 8
# Origins lapse by generations. A caller resumes a stream within its own
# deadline, which is about the timeout of the route.
GENERATIONS = 5
MIN_GENERATION_MS = 15_000
# About 150 bytes each. Above this the oldest generation is dropped, and its
# streams can't be resumed beside another version.
MAX_ORIGINS = 50_000
# A coordinator that is lost may have passed on nothing of what it received
# since it froze, which the entries notice after 2 s, and since its last write
# to the store, which may be slow.
REPORT_AGAIN_MS = 10_000
# Bytes of a row beside its version and digests, in msgpack.
ROW_OVERHEAD_BYTES = 8


class OriginRow(NamedTuple):
    """Hold the joined digests of streams that began at a version."""

    software_version: str
    digests: bytes


Rows = list[OriginRow]


@dataclasses.dataclass(slots=True, frozen=True)
class StreamOrigin:
    """Hold the version that began a stream, None if it is ambiguous."""

    software_version: str | None
    service: str = ""  # only of streams that this entry began


def digest(attempt_id: bytes) -> bytes:
    """Return the short form of the attempt that began a stream."""
    return hashlib.blake2b(attempt_id, digest_size=DIGEST_BYTES).digest()


class StreamOrigins:
    """Hold the origins of recent streams, of this entry and of others.

    Load pattern: an entry is killed and its callers resume their streams at
    the others at once, beside new streams at the full rate. Origins are kept
    in memory for all streams that can be resumed, and are reported to others
    only while a service has several versions.
    """

    __slots__ = (
        "_clock",
        "_configuration",
        "_generations",
        "_interned",
        "_listener",
        "_rotated_ms",
        "_taken",
        "_unreported",
        "_versions",
        "_waiting",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        configuration: configuration_holder.ConfigurationHolder,
        versions: software_versions.SoftwareVersions,
    ) -> None:
        self._clock = clock
        self._configuration = configuration
        self._versions = versions
        # By digest, the newest generation first.
        self._generations: list[dict[bytes, StreamOrigin]] = [{}]
        self._rotated_ms = clock.now_ms()
        self._interned: dict[StreamOrigin, StreamOrigin] = {}
        # Digests by version, in the order of their records.
        self._unreported: dict[str, dict[bytes, None]] = {}
        # What was taken in the last REPORT_AGAIN_MS, with the times.
        self._taken: collections.deque[tuple[int, Rows]] = collections.deque()
        self._listener: Callable[[], None] | None = None
        self._waiting: dict[bytes, list[Callable[[], None]]] = {}
        versions.add_mixed_listener(self._report_service)

    @property
    def count(self) -> int:
        """Return the number of origins that are held."""
        return sum(len(generation) for generation in self._generations)

    @property
    def lifetime_ms(self) -> int:
        """Return the longest time for which an origin is held."""
        return GENERATIONS * self._generation_ms()

    @property
    def has_unreported(self) -> bool:
        """Return whether other entries must learn of any stream."""
        return bool(self._unreported)

    def set_listener(self, listener: Callable[[], None]) -> None:
        """Call back when there is something to report."""
        self._listener = listener

    def record(
        self, attempt_id: bytes, service: str, software_version: str
    ) -> None:
        """Record that a stream of this entry has begun at a version.

        A stream that is recorded with two versions becomes ambiguous, here and
        at the other entries.
        """
        key = digest(attempt_id)
        is_new = self._add(key, StreamOrigin(software_version, service))
        if is_new and self._versions.is_mixed(service):
            self._add_unreported((key,), software_version)

    def find(self, attempt_id: bytes) -> StreamOrigin | None:
        """Return the origin of a stream, None if it is unknown."""
        self._rotate()
        return self._find(digest(attempt_id))

    def merge(self, rows: Iterable[OriginRow]) -> Rows:
        """Add origins from another entry or from the store.

        Each row has a version and the joined digests of its streams. Return
        the rows without the streams whose origin was known.
        """
        changed = []
        for version, digests in rows:
            origin = StreamOrigin(version)
            keys = [
                key for key in split_digests(digests) if self._add(key, origin)
            ]
            if keys:
                changed.append(OriginRow(version, b"".join(keys)))
        return changed

    def take_unreported(self) -> Rows:
        """Return what other entries must learn, as rows for `merge`."""
        unreported, self._unreported = self._unreported, {}
        rows = [
            OriginRow(version, b"".join(keys))
            for version, keys in unreported.items()
        ]
        now_ms = self._clock.now_ms()
        while self._taken and now_ms - self._taken[0][0] > REPORT_AGAIN_MS:
            self._taken.popleft()
        if rows:
            self._taken.append((now_ms, rows))
        return rows

    def report_again(self) -> None:
        """Report once more what was taken in the last REPORT_AGAIN_MS.

        The coordinator that received it may be lost. It has passed on and
        written what is older.
        """
        oldest_ms = self._clock.now_ms() - REPORT_AGAIN_MS
        taken, self._taken = self._taken, collections.deque()
        for taken_ms, rows in taken:
            for version, keys in rows if taken_ms >= oldest_ms else ():
                self._add_unreported(split_digests(keys), version)

    def wait(self, attempt_id: bytes, callback: Callable[[], None]) -> None:
        """Call back once when the origin of a stream becomes known."""
        self._waiting.setdefault(digest(attempt_id), []).append(callback)

    def stop_waiting(
        self, attempt_id: bytes, callback: Callable[[], None]
    ) -> None:
        """End a wait, if there is one."""
        key = digest(attempt_id)
        callbacks = self._waiting.get(key, [])
        if callback in callbacks:
            callbacks.remove(callback)
        if not callbacks:
            self._waiting.pop(key, None)

    def _report_service(self, service: str) -> None:
        """Report all streams of this entry that began at a service.

        Any two versions make a stream ambiguous at the others too.
        """
        found: dict[str, list[bytes]] = {}
        for generation in self._generations:
            for key, origin in generation.items():
                if origin.service != service:
                    continue
                if origin.software_version is not None:
                    found.setdefault(origin.software_version, []).append(key)
                    continue
                for version in self._versions.recorded[service]:
                    found.setdefault(version, []).append(key)
        for version, keys in found.items():
            self._add_unreported(keys, version)

    def _add_unreported(self, keys: Iterable[bytes], version: str) -> None:
        was_empty = not self._unreported
        self._unreported.setdefault(version, {}).update(dict.fromkeys(keys))
        if was_empty and self._listener is not None:
            self._listener()

    def _add(self, key: bytes, origin: StreamOrigin) -> bool:
        """Add an origin; return False if it was known."""
        self._rotate()
        known = self._find(key)
        if known is None:
            self._put(key, origin)
        elif known.software_version != origin.software_version:
            service = known.service or origin.service
            self._put(key, StreamOrigin(None, service))
        else:
            return False
        for callback in self._waiting.pop(key, ()):
            callback()
        return True

    def _put(self, key: bytes, origin: StreamOrigin) -> None:
        origin = self._interned.setdefault(origin, origin)
        self._generations[0][key] = origin

    def _find(self, key: bytes) -> StreamOrigin | None:
        for generation in self._generations:
            origin = generation.get(key)
            if origin is not None:
                return origin
        return None

    def _rotate(self) -> None:
        """Begin a new generation in time, and drop those that have lapsed.

        At high rates generations are shorter, which bounds the memory.
        """
        elapsed_ms = self._clock.now_ms() - self._rotated_ms
        due, rest_ms = divmod(elapsed_ms, self._generation_ms())
        is_full = len(self._generations[0]) >= MAX_ORIGINS // GENERATIONS
        if due or is_full:
            self._rotated_ms += elapsed_ms - (rest_ms if due else 0)
            count = min(GENERATIONS, max(1, due))
            self._generations[:0] = [{} for _ in range(count)]
            del self._generations[GENERATIONS:]

    def _generation_ms(self) -> int:
        current = self._configuration.current
        timeout_ms = current.longest_stream_ms if current else 0
        return max(MIN_GENERATION_MS, timeout_ms)


def split_digests(digests: bytes) -> Iterator[bytes]:
    """Yield the single ones of joined digests."""
    for start in range(0, len(digests), DIGEST_BYTES):
        yield digests[start : start + DIGEST_BYTES]


def split_rows(rows: Iterable[OriginRow], max_bytes: int) -> Iterator[Rows]:
    """Yield the rows in parts of about a number of encoded bytes at most."""
    part: Rows = []
    room = max_bytes
    for version, digests in rows:
        overhead = len(version.encode()) + ROW_OVERHEAD_BYTES
        while digests:
            if part and room < overhead + DIGEST_BYTES:
                yield part
                part, room = [], max_bytes
            count = max(1, (room - overhead) // DIGEST_BYTES)
            taken = digests[: count * DIGEST_BYTES]
            digests = digests[len(taken) :]
            part.append(OriginRow(version, taken))
            room -= overhead + len(taken)
    if part:
        yield part


def join_rows(rows: Iterable[OriginRow]) -> Rows:
    """Return one row for each version."""
    joined: dict[str, bytearray] = {}
    for version, digests in rows:
        joined.setdefault(version, bytearray()).extend(digests)
    return [
        OriginRow(version, bytes(digests))
        for version, digests in joined.items()
    ]


def decode_rows(rows: Any) -> Rows:
    """Return the rows of a message or item; raise ValueError if invalid."""
    if type(rows) is not list:
        raise ValueError(f"origin rows: expected a list, found {type(rows)}")
    found = []
    for row in rows:
        if type(row) not in (list, tuple) or len(row) != 2:
            raise ValueError(f"origin row: expected 2 values, found {row!r}")
        version, digests = row
        if type(version) is not str or type(digests) is not bytes:
            raise ValueError("origin row: expected a string and bytes")
        if not digests or len(digests) % DIGEST_BYTES:
            raise ValueError(
                f"origin row: expected a multiple of {DIGEST_BYTES} bytes, "
                f"found {len(digests)}"
            )
        found.append(OriginRow(version, digests))
    return found
