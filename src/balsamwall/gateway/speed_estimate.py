"""Estimate a factor from observations with outliers."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Largest change of a logarithm by one observation, a factor of 1.8.
MAX_CHANGE = 0.6
# Observations that an estimate averages over, and weight of the prior.
MAX_WEIGHT = 30.0
PRIOR_WEIGHT = 2.0
# Time in which the weight of earlier observations halves, and the age at
# which an estimate lapses.
HALF_LIFE_MS = 30_000
MAX_AGE_MS = 120_000
# Factors outside this range are faults of the observation.
MIN_FACTOR = 0.1
MAX_FACTOR = 20.0


@dataclasses.dataclass(slots=True, frozen=True)
class Rated:
    """Hold a factor and the weight of the observations behind it."""

    factor: float
    weight: float


NOTHING_OBSERVED = Rated(1.0, 0.0)


def combine(found: Iterable[Rated]) -> Rated:
    """Return the weighted geometric mean, of weight 0 without any weight."""
    weight = total = 0.0
    for rated in found:
        weight += rated.weight
        total += rated.weight * math.log(rated.factor)
    if weight <= 0:
        return NOTHING_OBSERVED
    return Rated(math.exp(total / weight), weight)


class Estimate:
    """Average the logarithm of a factor, robust against outliers."""

    __slots__ = ("_log", "_updated_ms", "_weight")

    def __init__(self, now_ms: int) -> None:
        self._log = 0.0
        self._weight = 0.0
        self._updated_ms = now_ms

    @property
    def updated_ms(self) -> int:
        """Return the time of the last observation."""
        return self._updated_ms

    def weight(self, now_ms: int) -> float:
        """Return the weight of the observations, which decays with age."""
        age_ms = now_ms - self._updated_ms
        if age_ms > MAX_AGE_MS:
            return 0.0
        return self._weight * math.exp2(-max(0, age_ms) / HALF_LIFE_MS)

    def add(
        self, factor: float, prior: float, weight: float, now_ms: int
    ) -> None:
        """Add an observation; a first one changes the prior."""
        known = self.weight(now_ms)
        if known <= 0:
            self._log = math.log(prior)
        factor = min(MAX_FACTOR, max(MIN_FACTOR, factor))
        change = math.log(factor) - self._log
        change = min(MAX_CHANGE, max(-MAX_CHANGE, change))
        self._weight = min(MAX_WEIGHT, known + weight)
        self._updated_ms = now_ms
        self._log += change * weight / max(self._weight, 1.0)

    def rated(self, now_ms: int) -> Rated:
        """Return the average with its weight."""
        return Rated(math.exp(self._log), self.weight(now_ms))
