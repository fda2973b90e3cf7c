"""Backend servers and callers of a soak."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from soak import backend_server
from soak import caller as caller_module
from soak import resumption
from soak import work_time
from soak import workspaces as workspaces_module

if TYPE_CHECKING:
    from soak import entry as entry_module
    from soak import features as features_module
    from soak import ledger as ledger_module
    from soak import poison_part as poison_part_module
    from soak import store as store_module

SERVERS = 3
# With engines of two versions, so that two of each can serve.
ENGINES_WITH_VERSIONS = 5
CALLERS = 12
ZONES = ("z1", "z2")
ENGINE_SERVICE = "models"


class Participants:
    """Construct the backend servers and callers of one seed."""

    __slots__ = ("_data", "_features", "_ledger", "_poison_part", "_seed")

    def __init__(
        self,
        seed: int,
        features: features_module.Features,
        data: store_module.StoreData,
        ledger: ledger_module.Ledger,
        poison_part: poison_part_module.PoisonPart,
    ) -> None:
        self._seed = seed
        self._features = features
        self._data = data
        self._ledger = ledger
        self._poison_part = poison_part

    def backends(
        self, truncated_share: float
    ) -> list[backend_server.BackendServer]:
        """Return the backend servers that all seeds have."""
        return [
            self._backend(service, number, truncated_share)
            for service in ("app", ENGINE_SERVICE)
            for number in range(SERVERS)
        ]

    def added_engines(
        self, truncated_share: float
    ) -> list[backend_server.BackendServer]:
        """Return the engines of seeds with versions only."""
        if self._features.versions is None:
            return []
        return [
            self._backend(ENGINE_SERVICE, number, truncated_share)
            for number in range(SERVERS, ENGINES_WITH_VERSIONS)
        ]

    def _backend(
        self, service: str, number: int, truncated_share: float
    ) -> backend_server.BackendServer:
        features = self._features
        work_random = self._random(f"work time/{service}/{number}")
        return backend_server.BackendServer(
            f"{service}-{number}",
            service,
            ZONES[number % len(ZONES)],
            self._data,
            self._ledger,
            self._random(f"{service}/{number}"),
            truncated_share,
            self._poison_part,
            features.workspaces,
            work_time.WorkTime(work_random)
            if features.has_work_time
            else None,
            features.versions if service == ENGINE_SERVICE else None,
        )

    def callers(
        self, entries: list[entry_module.Entry]
    ) -> list[caller_module.Caller]:
        """Return the callers; those of a workspace share broken streams."""
        groups = [
            resumption.Resumptions(
                self._ledger, self._random(f"resumption/{group}")
            )
            for group in range(len(workspaces_module.NAMES))
        ]
        has_resumptions = self._features.versions is not None
        return [
            caller_module.Caller(
                number,
                entries,
                self._ledger,
                self._random(f"caller/{number}"),
                self._poison_part,
                self._features.workspaces,
                groups[number % len(groups)] if has_resumptions else None,
            )
            for number in range(CALLERS)
        ]

    def _random(self, name: str) -> random.Random:
        return random.Random(f"{self._seed}/{name}")
