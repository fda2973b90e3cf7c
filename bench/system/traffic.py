"""Load generator: streamed requests from concurrent callers."""

from __future__ import annotations

import concurrent.futures
import http.client
import json
import time
from typing import NamedTuple

from balsamwall_standins import sample
from balsamwall_standins import sample_operators

CALLERS = 48


class Times(NamedTuple):
    """Latencies of one streamed response."""

    first_token_s: float
    between_tokens_s: list[float]


def stream(port: int, model: str, tokens: int, index: int) -> Times:
    """Stream one response for tampere; raise OSError if it is incomplete."""
    body = {
        "model": model,
        "messages": [{"role": "user", "content": f"request {index}"}],
        "max_tokens": tokens,
        "ignore_eos": True,
        "stream": True,
    }
    connection = http.client.HTTPConnection(sample.HOST, port, timeout=60)
    key = sample_operators.CALLER_KEYS["tampere"]
    try:
        start_s = time.monotonic()
        connection.request(
            "POST",
            "/v1/chat/completions",
            json.dumps(body),
            {
                "Authorization": f"Bearer {key}",
                "Content-Type": "application/json",
            },
        )
        response = connection.getresponse()
        times = []
        is_whole = False
        while line := response.readline():
            if line.startswith(b"data: {"):
                times.append(time.monotonic())
            is_whole = is_whole or line.startswith(b"data: [DONE]")
        if not is_whole:
            raise OSError(
                f"status {response.status}, stream ended without [DONE]"
            )
    finally:
        connection.close()
    # The last event has the usage and no token.
    times = times[:tokens]
    gaps = [
        late - early for early, late in zip(times, times[1:], strict=False)
    ]
    return Times(times[0] - start_s, gaps)


def run(
    port: int, model: str, tokens: int, requests: int, callers: int = CALLERS
) -> list[Times]:
    """Send requests from concurrent callers and return their latencies."""
    with concurrent.futures.ThreadPoolExecutor(callers) as pool:
        return list(
            pool.map(
                lambda index: stream(port, model, tokens, index),
                range(requests),
            )
        )


def percentile(values: list[float], share: float) -> float:
    """Return the percentile at a share between 0 and 1."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
