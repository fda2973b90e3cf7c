"""Attribute backend server crashes to requests and quarantine them."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from balsamwall.protocol import messages_state

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from balsamwall.timing import clock as clock_module

SUSPECT_DURATION_MS = 600_000
QUARANTINE_DURATION_MS = 3_600_000
# Delay between the announcement and the start of a trial. Concurrent
# announcements of other agents arrive in this time, and only one trial runs.
TRIAL_CLAIM_DELAY_MS = 500
# An announced trial expires after this time at the latest.
MAX_TRIAL_MS = 600_000
# Limit on the judgements and on the ended trials that are kept.
MAX_ENTRIES = 10_000


class FingerprintStatus(enum.Enum):
    """List the statuses of the fingerprint of a request."""

    CLEAN = "clean"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


_STATUS_OF_ACTION = {
    "clear": FingerprintStatus.CLEAN,
    "suspect": FingerprintStatus.SUSPECT,
    "quarantine": FingerprintStatus.QUARANTINED,
}
_ACTION_RANKS = {"clear": 0, "suspect": 1, "quarantine": 2}


@dataclasses.dataclass(slots=True, frozen=True)
class Judgement:
    """Hold the latest judgement on one fingerprint.

    `until_ms` is on the local clock.
    """

    fingerprint: bytes
    action: str  # "suspect", "quarantine" or "clear"
    sequence: int
    until_ms: int
    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class Trial:
    """Describe an announced run of a suspect alone on its server."""

    owner: str
    sequence: int
    until_ms: int


class CrashAttribution:
    """Replicate crash judgements to all agents and entries.

    The sequence of a judgement is its wall time in milliseconds, raised
    above the sequence that it replaces. The highest sequence wins and, of
    equal ones, the more severe action. A received suspicion never replaces a
    quarantine in force. A Verdict message carries a judgement or the start or
    end of a trial; `broadcast` is called once for each new one.
    """

    __slots__ = (
        "_broadcast",
        "_clock",
        "_ended_trials",
        "_judgements",
        "_name",
        "_trials",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        name: str,
        broadcast: Callable[[messages_state.Verdict], None],
    ) -> None:
        self._clock = clock
        self._name = name
        self._broadcast = broadcast
        self._judgements: dict[bytes, Judgement] = {}
        self._trials: dict[bytes, Trial] = {}
        # Highest sequence of an ended trial by fingerprint and owner. Without
        # it a relayed claim that arrives after the end of its trial would
        # count as new and be relayed endlessly.
        self._ended_trials: dict[tuple[bytes, str], int] = {}

    def status(self, fingerprint: bytes) -> FingerprintStatus:
        """Return the current status, CLEAN if no judgement is in force."""
        known = self._judgements.get(fingerprint)
        if known is None or known.until_ms <= self._clock.now_ms():
            return FingerprintStatus.CLEAN
        return _STATUS_OF_ACTION[known.action]

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Return whether requests with a fingerprint are refused."""
        return self.status(fingerprint) is FingerprintStatus.QUARANTINED

    def remaining_ms(self, fingerprint: bytes) -> int:
        """Return the time until the judgement expires, 0 without one."""
        known = self._judgements.get(fingerprint)
        if known is None:
            return 0
        return max(0, known.until_ms - self._clock.now_ms())

    def active_judgements(self) -> list[Judgement]:
        """Return the unexpired suspicions and quarantines."""
        now_ms = self._clock.now_ms()
        return [
            known
            for known in self._judgements.values()
            if known.action != "clear" and known.until_ms > now_ms
        ]

    def on_crash(
        self, fingerprints: Iterable[bytes], isolated_fingerprint: bytes | None
    ) -> None:
        """Suspect the requests that ran during a crash.

        A request that ran alone is quarantined, and no other is suspected.
        """
        if isolated_fingerprint is not None:
            self._issue_judgement(
                isolated_fingerprint,
                "quarantine",
                QUARANTINE_DURATION_MS,
                f"crashed a backend server alone at {self._name}",
            )
            return
        for fingerprint in set(fingerprints):
            if self.status(fingerprint) is FingerprintStatus.CLEAN:
                self._issue_judgement(
                    fingerprint,
                    "suspect",
                    SUSPECT_DURATION_MS,
                    f"ran during a crash at {self._name}",
                )

    def on_trial_passed(self, fingerprint: bytes) -> None:
        """Clear a suspect after a trial without a crash."""
        if self.status(fingerprint) is FingerprintStatus.SUSPECT:
            self._issue_judgement(
                fingerprint,
                "clear",
                SUSPECT_DURATION_MS,
                f"ran alone without a crash at {self._name}",
            )

    def clear(self, fingerprint: bytes, reason: str) -> bool:
        """Clear a judgement for an operator; return False without one."""
        if self.status(fingerprint) is FingerprintStatus.CLEAN:
            return False
        self._issue_judgement(
            fingerprint, "clear", QUARANTINE_DURATION_MS, reason
        )
        return True

    def claim_trial(self, fingerprint: bytes, duration_ms: int) -> bool:
        """Announce a trial; return False while another agent has one.

        The trial expires after `duration_ms`, at most `MAX_TRIAL_MS`.
        """
        if self._trial_of_other_agent(fingerprint) is not None:
            return False
        duration_ms = min(duration_ms, MAX_TRIAL_MS)
        ended = self._ended_trials.get((fingerprint, self._name), 0)
        trial = Trial(
            self._name,
            max(self._clock.wall_ms(), ended + 1),
            self._clock.now_ms() + duration_ms,
        )
        self._trials[fingerprint] = trial
        self._send(
            fingerprint, "trial", trial.sequence, duration_ms, self._name
        )
        return True

    def has_trial(self, fingerprint: bytes) -> bool:
        """Return whether this agent holds the trial of a fingerprint."""
        trial = self._trials.get(fingerprint)
        return trial is not None and trial.owner == self._name

    def end_trial(self, fingerprint: bytes) -> None:
        """Announce the end of a trial if this agent holds it."""
        if self.has_trial(fingerprint):
            self._end_own_trial(fingerprint, self._trials.pop(fingerprint))

    def on_verdict(self, item: messages_state.Verdict) -> bool:
        """Apply and relay a verdict of a peer; return False if not new."""
        if item.action == "trial":
            is_new = self._on_trial(item)
        elif item.action == "trial_end":
            is_new = self._on_trial_end(item)
        elif item.action in _ACTION_RANKS:
            is_new = self._on_judgement(item)
        else:
            return False
        if is_new:
            self._broadcast(item)
        return is_new

    def current_verdicts(self) -> list[messages_state.Verdict]:
        """Return the unexpired judgements, to send to a new peer.

        Clearings are included, trials are not.
        """
        now_ms = self._clock.now_ms()
        return [
            messages_state.Verdict(
                fingerprint=known.fingerprint,
                action=known.action,
                sequence=known.sequence,
                remaining_ms=known.until_ms - now_ms,
                reason=known.reason,
            )
            for known in self._judgements.values()
            if known.until_ms > now_ms
        ]

    def _on_trial(self, item: messages_state.Verdict) -> bool:
        fingerprint, owner = item.fingerprint, item.reason
        if owner == self._name:
            return False
        if item.sequence <= self._ended_trials.get((fingerprint, owner), 0):
            return False
        known = self._trials.get(fingerprint)
        now_ms = self._clock.now_ms()
        if known is not None and known.until_ms > now_ms:
            # Of two concurrent claims every agent keeps the one whose owner
            # has the lower name.
            if known.owner < owner:
                return False
            if known.owner == owner and known.sequence >= item.sequence:
                return False
        remaining_ms = min(item.remaining_ms, MAX_TRIAL_MS)
        self._trials[fingerprint] = Trial(
            owner, item.sequence, now_ms + remaining_ms
        )
        if known is not None and known.owner == self._name:
            self._end_own_trial(fingerprint, known)
        return True

    def _on_trial_end(self, item: messages_state.Verdict) -> bool:
        fingerprint, owner = item.fingerprint, item.reason
        if owner == self._name:
            return False
        if item.sequence <= self._ended_trials.get((fingerprint, owner), 0):
            return False
        self._record_trial_end(fingerprint, owner, item.sequence)
        trial = self._trials.get(fingerprint)
        if trial is not None and trial.owner == owner:
            del self._trials[fingerprint]
        return True

    def _end_own_trial(self, fingerprint: bytes, trial: Trial) -> None:
        self._record_trial_end(fingerprint, self._name, trial.sequence)
        self._send(fingerprint, "trial_end", trial.sequence, 0, self._name)

    def _record_trial_end(
        self, fingerprint: bytes, owner: str, sequence: int
    ) -> None:
        if len(self._ended_trials) >= MAX_ENTRIES:
            del self._ended_trials[next(iter(self._ended_trials))]
        self._ended_trials[fingerprint, owner] = sequence

    def _on_judgement(self, item: messages_state.Verdict) -> bool:
        known = self._judgements.get(item.fingerprint)
        if known is not None:
            known_rank = (known.sequence, _ACTION_RANKS[known.action])
            if (item.sequence, _ACTION_RANKS[item.action]) <= known_rank:
                return False
            if item.action == "suspect" and self.is_quarantined(
                item.fingerprint
            ):
                return False
        remaining_ms = min(item.remaining_ms, QUARANTINE_DURATION_MS)
        self._store(
            Judgement(
                item.fingerprint,
                item.action,
                item.sequence,
                self._clock.now_ms() + remaining_ms,
                item.reason,
            )
        )
        return True

    def _issue_judgement(
        self, fingerprint: bytes, action: str, duration_ms: int, reason: str
    ) -> None:
        known = self._judgements.get(fingerprint)
        sequence = max(
            self._clock.wall_ms(), known.sequence + 1 if known else 0
        )
        until_ms = self._clock.now_ms() + duration_ms
        self._store(Judgement(fingerprint, action, sequence, until_ms, reason))
        self._send(fingerprint, action, sequence, duration_ms, reason)

    def _store(self, judgement: Judgement) -> None:
        now_ms = self._clock.now_ms()
        if len(self._judgements) >= MAX_ENTRIES:
            for known in list(self._judgements.values()):
                if known.until_ms <= now_ms:
                    del self._judgements[known.fingerprint]
        if len(self._judgements) >= MAX_ENTRIES:
            oldest = next(iter(self._judgements))
            del self._judgements[oldest]
        self._judgements.pop(judgement.fingerprint, None)
        self._judgements[judgement.fingerprint] = judgement

    def _trial_of_other_agent(self, fingerprint: bytes) -> Trial | None:
        trial = self._trials.get(fingerprint)
        if trial is None or trial.owner == self._name:
            return None
        if trial.until_ms <= self._clock.now_ms():
            del self._trials[fingerprint]
            return None
        return trial

    def _send(
        self,
        fingerprint: bytes,
        action: str,
        sequence: int,
        remaining_ms: int,
        reason: str,
    ) -> None:
        self._broadcast(
            messages_state.Verdict(
                fingerprint=fingerprint,
                action=action,
                sequence=sequence,
                remaining_ms=remaining_ms,
                reason=reason,
            )
        )
