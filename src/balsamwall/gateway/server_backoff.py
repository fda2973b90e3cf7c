"""Back-off that servers ask this entry for in responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.gateway import crash_suspects

if TYPE_CHECKING:
    from balsamwall.gateway import backend_directory
    from balsamwall.gateway import gateway_metrics
    from balsamwall.gateway import incoming_request
    from balsamwall.logs import decision_log
    from balsamwall.timing import clock as clock_module

# Processes that are kept. Those whose time is over are dropped first.
MAX_PROCESSES = 2_000


class ServerBackoff:
    """Keep until when a server process wants no requests from this entry.

    Load pattern: a server turns requests away and states for how long, while
    requests keep coming. It speaks to this entry only, so that the others
    may still use it.
    """

    __slots__ = ("_clock", "_log", "_metrics", "_until_ms")

    def __init__(
        self,
        clock: clock_module.Clock,
        log: decision_log.DecisionLog,
        metrics: gateway_metrics.GatewayMetrics,
    ) -> None:
        self._clock = clock
        self._log = log
        self._metrics = metrics
        # By server process: kept apart from the directory, since a record may
        # lapse and return within the time.
        self._until_ms: dict[str, int] = {}

    def on_refused(
        self,
        record: backend_directory.ServerRecord,
        retry_after: incoming_request.RetryAfter,
        *,
        is_from_server: bool,
    ) -> None:
        """Record a refusal; a shorter time does not end a longer one."""
        left_ms = max(self.left_ms(record), retry_after.delay_ms)
        self._log.write(
            "server_backoff",
            server=record.server_id,
            service=record.service,
            started_ms=record.started_ms,
            stated=retry_after.text,
            left_ms=left_ms,
            is_from_server=is_from_server,
        )
        if left_ms <= 0:
            return
        if len(self._until_ms) >= MAX_PROCESSES:
            self._drop_ended()
        process = crash_suspects.process_name(record)
        self._until_ms[process] = self._clock.now_ms() + left_ms

    def left_ms(self, record: backend_directory.ServerRecord) -> int:
        """Return for how long the process wants no requests, 0 if it does."""
        until_ms = self._until_ms.get(crash_suspects.process_name(record), 0)
        return max(0, until_ms - self._clock.now_ms())

    def on_send(
        self,
        record: backend_directory.ServerRecord,
        request_id: str,
        reason: str,
    ) -> None:
        """Log and count a request that is sent within the time."""
        left_ms = self.left_ms(record)
        if left_ms <= 0:
            return
        self._metrics.count_send_in_backoff(reason)
        self._log.write(
            "sent_in_backoff",
            request=request_id,
            server=record.server_id,
            reason=reason,
            left_ms=left_ms,
        )

    def _drop_ended(self) -> None:
        """Drop ended times, or the oldest entry if none has ended."""
        now_ms = self._clock.now_ms()
        self._until_ms = {
            process: until_ms
            for process, until_ms in self._until_ms.items()
            if until_ms > now_ms
        }
        if len(self._until_ms) >= MAX_PROCESSES:
            del self._until_ms[next(iter(self._until_ms))]
