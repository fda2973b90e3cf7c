"""Decision whether a server has room for one more request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.gateway import backend_directory
    from balsamwall.gateway import incoming_request
    from balsamwall.timing import clock as clock_module

# Requests beyond the slots that an engine may have: their prompts are read
# while the batch is full.
MAX_WAITING_AT_ENGINE = 3
# The engine itself admits the most urgent requests before all others, so that
# they are not held back for those.
EXTRA_WAITING_URGENT = 24
URGENT_PRIORITY = 0


class Admission:
    """Keep requests at the entry while all engines with the model are full.

    Load pattern: demand for a model grows faster than copies are loaded. A
    request that waits at a full engine is lost for the next copy; one that
    waits at the entry goes to whichever engine has room first.
    """

    __slots__ = ("_clock",)

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock

    def has_room(
        self,
        server: backend_directory.BackendServer,
        request: incoming_request.IncomingRequest,
        priority: int,
    ) -> bool:
        """Tell whether a request may be sent now."""
        if not request.model:
            return True
        limit = server.record.slots + MAX_WAITING_AT_ENGINE
        if priority <= URGENT_PRIORITY:
            limit += EXTRA_WAITING_URGENT
        return server.load(self._clock.now_ms()) < limit
