"""Call to the key-value service with a timeout."""

from __future__ import annotations

from typing import Generic
from typing import TYPE_CHECKING
from typing import TypeAlias
from typing import TypeVar

from returns.result import Failure
from returns.result import Result

from balsamwall.configuration import key_value_client
from balsamwall.results import exceptions
from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.timing import clock as timing_clock

T = TypeVar("T")

GetResult: TypeAlias = Result[
    key_value_client.KeyValueEntry | None, exceptions.BalsamwallError
]
SwapResult: TypeAlias = Result[int, exceptions.BalsamwallError]


class StoreCall(Generic[T]):
    """Callback that runs once, with a failure on timeout.

    The failure is PLATFORM_OUTCOME_UNKNOWN, since a write may have taken
    effect.
    """

    __slots__ = ("_callback", "_timer")

    def __init__(
        self,
        clock: timing_clock.Clock,
        timeout_ms: int,
        callback: Callable[[Result[T, exceptions.BalsamwallError]], None],
    ) -> None:
        self._callback: (
            Callable[[Result[T, exceptions.BalsamwallError]], None] | None
        ) = callback
        self._timer = clock.call_later(timeout_ms, self._on_timeout)

    def on_result(self, result: Result[T, result_code.ResultCode]) -> None:
        """Forward the first result and ignore later ones."""
        self._timer.cancel()
        callback, self._callback = self._callback, None
        if callback is not None:
            callback(result.alt(_to_error))

    def _on_timeout(self) -> None:
        self.on_result(
            Failure(result_code.ResultCode.PLATFORM_OUTCOME_UNKNOWN)
        )


def _to_error(code: result_code.ResultCode) -> exceptions.BalsamwallError:
    return exceptions.BalsamwallError(
        code, f"the key-value service failed with {code.name}"
    )
