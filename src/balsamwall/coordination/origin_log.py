"""Write the origins of streams to the store, and read those of others."""

from __future__ import annotations

import collections
import dataclasses
import functools
from typing import TYPE_CHECKING

import msgpack
from returns.result import Success

from balsamwall.gateway import stream_origins
from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    import random

    from balsamwall.gateway import gateway_metrics
    from balsamwall.infrastructure import key_value_service
    from balsamwall.logs import decision_log
    from balsamwall.timing import clock as clock_module

PREFIX = "balsamwall/streams/"
# Shortest time between two writes of a process.
WRITE_INTERVAL_MS = 100
# 4 KB in the store's base64, 375 streams or so.
MAX_BATCH_BYTES = 3_000
# Digests that wait for a write. No entry holds more origins in memory.
MAX_QUEUED_BYTES = stream_origins.MAX_ORIGINS * stream_origins.DIGEST_BYTES
# The delay after a failed write starts at the first value and doubles up to
# the second. Each delay is reduced at random by up to half.
MIN_BACKOFF_MS = 250
MAX_BACKOFF_MS = 4_000
# A lease is used for this part of the lifetime of origins.
LEASES_PER_LIFETIME = 4
# Longest lease that the store grants.
MAX_LEASE_MS = 600_000


@dataclasses.dataclass(slots=True, frozen=True)
class _QueuedRow:
    """Row that waits for a write."""

    added_ms: int
    version: str
    digests: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class _Batch:
    """Key and value of a write, which stay the same when it is repeated."""

    key: str
    value: bytes
    added_ms: int  # when the newest row was added
    streams: int


class OriginLog:
    """Write rows of origins in batches, each under a key of its own.

    No two processes write the same key, and a write that the store executes
    late or twice adds nothing but its own rows. The keys belong to leases that
    are never renewed, so that the store removes them.

    Load pattern: two versions serve for minutes at the full rate of streams,
    and the store is slow or unavailable for a part of the time.
    """

    __slots__ = (
        "_backoff_ms",
        "_batch",
        "_batch_count",
        "_clock",
        "_is_calling",
        "_lease_id",
        "_lease_ms",
        "_log",
        "_metrics",
        "_next_write_ms",
        "_origins",
        "_prefix",
        "_queue",
        "_queued_bytes",
        "_random",
        "_store",
        "_timer",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        random_source: random.Random,
        store: key_value_service.KeyValueService,
        origins: stream_origins.StreamOrigins,
        vm: str,
        log: decision_log.DecisionLog,
        metrics: gateway_metrics.GatewayMetrics,
    ) -> None:
        self._clock = clock
        self._random = random_source
        self._store = store
        self._origins = origins
        self._log = log
        self._metrics = metrics
        self._prefix = f"{PREFIX}{vm}-{clock.wall_ms()}-"
        self._queue: collections.deque[_QueuedRow] = collections.deque()
        self._queued_bytes = 0
        self._batch: _Batch | None = None  # in progress, or to be repeated
        self._batch_count = 0
        self._is_calling = False
        self._timer: clock_module.Timer | None = None
        self._next_write_ms = 0
        self._backoff_ms = MIN_BACKOFF_MS
        self._lease_id = 0  # 0 for none
        self._lease_ms = 0  # when the lease was requested

    def is_own(self, key: str) -> bool:
        """Return whether a key was written by this process."""
        return key.startswith(self._prefix)

    def add(self, rows: Iterable[stream_origins.OriginRow]) -> None:
        """Write rows, as those of `StreamOrigins.merge`, as soon as possible.

        The oldest rows are dropped if too many wait.
        """
        now_ms = self._clock.now_ms()
        for version, digests in rows:
            self._queue.append(_QueuedRow(now_ms, version, digests))
            self._queued_bytes += len(digests)
        dropped = 0
        while self._queued_bytes > MAX_QUEUED_BYTES:
            dropped += _count(self._pop())
        self._count_dropped(dropped)
        self._schedule(self._next_write_ms - now_ms)

    def _schedule(self, delay_ms: int) -> None:
        if self._timer is not None or self._is_calling:
            return
        if self._batch is not None or self._queue:
            self._timer = self._clock.call_later(max(0, delay_ms), self._run)

    def _run(self) -> None:
        self._timer = None
        self._drop_lapsed()
        if self._batch is None:
            self._batch = self._next_batch()
        if self._batch is None:
            return
        self._is_calling = True
        now_ms = self._clock.now_ms()
        lifetime_ms = self._origins.lifetime_ms
        use_ms = min(lifetime_ms, MAX_LEASE_MS) // LEASES_PER_LIFETIME
        if self._lease_id and now_ms - self._lease_ms < use_ms:
            self._write(self._batch)
            return
        self._store.lease(
            min(MAX_LEASE_MS, lifetime_ms + use_ms),
            functools.partial(self._on_lease, now_ms, self._batch),
        )

    def _on_lease(
        self,
        sent_ms: int,
        batch: _Batch,
        result: key_value_service.LeaseResult,
    ) -> None:
        if isinstance(result, Success):
            self._lease_id = result.unwrap()
            self._lease_ms = sent_ms
            self._write(batch)
        else:
            self._on_failure(result.failure())

    def _write(self, batch: _Batch) -> None:
        self._next_write_ms = self._clock.now_ms() + WRITE_INTERVAL_MS
        self._store.put(
            batch.key, batch.value, self._on_written, self._lease_id
        )

    def _on_written(self, result: key_value_service.RevisionResult) -> None:
        if not isinstance(result, Success):
            self._on_failure(result.failure())
            return
        self._metrics.count_origin_batch(is_written=True)
        self._is_calling = False
        self._batch = None
        self._backoff_ms = MIN_BACKOFF_MS
        self._schedule(self._next_write_ms - self._clock.now_ms())

    def _on_failure(self, code: result_code.ResultCode) -> None:
        """Repeat the write, which is harmless if it has taken effect."""
        if code is result_code.ResultCode.COMPARE_FAILED:
            self._lease_id = 0  # the lease has ended
        self._metrics.count_origin_batch(is_written=False)
        self._log.write("stream_origins_not_written", code=code.name)
        self._is_calling = False
        delay_ms = int(self._backoff_ms * self._random.uniform(0.5, 1.0))
        self._backoff_ms = min(MAX_BACKOFF_MS, 2 * self._backoff_ms)
        self._schedule(delay_ms)

    def _pop(self) -> _QueuedRow:
        row = self._queue.popleft()
        self._queued_bytes -= len(row.digests)
        return row

    def _drop_lapsed(self) -> None:
        """Drop the rows whose streams nobody resumes any more."""
        oldest_ms = self._clock.now_ms() - self._origins.lifetime_ms
        dropped = 0
        if self._batch is not None and self._batch.added_ms < oldest_ms:
            dropped += self._batch.streams
            self._batch = None
        while self._queue and self._queue[0].added_ms < oldest_ms:
            dropped += _count(self._pop())
        self._count_dropped(dropped)

    def _count_dropped(self, count: int) -> None:
        if count:
            self._metrics.count_dropped_origins(count)
            self._log.write("stream_origins_dropped", count=count)

    def _next_batch(self) -> _Batch | None:
        """Return the oldest rows that fit into a value, None without any."""
        found: list[_QueuedRow] = []
        size = 0
        while self._queue and size < MAX_BATCH_BYTES:
            found.append(self._pop())
            size += len(found[-1].digests)
        if not found:
            return None
        joined = stream_origins.join_rows(
            stream_origins.OriginRow(row.version, row.digests) for row in found
        )
        first, *others = stream_origins.split_rows(joined, MAX_BATCH_BYTES)
        added_ms = found[-1].added_ms
        for rows in reversed(others):
            for version, digests in reversed(rows):
                row = _QueuedRow(added_ms, version, digests)
                self._queue.appendleft(row)
                self._queued_bytes += len(digests)
        self._batch_count += 1
        return _Batch(
            # Sorted by time, as the store returns keys in their order.
            f"{self._prefix}{self._batch_count:08d}",
            msgpack.packb(first, use_bin_type=True),
            added_ms,
            sum(len(digests) for _, digests in first)
            // stream_origins.DIGEST_BYTES,
        )


