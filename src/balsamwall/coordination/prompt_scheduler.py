"""Choice of the engine that prefills each prompt, for all entries."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from balsamwall.gateway import server_choice

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamwall.coordination import engine_tracker
    from balsamwall.gateway import server_speed
    from balsamwall.timing import clock as clock_module

# Backlog of the best engine above which no server is assigned. All replicas
# are overloaded then, and the queues of the entries decide what is sent.
MAX_BACKLOG_MS = 300
# Entries report the requests that they have sent within this time.
REPORT_DELAY_MS = 300


@dataclasses.dataclass(slots=True, frozen=True)
class Prompt:
    """Prompt of a request, as far as the choice of its engine needs it."""

    tokens: int
    zone: str  # of the entry that sends it
    # Server that has probably cached a part of it.
    cached_at: str = ""
    cached_tokens: int = 0
    model: str = ""
    gap_target_ms: int = 0  # of the events of its stream, 0 if unset

    def prefill_ms(self, server_id: str) -> float:
        """Return the time that its prefill takes at a usual server."""
        tokens = self.tokens
        if server_id == self.cached_at:
            tokens -= self.cached_tokens
        return tokens / server_choice.PREFILL_TOKENS_PER_MS


@dataclasses.dataclass(slots=True, frozen=True)
class _Candidate:
    """Engine that may prefill a prompt."""

    server_id: str
    score_ms: float  # expected time to the first token, with penalties
    backlog_ms: float
    factor: float  # of its prefill times, 1.0 is usual


class _EngineBacklog:
    """Prompts that were assigned to one engine."""

    __slots__ = ("assigned_ms", "prefilled_at_ms")

    def __init__(self) -> None:
        self.prefilled_at_ms = 0.0
        # Times of the assignments that reports may not include yet.
        self.assigned_ms: collections.deque[int] = collections.deque()


class PromptScheduler:
    """Assign each prompt to the engine that prefills it first.

    Load pattern: many entries send prompts to the same few engines, and each
    knows only its own. Prompts that meet at one engine pause all streams that
    run there, while other replicas are idle. The times at a server whose
    service reports work times are multiplied by its learned factor.
    """

    __slots__ = ("_backlogs", "_clock", "_speeds")

    def __init__(
        self,
        clock: clock_module.Clock,
        speeds: server_speed.SpeedTable | None = None,
    ) -> None:
        self._clock = clock
        self._speeds = speeds
        self._backlogs: dict[str, _EngineBacklog] = {}

    def forget(self, server_id: str) -> None:
        """Drop the backlog of a server that has left."""
        self._backlogs.pop(server_id, None)

    def assign(
        self,
        holders: Iterable[engine_tracker.EngineTracker],
        loads: dict[str, int],
        pending_tokens: dict[str, int],
        prompt: Prompt,
    ) -> str:
        """Return the server for a prompt, or an empty string for none.

        `loads` has the requests at each server as all entries report them,
        `pending_tokens` the prompts that have no first token yet.
        """
        now_ms = self._clock.now_ms()
        best = min(
            (
                self._candidate(tracker, loads, pending_tokens, prompt, now_ms)
                for tracker in holders
            ),
            key=lambda candidate: candidate.score_ms,
            default=None,
        )
        if best is None or best.backlog_ms > MAX_BACKLOG_MS:
            return ""
        self._record(best.server_id, prompt, best.factor, now_ms)
        return best.server_id

    def _candidate(
        self,
        tracker: engine_tracker.EngineTracker,
        loads: dict[str, int],
        pending_tokens: dict[str, int],
        prompt: Prompt,
        now_ms: int,
    ) -> _Candidate:
        """Return the score of an engine for a prompt."""
        server_id = tracker.record.server_id
        speed = self._speeds.get(server_id) if self._speeds else None
        factor = speed.factor(prompt.model, now_ms) if speed else 1.0
        tokens = pending_tokens.get(server_id, 0)
        backlog_ms = self._backlog_ms(server_id, tokens, factor, now_ms)
        load = self._load(server_id, loads, now_ms)
        score_ms = backlog_ms + self._score(tracker, load, prompt, factor)
        if speed is not None:
            pause_ms = speed.pause_ms(
                prompt.model, load + 1, tokens + prompt.tokens, now_ms
            )
            score_ms += server_choice.pause_penalty_ms(
                pause_ms, prompt.gap_target_ms
            )
        return _Candidate(server_id, score_ms, backlog_ms, factor)

    def _record(
        self, server_id: str, prompt: Prompt, factor: float, now_ms: int
    ) -> None:
        backlog = self._backlogs.setdefault(server_id, _EngineBacklog())
        start_ms = max(backlog.prefilled_at_ms, now_ms)
        prefill_ms = factor * prompt.prefill_ms(server_id)
        backlog.prefilled_at_ms = start_ms + prefill_ms
        backlog.assigned_ms.append(now_ms)

    def _load(self, server_id: str, loads: dict[str, int], now_ms: int) -> int:
        """Return the reported requests and those assigned since."""
        load = loads.get(server_id, 0)
        backlog = self._backlogs.get(server_id)
        if backlog is not None:
            _drop_reported(backlog, now_ms)
            load += len(backlog.assigned_ms)
        return load

    def _score(
        self,
        tracker: engine_tracker.EngineTracker,
        load: int,
        prompt: Prompt,
        factor: float,
    ) -> float:
        """Return the expected time to the first token with penalties."""
        record = tracker.record
        score = prompt.prefill_ms(record.server_id)
        score += server_choice.load_penalty_ms(load, max(1, record.slots))
        score *= factor
        if record.availability_zone != prompt.zone:
            score += server_choice.CROSS_ZONE_PENALTY_MS
        return score

    def _backlog_ms(
        self, server_id: str, reported: int, factor: float, now_ms: int
    ) -> float:
        """Return the time until an engine has prefilled its prompts.

        The assignments are known at once, and the reports show an engine that
        prefills more slowly than expected.
        """
        reported_ms = factor * reported / server_choice.PREFILL_TOKENS_PER_MS
        backlog = self._backlogs.get(server_id)
        if backlog is None:
            return reported_ms
        return max(reported_ms, backlog.prefilled_at_ms - now_ms)


def _drop_reported(backlog: _EngineBacklog, now_ms: int) -> None:
    """Drop the assignments that the reports of the entries include."""
    assigned_ms = backlog.assigned_ms
    while assigned_ms and now_ms - assigned_ms[0] > REPORT_DELAY_MS:
        assigned_ms.popleft()
