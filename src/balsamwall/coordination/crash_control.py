"""Exchange evidence on crashes with the entries, for the coordinator."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

from balsamwall.coordination import crash_evidence
from balsamwall.coordination import crash_reports
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

    __slots__ = (
        "_clock",
        "_evidence",
        "_links",
        "_log",
        "_proven",
        "_quarantine",
        "_released",
        "_timer",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        links: Broadcast,
        log: decision_log.DecisionLog,
    ) -> None:
        self._clock = clock
        self._links = links
        self._log = log
        self._quarantine = quarantine_module.Quarantine(clock)
        self._timer: clock_module.Timer | None = None
        self._evidence = crash_evidence.CrashEvidence(clock, self._quarantine)
        # By content that is held back: what has been proven of it since.
        self._proven: dict[frozenset[bytes], frozenset[bytes]] = {}
        # Released content, the oldest first.
        self._released: dict[frozenset[bytes], None] = {}

    def on_message(self, item: message.Message) -> bool:
        """Handle a message on crashes; return whether it was one."""
        if isinstance(item, messages_fleet.BrokenRequestReport):
            self._on_broken(item)
        elif isinstance(item, messages_fleet.ProcessLost):
            self._apply(self._evidence.on_lost(item.process))
        elif isinstance(item, messages_fleet.ProofReport):
            self._on_proven(frozenset(item.fingerprints))
        elif isinstance(item, messages_fleet.QuarantineNotice):
            self._adopt(frozenset(item.fingerprints), item.remaining_ms)
        else:
            return False
        return True

    def _on_broken(self, item: messages_fleet.BrokenRequestReport) -> None:
        broken = crash_reports.decode(item, self._clock.now_ms())
        self._apply(self._evidence.on_broken(broken))

    def with_acceptance(self, loads: dict[str, int]) -> dict[str, int]:
        """Return fleet loads that ask for the times of sends, if needed."""
        if self._evidence.is_empty:
            return loads
        return {**loads, crash_reports.ACCEPTS_SENDS_KEY: 1}

    def restart(self) -> None:
        """Ask for proofs again, at the start of a term."""
        self._apply(self._evidence.restart())

    def notices(self) -> list[message.Message]:
        """Return what a new entry needs to know.

        This is the content that is held back, and that of which the others
        have been asked for proofs.
        """
        notices: list[message.Message] = [
            messages_fleet.QuarantineNotice(sorted(content), left_ms)
            for content, left_ms in self._quarantine.entries()
        ]
        return notices + [
            self._proof_query(watch) for watch in self._evidence.open_watches()
        ]

    def _proof_query(
        self, watch: crash_evidence.Watch
    ) -> messages_fleet.ProofQuery:
        within_ms = self._clock.now_ms() - watch.since_ms
        return messages_fleet.ProofQuery(watch.content, within_ms)

    def _write_tallies(self, tallies: list[crash_evidence.Tally]) -> None:
        for tally in tallies:
            self._log.write(
                "crash_evidence",
                content=tally.content.hex(),
                processes=tally.processes,
                score=tally.score,
                is_familiar=tally.is_familiar,
                is_proven=tally.is_proven,
            )

    def _apply(self, findings: crash_evidence.Findings) -> None:
        self._write_tallies(findings.tallies)
        for watch in findings.watches:
            query = self._proof_query(watch)
            self._log.write(
                "proof_wanted",
                content=watch.content.hex(),
                within_ms=query.within_ms,
            )
            self._links.broadcast(query)
        self._schedule_decision()
        for content in findings.released:
            self._release(content)
        for content in findings.quarantined:
            self._hold_back(content, quarantine_module.QUARANTINE_MS)

    def _schedule_decision(self) -> None:
        if self._evidence.is_decision_due and self._timer is None:
            self._timer = self._clock.call_later(
                crash_evidence.DECISION_DELAY_MS, self._decide
            )

    def _decide(self) -> None:
        self._timer = None
        self._apply(self._evidence.decide())

    def _adopt(self, content: frozenset[bytes], remaining_ms: int) -> None:
        """Hold back what an entry knows of an earlier coordinator.

        The entry may have missed that it was released meanwhile.
        """
        if content in self._released:
            self._announce(content, 0)
        elif remaining_ms > 0:
            self._hold_back(content, remaining_ms)

    def _hold_back(self, content: frozenset[bytes], remaining_ms: int) -> None:
        """Announce content that is to be held back, unless it is known."""
        if self._quarantine.remaining_ms(content):
            return
        self._quarantine.add(content, remaining_ms)
        self._released.pop(content, None)
        self._proven = {
            known: proven
            for known, proven in self._proven.items()
            if self._quarantine.remaining_ms(known)
        }
        self._announce(content, remaining_ms)

    def _announce(self, content: frozenset[bytes], remaining_ms: int) -> None:
        self._links.broadcast(
            messages_fleet.QuarantineNotice(sorted(content), remaining_ms)
        )

    def _on_proven(self, proven: frozenset[bytes]) -> None:
        """Drop the evidence against proven content, and release it.

        Content that is held back together is released when all of it is
        proven, by one response or by several.
        """
        tallies = self._evidence.tallies(proven, is_proven=True)
        proven = self._evidence.on_proven(proven)
        self._write_tallies(
            [item for item in tallies if item.content in proven]
        )
        self._schedule_decision()
        held_back = [content for content, _ in self._quarantine.entries()]
        for content in held_back:
            if content.isdisjoint(proven):
                continue
            known = self._proven.get(content, frozenset()) | proven
            self._proven[content] = known & content
            if content <= known:
                self._release(content)

    def _release(self, content: frozenset[bytes]) -> None:
        self._proven.pop(content, None)
        self._quarantine.remove(content)
        self._log.write("quarantine_released", content=_hex(content))
        self._released[content] = None
        if len(self._released) > quarantine_module.MAX_ENTRIES:
            del self._released[next(iter(self._released))]
        self._announce(content, 0)


def _hex(content: Iterable[bytes]) -> list[str]:
    return sorted(item.hex() for item in content)