class OriginReader:
    """Merge what other processes write.

    Load pattern: all entries are killed at once, and each reads what was
    written before it serves.
    """

    __slots__ = ("_log", "_on_rows", "_origin_log", "_origins", "_store")

    def __init__(
        self,
        store: key_value_service.KeyValueService,
        origins: stream_origins.StreamOrigins,
        origin_log: OriginLog,
        on_rows: Callable[[stream_origins.Rows], None],
        log: decision_log.DecisionLog,
    ) -> None:
        """Set a listener for rows that were not known to this process."""
        self._store = store
        self._origins = origins
        self._origin_log = origin_log
        self._on_rows = on_rows
        self._log = log

    def start(self) -> None:
        """Follow the keys of all processes."""
        self._store.watch(PREFIX, self._on_item, is_prefix=True)

    def _on_item(self, item: key_value_service.KeyValue) -> None:
        """Merge a batch; the end of its lease changes nothing."""
        if item.value is None or self._origin_log.is_own(item.key):
            return
        try:
            rows = decode_value(item.value)
        except ValueError as error:
            self._log.write(
                "stream_origins_invalid",
                key=item.key,
                reason=str(error)[:200],
            )
            return
        unknown = self._origins.merge(rows)
        if unknown:
            self._on_rows(unknown)


def decode_value(value: bytes) -> stream_origins.Rows:
    """Return the rows of a batch; raise ValueError if it is invalid."""
    try:
        rows = msgpack.unpackb(value, raw=False)
    except (ValueError, msgpack.UnpackException) as error:
        raise ValueError(f"invalid msgpack: {error}") from error
    return stream_origins.decode_rows(rows)


def _count(row: _QueuedRow) -> int:
    return len(row.digests) // stream_origins.DIGEST_BYTES
