"""Keep the attempts in progress and records of ended ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.execution import attempt_records
from balsamwall.protocol import messages_request

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.execution import run as run_module
    from balsamwall.protocol import message
    from balsamwall.protocol import outbox as outbox_module
    from balsamwall.results import result_code
    from balsamwall.timing import clock as clock_module


class RunTable:
    """Index attempts in progress by key and by entry.

    Attempts end only here, each with exactly one final message (`Refused`,
    `Cancelled` or `Failed`), which is recorded before it is sent.
    """

    __slots__ = ("_by_peer", "_on_close", "_outbox", "_runs", "records")

    def __init__(
        self,
        clock: clock_module.Clock,
        outbox: outbox_module.Outbox,
        on_close: Callable[[], None],
    ) -> None:
        self._outbox = outbox
        self._on_close = on_close
        self.records = attempt_records.AttemptRecords(clock)
        self._runs: dict[run_module.AttemptKey, run_module.Run] = {}
        self._by_peer: dict[
            str, dict[run_module.AttemptKey, run_module.Run]
        ] = {}

    def __len__(self) -> int:
        return len(self._runs)

    def __contains__(self, run: run_module.Run) -> bool:
        return self._runs.get(run.key) is run

    def get(self, key: run_module.AttemptKey) -> run_module.Run | None:
        """Return an attempt in progress, or None."""
        return self._runs.get(key)

    def all_runs(self) -> list[run_module.Run]:
        """Return all attempts in progress."""
        return list(self._runs.values())

    def runs_of(self, peer: str) -> list[run_module.Run]:
        """Return the attempts in progress of one entry."""
        return list(self._by_peer.get(peer, {}).values())

    def add(self, run: run_module.Run) -> None:
        """Add an attempt under its key."""
        self._runs[run.key] = run
        self._by_peer.setdefault(run.peer, {})[run.key] = run

    def close(
        self, run: run_module.Run, final_message: message.Message
    ) -> None:
        """End an attempt: record the final message, then send it."""
        run.stop_timer()
        if self._runs.pop(run.key, None) is None:
            return
        runs = self._by_peer.get(run.peer, {})
        runs.pop(run.key, None)
        if not runs:
            self._by_peer.pop(run.peer, None)
        self.records.add(run.key, final_message)
        self.send(run, final_message)
        self._on_close()

    def refuse_new(
        self, run: run_module.Run, final_message: message.Message
    ) -> None:
        """End an attempt that was never added."""
        self.records.add(run.key, final_message)
        self._outbox.send(run.peer, final_message)

    def send(self, run: run_module.Run, item: message.Message) -> None:
        """Send a message to the entry, if the attempt is attached to it."""
        if run.is_attached:
            self._outbox.send(run.peer, item)

    def send_to(self, peer: str, item: message.Message) -> None:
        """Send a message about an attempt that is not in the table."""
        self._outbox.send(peer, item)

    def send_chunk(
        self, run: run_module.Run, offset: int, data: bytes
    ) -> None:
        """Send a part of an answer, if the entry is attached."""
        if run.is_attached:
            _, request_id, attempt = run.key
            self._outbox.send(
                run.peer,
                messages_request.Chunk(
                    request_id=request_id,
                    attempt=attempt,
                    offset=offset,
                    data=data,
                ),
            )


def cancelled(
    key: run_module.AttemptKey, ran: bool
) -> messages_request.Cancelled:
    """Build the reply to a cancel."""
    return messages_request.Cancelled(
        request_id=key[1], attempt=key[2], ran=ran
    )


def failed(
    key: run_module.AttemptKey, code: result_code.ResultCode, detail: str
) -> messages_request.Failed:
    """Build the failure of an attempt that may have run."""
    return messages_request.Failed(
        request_id=key[1],
        attempt=key[2],
        code=code.number,
        retry_after_ms=0,
        detail=detail,
    )


def refused(
    key: run_module.AttemptKey,
    code: result_code.ResultCode,
    detail: str,
    scope: str = "attempt",
    retry_after_ms: int = 0,
) -> messages_request.Refused:
    """Build the confirmation that an attempt has not run and won't run."""
    return messages_request.Refused(
        request_id=key[1],
        attempt=key[2],
        code=code.number,
        scope=scope,
        retry_after_ms=retry_after_ms,
        detail=detail,
    )
