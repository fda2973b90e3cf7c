"""Stand-in for the rate-limited weight store."""

from __future__ import annotations

from typing import Any

from balsamwall_standins import command_line
from balsamwall_standins import http_server
from balsamwall_standins import rate_limit


class WeightStore(http_server.HttpStandin):
    """Store that responds when a transfer has ended, or 429 over a limit."""

    def __init__(
        self,
        reactor: Any,
        loads_per_second: float = 3.0,
        max_concurrent: int = 6,
        duration_ms: int = 1_000,
        bytes_per_ms: int = 0,
    ) -> None:
        super().__init__(reactor)
        self._limit = rate_limit.RateLimit(
            self.clock, loads_per_second, burst=max(1, int(loads_per_second))
        )
        self.max_concurrent = max_concurrent
        self.duration_ms = duration_ms
        self.bytes_per_ms = bytes_per_ms
        self.concurrent = 0
        self.peak_concurrent = 0
        self.started = 0
        self.finished = 0
        self.refused = 0
        self.add_route("GET", "/weights/", self._on_read)
        self.add_route("GET", "/counts", self._on_counts)

    def counts(self) -> dict[str, int]:
        """Return the transfer counters."""
        return {
            "started": self.started,
            "finished": self.finished,
            "refused": self.refused,
            "concurrent": self.concurrent,
            "peak_concurrent": self.peak_concurrent,
        }

    def _on_counts(self, call: http_server.Call) -> None:
        call.reply(200, self.counts())

    def _on_read(self, call: http_server.Call) -> None:
        if self.concurrent >= self.max_concurrent or not self._limit.take():
            self.refused += 1
            call.reply(429, {"error": "limit reached"}, {"retry-after": "1"})
            return
        self.started += 1
        self.concurrent += 1
        self.peak_concurrent = max(self.peak_concurrent, self.concurrent)
        duration_ms = self.duration_ms
        if self.bytes_per_ms:
            duration_ms += call.query_int("bytes", 0) // self.bytes_per_ms
        self.clock.call_later(duration_ms, self._finish, call)

    def _finish(self, call: http_server.Call) -> None:
        self.concurrent -= 1
        self.finished += 1
        call.reply(200, {"bytes": call.query_int("bytes", 0)})


def main() -> None:
    """Run a weight store until a signal arrives."""
    parser = command_line.build_parser("weight store")
    parser.add_argument("--loads-per-second", type=float, default=3.0)
    parser.add_argument("--max-concurrent", type=int, default=6)
    parser.add_argument("--duration-ms", type=int, default=1_000)
    parser.add_argument("--bytes-per-ms", type=int, default=0)
    arguments = parser.parse_args()
    command_line.serve(
        arguments,
        lambda reactor: WeightStore(
            reactor,
            arguments.loads_per_second,
            arguments.max_concurrent,
            arguments.duration_ms,
            arguments.bytes_per_ms,
        ),
    )


if __name__ == "__main__":
    main()
