"""Errors of the internal protocol."""

from __future__ import annotations

from balsamwall.results import exceptions
from balsamwall.results import result_code


class ProtocolError(exceptions.BalsamwallError):
    """Frame that breaks a rule of the internal protocol."""

    def __init__(
        self,
        message: str,
        code: result_code.ResultCode = result_code.ResultCode.FRAME_INVALID,
    ) -> None:
        super().__init__(code, message)
