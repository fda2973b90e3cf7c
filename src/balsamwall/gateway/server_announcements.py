"""Apply what backend servers state about themselves in responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.gateway import incoming_request

if TYPE_CHECKING:
    from balsamwall.gateway import backend_directory
    from balsamwall.gateway import crash_suspects
    from balsamwall.gateway import server_backoff
    from balsamwall.gateway import server_limits
    from balsamwall.logs import decision_log
    from balsamwall.timing import clock as clock_module


class ServerAnnouncements:
    """Record load, limit, back-off and leaving of servers from all responses.

    Load pattern: a server says in its responses that it leaves, while its
    record in the store stays ready or cannot be read.
    """

    __slots__ = (
        "_backoff",
        "_clock",
        "_directory",
        "_limits",
        "_log",
        "_suspects",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        directory: backend_directory.BackendDirectory,
        limits: server_limits.ServerLimits,
        backoff: server_backoff.ServerBackoff,
        suspects: crash_suspects.CrashSuspects,
        log: decision_log.DecisionLog,
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._limits = limits
        self._backoff = backoff
        self._suspects = suspects
        self._log = log

    def on_response(
        self,
        server: backend_directory.BackendServer,
        status: int,
        head: incoming_request.ResponseHead,
        sent_ms: int,
    ) -> None:
        """Apply the head of a response, also one that is not forwarded."""
        self._record_load(server, head)
        self._limits.on_response(server, status, head)
        # A refusal with this status may come from another server, to which
        # the address was given.
        is_from_server = (
            head.is_from_server
            and status != incoming_request.WRONG_SERVER_STATUS
        )
        # Another server at the address answers with the status above, so that
        # a refusal without a proof is the server's, too.
        is_refusal = status == incoming_request.UNAVAILABLE_STATUS
        if is_refusal and head.retry_after is not None:
            self._backoff.on_refused(
                server.record, head.retry_after, is_from_server=is_from_server
            )
        if not is_from_server:
            return
        server.on_response()
        self._suspects.on_answer(server.record, sent_ms)
        if not is_refusal:
            self._backoff.on_response(server)
        if head.is_leaving:
            self._on_leaving(server)

    def is_backed_off(self, server: backend_directory.BackendServer) -> bool:
        """Return whether a server wants no requests of this entry now."""
        return self._backoff.left_ms(server.record) > 0

    def _record_load(
        self,
        server: backend_directory.BackendServer,
        head: incoming_request.ResponseHead,
    ) -> None:
        now_ms = self._clock.now_ms()
        if head.work_time_percent is not None and head.is_signed:
            server.speed.on_work_time(head.work_time_percent, now_ms)
        if head.running is not None:
            server.on_report(head.running, head.waiting or 0, now_ms)

    def _on_leaving(self, server: backend_directory.BackendServer) -> None:
        record = server.record
        if self._directory.mark_leaving(record.server_id, record.started_ms):
            self._log.write(
                "server_announced_leaving",
                server=record.server_id,
                service=record.service,
            )
