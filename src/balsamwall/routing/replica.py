"""State of one agent as an entry knows it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.protocol import messages_state


class Replica:
    """Last report of one agent and the entry's own traffic since then."""

    __slots__ = (
        "cache_age_ms",
        "cache_has_gap",
        "cache_prefixes",
        "cache_seen_ms",
        "cache_sequence",
        "correction",
        "failures",
        "incarnation",
        "is_leaving",
        "is_up",
        "mean_run_ms",
        "names",
        "own_done",
        "own_prompt_tokens",
        "own_sent",
        "own_sent_urgent",
        "peer",
        "report",
        "report_seen_ms",
        "residents_sequence",
        "returned_ms",
        "zone",
    )

    def __init__(self, peer: str, zone: str) -> None:
        self.peer = peer
        self.zone = zone
        self.incarnation = 0
        self.is_up = False
        self.is_leaving = False
        self.names: frozenset[str] = frozenset()
        self.report: messages_state.AgentReport | None = None
        self.report_seen_ms = 0
        self.residents_sequence = -1
        self.returned_ms = 0
        self.own_sent = 0
        self.own_sent_urgent = 0
        self.own_done = 0
        self.own_prompt_tokens = 0
        self.correction = 1.0
        self.mean_run_ms = 1_000.0
        self.failures = 0
        self.cache_prefixes: frozenset[int] = frozenset()
        self.cache_sequence = -1
        self.cache_seen_ms = 0
        self.cache_age_ms = 0
        self.cache_has_gap = False

    def begin(self, incarnation: int, now_ms: int) -> None:
        """Forget everything that belonged to an earlier incarnation."""
        self.incarnation = incarnation
        self.is_leaving = False
        self.names = frozenset()
        self.report = None
        self.residents_sequence = -1
        self.returned_ms = now_ms
        self.own_sent = self.own_sent_urgent = 0
        self.own_done = self.own_prompt_tokens = 0
        self.correction = 1.0
        self.failures = 0
        self.cache_prefixes = frozenset()
        self.cache_sequence = -1

    @property
    def is_ready(self) -> bool:
        """Tell whether new requests may be sent to the agent."""
        return (
            self.is_up
            and not self.is_leaving
            and self.report is not None
            and self.report.state == "ready"
        )
