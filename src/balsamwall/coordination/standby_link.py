"""Connection of an entry to the standby, without a coordinator."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.coordination import messages_fleet

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.coordination import fleet_stream
    from balsamwall.coordination import quota_standby
    from balsamwall.gateway import workspace_quotas
    from balsamwall.logs import decision_log
    from balsamwall.protocol import message
    from balsamwall.timing import clock as clock_module

    Open = Callable[[str, fleet_stream.StreamOwner, Callable[[], None]], None]

# Interval of the queries without a request, which show the standby that this
# entry uses it.
QUERY_INTERVAL_MS = 100
# A process that is not the standby closes the stream at once. The delay
# between attempts doubles until a standby has responded.
RECONNECT_MS = 200
MAX_RECONNECT_MS = 800
# A coordinator that has sent nothing for this time is lost for quotas. It
# sends a state every 300 ms. Until its stream ends, after 2 s, each entry
# could admit a request in advance.
SILENCE_MS = 500
# The number of these queries. Those for a request begin with 1.
NO_REQUEST = 0


class StandbyLink:
    """Send the quota queries of an entry to the standby.

    Load pattern: all entries lose the coordinator under load and ask the
    standby at once. One that does not respond, or is another process by now,
    must cost a request no wait.
    """

    __slots__ = (
        "_address",
        "_checked_ms",
        "_clock",
        "_coordinator_address",
        "_has_coordinator",
        "_heard_ms",
        "_is_connected",
        "_is_connecting",
        "_log",
        "_next_connect_ms",
        "_open",
        "_quotas",
        "_reconnect_ms",
        "_standby",
        "_standby_vm",
        "_stream",
        "_vm",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        vm: str,
        quotas: workspace_quotas.WorkspaceQuotas,
        standby: quota_standby.QuotaStandby,
        open_stream: Open,
        log: decision_log.DecisionLog,
    ) -> None:
        """Set the standby of this process, and how to reach another."""
        self._clock = clock
        self._vm = vm
        self._quotas = quotas
        self._standby = standby
        self._open = open_stream
        self._log = log
        self._standby_vm = ""
        self._address = ""
        self._coordinator_address = ""
        self._has_coordinator = False
        self._checked_ms = clock.now_ms()
        self._heard_ms = 0  # when the coordinator was last heard
        self._stream: fleet_stream.FleetStream | None = None
        self._is_connecting = False
        self._reconnect_ms = RECONNECT_MS
        self._next_connect_ms = 0
        self._is_connected = False  # the standby has responded

    def start(self) -> None:
        """Query the standby every QUERY_INTERVAL_MS while it is needed."""
        self._clock.call_later(QUERY_INTERVAL_MS, self.start)
        now_ms = self._clock.now_ms()
        if now_ms - self._checked_ms > SILENCE_MS:
            # This process was paused, and may have messages to read.
            self._heard_ms = now_ms
        self._checked_ms = now_ms
        if now_ms - self._heard_ms >= SILENCE_MS:
            self._on_lost(is_silent=True)
        if not self._has_coordinator:
            self._use_standby()

    def send_query(self, query: messages_fleet.QuotaQuery) -> bool:
        """Ask the standby for tokens; return False if it is not connected."""
        return self._is_connected and self._send_query(query)

    def on_notice(self, item: messages_fleet.StandbyNotice) -> None:
        """Record the standby; it is kept when the coordinator is lost."""
        self._standby.on_notice(item.vm)
        if (item.vm, item.address) == (self._standby_vm, self._address):
            return
        self._standby_vm, self._address = item.vm, item.address
        self._log.write("standby_changed", standby=item.vm)
        self._reconnect_ms, self._next_connect_ms = RECONNECT_MS, 0
        self._close()

    def on_levels(self, item: messages_fleet.QuotaLevels) -> None:
        """Pass the levels of quotas to the standby in this process."""
        self._standby.on_levels(item)

    def on_coordinator_changed(self, address: str) -> None:
        """Record the address of the coordinator, empty if there is none."""
        self._coordinator_address = address

    def on_coordinator_heard(self) -> None:
        """Close the stream: the coordinator has sent a message.

        An open connection alone proves nothing, as the system also accepts
        connections for a process that is frozen.
        """
        self._heard_ms = self._clock.now_ms()
        if not self._has_coordinator:
            self._has_coordinator = True
            self._standby.on_coordinator_heard()
            self._close()

    def on_coordinator_lost(self) -> None:
        """Use the standby: the stream of the coordinator has ended."""
        self._on_lost(is_silent=False)

    # Stream to another process

    def on_stream_opened(self, stream: fleet_stream.FleetStream) -> None:
        """Identify this entry, unless a coordinator has come before."""
        self._is_connecting = False
        if self._has_coordinator or self._stream is not None:
            stream.close()
            return
        self._stream = stream
        stream.send(messages_fleet.FleetHello(self._vm))
        self._use_standby()

    def on_stream_message(
        self, stream: fleet_stream.FleetStream, item: message.Message
    ) -> None:
        """Apply a response of the standby."""
        if stream is self._stream and isinstance(
            item, messages_fleet.QuotaGrant
        ):
            self._on_grant(item)

    def on_stream_closed(self, stream: fleet_stream.FleetStream) -> None:
        """Decide without the standby until the next connection."""
        if stream is not self._stream:
            return
        self._stream = None
        if self._is_connected:
            self._is_connected = False
            self._log.write("standby_lost", standby=self._standby_vm)

    def on_connect_failed(self) -> None:
        """Allow the next connection attempt."""
        self._is_connecting = False

    @property
    def _is_local(self) -> bool:
        """Return whether the standby is this process."""
        return bool(self._vm) and self._standby_vm == self._vm

    def _on_lost(self, *, is_silent: bool) -> None:
        if self._has_coordinator:
            self._has_coordinator = False
            self._standby.on_coordinator_lost(is_silent=is_silent)
            self._use_standby()

    def _use_standby(self) -> None:
        """Show the standby that this entry uses it, or connect to it."""
        query = messages_fleet.QuotaQuery(NO_REQUEST, "", 0, 0)
        if not self._send_query(query):
            self._connect()

    def _connect(self) -> None:
        now_ms = self._clock.now_ms()
        if self._is_connecting or now_ms < self._next_connect_ms:
            return
        # The fleet client opens the stream to a new coordinator.
        if self._address in ("", self._coordinator_address):
            return
        self._is_connecting = True
        self._next_connect_ms = now_ms + self._reconnect_ms
        self._reconnect_ms = min(MAX_RECONNECT_MS, 2 * self._reconnect_ms)
        try:
            self._open(self._address, self, self.on_connect_failed)
        except ValueError:
            self._log.write("standby_unreadable", address=self._address)
            self._address = ""
            self._is_connecting = False

    def _send_query(self, query: messages_fleet.QuotaQuery) -> bool:
        if self._is_local:
            self._on_grant(self._standby.respond(self._vm, query))
        elif self._stream is not None:
            self._stream.send(query)
        else:
            return False
        return True

    def _on_grant(self, item: messages_fleet.QuotaGrant) -> None:
        self._reconnect_ms = RECONNECT_MS
        if not self._is_connected:
            self._is_connected = True
            self._log.write("standby_connected", standby=self._standby_vm)
        if item.number != NO_REQUEST:
            self._quotas.on_grant(
                item.number, item.tokens, item.wait_ms, item.is_scarce
            )

    def _close(self) -> None:
        """End the use of the standby."""
        stream, self._stream = self._stream, None
        self._is_connected = False
        if stream is not None:
            stream.close()
