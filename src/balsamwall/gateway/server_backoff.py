"""Back-off that servers ask this entry for in responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.gateway import crash_suspects

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamwall.gateway import backend_directory
    from balsamwall.gateway import gateway_metrics
    from balsamwall.gateway import incoming_request
    from balsamwall.logs import decision_log
    from balsamwall.timing import clock as clock_module

# Processes that are kept. Those whose time is over are dropped first.
MAX_PROCESSES = 2_000
# A window that has stopped no request for this time is needed no more.
# Requests that wait are tried again several times in it.
MIN_UNUSED_MS = 100


class _Backoff:
    """Time without requests of one server process, and what follows it."""

    __slots__ = ("stopped_ms", "until_ms", "window")

    def __init__(self) -> None:
        self.until_ms = 0
        self.stopped_ms = 0  # when the window last stopped a request
        # Requests that this entry may have open at the server after the time,
        # None before its end.
        self.window: int | None = None


class ServerBackoff:
    """Keep until when a server process wants no requests from this entry.

    Load pattern: a server turns requests away and states for how long, while
    requests keep coming. It speaks to this entry only, so that the others
    may still use it. At the end many requests wait for it, so that the entry
    begins with one and sends more with each response.
    """

    __slots__ = ("_backoffs", "_clock", "_log", "_metrics")

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
        self._backoffs: dict[str, _Backoff] = {}

    def __bool__(self) -> bool:
        return bool(self._backoffs)

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
        if len(self._backoffs) >= MAX_PROCESSES:
            self._drop_ended()
        found = self._backoffs.setdefault(
            crash_suspects.process_name(record), _Backoff()
        )
        found.until_ms = self._clock.now_ms() + left_ms
        found.window = None

    def on_response(self, server: backend_directory.BackendServer) -> None:
        """Widen the window after the time with a response to a request."""
        found = self._find(server.record)
        if found is None or found.window is None:
            return
        if found.window < server.record.slots:
            found.window += 1
        unused_ms = self._clock.now_ms() - found.stopped_ms
        if unused_ms >= MIN_UNUSED_MS:
            del self._backoffs[crash_suspects.process_name(server.record)]

    def left_ms(self, record: backend_directory.ServerRecord) -> int:
        """Return for how long the process wants no requests, 0 if it does."""
        found = self._find(record)
        if found is None:
            return 0
        return max(0, found.until_ms - self._clock.now_ms())

    def is_open(self, server: backend_directory.BackendServer) -> bool:
        """Return whether a request may be sent to a server now."""
        found = self._find(server.record)
        if found is None:
            return True
        if found.until_ms > self._clock.now_ms():
            return False
        if found.window is None:
            # Streams that it has served all the while do not count.
            found.window = server.in_flight + 1
            found.stopped_ms = self._clock.now_ms()
        if server.in_flight < found.window:
            return True
        found.stopped_ms = self._clock.now_ms()
        return False

    def until_open_ms(
        self, servers: Iterable[backend_directory.BackendServer]
    ) -> int:
        """Return the time until the first of the servers wants requests."""
        if not self._backoffs:
            return 0
        return min((self.left_ms(item.record) for item in servers), default=0)

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

    def _find(self, record: backend_directory.ServerRecord) -> _Backoff | None:
        if not self._backoffs:
            return None
        return self._backoffs.get(crash_suspects.process_name(record))

    def _drop_ended(self) -> None:
        """Drop ended times, or the oldest entry if none has ended."""
        now_ms = self._clock.now_ms()
        self._backoffs = {
            process: found
            for process, found in self._backoffs.items()
            if found.until_ms > now_ms
        }
        if len(self._backoffs) >= MAX_PROCESSES:
            del self._backoffs[next(iter(self._backoffs))]
