"""Requests that show whether a route is known to an entry."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import reactor
from twisted.web import client
from twisted.web import http_headers

from soak import caller as caller_module

if TYPE_CHECKING:
    from collections.abc import Iterable

    from soak import entry as entry_module

UNKNOWN_ROUTE_STATUS = 404


class RouteProbe:
    """Ask entries for routes that were added some seconds before."""

    def __init__(self) -> None:
        self._agent = client.Agent(reactor)
        self._violations: list[str] = []

    @property
    def violations(self) -> list[str]:
        """Return the entries that did not know a route."""
        return self._violations

    def send(self, route: str, entries: Iterable[entry_module.Entry]) -> None:
        """Send one request for a route to each entry that runs."""
        for entry in entries:
            if entry.is_running:
                self._send(route, entry)

    def _send(self, route: str, entry: entry_module.Entry) -> None:
        headers = {
            "Host": [caller_module.HOST],
            "Balsamwall-Request-Id": [f"probe-{route}"],
            "Balsamwall-Deadline-Ms": [str(caller_module.DEADLINE_MS)],
        }
        answer = self._agent.request(
            b"GET",
            f"http://127.0.0.1:{entry.callers_port}/{route}/1".encode(),
            http_headers.Headers(headers),
        )
        answer.addCallbacks(
            lambda response: self._on_response(route, entry.name, response),
            lambda failure: None,
        )

    def _on_response(self, route: str, name: str, response: Any) -> None:
        if response.code == UNKNOWN_ROUTE_STATUS:
            self._violations.append(
                f"{name}: route {route}, added some seconds before, is unknown"
            )
        client.readBody(response).addErrback(lambda failure: None)
