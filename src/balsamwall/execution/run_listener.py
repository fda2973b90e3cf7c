"""Bind backend server events to one attempt."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.execution import run as run_module
    from balsamwall.results import result_code


class AnswerHandler(Protocol):
    """Handle the events of all attempts, with their generation."""

    def on_data(
        self, run: run_module.Run, generation: int, offset: int, data: bytes
    ) -> None:
        """Receive a part of an answer."""

    def on_end(
        self,
        run: run_module.Run,
        generation: int,
        http_status: int,
        headers: dict[str, str],
        total_bytes: int,
        output_tokens: int,
    ) -> None:
        """Receive the end of a complete answer."""

    def on_error(
        self,
        run: run_module.Run,
        generation: int,
        code: result_code.ResultCode,
        detail: str,
        is_crash: bool,
    ) -> None:
        """Receive a failure."""


class RunListener:
    """Listen to one reading of a stream.

    It adds the generation of the attempt at its creation, by which the
    handler recognises events of earlier readings.
    """

    __slots__ = ("_generation", "_handler", "_run")

    def __init__(self, handler: AnswerHandler, run: run_module.Run) -> None:
        self._handler = handler
        self._run = run
        self._generation = run.generation

    def on_data(self, offset: int, data: bytes) -> None:
        """Receive a part of the answer at a byte offset."""
        self._handler.on_data(self._run, self._generation, offset, data)

    def on_end(
        self,
        http_status: int,
        headers: dict[str, str],
        total_bytes: int,
        output_tokens: int,
    ) -> None:
        """Receive the end of a complete answer."""
        self._handler.on_end(
            self._run,
            self._generation,
            http_status,
            headers,
            total_bytes,
            output_tokens,
        )

    def on_error(
        self, code: result_code.ResultCode, detail: str, is_crash: bool
    ) -> None:
        """Receive the failure of the attempt or of the stream."""
        self._handler.on_error(
            self._run, self._generation, code, detail, is_crash
        )
