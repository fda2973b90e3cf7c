"""Choice of a backend server for a request."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from balsamwall.gateway import server_health

if TYPE_CHECKING:
    import random

    from balsamwall.gateway import backend_directory
    from balsamwall.gateway import incoming_request
    from balsamwall.timing import clock as clock_module

# Shares of a full server by which a candidate counts as busier.
OTHER_ZONE_PENALTY = 0.08
FAILURE_PENALTY = 2.0
# Prompt parts that a server has read lately save it a part of the prefill.
PREFIX_BONUS = 0.04
PREFIX_LIFE_MS = 20_000
MAX_PREFIXES = 4_096
# Random part that separates equal candidates.
TIE_BREAK = 0.01


class Missing(enum.Enum):
    """Why no server was chosen."""

    NO_SERVER = "no_server"
    NOT_RESIDENT = "not_resident"


@dataclasses.dataclass(slots=True, frozen=True)
class Choice:
    """Chosen server, or why there is none."""

    server: backend_directory.BackendServer | None
    missing: Missing | None = None


class ServerChoice:
    """Least loaded server that holds the model, near ones first.

    Load pattern: many models on few servers, each entry knowing a part of
    the load; the penalty for another zone gives way when the near servers
    are busier than the far ones.
    """

    __slots__ = ("_clock", "_directory", "_health", "_prefixes", "_random")

    def __init__(
        self,
        clock: clock_module.Clock,
        random_source: random.Random,
        directory: backend_directory.BackendDirectory,
        health: server_health.ServerHealth,
    ) -> None:
        self._clock = clock
        self._random = random_source
        self._directory = directory
        self._health = health
        self._prefixes: dict[tuple[str, str], tuple[str, int]] = {}

    def choose(
        self,
        service: str,
        request: incoming_request.IncomingRequest,
        zone: str,
        excluded: frozenset[str],
    ) -> Choice:
        """Return the server for a request."""
        ready = self._directory.ready_servers(service)
        ready = [item for item in ready if item.server_id not in excluded]
        if not ready:
            return Choice(None, Missing.NO_SERVER)
        holders = ready
        if request.model:
            holders = [
                server
                for server in ready
                if server.has(request.model, request.adapter)
            ]
            if not holders:
                return Choice(None, Missing.NOT_RESIDENT)
        usable = self._health.usable(holders)
        best = min(
            usable, key=lambda server: self._score(server, request, zone)
        )
        return Choice(best)

    def note_sent(
        self,
        server: backend_directory.BackendServer,
        request: incoming_request.IncomingRequest,
    ) -> None:
        """Remember which server reads the shared parts of a prompt."""
        if len(self._prefixes) > MAX_PREFIXES:
            self._prefixes.clear()
        now_ms = self._clock.now_ms()
        for part in request.prompt_parts:
            self._prefixes[request.model, part] = (server.server_id, now_ms)

    def _score(
        self,
        server: backend_directory.BackendServer,
        request: incoming_request.IncomingRequest,
        zone: str,
    ) -> float:
        now_ms = self._clock.now_ms()
        slots = max(1, server.record.slots)
        score = server.load(now_ms) / slots
        score += FAILURE_PENALTY * server.failure_share
        if server.record.availability_zone != zone:
            score += OTHER_ZONE_PENALTY
        for part in request.prompt_parts:
            known = self._prefixes.get((request.model, part))
            if known is None or known[0] != server.server_id:
                continue
            if now_ms - known[1] < PREFIX_LIFE_MS:
                score -= PREFIX_BONUS
        return score + TIE_BREAK * self._random.random()
