"""Demand accounting for requests that are refused."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.dispatch import caller_request
    from balsamwall.results import result_code


class RefusalCounter(Protocol):
    """Counter of the demand that refused requests represent."""

    def on_refused(
        self,
        request: caller_request.CallerRequest,
        code: result_code.ResultCode,
    ) -> None:
        """Count the request if its result code indicates unmet demand."""


class DemandListener:
    """Wrapper of a listener that reports each failure to a counter."""

    __slots__ = ("_listener", "_request", "_counter")

    def __init__(
        self,
        counter: RefusalCounter,
        request: caller_request.CallerRequest,
        listener: caller_request.AnswerListener,
    ) -> None:
        self._counter = counter
        self._request = request
        self._listener = listener

    @property
    def on_chunk(self) -> Callable[[bytes], None]:
        """Return the wrapped listener's callback for response chunks."""
        return self._listener.on_chunk

    @property
    def on_end(self) -> Callable[[caller_request.AnswerEnd], None]:
        """Return the wrapped listener's callback for the end."""
        return self._listener.on_end

    def on_failure(self, failure: caller_request.AnswerFailure) -> None:
        """Count the failure, then pass it to the wrapped listener."""
        self._counter.on_refused(self._request, failure.code)
        self._listener.on_failure(failure)
