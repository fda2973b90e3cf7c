"""Open streams to the coordinator and to the standby."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from balsamwall.coordination import fleet_stream
from balsamwall.settings import address as address_module

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.timing import clock as clock_module

CONNECT_TIMEOUT_MS = 500


class FleetDialer:
    """Open streams to the fleet ports of other entries."""

    __slots__ = ("_clock", "_reactor")

    def __init__(self, reactor: Any, clock: clock_module.Clock) -> None:
        self._reactor = reactor
        self._clock = clock

    def connect(
        self,
        address: str,
        owner: fleet_stream.StreamOwner,
        on_failed: Callable[[], None],
    ) -> None:
        """Connect to an `IP:PORT`; raise ValueError if it is none."""
        parsed = address_module.parse(address)
        self._reactor.connectTCP(
            parsed.host,
            parsed.port,
            fleet_stream.FleetStreamFactory(owner, self._clock, on_failed),
            timeout=CONNECT_TIMEOUT_MS / 1_000,
        )
