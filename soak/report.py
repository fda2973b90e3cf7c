"""Report of one soak."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class Report:
    """Outcome of one soak."""

    seed: int
    faults: list[str]
    asked: int
    served: int
    violations: list[str]
    stalls: int = 0
    features: list[str] = dataclasses.field(default_factory=list)
    # Streams that callers resumed, those of them that went on, and attempts
    # that joined events of two software versions.
    resumed: int = 0
    went_on: int = 0
    joined: int = 0
    # Requests that run at most once: refused but run, run twice, and their
    # number by status.
    refused: int = 0
    twice: int = 0
    run_once: dict[str, int] = dataclasses.field(default_factory=dict)
    # Of all requests, in runs whose servers refuse and fail requests.
    sends: dict[str, int] = dataclasses.field(default_factory=dict)

    def line(self) -> str:
        """Return the report as text, with the first violations."""
        line = (
            f"seed={self.seed} faults={len(self.faults)} "
            f"asked={self.asked} served={self.served} "
            f"resumed={self.resumed} went_on={self.went_on} "
            f"joined={self.joined} refused={self.refused} "
            f"twice={self.twice} stalls={self.stalls} "
            f"features={','.join(self.features) or '-'} "
            f"violations={len(self.violations)}"
        )
        return "\n  ".join([line, *self.violations[:10]])
