"""Choose a backend server for a request."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from balsamwall.gateway import server_health
from balsamwall.gateway import server_speed
from balsamwall.gateway import stream_meter

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from balsamwall.gateway import backend_directory
    from balsamwall.gateway import incoming_request
    from balsamwall.gateway import route as route_module
    from balsamwall.gateway import server_backoff
    from balsamwall.gateway import server_limits
    from balsamwall.timing import clock as clock_module

PREFILL_TOKENS_PER_MS = server_speed.PREFILL_TOKENS_PER_MS
# Assumed prefill time of a request that waits at the server. The prompts that
# other entries sent are not known.
WAITING_REQUEST_MS = 25.0
# A server in another availability zone must be faster by this much.
CROSS_ZONE_PENALTY_MS = 12.0
# Slowdown of an engine with a full batch, in proportion for a smaller batch.
FULL_BATCH_PENALTY_MS = 40.0
# Expected wait for a slot, for each request beyond the slots.
SLOT_WAIT_MS = 50.0
# Penalty of a server whose streams are expected to pause for longer than the
# target, and of each millisecond beyond it. The pauses affect all streams
# there, so that any server within the target is better.
LONG_PAUSE_PENALTY_MS = 400.0
LONG_PAUSE_WEIGHT = 4.0
# Penalty of a pause as long as the target; it grows with the square.
PAUSE_PENALTY_MS = 80.0
# Penalty of a server at which all requests fail, in proportion for a smaller
# share of failures.
FAILURE_PENALTY_MS = 500.0
# A shared part of a prompt sent longer ago no longer counts as cached.
PREFIX_MAX_AGE_MS = 20_000
# With more parts than this, all of them are discarded.
MAX_PREFIXES = 4_096
# Random part of the score, so that entries spread over equal servers.
TIE_BREAK_MS = 3.0
# Penalty of a server without an idle connection. It decides between servers
# that differ by the random part, or in load by up to 7% of the slots.
NEW_CONNECTION_PENALTY_MS = 3.0


class NoServerReason(enum.Enum):
    """State why no server was chosen."""

    NO_SERVER = "no_server"
    NOT_RESIDENT = "not_resident"
    NO_VERSION = "no_version"  # no ready server of the required version
    LIMITED = "limited"  # the limits of all servers are used up
    BACKOFF = "backoff"  # all servers want no requests for a time


@dataclasses.dataclass(slots=True, frozen=True)
class Choice:
    """Hold the chosen server, or why there is none."""

    server: backend_directory.BackendServer | None
    no_server_reason: NoServerReason | None = None
    expected_ms: int = 0  # score: time to the first token with penalties
    load: int = 0  # requests at the server before this one
    candidates: int = 0  # servers that were compared
    # Time until the first server wants requests, if all are in a back-off.
    backoff_ms: int = 0


def load_penalty_ms(load: float, slots: int) -> float:
    """Return the delay that the requests at a server cause for one more."""
    penalty = FULL_BATCH_PENALTY_MS * load / slots
    return penalty + SLOT_WAIT_MS * max(0.0, load + 1 - slots)


def pause_penalty_ms(pause_ms: float, target_ms: int) -> float:
    """Return the penalty of a pause expected with one more request."""
    if not target_ms:
        return 0.0
    share = min(1.0, pause_ms / target_ms)
    penalty = PAUSE_PENALTY_MS * share * share
    if pause_ms > target_ms:
        penalty += LONG_PAUSE_PENALTY_MS
        penalty += LONG_PAUSE_WEIGHT * (pause_ms - target_ms)
    return penalty


def of_required_version(
    servers: list[backend_directory.BackendServer],
    required_version: str | None,
) -> list[backend_directory.BackendServer]:
    """Return the servers of a software version, all of them without one."""
    if required_version is None:
        return servers
    return [
        server
        for server in servers
        if server.record.software_version == required_version
    ]


def _holders(
    servers: list[backend_directory.BackendServer],
    request: incoming_request.IncomingRequest,
) -> list[backend_directory.BackendServer]:
    """Return the servers with the model of a request, all without one."""
    if not request.model:
        return servers
    return [
        server
        for server in servers
        if server.has(request.model, request.adapter)
    ]


class ServerChoice:
    """Choose the server with the lowest expected time to the first token.

    Each entry knows only a part of the load on a server, and few servers hold
    a given model. The penalty for another availability zone is a fixed time,
    so that a busy local server loses against an idle remote one. Servers that
    report work times may differ in speed; their times are multiplied by the
    learned factors, and servers with pauses beyond the target are avoided.
    """

    __slots__ = (
        "_backoff",
        "_clock",
        "_directory",
        "_has_idle",
        "_health",
        "_limits",
        "_prefixes",
        "_random",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        random_source: random.Random,
        directory: backend_directory.BackendDirectory,
        health: server_health.ServerHealth,
        limits: server_limits.ServerLimits,
        backoff: server_backoff.ServerBackoff,
    ) -> None:
        self._clock = clock
        self._random = random_source
        self._directory = directory
        self._health = health
        self._limits = limits
        self._backoff = backoff
        self._prefixes: dict[tuple[str, str], tuple[str, int]] = {}
        self._has_idle: (
            Callable[[backend_directory.ServerRecord], bool] | None
        ) = None

    def prefer_idle(
        self, has_idle: Callable[[backend_directory.ServerRecord], bool]
    ) -> None:
        """Prefer servers with an idle connection among about equal ones."""
        self._has_idle = has_idle

    def choose(
        self,
        service: str,
        request: incoming_request.IncomingRequest,
        zone: str,
        excluded: frozenset[str],
        gap_target_ms: int = 0,
        required_version: str | None = None,
    ) -> Choice:
        """Return the best ready server that holds the model of a request.

        Ejected servers are only used if too many are ejected. A request
        without a model may go to any ready server. `excluded` holds the
        identifiers of servers that must not be chosen. Without a required
        software version, servers of all versions are compared.
        """
        ready = self._directory.ready_servers(service)
        ready = [item for item in ready if item.server_id not in excluded]
        if not ready:
            return Choice(None, NoServerReason.NO_SERVER)
        of_version = of_required_version(ready, required_version)
        if not of_version:
            return Choice(None, NoServerReason.NO_VERSION)
        holders = _holders(of_version, request)
        if not holders:
            return Choice(None, NoServerReason.NOT_RESIDENT)
        backoff_ms = self._backoff.until_open_ms(holders)
        if backoff_ms:
            return Choice(None, NoServerReason.BACKOFF, backoff_ms=backoff_ms)
        usable = self._usable(holders)
        if not usable:
            return Choice(None, NoServerReason.LIMITED)
        scores = [
            (self._score(server, request, zone, gap_target_ms), index)
            for index, server in enumerate(usable)
        ]
        score, index = min(scores)
        best = usable[index]
        load = int(best.load(self._clock.now_ms()))
        return Choice(best, None, int(score), load, len(usable))

    def _usable(
        self, holders: list[backend_directory.BackendServer]
    ) -> list[backend_directory.BackendServer]:
        """Return the servers to which a request may be sent now.

        Servers in a back-off come first, since ejected ones are returned if
        too few others are left.
        """
        if self._backoff:
            holders = [item for item in holders if self._backoff.is_open(item)]
        return [
            server
            for server in self._health.usable(holders)
            if self._limits.is_open(server)
        ]

    def record_sent(
        self,
        server: backend_directory.BackendServer,
        request: incoming_request.IncomingRequest,
    ) -> None:
        """Record that a server will cache the shared parts of a prompt."""
        if len(self._prefixes) > MAX_PREFIXES:
            self._prefixes.clear()
        now_ms = self._clock.now_ms()
        for part in request.shared_parts:
            key = (request.model, part.part_id)
            self._prefixes[key] = (server.server_id, now_ms)

    def meter(
        self,
        server: backend_directory.BackendServer,
        request: incoming_request.IncomingRequest,
        route: route_module.Route,
    ) -> stream_meter.StreamMeter | None:
        """Return the meter of a stream that is about to be sent.

        Only streams of a model have one, if the service reports work times.
        """
        is_measured = route.is_stream and bool(request.model)
        if not is_measured or not server.speed.reports_work_times:
            return None
        tokens = server.pending_tokens + request.prompt_tokens
        tokens -= self.cached_tokens(server, request)
        return stream_meter.StreamMeter(
            server, request.model, tokens, self._clock.now_ms()
        )

    def _score(
        self,
        server: backend_directory.BackendServer,
        request: incoming_request.IncomingRequest,
        zone: str,
        gap_target_ms: int,
    ) -> float:
        """Return the expected time to the first token, in milliseconds.

        It includes the penalties and a random part that breaks ties.
        """
        now_ms = self._clock.now_ms()
        slots = max(1, server.record.slots)
        load = server.load(now_ms)
        tokens = server.pending_tokens
        tokens -= self.cached_tokens(server, request)
        score = tokens / PREFILL_TOKENS_PER_MS
        score += WAITING_REQUEST_MS * server.waiting(now_ms)
        score += load_penalty_ms(load, slots)
        if server.speed.reports_work_times:
            # A fast server also prefills this prompt sooner, and the prompts
            # of other entries, which are known only by the load.
            other_ms = server_speed.PREFILL_MS_PER_REQUEST * load
            other_ms -= server.pending_tokens / PREFILL_TOKENS_PER_MS
            tokens += request.prompt_tokens
            score += request.prompt_tokens / PREFILL_TOKENS_PER_MS
            score += max(0.0, other_ms)
            score *= server.speed.factor(request.model, now_ms)
            pause_ms = server.speed.pause_ms(
                request.model, load + 1, tokens, now_ms
            )
            score += pause_penalty_ms(pause_ms, gap_target_ms)
        score += FAILURE_PENALTY_MS * server.failure_share
        if server.record.availability_zone != zone:
            score += CROSS_ZONE_PENALTY_MS
        score += self._connection_penalty_ms(server)
        return score + TIE_BREAK_MS * self._random.random()

    def _connection_penalty_ms(
        self, server: backend_directory.BackendServer
    ) -> float:
        """Return the penalty for a connection that has to be opened."""
        if self._has_idle is None or self._has_idle(server.record):
            return 0.0
        return NEW_CONNECTION_PENALTY_MS

    def cached_tokens(
        self,
        server: backend_directory.BackendServer,
        request: incoming_request.IncomingRequest,
    ) -> int:
        """Return the expected length of the cached prompt prefix in tokens."""
        now_ms = self._clock.now_ms()
        cached = 0
        for part in request.shared_parts:
            known = self._prefixes.get((request.model, part.part_id))
            if known is None or known[0] != server.server_id:
                break
            if now_ms - known[1] > PREFIX_MAX_AGE_MS:
                break
            cached += part.tokens
        return cached
