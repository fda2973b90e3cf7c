"""Queries for the engine that shall prefill a prompt."""

from __future__ import annotations

import dataclasses
from typing import Protocol
from typing import TYPE_CHECKING

from balsamwall.gateway import coordinator_queries

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.timing import clock as clock_module

# With fewer entries, each one sees most of the load by itself, and sooner than
# the coordinator.
MIN_ENTRIES = 8
# A shorter prompt is prefilled between two events of a stream.
MIN_QUERY_TOKENS = 400


@dataclasses.dataclass(slots=True, frozen=True)
class PromptQuery:
    """Prompt of a request, with what the entry knows of its prefill."""

    service: str
    model: str
    adapter: str
    tokens: int
    # Server that has probably cached a part of it.
    cached_at: str = ""
    cached_tokens: int = 0


class QueryLink(Protocol):
    """Send queries to the coordinator."""

    def send_query(self, number: int, query: PromptQuery) -> bool:
        """Send a query; return False without a coordinator."""


class AssignmentClient:
    """Ask the coordinator for the server of a prompt.

    Load pattern: as of the prompt scheduler.
    """

    __slots__ = ("_entries", "_link", "_queries")

    def __init__(self, clock: clock_module.Clock) -> None:
        self._link: QueryLink | None = None
        self._entries = 0
        self._queries: coordinator_queries.CoordinatorQueries[str] = (
            coordinator_queries.CoordinatorQueries(clock)
        )

    def set_link(self, link: QueryLink) -> None:
        """Set where queries are sent; before that none is."""
        self._link = link

    def set_entries(self, count: int) -> None:
        """Set the number of entries of the fleet."""
        self._entries = count

    def query(
        self, query: PromptQuery, on_assigned: Callable[[str], None]
    ) -> bool:
        """Send a query; return False if the entry has to choose by itself.

        `on_assigned` gets the server, empty without a response in time.
        """
        link = self._link
        if link is None or self._entries < MIN_ENTRIES:
            return False
        if query.tokens < MIN_QUERY_TOKENS:
            return False
        return self._queries.send(
            lambda number: link.send_query(number, query),
            lambda server_id: on_assigned(server_id or ""),
        )

    def on_response(self, number: int, server_id: str) -> None:
        """Handle a response; one after the timeout is ignored."""
        self._queries.resolve(number, server_id)
