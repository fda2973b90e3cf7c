"""Write the response to one request, with a status that is true."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.gateway import refusal

if TYPE_CHECKING:
    from balsamwall.gateway import caller_exchange
    from balsamwall.gateway import execution_record
    from balsamwall.gateway import http_fields
    from balsamwall.results import result_code


class ResponseWriter:
    """Write one response, which promises only what the sends prove.

    All statuses that callers get for a request that was handled are written
    here.
    """

    __slots__ = ("_exchange", "_execution", "_is_relayed", "_status")

    def __init__(
        self,
        exchange: caller_exchange.CallerExchange,
        execution: execution_record.ExecutionRecord,
    ) -> None:
        self._exchange = exchange
        self._execution = execution
        self._is_relayed = False
        self._status = 0

    @property
    def status(self) -> int:
        """Return the status that was written, 0 before that."""
        return self._status

    @property
    def is_relayed(self) -> bool:
        """Return whether the response of a server was begun."""
        return self._is_relayed

    def relay(
        self, status: int, fields: http_fields.Fields, length: int | None
    ) -> bool:
        """Begin the response of a server; return False if it is a false one.

        A server's refusal without a certificate is no proof that the request
        has not run, and callers repeat the request after it.
        """
        if not self._execution.permits_status(status):
            return False
        self._is_relayed = True
        self._status = status
        self._exchange.begin(status, fields, length)
        return True

    def write(self, data: bytes) -> None:
        """Write a part of the body."""
        self._exchange.write(data)

    def finish(self) -> None:
        """End a complete response."""
        self._exchange.finish()

    def cut(self) -> None:
        """End a response so that the caller detects that it is incomplete."""
        self._exchange.cut()

    def refuse(
        self,
        code: result_code.ResultCode,
        detail: str,
        retry_after_ms: int = refusal.RETRY_AFTER_MS,
    ) -> result_code.ResultCode:
        """Write an error response; return its code.

        The code differs from the given one if that would not be true.
        """
        code = self._execution.truthful_code(code)
        self._status = refusal.write(
            self._exchange, code, detail, retry_after_ms
        )
        return code
