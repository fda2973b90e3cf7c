"""Requests that show whether a route is known to an entry."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import reactor
from twisted.web import client
from twisted.web import http_headers

from soak import caller as caller_module

if TYPE_CHECKING:
    from soak import entry as entry_module

ROUTE = "added"
UNKNOWN_ROUTE_STATUS = 404


class RouteProbe:
    """Ask each entry for a route that was added after all faults."""

    def __init__(self) -> None:
        self._agent = client.Agent(reactor)
        self._statuses: dict[str, int] = {}

    def send(self, entries: list[entry_module.Entry]) -> None:
        """Send one request to each entry that runs."""
        for entry in entries:
            if entry.is_running:
                self._send(entry)

    def _send(self, entry: entry_module.Entry) -> None:
        headers = {
            "Host": [caller_module.HOST],
            "Balsamwall-Deadline-Ms": [str(caller_module.DEADLINE_MS)],
        }
        answer = self._agent.request(
            b"GET",
            f"http://127.0.0.1:{entry.callers_port}/{ROUTE}/1".encode(),
            http_headers.Headers(headers),
        )
        answer.addCallbacks(
            lambda response: self._on_response(entry.name, response),
            lambda failure: None,
        )

    def _on_response(self, name: str, response: Any) -> None:
        self._statuses[name] = response.code
        client.readBody(response).addErrback(lambda failure: None)

    def violations(self) -> list[str]:
        """Return the entries that do not know the route."""
        return [
            f"{name}: a route that was added after the faults is unknown"
            for name, status in self._statuses.items()
            if status == UNKNOWN_ROUTE_STATUS
        ]
