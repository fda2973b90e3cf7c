"""Define the exceptions of the idempotency package."""

from __future__ import annotations

from balsamwall.results import exceptions
from balsamwall.results import result_code


class HomeMapError(exceptions.BalsamwallError):
    """Report a home map that can't be decoded."""

    def __init__(self, message: str) -> None:
        super().__init__(result_code.ResultCode.INTERNAL_ERROR, message)


class RecordError(exceptions.BalsamwallError):
    """Report a transferred key record that can't be decoded."""

    def __init__(self, message: str) -> None:
        super().__init__(result_code.ResultCode.FRAME_INVALID, message)
