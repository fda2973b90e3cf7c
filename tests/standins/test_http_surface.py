"""Tests of the HTTP APIs of the engine and the weight store."""

from __future__ import annotations

import json
import threading
import unittest
import urllib.error

from balsamwall_standins import tokens
import openai

from tests.fixtures import standin_process


class EngineApiTest(unittest.TestCase):
    """Guard the response format that client libraries expect."""

    def test_openai_library_reads_streamed_and_whole_responses(self) -> None:
        """Guard against a format that only the project's client can read."""
        resident = json.dumps({"name": "m", "bytes": 1_000})
        engine = standin_process.StandinProcess(
            "engine", "--resident", resident
        )
        self.addCleanup(engine.stop)
        client = openai.OpenAI(base_url=engine.url + "/v1", api_key="none")
        self.addCleanup(client.close)
        messages = [{"role": "user", "content": "draft a quote"}]
        expected = tokens.response_text(
            "m", {"messages": messages, "max_tokens": 12}
        )
        whole = client.chat.completions.create(
            model="m", messages=messages, max_tokens=12
        )
        self.assertEqual(expected, whole.choices[0].message.content)
        stream = client.chat.completions.create(
            model="m", messages=messages, max_tokens=12, stream=True
        )
        parts = [event.choices[0].delta.content or "" for event in stream]
        self.assertEqual(expected, "".join(parts))


class WeightStoreTest(unittest.TestCase):
    """Guard the limits that load permits are tested against."""

    def test_transfers_over_the_limit_are_refused_and_counted(self) -> None:
        """Guard against missing limits, which hide loads without a permit."""
        store = standin_process.StandinProcess(
            "weight_store", "--max-concurrent", "2", "--duration-ms", "600"
        )
        self.addCleanup(store.stop)
        threads = [
            threading.Thread(target=store.get, args=(f"/weights/m{i}/1",))
            for i in range(2)
        ]
        for thread in threads:
            thread.start()
        standin_process.wait_until(
            lambda: store.get("/counts")["concurrent"] == 2
        )
        with self.assertRaises(urllib.error.HTTPError) as raised:
            store.get("/weights/m3/1")
        self.assertEqual(429, raised.exception.code)
        raised.exception.close()
        for thread in threads:
            thread.join(standin_process.LIMIT_S)
        counts = store.get("/counts")
        self.assertEqual((2, 1), (counts["finished"], counts["refused"]))
