"""Which messages entries and coordinators of different builds accept."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.coordination import messages_fleet
from balsamwall.coordination import speed_exchange

if TYPE_CHECKING:
    from balsamwall.timing import clock as clock_module


class FeatureAnnouncement:
    """Tell the present coordinator once what this entry accepts.

    Load pattern: entries of two builds run side by side during an update. The
    older ones close a stream on which they receive an unknown message.
    """

    __slots__ = ("_address", "_is_accepted")

    def __init__(self, address: str) -> None:
        """Set the address at which this entry accepts fleet streams."""
        self._address = address
        self._is_accepted = False

    @property
    def is_accepted(self) -> bool:
        """Return whether the coordinator accepts messages from 121 on."""
        return self._is_accepted

    def restart(self) -> None:
        """Expect nothing of a coordinator on a new stream."""
        self._is_accepted = False

    def on_loads(
        self, loads: dict[str, int]
    ) -> messages_fleet.EntryFeatures | None:
        """Return what to send now that the fleet loads have been received.

        It is sent once per stream, when the mark of the coordinator is seen.
        """
        if self._is_accepted or speed_exchange.ACCEPTS_SPEEDS_KEY not in loads:
            return None
        self._is_accepted = True
        return messages_fleet.EntryFeatures(self._address)


class FeatureTable:
    """Record at the coordinator which entries accept messages from 121 on.

    Load pattern: as for FeatureAnnouncement. An entry that reconnects may be
    another build than before.
    """

    __slots__ = ("_addresses", "_clock", "_connected_ms")

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        # By VM. The entry in this process is never connected by a stream.
        self._connected_ms: dict[str, int] = {}
        self._addresses: dict[str, str] = {}

    @property
    def vms(self) -> list[str]:
        """Return the entries that accept messages from 121 on."""
        return list(self._addresses)

    def accepts(self, vm: str) -> bool:
        """Return whether an entry accepts messages from 121 on."""
        return vm in self._addresses

    def address(self, vm: str) -> str:
        """Return the address of an entry for streams, empty if unknown."""
        return self._addresses.get(vm, "")

    def connected_ms(self, vm: str) -> int | None:
        """Return since when an entry is connected by a stream, else None."""
        return self._connected_ms.get(vm)

    def on_connected(self, vm: str) -> None:
        """Record a new stream of an entry, whose build is not known yet."""
        self._connected_ms[vm] = self._clock.now_ms()
        self._addresses.pop(vm, None)

    def on_features(self, vm: str, item: messages_fleet.EntryFeatures) -> None:
        """Record that an entry accepts messages from 121 on."""
        self._addresses[vm] = item.address

    def remove_entry(self, vm: str) -> None:
        """Discard what is known of an entry that has disconnected."""
        self._connected_ms.pop(vm, None)
        self._addresses.pop(vm, None)
