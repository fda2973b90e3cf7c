"""Exchange of the servers that have announced in responses that they leave."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.coordination import messages_fleet

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.gateway import backend_directory
    from balsamwall.logs import decision_log
    from balsamwall.protocol import message

# Key in the loads of a FleetState that asks for reports.
# Earlier builds take it for a server.
ACCEPTS_LEAVING_KEY = "server-leaving"

# Identifiers of servers with the start times of their processes.
Processes = dict[str, int]


class LeavingReports:
    """Report to the coordinator which servers have announced to leave.

    Load pattern: several servers announce to leave, and each of many entries
    would have to hear it from each of them. Entries of earlier builds close a
    stream with an unknown message, so that nothing is sent before the
    coordinator asks for it.
    """

    __slots__ = ("_directory", "_is_accepted", "_log", "_reported")

    def __init__(
        self,
        directory: backend_directory.BackendDirectory,
        log: decision_log.DecisionLog,
    ) -> None:
        self._directory = directory
        self._log = log
        self._is_accepted = False
        self._reported: Processes | None = None  # None before the first report

    def restart(self) -> None:
        """Expect nothing of a coordinator on a new stream."""
        self._is_accepted = False
        self._reported = None

    def on_loads(self, loads: dict[str, int]) -> None:
        """Take from the fleet loads whether reports are accepted."""
        self._is_accepted = ACCEPTS_LEAVING_KEY in loads

    def take(self) -> messages_fleet.ServerLeavingReport | None:
        """Return the next report, None if nothing is new.

        The first one of a stream may be empty: it tells the coordinator that
        this entry accepts such messages.
        """
        if not self._is_accepted:
            return None
        leaving = self._directory.announced_leaving()
        if leaving == self._reported:
            return None
        self._reported = leaving
        return _encode(leaving)

    def apply(self, item: messages_fleet.ServerLeavingReport) -> None:
        """Take the servers out that other entries have reported."""
        _apply(item, self._directory, self._log)


class LeavingMerger:
    """Share at the coordinator what the entries have reported."""

    __slots__ = ("_directory", "_log", "_sent")

    def __init__(
        self,
        directory: backend_directory.BackendDirectory,
        log: decision_log.DecisionLog,
    ) -> None:
        self._directory = directory
        self._log = log
        # What was sent to each entry that accepts it, by VM.
        self._sent: dict[str, Processes] = {}

    def restart(self) -> None:
        """Forget the entries at the start of a term."""
        self._sent.clear()

    def remove_entry(self, vm: str) -> None:
        """Forget an entry that has disconnected."""
        self._sent.pop(vm, None)

    def with_acceptance(self, loads: dict[str, int]) -> dict[str, int]:
        """Return fleet loads that ask for reports, once a server leaves.

        The coordinator hears of one from its own requests, or from the report
        of an engine whose model an entry wants.
        """
        if not self._sent and not self._directory.announced_leaving():
            return loads
        return {**loads, ACCEPTS_LEAVING_KEY: 1}

    def on_report(
        self, vm: str, item: messages_fleet.ServerLeavingReport
    ) -> None:
        """Take the servers out that an entry reports."""
        self._sent.setdefault(vm, {})
        _apply(item, self._directory, self._log)

    def share(self, send: Callable[[str, message.Message], None]) -> None:
        """Send to each entry what has changed since the last message."""
        leaving = self._directory.announced_leaving()
        for vm, sent in self._sent.items():
            if leaving != sent:
                self._sent[vm] = leaving
                send(vm, _encode(leaving))


def _encode(leaving: Processes) -> messages_fleet.ServerLeavingReport:
    return messages_fleet.ServerLeavingReport(
        [[server_id, started_ms] for server_id, started_ms in leaving.items()]
    )


def _apply(
    item: messages_fleet.ServerLeavingReport,
    directory: backend_directory.BackendDirectory,
    log: decision_log.DecisionLog,
) -> None:
    """Mark the servers of a report; log and ignore invalid rows."""
    for row in item.rows:
        if [type(part) for part in row] != [str, int]:
            log.write("leaving_report_invalid", row=repr(row)[:100])
            continue
        server_id, started_ms = row
        if directory.mark_leaving(server_id, started_ms):
            log.write("server_reported_leaving", server=server_id)
