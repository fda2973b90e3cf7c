"""TCP relay that counts forwarded bytes and frames."""

from __future__ import annotations

import collections
import contextlib
import socket
import threading

import msgpack

_LENGTH_BYTES = 4


class CountingRelay:
    """Relay from a free port to target_port, counting each direction."""

    def __init__(self, has_frames: bool) -> None:
        self.target_port = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self.frames: collections.Counter[int] = collections.Counter()
        self._has_frames = has_frames
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.port: int = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def total_bytes(self) -> int:
        """Return the bytes forwarded in both directions."""
        return self.sent_bytes + self.received_bytes

    def _accept(self) -> None:
        while True:
            client, _ = self._listener.accept()
            try:
                server = socket.create_connection(
                    ("127.0.0.1", self.target_port), 5
                )
            except OSError:
                client.close()
                continue
            server.settimeout(None)
            for source, sink, is_sent in (
                (client, server, True),
                (server, client, False),
            ):
                threading.Thread(
                    target=self._forward,
                    args=(source, sink, is_sent),
                    daemon=True,
                ).start()

    def _forward(
        self, source: socket.socket, sink: socket.socket, is_sent: bool
    ) -> None:
        pending = b""
        with contextlib.suppress(OSError):
            while data := source.recv(65_536):
                sink.sendall(data)
                if is_sent:
                    self.sent_bytes += len(data)
                else:
                    self.received_bytes += len(data)
                if self._has_frames:
                    pending = self._count_frames(pending + data)
        for item in (source, sink):
            with contextlib.suppress(OSError):
                item.shutdown(socket.SHUT_RDWR)

    def _count_frames(self, data: bytes) -> bytes:
        while len(data) >= _LENGTH_BYTES:
            size = int.from_bytes(data[:_LENGTH_BYTES], "big")
            end = _LENGTH_BYTES + size
            if len(data) < end:
                break
            self.frames[msgpack.unpackb(data[_LENGTH_BYTES:end])[0]] += 1
            data = data[end:]
        return data
