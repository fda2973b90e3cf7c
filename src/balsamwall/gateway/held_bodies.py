"""Bound the bytes that are held for the bodies of requests."""

from __future__ import annotations

import collections
from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamwall.logs import decision_log
    from balsamwall.timing import clock as clock_module

# For all bodies, in addition to the bytes held for callers that do not read.
# The smallest VM has 160 MB, of which an idle entry uses about 50 MB.
MAX_TOTAL_BYTES = 32 * 1024 * 1024
# Part of the total for the body that has been read for longest, so that it is
# completed whatever the others hold. A body has this size at most by default.
RESERVED_BYTES = 4 * 1024 * 1024
# From this total on, only as many bodies are read at a time as one read of
# each leaves room for. Below it, callers that send nothing keep out no others.
PAUSE_BYTES = 24 * 1024 * 1024
# Bytes that one read of a connection adds at most.
READ_BYTES = 65_536


class BodyOwner(Protocol):
    """Read the body of a request, and end the request if necessary."""

    def pause_body(self) -> int:
        """Stop reading; return for how many milliseconds at most."""

    def resume_body(self) -> None:
        """Resume reading."""

    def refuse_body(self) -> bool:
        """Refuse the request unless a server may have run it.

        Return whether it was refused.
        """

    def drop_body(self) -> bool:
        """Release the body if the request is sent and must not be repeated.

        It is kept only for the case that the server certifies that the request
        has not run. Return whether it was released.
        """


class HeldBody:
    """Body of one request, counted until its last user has released it.

    The owner is its first user.
    """

    __slots__ = ("_bodies", "_length", "_owner", "_pieces", "_users", "size")

    def __init__(
        self, bodies: HeldBodies, owner: BodyOwner, length: int
    ) -> None:
        self._length = length
        self._bodies = bodies
        self._owner = owner
        self._pieces: list[bytes] = []
        self._users: set[object] = {owner}
        self.size = 0  # of all that was read, also when it was released

    @property
    def owner(self) -> BodyOwner:
        """Return the reader of the body."""
        return self._owner

    @property
    def full_size(self) -> int:
        """Return the bytes that are needed to hold the complete body."""
        return max(self._length, self.size)

    @property
    def data(self) -> bytes:
        """Return the body, joined once; it is empty after the release."""
        if len(self._pieces) > 1:
            self._pieces = [b"".join(self._pieces)]
        return self._pieces[0] if self._pieces else b""

    @property
    def may_be_sent(self) -> bool:
        """Return whether the owner has kept the body for another send."""
        return not self.size or self.is_kept

    @property
    def is_kept(self) -> bool:
        """Return whether the owner has not released the body."""
        return self._owner in self._users

    def add(self, piece: bytes) -> None:
        """Append a part that was read."""
        self._pieces.append(piece)
        self.size += len(piece)
        self._bodies.on_added(self, len(piece))

    def on_incomplete(self) -> None:
        """Read the rest of the body later, when there is room for it."""
        if self.is_kept:
            self._bodies.on_incomplete(self)

    def on_complete(self) -> None:
        """Record that the body was read in full."""
        self._bodies.on_complete(self)

    def retain(self, user: object) -> None:
        """Add a user."""
        self._users.add(user)

    def release(self, user: object) -> None:
        """Remove a user, the last one with the bytes; idempotent."""
        if user not in self._users:
            return
        self._users.discard(user)
        if not self._users:
            self._pieces = []
            self._bodies.on_released(self)


