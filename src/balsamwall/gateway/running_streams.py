"""Notice that the software version of a server changes under a stream."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.gateway import attempt as attempt_module
    from balsamwall.gateway import backend_directory


class StreamWatcher(Protocol):
    """Represent a request whose stream comes from a server."""

    def on_other_version(self, software_version: str) -> None:
        """Handle that the server's record has another version now."""


class RunningStreams:
    """Notify requests when the record of their server changes its version.

    A record may be late: the process that it names first may have been
    replaced before the stream began, so that either version may have written
    the events.

    Load pattern: server processes are replaced under their identifier while
    they serve streams. A record that keeps its version costs one look-up.
    """

    __slots__ = ("_by_server", "_directory")

    def __init__(self, directory: backend_directory.BackendDirectory) -> None:
        self._directory = directory
        self._by_server: dict[
            str, dict[attempt_module.Attempt, StreamWatcher]
        ] = {}
        directory.add_listener(self._on_server, lambda server: None)

    def add(
        self, attempt: attempt_module.Attempt, watcher: StreamWatcher
    ) -> None:
        """Watch the server of an attempt whose response has begun."""
        server_id = attempt.record.server_id
        self._by_server.setdefault(server_id, {})[attempt] = watcher
        server = self._directory.get(server_id)
        if server is not None:
            self._notify(server, attempt, watcher)

    def remove(self, attempt: attempt_module.Attempt) -> None:
        """End the watch of an attempt that is over, if there is one."""
        server_id = attempt.record.server_id
        attempts = self._by_server.get(server_id, {})
        attempts.pop(attempt, None)
        if not attempts:
            self._by_server.pop(server_id, None)

    def _on_server(self, server: backend_directory.BackendServer) -> None:
        attempts = self._by_server.get(server.server_id, {})
        for attempt, watcher in list(attempts.items()):
            self._notify(server, attempt, watcher)

    @staticmethod
    def _notify(
        server: backend_directory.BackendServer,
        attempt: attempt_module.Attempt,
        watcher: StreamWatcher,
    ) -> None:
        version = server.record.software_version
        if version != attempt.record.software_version:
            watcher.on_other_version(version)
