"""Record in the store of the software versions that servers have."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from returns.result import Success

from balsamwall.infrastructure import key_value_service
from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    import random

    from balsamwall.coordination import version_retirement
    from balsamwall.gateway import software_versions
    from balsamwall.logs import decision_log
    from balsamwall.timing import clock as clock_module

    Recorded = dict[str, frozenset[str]]

CHECK_INTERVAL_MS = 100
# Other entries write only if no coordinator has: after this time and a random
# part of the same length, longer in a large fleet. An entry sees the write of
# another one up to 0.9 s later.
STANDBY_DELAY_MS = 500
STANDBY_SPREAD_PER_ENTRY_MS = 20
# The delay after a failed write starts at the first value and doubles up to
# the second. Each delay is reduced at random by up to half.
MIN_BACKOFF_MS = 200
MAX_BACKOFF_MS = 2_000
# A longer record is not written, and is not one of this program.
MAX_RECORD_BYTES = 65_536
# Stands for the versions that an unreadable record may have held. No server
# states it, so that it proves nothing until it is retired.
UNKNOWN_VERSION = ""


class VersionRecord:
    """Follow the record, add missing versions and retire old ones.

    Load pattern: servers of a new version appear, and are not used until the
    record names it, while the coordinator may be lost and all entries may see
    the servers at once. Each write is made at the revision that was last seen,
    so that one that the store executes late changes nothing. A write never
    drops versions because the record was deleted or is unreadable.
    """

    __slots__ = (
        "_backoff_ms",
        "_clock",
        "_count_entries",
        "_is_connected",
        "_is_coordinator",
        "_is_writing",
        "_key",
        "_known",
        "_log",
        "_next_write_ms",
        "_random",
        "_retirement",
        "_revision",
        "_seen_revision",
        "_store",
        "_stored",
        "_versions",
        "_was_connected",
        "_write_due_ms",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        random_source: random.Random,
        store: key_value_service.KeyValueService,
        key: str,
        versions: software_versions.SoftwareVersions,
        retirement: version_retirement.VersionRetirement,
        is_coordinator: Callable[[], bool],
        is_connected: Callable[[], bool],
        count_entries: Callable[[], int],
        log: decision_log.DecisionLog,
    ) -> None:
        self._clock = clock
        self._random = random_source
        self._store = store
        self._key = key
        self._versions = versions
        self._retirement = retirement
        self._is_coordinator = is_coordinator
        self._is_connected = is_connected
        self._count_entries = count_entries
        self._log = log
        # What the store holds, None if it is unreadable.
        self._stored: Recorded | None = {}
        # The last record that was readable and not empty.
        self._known: Recorded = {}
        self._revision = 0  # of the key, 0 if it is absent
        self._seen_revision = 0  # of the last change, also of a deletion
        self._is_writing = False
        self._was_connected = True  # the first read is the feed's
        self._backoff_ms = MIN_BACKOFF_MS
        self._next_write_ms = clock.now_ms()
        # When an entry that is not the coordinator writes, None if the record
        # is complete.
        self._write_due_ms: int | None = None

    def start(self) -> None:
        """Follow the record and check it every CHECK_INTERVAL_MS."""
        self._store.watch(self._key, self._on_change)
        self._check()

    def read(self, on_read: Callable[[bool], None]) -> None:
        """Read the record; call back with whether it was readable.

        It is applied before. A revision below one that was known before the
        read shows that the store was restored from an older copy.
        """
        seen_revision = self._seen_revision

        def on_result(result: key_value_service.GetResult) -> None:
            if not isinstance(result, Success):
                on_read(False)
                return
            item = result.unwrap() or key_value_service.KeyValue(
                self._key, None, 0
            )
            if item.revision < seen_revision:
                self._seen_revision = item.revision
            is_current = item.revision >= self._seen_revision
            self._on_change(item)
            on_read(is_current and self._stored is not None)

        self._store.get(self._key, on_result)

    def _check(self) -> None:
        self._clock.call_later(CHECK_INTERVAL_MS, self._check)
        self._read_after_outage()
        is_coordinator = self._is_coordinator()
        retired: Mapping[str, frozenset[str]] = {}
        if is_coordinator and self._is_connected():
            retired = self._retirement.observe()
        else:
            self._retirement.reset()
        wanted = _subtract(self._complete(), retired)
        if wanted == self._stored or not wanted:
            self._write_due_ms = None
        elif self._is_due(is_coordinator):
            self._write(wanted)

    def _read_after_outage(self) -> None:
        """Read the record when the store has returned, maybe from a copy."""
        was_connected = self._was_connected
        self._was_connected = self._is_connected()
        if self._was_connected and not was_connected:
            self.read(lambda is_read: None)

    def _complete(self) -> Recorded:
        """Return what the record must hold, without retirement."""
        known = self._stored or self._known
        complete = _add(known, self._versions.missing())
        if self._stored is None and not known:
            unknown = frozenset({UNKNOWN_VERSION})
            complete = _add(complete, dict.fromkeys(complete, unknown))
        return complete

    def _is_due(self, is_coordinator: bool) -> bool:
        now_ms = self._clock.now_ms()
        if self._write_due_ms is None:
            spread_ms = max(
                STANDBY_DELAY_MS,
                STANDBY_SPREAD_PER_ENTRY_MS * self._count_entries(),
            )
            spread_ms = int(spread_ms * self._random.random())
            self._write_due_ms = now_ms + STANDBY_DELAY_MS + spread_ms
        if self._is_writing or now_ms < self._next_write_ms:
            return False
        return is_coordinator or now_ms >= self._write_due_ms

    def _write(self, wanted: Recorded) -> None:
        text = encode(wanted)
        if len(text) > MAX_RECORD_BYTES:
            self._on_failed(result_code.ResultCode.BODY_TOO_LARGE)
            return
        self._is_writing = True

        def on_written(result: key_value_service.RevisionResult) -> None:
            self._is_writing = False
            if isinstance(result, Success):
                self._on_written(result.unwrap(), wanted)
            else:
                self._on_failed(result.failure())

        self._store.compare_and_swap(
            self._key, self._revision, text, on_written
        )

    def _on_written(self, revision: int, written: Recorded) -> None:
        """Apply what was written, unless the watch has a later change."""
        self._backoff_ms = MIN_BACKOFF_MS
        if revision > self._seen_revision:
            self._revision = self._seen_revision = revision
            self._apply(written)

    def _on_failed(self, code: result_code.ResultCode) -> None:
        self._log.write("software_versions_not_written", code=code.name)
        delay_ms = int(self._backoff_ms * self._random.uniform(0.5, 1.0))
        self._next_write_ms = self._clock.now_ms() + delay_ms
        self._backoff_ms = min(MAX_BACKOFF_MS, 2 * self._backoff_ms)
        if code is result_code.ResultCode.COMPARE_FAILED:
            # The watch may lag, and delivers nothing of a restored store.
            self.read(lambda is_read: None)

    def _on_change(self, item: key_value_service.KeyValue) -> None:
        if item.revision < self._seen_revision:
            return
        self._seen_revision = item.revision
        if item.value is None:
            self._revision = 0
            self._apply({})
            return
        self._revision = item.revision
        try:
            self._apply(decode(item.value))
        except ValueError as error:
            self._log.write(
                "software_versions_unreadable",
                revision=item.revision,
                reason=str(error)[:200],
            )
            self._stored = None

    def _apply(self, recorded: Recorded) -> None:
        """Take over what the store holds."""
        if recorded != self._stored:
            self._log.write(
                "software_versions_recorded",
                revision=self._revision,
                versions=_sorted(recorded),
            )
        self._stored = recorded
        self._known = recorded or self._known
        self._versions.set_recorded(recorded)


def encode(recorded: Mapping[str, frozenset[str]]) -> bytes:
    """Return a record as JSON: the versions by service."""
    return json.dumps(_sorted(recorded)).encode()


def decode(text: bytes) -> dict[str, frozenset[str]]:
    """Return the versions by service; raise ValueError if invalid."""
    if len(text) > MAX_RECORD_BYTES:
        raise ValueError(f"{len(text)} bytes, at most {MAX_RECORD_BYTES}")
    try:
        fields = json.loads(text)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error
    if type(fields) is not dict:
        raise ValueError(f"expected an object, found {text[:40]!r}")
    recorded = {}
    for service, names in fields.items():
        if type(names) is not list or not names:
            raise ValueError(f"{service}: expected a list of versions")
        if any(type(name) is not str for name in names):
            raise ValueError(f"{service}: expected strings, found {names!r}")
        recorded[service] = frozenset(names)
    return recorded


def _sorted(recorded: Mapping[str, frozenset[str]]) -> dict[str, list[str]]:
    return {name: sorted(recorded[name]) for name in sorted(recorded)}


def _add(
    recorded: Mapping[str, frozenset[str]],
    added: Mapping[str, frozenset[str]],
) -> dict[str, frozenset[str]]:
    return {
        service: recorded.get(service, frozenset())
        | added.get(service, frozenset())
        for service in recorded.keys() | added.keys()
    }


def _subtract(
    recorded: Mapping[str, frozenset[str]],
    removed: Mapping[str, frozenset[str]],
) -> dict[str, frozenset[str]]:
    return {
        service: names - removed.get(service, frozenset())
        for service, names in recorded.items()
    }
