"""Estimate a factor from observations with outliers."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Largest change of a logarithm by one observation, a factor of 1.8.
MAX_CHANGE = 0.6
# Largest weight of an estimate: it averages over about so many observations.
MAX_WEIGHT = 30.0
# Weight of a prior that is combined with observations, in observations.
PRIOR_WEIGHT = 2.0
# Time in which the weight of earlier observations halves, and the age at
# which an estimate lapses.
HALF_LIFE_MS = 30_000
MAX_AGE_MS = 120_000
# Observed factors are limited to this range: others are errors of measurement.
MIN_FACTOR = 0.1
MAX_FACTOR = 20.0


@dataclasses.dataclass(slots=True, frozen=True)
class WeightedFactor:
    """Hold a factor with the weight of the observations of it."""

    factor: float
    weight: float


NOTHING_OBSERVED = WeightedFactor(1.0, 0.0)


def combine(found: Iterable[WeightedFactor]) -> WeightedFactor:
    """Return the weighted geometric mean; its weight is their sum.

    Without any weight, this is NOTHING_OBSERVED.
    """
    weight = total = 0.0
    for rated in found:
        weight += rated.weight
        total += rated.weight * math.log(rated.factor)
    if weight <= 0:
        return NOTHING_OBSERVED
    return WeightedFactor(math.exp(total / weight), weight)


class FactorEstimate:
    """Average the logarithms of observed factors.

    One observation changes the average by at most MAX_CHANGE, so that an
    outlier has little effect.
    """

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
        """Add an observation with a weight.

        Without earlier ones, or if they have lapsed, the average begins at
        `prior`.
        """
        known = self.weight(now_ms)
        if known <= 0:
            self._log = math.log(prior)
        factor = min(MAX_FACTOR, max(MIN_FACTOR, factor))
        change = math.log(factor) - self._log
        change = min(MAX_CHANGE, max(-MAX_CHANGE, change))
        self._weight = min(MAX_WEIGHT, known + weight)
        self._updated_ms = now_ms
        self._log += change * weight / max(self._weight, 1.0)

    def current(self, now_ms: int) -> WeightedFactor:
        """Return the average with the weight that it has now."""
        return WeightedFactor(math.exp(self._log), self.weight(now_ms))
