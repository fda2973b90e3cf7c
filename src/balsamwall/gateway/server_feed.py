"""Update the server directory from records in the store."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.gateway import backend_directory
    from balsamwall.logs import decision_log
    from balsamwall.timing import clock as clock_module

# Live servers rewrite records that expired during an outage of the store
# within 2 s of its recovery.
REJOIN_GRACE_MS = 2_000
# The store removes a restored record after some missed heartbeats, so that one
# that is still there after this time has been written since.
RESTORED_RECORD_HOLD_MS = 5_000


class RecordReader(Protocol):
    """Decode server records."""

    def __call__(
        self, server_id: str, raw: bytes
    ) -> backend_directory.ServerRecord:
        """Return the decoded record; raise ValueError if it is invalid."""


class ServerFeed:
    """Apply records of the store to the directory.

    A removal is normally applied at once. Just after an outage of the store,
    it may only mean that the server could not renew its record, so it is
    applied when the grace period is over.

    Load pattern: the store returns from a copy that has records of servers
    which have left, and older records of others. A process that was removed
    counts again only once its record is written, and a record of the copy
    does not replace a later one of the same process.
    """

    __slots__ = (
        "_clock",
        "_directory",
        "_is_connected",
        "_log",
        "_pending",
        "_read",
        "_reconnected_ms",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        directory: backend_directory.BackendDirectory,
        read: RecordReader,
        log: decision_log.DecisionLog,
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._read = read
        self._log = log
        self._is_connected = False
        self._reconnected_ms: int | None = None
        self._pending: dict[str, clock_module.Timer] = {}

    def on_store_state(self, is_connected: bool) -> None:
        """Set whether the store is connected; a reconnect starts the grace."""
        if is_connected and not self._is_connected:
            self._reconnected_ms = self._clock.now_ms()
        self._is_connected = is_connected

    def on_record(
        self, server_id: str, raw: bytes | None, *, is_restored: bool = False
    ) -> None:
        """Apply a record; None means that it was removed.

        An unreadable record removes the server. A restored one comes from the
        copy of a store, or was written just after its return.
        """
        pending = self._pending.pop(server_id, None)
        if pending is not None:
            pending.cancel()
        if raw is None:
            self._on_removed(server_id)
            return
        try:
            record = self._read(server_id, raw)
        except ValueError as error:
            self._log.write(
                "server_record_unreadable",
                server=server_id,
                reason=str(error)[:200],
            )
            self._directory.remove(server_id)
            return
        if is_restored and self._directory.has_departed(record):
            self._log.write("server_record_held", server=server_id)
            self._pending[server_id] = self._clock.call_later(
                RESTORED_RECORD_HOLD_MS, self._on_hold_over, record
            )
        elif not is_restored or not self._is_outdated(record):
            self._apply(record)

    def _on_hold_over(self, record: backend_directory.ServerRecord) -> None:
        self._pending.pop(record.server_id, None)
        self._apply(record)

    def _is_outdated(self, record: backend_directory.ServerRecord) -> bool:
        """Return whether a restored record is older than the known one.

        One that drains is applied in any case, since a drain is final.
        """
        known = self._directory.get(record.server_id)
        if known is None or record.is_draining:
            return False
        if not record.is_older_than(known.record):
            return False
        self._log.write(
            "server_record_outdated",
            server=record.server_id,
            sequence=record.sequence,
            known_sequence=known.record.sequence,
        )
        return True

    def _apply(self, record: backend_directory.ServerRecord) -> None:
        self._log.write(
            "server_record",
            server=record.server_id,
            service=record.service,
            zone=record.availability_zone,
            is_draining=record.is_draining,
            started_ms=record.started_ms,
            models=sorted(record.models),
            remaining_ms=record.remaining_ms,
            software_version=record.software_version,
        )
        self._directory.put(record)

    def _on_removed(self, server_id: str) -> None:
        wait_ms = self._grace_left_ms()
        self._log.write(
            "server_record_removed", server=server_id, grace_ms=wait_ms
        )
        if wait_ms <= 0:
            self._directory.remove(server_id)
            return
        self._pending[server_id] = self._clock.call_later(
            wait_ms, self._on_grace_over, server_id
        )

    def _on_grace_over(self, server_id: str) -> None:
        self._pending.pop(server_id, None)
        self._directory.remove(server_id)

    def _grace_left_ms(self) -> int:
        if self._reconnected_ms is None:
            return 0
        end_ms = self._reconnected_ms + REJOIN_GRACE_MS
        return max(0, end_ms - self._clock.now_ms())
