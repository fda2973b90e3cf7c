"""Stand-in for a plain service whose calls may not be repeatable."""

from __future__ import annotations

import hashlib
import random
from typing import Any

from balsamwall_standins import command_line
from balsamwall_standins import http_server


def expected_response(path: str, body: bytes) -> dict[str, object]:
    """Return the only correct response to a request."""
    digest = hashlib.sha256(path.encode() + b"\0" + body).hexdigest()
    return {"path": path, "digest": digest, "length": len(body)}


class Service(http_server.HttpStandin):
    """Service that runs and counts every POST, without deduplication."""

    def __init__(
        self, reactor: Any, duration_ms: int = 20, jitter_ms: int = 0
    ) -> None:
        super().__init__(reactor)
        self._random = random.Random(0)
        self._generation = 0
        self.duration_ms = duration_ms
        self.jitter_ms = jitter_ms
        self.running = 0
        self.add_route("GET", "/healthz", self._on_health)
        self.add_route("POST", "/", self._on_post)

    def _apply_specific_faults(self, values: dict[str, Any]) -> None:
        if "duration_ms" in values:
            self.duration_ms = int(values.pop("duration_ms"))
        if values.pop("crash", False):
            self.clock.call_later(5, self.crash)

    def crash(self) -> None:
        """Drop all running requests and refuse connections."""
        self._generation += 1
        self.running = 0
        self.go_down(self.faults.crash_down_ms)

    def _on_health(self, call: http_server.Call) -> None:
        call.reply(200, {"running": self.running})

    def _on_post(self, call: http_server.Call) -> None:
        self.count_execution(
            call.header("x-request-id"), call.header("idempotency-key")
        )
        is_crash = self.faults.is_crash_marker_enabled
        if is_crash and b'"crash":true' in call.body.replace(b" ", b""):
            self.crash()
            return
        self.running += 1
        duration_ms = self.duration_ms
        if self.jitter_ms:
            duration_ms += self._random.randrange(self.jitter_ms)
        self.clock.call_later(
            duration_ms, self._finish, call, self._generation
        )

    def _finish(self, call: http_server.Call, generation: int) -> None:
        if generation == self._generation:
            self.running -= 1
            call.reply(200, expected_response(call.path, call.body))


def main() -> None:
    """Run a service until a signal arrives."""
    parser = command_line.build_parser("plain service")
    parser.add_argument("--duration-ms", type=int, default=20)
    parser.add_argument("--jitter-ms", type=int, default=0)
    arguments = parser.parse_args()
    command_line.serve(
        arguments,
        lambda reactor: Service(
            reactor, arguments.duration_ms, arguments.jitter_ms
        ),
    )


if __name__ == "__main__":
    main()
