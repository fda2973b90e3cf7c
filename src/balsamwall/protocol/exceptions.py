"""Exceptions of the internal protocol."""

from __future__ import annotations

from balsamwall.results import exceptions
from balsamwall.results import result_code


class ProtocolError(exceptions.BalsamwallError):
    """Violation of the internal protocol by a frame or its sender."""

    def __init__(
        self,
        message: str,
        code: result_code.ResultCode = result_code.ResultCode.FRAME_INVALID,
    ) -> None:
        super().__init__(code, message)
