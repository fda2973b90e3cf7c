"""Events of a stream that a caller has received."""

from __future__ import annotations

import re

from soak import ledger as ledger_module

_EVENT = re.compile(rb"id: (\d+)\ndata: ([^\n]*)-(\d+)-([^\n]*)\n\n")


class ReceivedEvents:
    """Complete events at the beginning of a body, and the rest of it."""

    __slots__ = ("_first", "_request_id", "rest", "writers")

    def __init__(self, request_id: str, first: int, body: bytes) -> None:
        self._request_id = request_id
        self._first = first
        # Id of the server process and version, one for each event.
        self.writers: list[str] = []
        position = 0
        while True:
            found = _EVENT.match(body, position)
            if found is None:
                break
            writer = found[4].decode("latin-1")
            if found[0] != ledger_module.event(request_id, self.next, writer):
                break
            self.writers.append(writer)
            position = found.end()
        self.rest = body[position:]

    @property
    def next(self) -> int:
        """Return the number of the event that has to follow."""
        return self._first + len(self.writers)

    def are_from(self, runs: list[ledger_module.Run]) -> bool:
        """Tell whether the runs wrote the body, but for its end."""
        known = {run.writer for run in runs}
        if not known.issuperset(self.writers):
            return False
        return not self.rest or any(
            ledger_module.event(
                self._request_id, self.next, writer
            ).startswith(self.rest)
            for writer in known
        )


def of_request(request: ledger_module.Request) -> ReceivedEvents:
    """Return the events that a request has brought."""
    response = request.response
    is_stream = response is not None and response.status == 200
    body = response.body if response is not None and is_stream else b""
    return ReceivedEvents(request.request_id, request.first_event, body)
