"""Keep the state of one agent as seen by an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.protocol import messages_state


class Replica:
    """Hold the last report of one agent and the entry's traffic since then."""

    __slots__ = (
        "cache_age_ms",
        "cache_has_gap",
        "cache_prefixes",
        "cache_received_ms",
        "cache_sequence",
        "correction",
        "failures",
        "incarnation",
        "is_leaving",
        "is_up",
        "mean_run_ms",
        "names",
        "finished_since_report",
        "prompt_tokens_since_report",
        "sent_since_report",
        "urgent_sent_since_report",
        "peer",
        "report",
        "report_received_ms",
        "residents_sequence",
        "ready_since_ms",
        "zone",
    )

    def __init__(self, peer: str, zone: str) -> None:
        self.peer = peer
        self.zone = zone
        self.incarnation = 0
        self.is_up = False
        self.is_leaving = False
        # Resident models, adapters and services, named by index_name.
        self.names: frozenset[str] = frozenset()
        self.report: messages_state.AgentReport | None = None
        self.report_received_ms = 0
        self.residents_sequence = -1
        self.ready_since_ms = 0
        self.sent_since_report = 0
        self.urgent_sent_since_report = 0
        self.finished_since_report = 0
        self.prompt_tokens_since_report = 0
        self.correction = 1.0
        self.mean_run_ms = 1_000.0
        self.failures = 0  # consecutive
        self.cache_prefixes: frozenset[int] = frozenset()
        self.cache_sequence = -1
        self.cache_received_ms = 0
        self.cache_age_ms = 0  # age of the digest when it was received
        self.cache_has_gap = False

    def reset(self, incarnation: int, now_ms: int) -> None:
        """Clear the state that belongs to an earlier incarnation."""
        self.incarnation = incarnation
        self.is_leaving = False
        self.names = frozenset()
        self.report = None
        self.residents_sequence = -1
        self.ready_since_ms = now_ms
        self.sent_since_report = self.urgent_sent_since_report = 0
        self.finished_since_report = self.prompt_tokens_since_report = 0
        self.correction = 1.0
        self.failures = 0
        self.cache_prefixes = frozenset()
        self.cache_sequence = -1

    @property
    def is_ready(self) -> bool:
        """Return whether new requests may be sent to the agent."""
        return (
            self.is_up
            and not self.is_leaving
            and self.report is not None
            and self.report.state == "ready"
        )
