"""Many agents in one process that only send state reports."""

from __future__ import annotations

import argparse
import json
import random
from typing import TYPE_CHECKING

from twisted.internet import reactor

from balsamwall.metrics import metrics as metrics_module
from balsamwall.protocol import key_ring
from balsamwall.protocol import messages_configuration
from balsamwall.protocol import messages_home
from balsamwall.protocol import messages_request
from balsamwall.protocol import messages_residency
from balsamwall.protocol import messages_state
from balsamwall.protocol import peer_table
from balsamwall.protocol import session
from balsamwall.protocol import stream
from balsamwall.settings import address
from balsamwall.settings import daemon_settings
from balsamwall.timing import reactor_clock

if TYPE_CHECKING:
    from balsamwall.protocol import message
    from balsamwall.protocol import messages_session
    from balsamwall.timing import clock as clock_module

# Importing a module registers its messages; a stream is closed when it
# receives an unregistered one.
REGISTERED = (
    messages_configuration,
    messages_home,
    messages_request,
    messages_residency,
)
NAMES_PER_AGENT = 10
MODELS = 1_200
# Defaults of the [limits] section of the settings.
LIMITS = daemon_settings.LimitSettings(
    body_bytes=2**20,
    total_body_bytes=2**25,
    answer_bytes=2**24,
    caller_connections=4_096,
    caller_buffer_bytes=2**20,
    peer_connections=1_024,
    peer_buffer_bytes=2**23,
    peer_frames_per_second=20_000,
    rejected_keys_per_second=5,
)
INTERNAL_KEY = bytes.fromhex("00112233445566778899aabbccddeeff")


class LightAgent:
    """Peer table observer that sends a report at a fixed interval."""

    def __init__(
        self,
        clock: clock_module.Clock,
        table: peer_table.PeerTable,
        number: int,
        interval_ms: int,
    ) -> None:
        self._clock = clock
        self._table = table
        self._number = number
        self._interval_ms = interval_ms
        self._sequence = 0
        self._peers: set[str] = set()
        clock.call_later(number * 37 % interval_ms, self._tick)

    def on_message(self, peer: str, item: message.Message) -> None:
        """Ignore all messages."""

    def on_peer_up(self, peer: str, hello: messages_session.Hello) -> None:
        """Send the full state to a new peer."""
        self._peers.add(peer)
        names = [
            f"model-{(self._number * 7 + index) % MODELS}"
            for index in range(NAMES_PER_AGENT)
        ]
        self._sequence += 1
        self._table.send(peer, self._report())
        self._table.send(
            peer,
            messages_state.Residents(1, self._sequence, names, [], [], []),
        )

    def on_peer_down(self, peer: str) -> None:
        """Stop reporting to a peer."""
        self._peers.discard(peer)

    def config_revisions(self) -> dict[str, int]:
        """Return no configuration revisions."""
        return {}

    def _tick(self) -> None:
        self._clock.call_later(self._interval_ms, self._tick)
        self._sequence += 1
        for peer in self._peers:
            self._table.send(peer, self._report())

    def _report(self) -> messages_state.AgentReport:
        load = self._sequence % 30
        return messages_state.AgentReport(
            *(1, self._sequence, "ready", load, 0, 0, load * 100, 10**9),
            *(10**10, 10**9, 9_000, 100),
        )


def main() -> None:
    """Start the agents, print their ports as JSON and run until a signal."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--agents", type=int, required=True)
    parser.add_argument("--interval-ms", type=int, default=500)
    options = parser.parse_args()
    clock = reactor_clock.ReactorClock(reactor)
    ports = []
    for number in range(options.agents):
        count = metrics_module.Metrics().count
        table = peer_table.PeerTable(clock, random.Random(number), count)
        identity = session.Identity(
            f"light-{number}", "agent", "zagreb-a", "kovacevic", 1
        )
        streams = stream.StreamTransport(
            reactor,
            clock,
            identity,
            key_ring.KeyRing({"k1": INTERNAL_KEY}, "k1"),
            table,
            LIMITS,
            None,
        )
        table.attach(
            streams, LightAgent(clock, table, number, options.interval_ms)
        )
        port = streams.listen(address.Address("127.0.0.1", 0))
        ports.append(port.getHost().port)
    print(json.dumps(ports), flush=True)
    reactor.run()


if __name__ == "__main__":
    main()
