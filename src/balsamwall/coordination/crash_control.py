"""Exchange evidence on crashes with the entries, for the coordinator."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

from balsamwall.coordination import crash_evidence
from balsamwall.coordination import messages_fleet
from balsamwall.gateway import quarantine as quarantine_module

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamwall.logs import decision_log
    from balsamwall.protocol import message
    from balsamwall.timing import clock as clock_module


class Broadcast(Protocol):
    """Connections to all entries."""

    def broadcast(self, item: message.Message) -> None:
        """Send a message to all entries."""


class CrashControl:
    """Collect reports, ask for proofs and announce the quarantine."""

    __slots__ = ("_clock", "_evidence", "_links", "_log", "_quarantine")

    def __init__(
        self,
        clock: clock_module.Clock,
        links: Broadcast,
        log: decision_log.DecisionLog,
    ) -> None:
        self._clock = clock
        self._links = links
        self._log = log
        self._evidence = crash_evidence.CrashEvidence(clock)
        self._quarantine = quarantine_module.Quarantine(clock)

    def on_message(self, item: message.Message) -> bool:
        """Handle a message on crashes; return whether it was one."""
        if isinstance(item, messages_fleet.BrokenRequestReport):
            at_ms = self._clock.now_ms() - max(0, item.age_ms)
            self._apply(
                self._evidence.on_broken(
                    item.process, frozenset(item.fingerprints), at_ms
                )
            )
        elif isinstance(item, messages_fleet.ProcessLost):
            self._apply(self._evidence.on_lost(item.process))
        elif isinstance(item, messages_fleet.ProofReport):
            self._on_proven(frozenset(item.fingerprints))
        elif isinstance(item, messages_fleet.QuarantineNotice):
            self._hold_back(frozenset(item.fingerprints), item.remaining_ms)
        else:
            return False
        return True

    def notices(self) -> list[message.Message]:
        """Return the content that is held back, for a new entry."""
        return [
            messages_fleet.QuarantineNotice(sorted(content), left_ms)
            for content, left_ms in self._quarantine.entries()
        ]

    def _apply(self, findings: crash_evidence.Findings) -> None:
        now_ms = self._clock.now_ms()
        for watch in findings.watches:
            self._log.write("proof_wanted", content=watch.content.hex())
            self._links.broadcast(
                messages_fleet.ProofQuery(
                    watch.content, now_ms - watch.since_ms
                )
            )
        for content in findings.quarantined:
            self._hold_back(content, quarantine_module.QUARANTINE_MS)

    def _hold_back(self, content: frozenset[bytes], remaining_ms: int) -> None:
        """Announce content that is to be held back, unless it is known."""
        if not self._quarantine.add(content, remaining_ms):
            return
        self._links.broadcast(
            messages_fleet.QuarantineNotice(sorted(content), remaining_ms)
        )

    def _on_proven(self, fingerprints: frozenset[bytes]) -> None:
        """Drop the evidence against proven content, and release it."""
        self._evidence.on_proven(fingerprints)
        released = self._quarantine.match(fingerprints)
        while released:
            self._quarantine.remove(released)
            self._log.write("quarantine_released", content=_hex(released))
            self._links.broadcast(
                messages_fleet.QuarantineNotice(sorted(released), 0)
            )
            released = self._quarantine.match(fingerprints)


def _hex(content: Iterable[bytes]) -> list[str]:
    return sorted(item.hex() for item in content)
