"""Errors of idempotency keys."""

from __future__ import annotations

from balsamwall.results import exceptions
from balsamwall.results import result_code


class HomeMapError(exceptions.BalsamwallError):
    """Home map in the key-value service that cannot be read."""

    def __init__(self, message: str) -> None:
        super().__init__(result_code.ResultCode.INTERNAL_ERROR, message)


class RecordError(exceptions.BalsamwallError):
    """Transferred record that cannot be read."""

    def __init__(self, message: str) -> None:
        super().__init__(result_code.ResultCode.FRAME_INVALID, message)
