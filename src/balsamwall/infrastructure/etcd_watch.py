"""Watch that detects an idle connection and reconnects."""

from __future__ import annotations

import base64
import json
from typing import Any
from typing import TYPE_CHECKING

from returns.result import Result
from returns.result import Success

from balsamwall.infrastructure import key_value_service
from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.infrastructure import http_client
    from balsamwall.timing import clock as clock_module

# The service sends a progress notification every 2 s on a healthy stream;
# after three missed ones the connection is considered lost.
WATCH_IDLE_TIMEOUT_MS = 7_000
REOPEN_BACKOFF_MIN_MS = 200
REOPEN_BACKOFF_MAX_MS = 5_000
# A stream that buffers more without a complete line is reopened.
MAX_LINE_BYTES = 8 * 1024 * 1024

SnapshotResult = Result[
    tuple[int, tuple[key_value_service.KeyValue, ...]],
    result_code.ResultCode,
]


class EtcdWatch:
    """Read a snapshot, then follow the stream of changes.

    After an interruption, both are repeated with a backoff. A key that was
    delivered and is not in the new snapshot is delivered as deleted.
    """

    __slots__ = (
        "_backoff_ms",
        "_buffer",
        "_cancel_call",
        "_clock",
        "_is_cancelled",
        "_revisions",
        "_on_change",
        "_open_stream",
        "_read",
        "_stream_number",
        "_timer",
        "reopen_count",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        read: Callable[[Callable[[SnapshotResult], None]], Callable[[], None]],
        open_stream: Callable[[int, http_client.Receiver], Callable[[], None]],
        on_change: Callable[[key_value_service.KeyValue], None],
    ) -> None:
        self._clock = clock
        self._read = read
        self._open_stream = open_stream
        self._on_change = on_change
        self._revisions: dict[str, int] = {}
        self._buffer = bytearray()
        self._backoff_ms = REOPEN_BACKOFF_MIN_MS
        self._is_cancelled = False
        self._stream_number = 0
        self._timer: clock_module.Timer | None = None
        self._cancel_call: Callable[[], None] | None = None
        self.reopen_count = 0

    def start(self) -> None:
        """Read a snapshot and open the stream at the next revision."""
        self._stream_number += 1
        self._cancel_call = self._read(self._on_snapshot)

    def cancel(self) -> None:
        """Close the stream; do nothing if the watch is already cancelled."""
        self._is_cancelled = True
        self._stop_call()

    def on_idle_timeout(self) -> None:
        """Reconnect after WATCH_IDLE_TIMEOUT_MS without any data."""
        self._reopen()

    def on_line(self, line: bytes) -> bool:
        """Handle one line; return False if the stream must be reopened."""
        try:
            result = json.loads(line)["result"]
            if result.get("canceled"):
                return False
            items = [
                parse_kv(event["kv"], event.get("type") == "DELETE")
                for event in result.get("events", [])
            ]
        except (AttributeError, KeyError, TypeError, ValueError):
            return False
        for item in items:
            self._deliver(item)
        return True

    def _on_snapshot(self, result: SnapshotResult) -> None:
        self._cancel_call = None
        if self._is_cancelled:
            return
        if not isinstance(result, Success):
            self._reopen()
            return
        revision, items = result.unwrap()
        current_keys = {item.key for item in items}
        for key in [key for key in self._revisions if key not in current_keys]:
            self._deliver(key_value_service.KeyValue(key, None, revision))
        for item in items:
            self._deliver(item)
        if self._is_cancelled:
            return
        self._buffer.clear()
        self._restart_idle_timer()
        receiver = _StreamReceiver(self, self._stream_number)
        self._cancel_call = self._open_stream(revision + 1, receiver)

    def _deliver(self, item: key_value_service.KeyValue) -> None:
        """Deliver a change unless a newer one was delivered before."""
        if self._is_cancelled:
            return
        if item.revision <= self._revisions.get(item.key, 0):
            return
        if item.value is None:
            self._revisions.pop(item.key, None)
        else:
            self._revisions[item.key] = item.revision
        self._on_change(item)

    def on_stream_data(self, number: int, data: bytes) -> None:
        """Buffer data of a stream and handle the complete lines."""
        if number != self._stream_number or self._is_cancelled:
            return
        self._restart_idle_timer()
        self._buffer += data
        while not self._is_cancelled and number == self._stream_number:
            end = self._buffer.find(b"\n")
            if end < 0:
                break
            line = bytes(self._buffer[:end])
            del self._buffer[: end + 1]
            if line.strip() and not self.on_line(line):
                self._reopen()
                return
            self._backoff_ms = REOPEN_BACKOFF_MIN_MS
        if len(self._buffer) > MAX_LINE_BYTES:
            self._reopen()

    def on_stream_close(self, number: int) -> None:
        """Reconnect if the stream that closed is the current one."""
        if number == self._stream_number:
            self._reopen()

    def _restart_idle_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._clock.call_later(
            WATCH_IDLE_TIMEOUT_MS, self.on_idle_timeout
        )

    def _stop_call(self) -> None:
        self._stream_number += 1
        if self._timer is not None:
            self._timer.cancel()
        cancel, self._cancel_call = self._cancel_call, None
        if cancel is not None:
            cancel()

    def _reopen(self) -> None:
        self._stop_call()
        if self._is_cancelled:
            return
        self.reopen_count += 1
        delay_ms = self._backoff_ms
        self._backoff_ms = min(REOPEN_BACKOFF_MAX_MS, 2 * delay_ms)
        self._timer = self._clock.call_later(delay_ms, self.start)


class _StreamReceiver:
    """Receiver of one stream; the watch ignores events of older ones."""

    __slots__ = ("_number", "_watch")

    def __init__(self, watch: EtcdWatch, number: int) -> None:
        self._watch = watch
        self._number = number

    def on_head(self, status: int, headers: dict[str, str]) -> None:
        """Do nothing; an error arrives as a line without a result."""

    def on_data(self, data: bytes) -> None:
        self._watch.on_stream_data(self._number, data)

    def on_close(self, is_complete: bool, was_sent: bool, reason: str) -> None:
        self._watch.on_stream_close(self._number)


def parse_kv(
    item: dict[str, Any], is_deleted: bool = False
) -> key_value_service.KeyValue:
    """Parse a key-value pair; raise KeyError, TypeError or ValueError."""
    value = None if is_deleted else base64.b64decode(item.get("value", ""))
    return key_value_service.KeyValue(
        base64.b64decode(item["key"]).decode(),
        value,
        int(item["mod_revision"]),
        int(item.get("lease", 0)),
    )