class HeldBodies:
    """Decide which bodies are read, and which requests are refused for them.

    Load pattern: many callers send large bodies at once, or servers are slow
    to respond, so that the bodies of all open requests exceed the memory of
    the process. Those that arrived last are read later. The one that has been
    read for longest continues, so that some request is completed. One that
    waits too long to be read is refused, or a larger one that waits for a
    server, since it has not run and makes room for more others.
    """

    __slots__ = (
        "_clock",
        "_held",
        "_log",
        "_paused",
        "_reading",
        "_timers",
        "_total",
    )

    def __init__(
        self, clock: clock_module.Clock, log: decision_log.DecisionLog
    ) -> None:
        self._clock = clock
        self._log = log
        self._held: dict[HeldBody, None] = {}
        self._total = 0
        # Incomplete bodies in the order of arrival, those being read first.
        self._reading: collections.OrderedDict[HeldBody, None]
        self._reading = collections.OrderedDict()
        self._paused: collections.OrderedDict[HeldBody, None]
        self._paused = collections.OrderedDict()
        self._timers: dict[HeldBody, clock_module.Timer] = {}

    @property
    def total(self) -> int:
        """Return the bytes held for all bodies."""
        return self._total

    @property
    def paused(self) -> int:
        """Return the number of bodies that are not read for now."""
        return len(self._paused)

    def open(self, owner: BodyOwner, length: int = 0) -> HeldBody:
        """Return the empty body of a new request.

        The length is the one that its caller states, 0 if there is none.
        """
        return HeldBody(self, owner, length)

    def on_added(self, body: HeldBody, size: int) -> None:
        """Count bytes of a body; refuse requests if there is no room."""
        self._held[body] = None
        self._total += size
        if self._total > MAX_TOTAL_BYTES:
            self._drop_bodies()
        while self._total > MAX_TOTAL_BYTES and self._refuse_any():
            pass
        self._balance()

    def on_incomplete(self, body: HeldBody) -> None:
        """Add a body that is to be read further, if it is new."""
        if body in self._reading or body in self._paused:
            return
        self._held[body] = None
        if self._paused:
            self._pause(body)
        else:
            self._reading[body] = None
        self._balance()

    def on_complete(self, body: HeldBody) -> None:
        """Remove a body from those being read."""
        self._forget(body)
        self._balance()

    def on_released(self, body: HeldBody) -> None:
        """Count a body no more."""
        self._forget(body)
        if body in self._held:
            del self._held[body]
            self._total -= body.size
        self._balance()

    def _balance(self) -> None:
        """Read as many bodies as there is room for."""
        incomplete = len(self._reading) + len(self._paused)
        count = min(incomplete, self._max_reading(incomplete))
        while len(self._reading) > count:
            body, _ = self._reading.popitem()
            self._pause(body)
            self._paused.move_to_end(body, last=False)
        while len(self._reading) < count:
            body = next(iter(self._paused))
            self._unpause(body)
            self._reading[body] = None
            body.owner.resume_body()

    def _max_reading(self, incomplete: int) -> int:
        """Return how many of the incomplete bodies may be read now.

        The first waits only for requests that are complete, since these end
        without further bytes.
        """
        if self._total < PAUSE_BYTES:
            return incomplete
        room = MAX_TOTAL_BYTES - self._total
        has_complete = len(self._held) > incomplete
        if room < READ_BYTES and has_complete:
            return 0
        return max(1, (room - RESERVED_BYTES) // READ_BYTES)

    def _pause(self, body: HeldBody) -> None:
        if not self._paused:
            self._log.write(
                "bodies_paused",
                total_bytes=self._total,
                bodies=len(self._held),
                reading=len(self._reading),
            )
        self._paused[body] = None
        self._timers[body] = self._clock.call_later(
            body.owner.pause_body(), self._on_overdue, body
        )

    def _unpause(self, body: HeldBody) -> None:
        del self._paused[body]
        self._timers.pop(body).cancel()
        if not self._paused:
            self._log.write("bodies_resumed", total_bytes=self._total)

    def _forget(self, body: HeldBody) -> None:
        self._reading.pop(body, None)
        if body in self._paused:
            self._unpause(body)

    def _on_overdue(self, body: HeldBody) -> None:
        """Make room for a body that has waited for as long as it can.

        A larger request that waits for a server is refused in its favor. If
        there is none, or if that is not enough, it is refused itself.
        """
        self._drop_bodies()
        if body in self._paused:
            incomplete = self._reading.keys() | self._paused.keys()
            self._refuse_largest(
                item
                for item in self._held
                if item.full_size > body.full_size and item not in incomplete
            )
        if body in self._paused:
            self._refuse(body)

    def _refuse_any(self) -> bool:
        """Refuse the largest request that is not sent; return whether any.

        The one that has been read for longest is refused only if it is alone.
        """
        first = next(iter(self._reading), None)
        others = (body for body in self._held if body is not first)
        if self._refuse_largest(others):
            return True
        return first is not None and self._refuse(first)

    def _drop_bodies(self) -> None:
        """Release the bodies that are needed least."""
        for body in list(self._held):
            if body.is_kept and body.owner.drop_body():
                self._log.write("body_dropped", body_bytes=body.size)

    def _refuse_largest(self, bodies: Iterable[HeldBody]) -> bool:
        """Refuse the largest one that is not sent; return whether any."""
        by_size = sorted(bodies, key=lambda body: body.size, reverse=True)
        return any(self._refuse(body) for body in by_size if body.is_kept)

    def _refuse(self, body: HeldBody) -> bool:
        total = self._total
        if not body.owner.refuse_body():
            return False
        self._log.write(
            "body_refused",
            body_bytes=body.size,
            total_bytes=total,
            paused=len(self._paused),
        )
        return True
