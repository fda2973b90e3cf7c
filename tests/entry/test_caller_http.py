"""Tests of the callers' HTTP interface over real sockets."""

from __future__ import annotations

import http.client
import json
import subprocess
import sys
import time
import unittest

import openai

from tests.fixtures import fake_entry

CHAT = "/v1/chat/completions"
MESSAGES = [{"role": "user", "content": "Tarjous"}]


class CallerHttpTest(unittest.TestCase):
    """Guards against responses that HTTP and OpenAI clients misread."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.process = subprocess.Popen(
            [sys.executable, "-m", "tests.fixtures.fake_entry"],
            stdout=subprocess.PIPE,
            text=True,
        )
        ports = cls.process.stdout.readline().split()
        cls.port, cls.status_port = (int(port) for port in ports)
        cls.client = openai.OpenAI(
            base_url=f"http://127.0.0.1:{cls.port}/v1",
            api_key=fake_entry.API_KEY,
            max_retries=0,
        )

    @classmethod
    def tearDownClass(cls) -> None:
        cls.client.close()
        cls.process.kill()
        cls.process.wait()
        cls.process.stdout.close()

    def _post(
        self, path: str, body: object, **headers: str
    ) -> tuple[int, dict[str, str], bytes]:
        connection = http.client.HTTPConnection("127.0.0.1", self.port)
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        names = {name.replace("_", "-"): v for name, v in headers.items()}
        names.setdefault("Authorization", f"Bearer {fake_entry.API_KEY}")
        try:
            connection.request("POST", path, data, names)
            response = connection.getresponse()
            fields = {name.lower(): v for name, v in response.getheaders()}
            return response.status, fields, response.read()
        finally:
            connection.close()

    def _number(self, body: bytes) -> int:
        error = json.loads(body)["error"]
        self.assertEqual(
            {"message", "type", "code", "number", "ran", "repeat", "scope"},
            set(error),
        )
        return error["number"]

    def _chat(self, content: str, **more: object) -> dict[str, object]:
        messages = [{"role": "user", "content": content}]
        return {"model": "base", "messages": messages, **more}

    def test_openai_client(self) -> None:
        """The official client must read models and both response types."""
        names = [model.id for model in self.client.models.list()]
        self.assertEqual(["base", "base-tone"], names)
        response = self.client.chat.completions.create(
            model="base-tone", messages=MESSAGES
        )
        self.assertEqual("Hei maailma", response.choices[0].message.content)
        stream = self.client.chat.completions.create(
            model="base", messages=MESSAGES, stream=True
        )
        contents = [part.choices[0].delta.content for part in stream]
        self.assertEqual(["Hei ", "maailma"], contents)

    def test_openai_client_raises_for_refusal(self) -> None:
        """The client must raise the error class of the HTTP status."""
        messages = [{"role": "user", "content": "refuse"}]
        with self.assertRaises(openai.InternalServerError) as caught:
            self.client.chat.completions.create(
                model="base", messages=messages
            )
        self.assertEqual("no_replica", caught.exception.code)
        self.assertEqual("2", caught.exception.response.headers["retry-after"])
        with self.assertRaises(openai.NotFoundError):
            self.client.chat.completions.create(
                model="other", messages=MESSAGES
            )

    def test_openai_client_raises_for_interrupted_stream(self) -> None:
        """An interrupted stream must not look like a short response."""
        messages = [{"role": "user", "content": "break"}]
        stream = self.client.chat.completions.create(
            model="base", messages=messages, stream=True
        )
        contents = []
        with self.assertRaises(openai.APIError) as caught:
            for part in stream:
                contents.append(part.choices[0].delta.content)
        self.assertEqual(["Hei "], contents)
        self.assertEqual("lost", caught.exception.message)

    def test_interrupted_stream_has_no_end(self) -> None:
        """An interrupted body must lack the final chunk and marker."""
        with self.assertRaises(http.client.IncompleteRead) as caught:
            self._post(CHAT, self._chat("break", stream=True))
        self.assertNotIn(b"[DONE]", caught.exception.partial)
        self.assertTrue(caught.exception.partial.endswith(b"\n\n"))

    def test_service_call_gets_a_key(self) -> None:
        """A non-repeatable call must always have an idempotency key."""
        status, headers, body = self._post("/v1/services/holds/hall/1", b"x")
        self.assertEqual(200, status)
        document = json.loads(body)
        self.assertEqual("/hall/1", document["path"])
        self.assertFalse(document["is_repeatable"])
        scoped = "quotes/" + headers["idempotency-key"]
        self.assertEqual(document["key"], scoped)
        self.assertEqual("7", headers["idempotency-key"][14])
        _, headers, body = self._post("/v1/services/holds/list?a=1", b"x")
        self.assertTrue(json.loads(body)["is_repeatable"])
        self.assertNotIn("idempotency-key", headers)
        _, headers, _ = self._post(
            "/v1/services/holds/hall/1", b"x", Idempotency_Key="mine"
        )
        self.assertEqual("mine", headers["idempotency-key"])

    def test_bad_requests(self) -> None:
        """Each kind of invalid request must have its own error number."""
        chat = self._chat("a")
        cases = [
            (1003, CHAT, chat, {"Authorization": "Bearer wrong"}),
            (1001, CHAT, b"{", {}),
            (1001, CHAT, b'{"model": "base", "model": "x"}', {}),
            (1001, CHAT, {"model": "base", "messages": []}, {}),
            (1001, CHAT, self._chat("a", n=2), {}),
            (1001, CHAT, self._chat("a", max_tokens=513), {}),
            (1001, "/v1/completions", chat, {}),
            (1002, CHAT, b"x" * (2**20 + 1), {}),
            (1005, CHAT, self._chat("a", model="none"), {}),
            (1006, "/v1/services/none/x", b"", {}),
            (1007, "/v1/embeddings", b"", {}),
            (1007, "/v1/services/holds/%2E%2e/list", b"", {}),
            (1008, CHAT, chat, {"X_Balsamwall_Class": "now"}),
            (1008, CHAT, chat, {"X_Balsamwall_Deadline_Ms": "0"}),
            (1009, CHAT, chat, {"Idempotency_Key": "k"}),
            (1009, "/v1/services/holds/x", b"", {"Idempotency_Key": "a b"}),
            (1012, CHAT, self._chat("a" * 20_000), {}),
            (1013, "/v1/models", b"", {}),
        ]
        for number, path, body, headers in cases:
            with self.subTest(number=number, path=path):
                response = self._post(path, body, **headers)
                self.assertEqual(number, self._number(response[2]))

    def test_rejected_keys_are_limited(self) -> None:
        """Key guessing must be limited without rejecting valid keys."""
        numbers = {
            self._number(self._post(CHAT, b"", Authorization="Bearer x")[2])
            for _ in range(60)
        }
        self.assertEqual({1003, 2001}, numbers)
        self.assertEqual(200, self._post(CHAT, self._chat("a"))[0])

    def test_caller_that_disconnects_cancels(self) -> None:
        """A request whose caller disconnects must not keep an engine busy."""

        def cancelled() -> int:
            response = self._post("/v1/services/holds/list", b"")
            return json.loads(response[2])["cancelled"]

        before = cancelled()
        connection = http.client.HTTPConnection("127.0.0.1", self.port)
        connection.request(
            "POST",
            CHAT,
            json.dumps(self._chat("hang", stream=True)),
            {"Authorization": f"Bearer {fake_entry.API_KEY}"},
        )
        # The first keep-alive shows that the request was submitted.
        response = connection.getresponse()
        self.assertEqual(b": keep-alive\n", response.readline())
        response.close()
        connection.close()
        for _ in range(1_000):
            if cancelled() > before:
                return
            time.sleep(0.02)
        self.fail("the request was not cancelled")

    def test_status(self) -> None:
        """The platform must be able to read health and metrics."""
        connection = http.client.HTTPConnection("127.0.0.1", self.status_port)
        found = {}
        for path in ("/healthz", "/readyz", "/metrics"):
            connection.request("GET", path)
            response = connection.getresponse()
            found[path] = (response.status, response.read())
        connection.close()
        self.assertEqual(200, found["/healthz"][0])
        self.assertEqual((503, b"no agent is reachable\n"), found["/readyz"])
        self.assertIn(b"balsamwall_events_total", found["/metrics"][1])
