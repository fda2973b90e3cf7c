"""Measure the events of one attempt to learn the speed of its server."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.gateway import backend_directory

# Gaps of which the longest is one observation. The prompts of other requests
# are prefilled in some of the gaps only, and callers notice the longest.
GAPS_PER_OBSERVATION = 8


class StreamMeter:
    """Pass the time to the first event and the longest gaps to the speed.

    `tokens` are the uncached prompt tokens that the server has to prefill
    until the first event, as far as this entry knows them.
    """

    __slots__ = (
        "_gaps",
        "_has_begun",
        "_last_ms",
        "_load",
        "_longest_ms",
        "_model",
        "_sent_ms",
        "_server",
        "_tokens",
        "learned",
        "work_time_factor",
    )

    def __init__(
        self,
        server: backend_directory.BackendServer,
        model: str,
        tokens: int,
        now_ms: int,
    ) -> None:
        self._server = server
        self._model = model
        self._tokens = tokens
        self._sent_ms = now_ms
        self._load = server.load(now_ms) + 1
        self._has_begun = False
        self._last_ms: int | None = None
        self._longest_ms = 0
        self._gaps = 0
        self.learned = server.speed.learned(model, now_ms, is_pause=True)
        self.work_time_factor = server.speed.work_time_factor(now_ms)

    def on_data(self, now_ms: int) -> None:
        """Handle events that have been received."""
        last_ms, self._last_ms = self._last_ms, now_ms
        if not self._has_begun:
            self._has_begun = True
            self._on_first_event(now_ms)
            self._load = 0.0
        elif last_ms is not None:
            self._on_gap(now_ms - last_ms, now_ms)

    def _on_first_event(self, now_ms: int) -> None:
        """Learn the prefill, unless the request waited for a slot."""
        if self._load <= self._server.record.slots:
            self._server.speed.on_first_event(
                self._model,
                self._tokens,
                self._load,
                now_ms - self._sent_ms,
                now_ms,
            )

    def _on_gap(self, gap_ms: int, now_ms: int) -> None:
        slots = self._server.record.slots
        load = min(float(slots), self._server.load(now_ms))
        self._longest_ms = max(self._longest_ms, gap_ms)
        self._load = max(self._load, load)
        self._gaps += 1
        if self._gaps == GAPS_PER_OBSERVATION:
            self._server.speed.on_gap(
                self._model, self._longest_ms, self._load, now_ms
            )
            self._reset()

    def on_blocked(self) -> None:
        """Discard the gaps, and a first event, that a slow caller delays."""
        self._has_begun = True
        self._reset()
        self._last_ms = None

    def _reset(self) -> None:
        self._gaps = self._longest_ms = 0
        self._load = 0.0
