"""TCP relay whose connections can be silenced without being closed."""

from __future__ import annotations

import contextlib
import socket
import threading


class SilentRelay:
    """Relay to one address; silenced connections stay open."""

    def __init__(self, target: tuple[str, int]) -> None:
        self._target = target
        self._silent: set[socket.socket] = set()
        self._open: set[socket.socket] = set()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def silence_open(self) -> int:
        """Silence the open connections; return how many were silenced."""
        found = set(self._open) - self._silent
        self._silent |= found
        return len(found) // 2

    def _accept(self) -> None:
        while True:
            client, _ = self._listener.accept()
            try:
                server = socket.create_connection(self._target, 5)
            except OSError:
                client.close()
                continue
            server.settimeout(None)
            self._open |= {client, server}
            for pair in ((client, server), (server, client)):
                threading.Thread(
                    target=self._forward, args=pair, daemon=True
                ).start()

    def _forward(self, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(65_536):
                if source not in self._silent:
                    sink.sendall(data)
        if source in self._silent:
            return
        for item in (source, sink):
            self._open.discard(item)
            with contextlib.suppress(OSError):
                item.shutdown(socket.SHUT_RDWR)
            item.close()
