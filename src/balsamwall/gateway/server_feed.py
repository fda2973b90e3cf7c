"""Server records of the store, with a grace after an outage."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.gateway import backend_directory
    from balsamwall.logs import decision_log
    from balsamwall.timing import clock as clock_module

# Records that expired during an outage of the store are written again within
# 2 s of its return by the servers that are alive.
REJOIN_GRACE_MS = 2_000


class RecordReader(Protocol):
    """Reader of records; raises ValueError for unreadable ones."""

    def __call__(
        self, server_id: str, raw: bytes
    ) -> backend_directory.ServerRecord:
        """Read one record."""


class ServerFeed:
    """Apply records to the directory.

    A removal that is learned from a healthy store counts at once. One that
    is learned just after an outage may only mean that the record could not be
    renewed, and counts when the grace is over.
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
        """Learn that the store is lost, or back."""
        if is_connected and not self._is_connected:
            self._reconnected_ms = self._clock.now_ms()
        self._is_connected = is_connected

    def on_record(self, server_id: str, raw: bytes | None) -> None:
        """Take a record, or its removal."""
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
        self._log.write(
            "server_record",
            server=server_id,
            service=record.service,
            zone=record.availability_zone,
            is_draining=record.is_draining,
            started_ms=record.started_ms,
            models=sorted(record.models),
            remaining_ms=record.remaining_ms,
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
