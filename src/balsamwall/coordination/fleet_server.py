"""Server side of the streams between entries and the coordinator."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.coordination import fleet_stream
from balsamwall.coordination import messages_fleet

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.coordination import coordinator as coordinator_module
    from balsamwall.protocol import message


class FleetServer:
    """Accept streams of other entries and serve the entry in this process."""

    __slots__ = (
        "_coordinator",
        "_deliver_local",
        "_stream_by_vm",
        "_streams",
        "_vm",
    )

    def __init__(
        self, vm: str, deliver_local: Callable[[message.Message], None]
    ) -> None:
        self._vm = vm
        self._deliver_local = deliver_local
        self._coordinator: coordinator_module.Coordinator | None = None
        self._streams: set[fleet_stream.FleetStream] = set()
        # The newest stream of each entry that has identified itself.
        self._stream_by_vm: dict[str, fleet_stream.FleetStream] = {}

    def set_coordinator(
        self, coordinator: coordinator_module.Coordinator
    ) -> None:
        """Set the coordinator; messages before that are dropped."""
        self._coordinator = coordinator

    @property
    def count(self) -> int:
        """Return the number of connected entries, including this one."""
        return 1 + len(self._stream_by_vm)

    def broadcast(self, item: message.Message) -> None:
        """Send a message to all entries."""
        self._deliver_local(item)
        frame = fleet_stream.encode_frame(item)
        for stream in self._streams:
            stream.send_frame(frame)

    def send(self, vm: str, item: message.Message) -> None:
        """Send a message to one entry, if it is connected."""
        if vm == self._vm:
            self._deliver_local(item)
        elif vm in self._stream_by_vm:
            self._stream_by_vm[vm].send(item)

    def close_all(self) -> None:
        """Close the streams of the other entries."""
        for stream in list(self._streams):
            stream.close()

    def on_stream_opened(self, stream: fleet_stream.FleetStream) -> None:
        """Register a stream; its VM is unknown until FleetHello arrives."""
        self._streams.add(stream)

    def on_stream_message(
        self, stream: fleet_stream.FleetStream, item: message.Message
    ) -> None:
        """Pass a message to the coordinator; close the stream if inactive."""
        coordinator = self._coordinator
        if coordinator is None or not coordinator.is_active:
            # The entry looks up the active coordinator in the store.
            stream.close()
            return
        if isinstance(item, messages_fleet.FleetHello):
            stream.vm = item.vm
            self._stream_by_vm[item.vm] = stream
            for known in coordinator.on_entry_connected(item.vm):
                stream.send(known)
            return
        coordinator.on_message(stream.vm, item)

    def on_stream_closed(self, stream: fleet_stream.FleetStream) -> None:
        """Unregister a stream, and its entry if it has no newer stream."""
        self._streams.discard(stream)
        if self._stream_by_vm.get(stream.vm) is not stream:
            return
        del self._stream_by_vm[stream.vm]
        if self._coordinator is not None:
            self._coordinator.on_entry_disconnected(stream.vm)

    def on_local_message(self, item: message.Message) -> None:
        """Pass a message of the entry in this process to the coordinator."""
        if self._coordinator is not None:
            self._coordinator.on_message(self._vm, item)
