"""Define the interface to the storage of home maps."""

from __future__ import annotations

import dataclasses
from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns import result

    from balsamwall.idempotency import home_map
    from balsamwall.results import result_code


@dataclasses.dataclass(slots=True, frozen=True)
class StoredMap:
    """Hold a map with its version for a compare-and-swap."""

    version: int
    content: home_map.HomeMap


class MapStore(Protocol):
    """Store home maps in the key-value service."""

    def read(
        self,
        service: str,
        callback: Callable[
            [result.Result[StoredMap | None, result_code.ResultCode]], None
        ],
    ) -> None:
        """Read the map of a service, None if none is stored."""

    def write(
        self,
        service: str,
        expected_version: int,
        content: home_map.HomeMap,
        callback: Callable[[result.Result[int, result_code.ResultCode]], None],
    ) -> None:
        """Write a map if the stored version is as expected, 0 for no map.

        The result is the new version. A write that fails with
        PLATFORM_OUTCOME_UNKNOWN may have taken effect.
        """
