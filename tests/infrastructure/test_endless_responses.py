"""Tests of the HTTP client with servers that write without end."""

from __future__ import annotations

import socket
import threading
import unittest

from twisted.internet import reactor

from balsamwall.infrastructure import http_client
from balsamwall.infrastructure import response_bounds
from balsamwall.platform import engine_calls
from tests.fixtures import gateway_harness
from tests.fixtures import reactor_thread

# What the sockets of a loopback connection hold beside what is read.
SOCKET_BYTES = 16 * 1024 * 1024
TIMEOUT_MS = 8_000
HEAD = b"HTTP/1.1 200 OK\r\n"
PART = 64 * 1024
# First bytes of a response, and the part that is repeated without end.
RESPONSES = {
    "status line": (b"HTTP/1.1 200 ", b"O" * PART),
    "bytes that are no HTTP": (b"", b"\0" * PART),
    "short headers": (HEAD, b"a:b\r\n" * (PART // 5)),
    "folded header": (HEAD + b"a: b\r\n", b" c\r\n" * (PART // 4)),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2_600),
    "length": (HEAD + b"Content-Length: 99999999999\r\n\r\n", b"x" * PART),
    "end by close": (HEAD + b"\r\n", b"x" * PART),
    "chunks": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"1\r\nx\r\n" * (PART // 6),
    ),
}


class EndlessServer:
    """Server that writes until its caller closes the connection."""

    def __init__(self, begin, part):
        self.begin, self.part = begin, part
        self.written = 0
        self.closed = threading.Event()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.serve, daemon=True).start()

    def serve(self):
        connection, _ = self.listener.accept()
        with connection:
            try:
                connection.recv(65_536)
                connection.sendall(self.begin)
                while True:
                    self.written += connection.send(self.part)
            except OSError:
                self.closed.set()


class EndlessResponseTest(unittest.TestCase):
    """Load pattern: a faulty server writes as fast as it is read."""

    def start(self, name):
        found = EndlessServer(*RESPONSES[name])
        self.addCleanup(found.listener.close)
        return found

    def check(self, server, bound):
        self.assertTrue(server.closed.wait(TIMEOUT_MS / 1_000))
        self.assertLess(server.written, bound + SOCKET_BYTES)

    def call(self, client, server, **changes):
        url = f"http://127.0.0.1:{server.port}/"
        return reactor_thread.call(
            lambda done: client.call(
                "GET", url, {}, b"", TIMEOUT_MS, done, **changes
            )
        )

    def test_response_is_cut_at_its_bound(self):
        """Guards against a process that runs out of memory.

        The connection is closed at the bound and not at the timeout.
        """
        for name in RESPONSES:
            with self.subTest(name):
                server = self.start(name)
                client = http_client.HttpClient(reactor, reactor_thread.clock)
                found = self.call(client, server, max_bytes=PART)
                self.assertEqual((found.status, found.body), (0, b""))
                self.check(server, PART)
                self.assertNotIn("timeout", found.reason)

    def test_reports_and_orders_have_bounds(self):
        """Guards against the bound of a store in calls to engines."""
        for name in ("short headers", "length", "chunks"):
            with self.subTest(name):
                server = self.start(name)
                client = http_client.HttpClient(reactor, reactor_thread.clock)
                calls = engine_calls.EngineCalls(client, "front-0")
                record = gateway_harness.make_record(
                    "s1", host="127.0.0.1", port=server.port
                )
                found = reactor_thread.call(
                    lambda done, calls=calls, record=record: calls.read_report(
                        record, done
                    )
                )
                self.assertIsNone(found)
                self.check(server, engine_calls.MAX_REPORT_BYTES)

    def test_longest_of_many_responses_is_cut(self):
        """Guards against the sum of bodies that keep to their own bounds."""
        memory = response_bounds.ResponseMemory(100)
        self.assertEqual(memory.add("a", 40), [])
        self.assertEqual(memory.add("b", 50), [])
        self.assertEqual(memory.add("c", 20), ["b"])
        memory.remove("a")
        self.assertEqual(memory.add("c", 70), [])
        self.assertEqual(memory.add("c", 20), ["c"])
        self.assertEqual(memory.add("d", 100), [])

    def test_sum_of_bodies_is_bounded(self):
        """Guards against servers that each keep to the bound of one body."""
        client = http_client.HttpClient(reactor, reactor_thread.clock, PART)
        servers = [self.start("length") for _ in range(4)]
        found = []

        def call_all(done):
            def on_answer(answer):
                found.append(answer)
                if len(found) == len(servers):
                    done()

            for server in servers:
                url = f"http://127.0.0.1:{server.port}/"
                client.call("GET", url, {}, b"", TIMEOUT_MS, on_answer)

        reactor_thread.call(call_all)
        for server in servers:
            self.check(server, PART)
        self.assertEqual(
            {item.reason for item in found}, {http_client.EXCEEDED}
        )

    def test_head_and_body_in_one_segment_arrive(self):
        """Guards against a bound on the head that counts the body."""
        body = b"x" * (4 * response_bounds.MAX_HEAD_BYTES)
        head = HEAD + b"Content-Length: %d\r\n\r\n" % len(body)
        server = EndlessServer(head + body, b"")
        self.addCleanup(server.listener.close)
        client = http_client.HttpClient(reactor, reactor_thread.clock)
        found = self.call(client, server, max_bytes=len(body))
        self.assertEqual((found.status, found.body), (200, body))

    def test_late_connection_sends_nothing(self):
        """Guards against a request after the time by which it must be sent."""
        server = EndlessServer(HEAD + b"Content-Length: 0\r\n\r\n", b"")
        self.addCleanup(server.listener.close)
        client = http_client.HttpClient(reactor, reactor_thread.clock)
        past_ms = reactor_thread.clock.now_ms() - 1
        found = self.call(client, server, send_by_ms=past_ms)
        self.assertEqual((found.status, found.was_sent), (0, False))
