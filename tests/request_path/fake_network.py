"""Fake network between processes on one virtual clock."""

from __future__ import annotations

DEAD_PEER_TIMEOUT_MS = 3_000


class NodeClock:
    """Clock of one process that can be paused or killed."""

    def __init__(self, clock):
        self._clock = clock
        self.is_dead = False
        self.is_paused = False
        self._deferred = []

    def now_ms(self):
        return self._clock.now_ms()

    def wall_ms(self):
        return self._clock.wall_ms()

    def call_later(self, delay_ms, function, *args):
        timer = None

        def fire():
            self.run(lambda: timer.cancelled or function(*args))

        timer = _NodeTimer(self._clock.call_later(delay_ms, fire))
        return timer

    def run(self, function):
        """Run a function now or after a pause; drop it in a dead process."""
        if self.is_dead:
            return
        if self.is_paused:
            self._deferred.append(function)
        else:
            function()

    def resume(self):
        self.is_paused = False
        deferred, self._deferred = self._deferred, []
        for function in deferred:
            self.run(function)


class _NodeTimer:
    def __init__(self, timer):
        self._timer = timer
        self.cancelled = False

    def cancel(self):
        self.cancelled = True
        self._timer.cancel()


class _Connection:
    """One TCP connection: ordered, closed as a whole or blackholed."""

    def __init__(self):
        self.is_blackholed = False
        self.is_closed = {}  # by the side that has noticed it
        self.last_due_ms = {}


class FakeNetwork:
    """Connections between entries and agents, opened by entries."""

    def __init__(self, clock, random_source):
        self._clock = clock
        self._random = random_source
        self.nodes = {}
        self._connections = {}
        self.dispatches = []  # (entry, agent, message) for duplicates

    def connect(self, entry, agent):
        pair = (entry, agent)
        if pair in self._connections:
            return
        ends = (self.nodes.get(entry), self.nodes.get(agent))
        if any(n is None or n.clock.is_dead for n in ends):
            return
        if any(n.clock.is_paused for n in ends):
            self._clock.call_later(500, self.connect, entry, agent)
            return
        connection = self._connections[pair] = _Connection()
        ends[1].on_peer_up(entry, ends[0])
        ends[0].on_peer_up(agent, ends[1])
        if connection.is_closed:
            self._connections.pop(pair, None)

    def send(self, source, target, item):
        pair = self._pair(source, target)
        connection = self._connections.get(pair)
        if connection is None or connection.is_closed.get(source):
            return
        if type(item).__name__ == "Dispatch":
            self.dispatches.append((source, target, item))
        if connection.is_blackholed:
            return
        due_ms = self._clock.now_ms() + self._random.randint(1, 15)
        due_ms = max(due_ms, connection.last_due_ms.get(source, 0))
        connection.last_due_ms[source] = due_ms
        node = self.nodes[target]
        self._clock.call_later(
            due_ms - self._clock.now_ms(),
            self._deliver,
            connection,
            node,
            source,
            item,
        )

    def drop(self, entry, agent, must_reconnect=True):
        """Close a connection; each side notices after its own delay."""
        connection = self._connections.get((entry, agent))
        if connection is None:
            return
        for side, other in ((entry, agent), (agent, entry)):
            delay_ms = self._random.randint(0, 200)
            self._clock.call_later(
                delay_ms, self._notice_close, connection, side, other
            )
        if must_reconnect:
            delay_ms = self._random.randint(250, 2_000)
            self._clock.call_later(
                delay_ms, self._reconnect, connection, entry, agent
            )

    def blackhole(self, entry, agent):
        """Drop all data of a connection until its peer timeout closes it."""
        connection = self._connections.get((entry, agent))
        if connection is not None:
            connection.is_blackholed = True
            self._clock.call_later(
                DEAD_PEER_TIMEOUT_MS, self.drop, entry, agent
            )

    def pairs_of(self, name):
        return [pair for pair in self._connections if name in pair]

    def _pair(self, source, target):
        pair = (source, target)
        return pair if pair in self._connections else (target, source)

    def _notice_close(self, connection, side, other):
        if connection.is_closed.get(side):
            return
        connection.is_closed[side] = True
        node = self.nodes.get(side)
        if node is not None:
            node.clock.run(lambda: node.on_peer_down(other))

    def _reconnect(self, connection, entry, agent):
        if self._connections.get((entry, agent)) is connection:
            for side, other in ((entry, agent), (agent, entry)):
                self._notice_close(connection, side, other)
            del self._connections[entry, agent]
        self.connect(entry, agent)

    def _deliver(self, connection, node, source, item):
        # Data that arrives before the receiver notices the end is delivered.
        if connection.is_blackholed or connection.is_closed.get(node.name):
            return
        node.clock.run(lambda: node.on_message(source, item))
