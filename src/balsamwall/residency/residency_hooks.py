"""Define the queries of residency to other parts of an agent."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence


def _never(name: str) -> bool:
    return False


def _no_start(name: str) -> int | None:
    return None


def _no_vms(name: str) -> Sequence[str]:
    return ()


def _zero(name: str) -> float:
    return 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class ResidencyHooks:
    """Query the executor, the membership and the demand counters."""

    # Whether running requests use a model or adapter.
    is_in_use: Callable[[str], bool] = _never
    # Start of the oldest running request for a name in milliseconds of the
    # agent's clock, None without one.
    oldest_running_ms: Callable[[str], int | None] = _no_start
    # Live VMs, not leaving, that hold a ready copy of a name.
    holders: Callable[[str], Sequence[str]] = _no_vms
    # Live VMs, not leaving, that may load a name, best one first.
    load_targets: Callable[[str], Sequence[str]] = _no_vms
    # Demand for a name; copies with the lowest demand are evicted first.
    demand: Callable[[str], float] = _zero
