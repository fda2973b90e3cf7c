"""Tests of the HTTP client over a real socket."""

from __future__ import annotations

import subprocess
import sys
import unittest

from balsamwall.console import event_stream
from balsamwall.console import http_transport

SERVER = """
import socket
server = socket.create_server(("127.0.0.1", 0))
print(server.getsockname()[1], flush=True)
while True:
    peer, _ = server.accept()
    head = peer.recv(65536)
    body = b"data: a\\n\\ndata: [DONE]\\n\\n"
    missing = 5 if b"/short" in head else 0
    peer.sendall(
        b"HTTP/1.1 200 OK\\r\\nContent-Length: %d\\r\\n\\r\\n"
        % (len(body) + missing) + body
    )
    peer.close()
"""


class HttpTransportTest(unittest.TestCase):
    """Guard against truncated responses that look complete."""

    def setUp(self) -> None:
        self.child = subprocess.Popen(
            [sys.executable, "-c", SERVER], stdout=subprocess.PIPE, text=True
        )
        self.addCleanup(self.child.stdout.close)
        self.addCleanup(self.child.wait)
        self.addCleanup(self.child.kill)
        port = int(self.child.stdout.readline())
        self.url = f"http://127.0.0.1:{port}"

    def send(self, path):
        return http_transport.send("GET", self.url + path, {}, b"", 30)

    def test_events_are_read(self) -> None:
        """Guard against a client that cannot read a response as a stream."""
        with self.send("/whole") as response:
            events = list(event_stream.read(response.lines))
        self.assertEqual(["a", "[DONE]"], [event.data for event in events])

    def test_short_body_is_an_error(self) -> None:
        """Guard against a truncated body that is accepted as complete (R3)."""
        with self.assertRaises(ConnectionError):
            with self.send("/short") as response:
                response.read()
