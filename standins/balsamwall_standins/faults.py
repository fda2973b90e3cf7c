"""Faults that tests inject into a stand-in."""

from __future__ import annotations

import dataclasses
import random
from typing import Any


@dataclasses.dataclass(slots=True)
class Faults:
    """Active faults.

    Counts are decremented on each use; rates use a seeded generator.
    """

    path: str = ""  # prefix of the paths that the faults apply to
    delay_ms: int = 0
    lost_answers: int = 0
    lost_answer_rate: float = 0.0
    lost_requests: int = 0
    error_rate: float = 0.0
    error_status: int = 503
    are_new_connections_silent: bool = False
    order_loss_rate: float = 0.0
    order_delay_ms: int = 0
    is_crash_marker_enabled: bool = False
    crash_down_ms: int = 2_000
    seed: int = 0
    random_source: random.Random = dataclasses.field(
        default_factory=lambda: random.Random(0)
    )

    def update(self, values: dict[str, Any]) -> None:
        """Set faults by name; raise ValueError if a name or type is wrong."""
        for name, value in values.items():
            if name == "random_source" or not hasattr(self, name):
                raise ValueError(f"unknown fault {name!r}")
            expected = type(getattr(self, name))
            if expected is float and type(value) is int:
                value = float(value)
            if type(value) is not expected:
                raise ValueError(f"fault {name}: expected {expected.__name__}")
            setattr(self, name, value)
        if "seed" in values:
            self.random_source = random.Random(self.seed)

    def applies_to(self, path: str) -> bool:
        """Tell whether a path is subject to the faults."""
        return path.startswith(self.path)

    def take_request_loss(self) -> bool:
        """Tell whether to drop this request; count it down."""
        if self.lost_requests > 0:
            self.lost_requests -= 1
            return True
        return False

    def take_response_loss(self) -> bool:
        """Tell whether to drop the response to this request; count it down."""
        if self.lost_answers > 0:
            self.lost_answers -= 1
            return True
        return self.draw(self.lost_answer_rate)

    def draw(self, rate: float) -> bool:
        """Return True with the probability rate, from the seeded generator."""
        return rate > 0 and self.random_source.random() < rate
