"""Listener that counts the demand of refused requests."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.dispatch import caller_request
    from balsamwall.results import result_code


class RefusalCounter(Protocol):
    """Owner of the demand that refused requests show."""

    def on_refused(
        self,
        request: caller_request.CallerRequest,
        code: result_code.ResultCode,
    ) -> None:
        """Count a refused request."""


class DemandListener:
    """Listener that counts the demand of refused requests."""

    __slots__ = ("_listener", "_request", "_unit")

    def __init__(
        self,
        unit: RefusalCounter,
        request: caller_request.CallerRequest,
        listener: caller_request.AnswerListener,
    ) -> None:
        self._unit = unit
        self._request = request
        self._listener = listener

    @property
    def on_chunk(self) -> Callable[[bytes], None]:
        """Return the receiver of parts."""
        return self._listener.on_chunk

    @property
    def on_end(self) -> Callable[[caller_request.AnswerEnd], None]:
        """Return the receiver of the end."""
        return self._listener.on_end

    def on_failure(self, failure: caller_request.AnswerFailure) -> None:
        """Count a refusal and pass it on."""
        self._unit.on_refused(self._request, failure.code)
        self._listener.on_failure(failure)
