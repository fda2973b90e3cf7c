"""Bounds on the bytes that servers may send in responses."""

from __future__ import annotations

from typing import Any
from typing import Generic
from typing import TYPE_CHECKING
from typing import TypeVar

from twisted.protocols import policies

if TYPE_CHECKING:
    from collections.abc import Callable

# Status lines and headers of a response, with those of interim responses.
# Each short line takes many times its length in the memory of the parser.
MAX_HEAD_BYTES = 16 * 1024

Response = TypeVar("Response")


class ResponseAllowance:
    """Count the bytes of one response against what it may have.

    Load pattern: a faulty server writes lines of a head, or parts of chunks,
    without end and as fast as they are read. Framing counts as well as the
    content that it frames.
    """

    __slots__ = ("_is_head_complete", "_max_bytes", "_received")

    def __init__(self, max_bytes: int | None) -> None:
        """Set the bound on the bytes after the head, None for none."""
        self._max_bytes = max_bytes
        self._received = 0
        self._is_head_complete = False

    @property
    def left(self) -> int | None:
        """Return how many bytes may be read now, None without a bound."""
        if not self._is_head_complete:
            return max(0, MAX_HEAD_BYTES - self._received)
        if self._max_bytes is None:
            return None
        return max(0, MAX_HEAD_BYTES + self._max_bytes - self._received)

    def on_head(self) -> None:
        """Allow the body as well: the head is complete."""
        self._is_head_complete = True

    def take(self, size: int) -> None:
        """Count bytes that are read."""
        self._received += size


class BoundedConnection(policies.ProtocolWrapper):  # type: ignore[misc]
    """Connection that is aborted once its response exceeds its allowance."""

    def dataReceived(self, data: bytes) -> None:
        """Parse as much as the allowance permits; abort if more has come.

        The end of the head within the data permits more.
        """
        allowance = self.factory.allowance
        while data:
            left = allowance.left
            if left == 0:
                self.transport.abortConnection()
                self.factory.on_exceeded()
                return
            part, data = data[:left], data[left:] if left else b""
            allowance.take(len(part))
            self.wrappedProtocol.dataReceived(part)


class BoundedFactory(policies.WrappingFactory):  # type: ignore[misc]
    """Factory of the connection of one response."""

    protocol = BoundedConnection
    noisy = False

    def __init__(
        self,
        wrapped: Any,
        allowance: ResponseAllowance,
        on_exceeded: Callable[[], None],
    ) -> None:
        super().__init__(wrapped)
        self.allowance = allowance
        self.on_exceeded = on_exceeded


class ResponseMemory(Generic[Response]):
    """Bound the bytes of all unfinished responses of a client together.

    Load pattern: many servers at once write bodies without end, each up to
    its own bound. The longest response is cut first, so that the short ones
    of sound servers arrive.
    """

    __slots__ = ("_max_bytes", "_sizes", "_total")

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._sizes: dict[Response, int] = {}
        self._total = 0

    def add(self, response: Response, size: int) -> list[Response]:
        """Count bytes of a response; return the responses to be cut."""
        self._sizes[response] = self._sizes.get(response, 0) + size
        self._total += size
        found = []
        while self._total > self._max_bytes:
            longest = max(self._sizes, key=self._sizes.__getitem__)
            self.remove(longest)
            found.append(longest)
        return found

    def remove(self, response: Response) -> None:
        """Forget a response that is complete or cut."""
        self._total -= self._sizes.pop(response, 0)
