"""Software versions of the engines of a soak."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from soak import ledger as ledger_module

if TYPE_CHECKING:
    import random

    from soak import backend_server

VERSIONS = ("v1", "v2")
# Share of the runs whose engines all have the same version.
SINGLE_VERSION_SHARE = 0.2


@dataclasses.dataclass(slots=True)
class ServiceTime:
    """Time in which a server process of one version was up."""

    version: str
    since_ms: int
    until_ms: int | None = None


class SoftwareVersions:
    """Versions that server processes have at their start."""

    __slots__ = ("_departed", "_random", "_versions")

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        is_single = random_source.random() < SINGLE_VERSION_SHARE
        self._versions = VERSIONS[:1] if is_single else VERSIONS
        self._departed = ""

    @property
    def has_several(self) -> bool:
        """Tell whether servers of several versions serve."""
        return len(self._versions) > 1

    def draw(self) -> str:
        """Return the version of a server process that starts now."""
        usable = [item for item in self._versions if item != self._departed]
        return self._random.choice(usable)

    def depart(self) -> str:
        """Choose a version; no process has it from now on."""
        self._departed = self._random.choice(self._versions)
        return self._departed


def count_serving(
    engines: list[backend_server.BackendServer],
    version: str,
    begin_ms: int,
    end_ms: int,
) -> int:
    """Return how many engines of a version served in all of an interval."""
    return sum(
        1
        for engine in engines
        if any(
            item.version == version
            and item.since_ms <= begin_ms
            and end_ms <= (item.until_ms or ledger_module.now_ms())
            for item in engine.service_times
        )
        and not engine.is_disturbed(begin_ms, end_ms)
    )
