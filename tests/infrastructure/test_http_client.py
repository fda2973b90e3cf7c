"""Tests of the HTTP client of agents and entries, over TCP."""

from __future__ import annotations

import socket
import threading
import unittest

from twisted.internet import reactor

from balsamwall.infrastructure import http_client
from tests.fixtures import reactor_thread

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d"


class RepeatingServer:
    """Server that writes each response twice, the second time late."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        self.connections = 0
        threading.Thread(target=self._serve, daemon=True).start()

    def close(self) -> None:
        self._listener.close()

    def _serve(self) -> None:
        try:
            while True:
                connection, _ = self._listener.accept()
                self.connections += 1
                with connection:
                    connection.recv(65_536)
                    response = RESPONSE % self.connections
                    connection.sendall(response + response)
        except OSError:
            return


class HttpClientTest(unittest.TestCase):
    """A response belongs to the request of its connection."""

    def test_second_copy_reaches_no_other_request(self) -> None:
        """Guards against a response to another request.

        No connection is used twice, so that a late copy is never read.
        """
        server = RepeatingServer()
        self.addCleanup(server.close)
        client = http_client.HttpClient(reactor, reactor_thread.clock)
        for number in (1, 2, 3):
            url = f"http://127.0.0.1:{server.port}/"
            response = reactor_thread.call(
                lambda done, url=url: client.call(
                    "GET", url, {}, b"", 5_000, done
                )
            )
            self.assertEqual(response.body, b"%d" % number)
        self.assertEqual(server.connections, 3)
