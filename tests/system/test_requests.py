"""End-to-end tests of requests."""

from __future__ import annotations

import json
import subprocess
import sys
import threading
import unittest

from balsamwall_standins import free_ports
from balsamwall_standins import sample
from balsamwall_standins import sample_operators
from balsamwall_standins import service
from balsamwall_standins import tokens
import openai

from balsamwall.console import idempotency_key
from tests.system import running_sample

MESSAGES = [{"role": "user", "content": "Which halls are free?"}]
# Without this option, stand-in engines may stop before max_tokens.
FULL_LENGTH = {"ignore_eos": True}
BODY = {"messages": MESSAGES, "max_tokens": 16, **FULL_LENGTH}
CLIENT_ARGUMENTS = {
    "messages": MESSAGES,
    "max_tokens": 16,
    "extra_body": FULL_LENGTH,
}
CHAT = "/v1/chat/completions"


class RequestTest(unittest.TestCase):
    """Guard against wrong and partial responses."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.sample = running_sample.shared()
        cls.sample.wait_until_new_keys_are_accepted()

    def _client(self, tenant: str, entry: int) -> openai.OpenAI:
        port = self.sample.caller_ports[entry]
        client = openai.OpenAI(
            base_url=f"http://{sample.HOST}:{port}/v1",
            api_key=sample_operators.CALLER_KEYS[tenant],
            max_retries=0,
            timeout=60,
        )
        self.addCleanup(client.close)
        return client

    def test_official_client(self) -> None:
        """Guard against missing tokens or a missing end of a response."""
        names = (
            ("kovacevic", "clauses-1"),
            ("kovacevic", "buyer-01"),
            ("tampere", "quote-2"),
            ("tampere", "hall-02"),
        )
        for index, (tenant, name) in enumerate(names):
            with self.subTest(name):
                client = self._client(tenant, index % 2)
                listed = {item.id for item in client.models.list()}
                self.assertEqual(set(running_sample.NAMES[tenant]), listed)
                expected = tokens.response_text(name, {**BODY, "model": name})
                whole = client.chat.completions.create(
                    model=name, **CLIENT_ARGUMENTS
                )
                self.assertEqual(16, whole.usage.completion_tokens)
                self.assertEqual(expected, whole.choices[0].message.content)
                parts = client.chat.completions.create(
                    model=name, stream=True, **CLIENT_ARGUMENTS
                )
                choices = [part.choices[0] for part in parts if part.choices]
                text = "".join(row.delta.content or "" for row in choices)
                self.assertEqual(expected, text)
                self.assertEqual("length", choices[-1].finish_reason)

    def test_booking_hold(self) -> None:
        """Guard against a resend that runs again or gets another response."""
        body = {"hall": "large", "day": "2026-12-24"}
        data = json.dumps(body).encode()
        expected = service.expected_response("/book", data)
        key = idempotency_key.new_key()
        first = self.sample.book(body, key)
        again = self.sample.book(body, key, entry=1)
        self.assertEqual((200, 200), (first.status, again.status), first.body)
        self.assertEqual(expected, json.loads(first.body))
        self.assertEqual(first.body, again.body)
        other = self.sample.book({"hall": "small"}, key, entry=1)
        self.assertEqual((409, 1010), (other.status, other.error["number"]))
        self.assertEqual(1, self.sample.executions()[key])

    def test_booking_hold_without_key(self) -> None:
        """Guard against a generated key that does not identify a resend."""
        body = {"hall": "small", "day": "2026-12-25"}
        first = self.sample.book(body)
        self.assertEqual(200, first.status, first.body)
        key = first.headers["idempotency-key"]
        again = self.sample.book(body, key, entry=1)
        self.assertEqual((200, first.body), (again.status, again.body))
        self.assertEqual(1, self.sample.executions()[key])

    def test_invalid_requests(self) -> None:
        """Guard against wrong error codes and effects on other requests."""
        stream = threading.Thread(target=self._read_stream)
        self.outcome: list[str] = []
        stream.start()
        good = {"model": "quote-1", "messages": MESSAGES, "max_tokens": 1}
        wrong = {"Authorization": "Bearer sk-wrong"}
        large = {**good, "user": "x" * 1_100_000}
        unknown = {**good, "model": "quote-99"}
        foreign = {**good, "model": "clauses-1"}
        cases = (
            (1001, CHAT, b'{"model": ', {}),
            (1001, CHAT, b"[" * 50_000, {}),
            (1001, CHAT, b'{"model": "\xff\xfe"}', {}),
            (1001, CHAT, {**good, "max_tokens": -1}, {}),
            (1005, CHAT, unknown, {}),
            (1005, CHAT, foreign, {}),
            (1003, CHAT, good, wrong),
            (1002, CHAT, large, {}),
            (1006, "/v1/services/settlement/meters", {}, {}),
            (1007, "/v1/elsewhere", good, {}),
            (1008, CHAT, good, {"X-Balsamwall-Class": "soon"}),
            (
                1009,
                "/v1/services/holds/book",
                {},
                {"Idempotency-Key": "k" * 129},
            ),
        )
        for number, path, body, headers in cases:
            with self.subTest(f"{number} {path}"):
                response = self.sample.call("POST", path, body, headers)
                error = response.error
                self.assertEqual(number, error["number"], error)
                self.assertEqual("not_run", error["ran"])
                self.assertEqual("", response.headers.get("x-traceback", ""))
        stream.join()
        self.assertEqual(["whole"], self.outcome)
        self.assertEqual([], self.sample.tracebacks())

    def test_key_of_other_tenant(self) -> None:
        """Guard against access to the models of another tenant."""
        response = self.sample.complete("kovacevic", "quote-1")
        self.assertEqual(1005, response.error["number"])
        response = self.sample.call("GET", "/v1/models", tenant="kovacevic")
        names = {row["id"] for row in json.loads(response.body)["data"]}
        self.assertFalse(names & set(running_sample.NAMES["tampere"]))

    def test_invalid_template(self) -> None:
        """Guard against an invalid template that is applied or unexplained."""
        before = self.sample.revisions("tampere")
        text = running_sample.operators_files()["tampere"]
        for old, new in (
            ("burst = 400", "burst = none"),
            ("template = drafting", "template = missing"),
            ("models = quote-*", "models = ${missing"),
            ("[tenant]", "[tenant"),
        ):
            with self.subTest(new):
                body = {
                    "files": {"operators.ini": text.replace(old, new)},
                    "base_revision": int(before["entry-1"]),
                    "change_id": "invalid-template",
                }
                response = self.sample.api(
                    "POST", "tampere", "configuration", body
                )
                self.assertEqual(422, response.status)
                self.assertEqual(4002, response.error["number"])
                self.assertTrue(response.error["problems"])
        self.assertEqual(before, self.sample.revisions("tampere"))
        self.assertEqual(
            200, self.sample.complete("tampere", "quote-1").status
        )
        self.assertEqual([], self.sample.tracebacks())

    def test_invalid_settings_open_no_port(self) -> None:
        """Guard against a daemon that listens despite invalid settings."""
        port = free_ports.free_port()
        text = (self.sample.folder / "entry-1.ini").read_text()
        lines = [
            f"callers = {sample.HOST}:{port}"
            if line.startswith("callers")
            else line.replace("role = entry", "role = doorman")
            for line in text.splitlines()
        ]
        path = self.sample.folder / "invalid.ini"
        path.write_text("\n".join(lines))
        command = [sys.executable, "-m", "balsamwall.daemon", str(path)]
        # The port is in use, so a daemon that tried to listen would exit with
        # code 3 instead of 4.
        with sample.socket.create_server((sample.HOST, port)):
            result = subprocess.run(command, capture_output=True, check=False)
        self.assertEqual(4, result.returncode)
        self.assertIn(b"[daemon] role: found 'doorman'", result.stderr)
        self.assertNotIn(b"Traceback", result.stderr)

    def _read_stream(self) -> None:
        parts = self._client("tampere", 0).chat.completions.create(
            model="quote-1",
            messages=MESSAGES,
            max_tokens=200,
            stream=True,
            extra_body=FULL_LENGTH,
        )
        reasons = [
            part.choices[0].finish_reason for part in parts if part.choices
        ]
        self.outcome.append("whole" if reasons[-1] == "length" else "partial")
