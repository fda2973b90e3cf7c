"""Identify the content of a request, and whether it may crash servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.gateway import crash_suspects
from balsamwall.gateway import fingerprints as fingerprints_module

if TYPE_CHECKING:
    from balsamwall.gateway import backend_directory
    from balsamwall.gateway import caller_exchange
    from balsamwall.gateway import incoming_request
    from balsamwall.gateway import request_dependencies
    from balsamwall.gateway import response_body


class RequestContent:
    """Keep the digests of a request, which are computed when needed."""

    __slots__ = ("_dependencies", "_exchange", "_fingerprints", "_request")

    def __init__(
        self,
        dependencies: request_dependencies.RequestDependencies,
        exchange: caller_exchange.CallerExchange,
        request: incoming_request.IncomingRequest,
    ) -> None:
        self._dependencies = dependencies
        self._exchange = exchange
        self._request = request
        self._fingerprints: fingerprints_module.RequestFingerprints | None
        self._fingerprints = None

    def compute(self) -> fingerprints_module.RequestFingerprints:
        """Return digests of the request and of the parts of its prompt.

        The first call needs the body.
        """
        if self._fingerprints is None:
            self._fingerprints = fingerprints_module.of_request(
                self._exchange.head, self._exchange.body.data, self._request
            )
        return self._fingerprints

    @property
    def held_back_ms(self) -> int:
        """Return for how long the request is held back, 0 if it is not."""
        suspects = self._dependencies.suspects
        if not suspects.holds_any:
            return 0
        return suspects.held_back_ms(self.compute())

    @property
    def undecided_processes(self) -> frozenset[str]:
        """Return the only processes that may get the request, if any."""
        suspects = self._dependencies.suspects
        if not suspects.holds_any:
            return frozenset()
        return suspects.undecided_processes(self.compute())

    def is_kept_from(self, server: backend_directory.BackendServer) -> bool:
        """Return whether only other processes may get the request now."""
        processes = self.undecided_processes
        if not processes:
            return False
        return crash_suspects.process_name(server.record) not in processes

    def prove(self, body: response_body.ResponseBody) -> None:
        """Record that the request does not crash servers, once a response."""
        if body.is_proven:
            return
        body.is_proven = True
        first_data_ms = body.first_data_ms
        if first_data_ms is None:
            first_data_ms = self._dependencies.clock.now_ms()
        self._dependencies.suspects.on_proven(
            self.compute().all, first_data_ms
        )
