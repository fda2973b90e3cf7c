"""Some answers of faulty workers go on without end, in very small chunks."""

from __future__ import annotations

import asyncio
import pathlib
import time

from review.peers2 import client
from review.peers2 import deployment
from review.peers2 import wire
from review.peers2 import worker as worker_module

STREAM_TIMEOUT_MS = 12_000
TIMEOUT_MS = 2_500
# A request has to have its final answer this long after its timeout.
SLACK_MS = 500
MIN_UNANSWERED = 8
TROUBLE_S = 6.0
STREAMS_PER_S = 67
LOOKUPS_PER_S = 24
# Lookups go on until the last faulty answer has reached its timeout.
LOOKUPS_S = 19.0
# One in this many answers of a faulty worker has no end.
ENDLESS_EVERY = 20
EVENTS = 5
# One chunk with a line feed, many times.
BLOCK = b"1\r\n\n\r\n" * 20_000


class _Engines:
    """Answer streams; some answers of faulty workers have no end."""

    def __init__(self) -> None:
        self.is_active = False
        self.faulty: set[str] = set()
        self.endless = 0
        self._answers = 0

    async def answer(
        self,
        worker: worker_module.Worker,
        found: wire.Message,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer with a stream of events, or with bytes without end."""
        request_id = found.fields[worker_module.REQUEST_ID]
        worker.note_run(request_id)
        fields = {
            **worker.signed(request_id),
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(wire.head("HTTP/1.1 200 X", fields))
        if worker.name in self.faulty and self.is_active:
            self._answers += 1
            if self._answers % ENDLESS_EVERY == 0:
                await self._write_endless(worker, request_id, writer)
                return True
        for number in range(1, EVENTS + 1):
            event = f"id: {number}\ndata: {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await asyncio.sleep(0.01)
        writer.write(b"0\r\n\r\n")
        return True

    async def _write_endless(
        self,
        worker: worker_module.Worker,
        request_id: str,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Write until the caller closes."""
        self.endless += 1
        worker.record.write("bytes without end begin", request=request_id)
        try:
            while not writer.is_closing():
                writer.write(BLOCK)
                await writer.drain()
        finally:
            worker.record.write("bytes without end stop", request=request_id)


async def _watch_ready(
    found: deployment.Deployment, gaps: list[float]
) -> None:
    """Ask for readiness once a second, and note how long it takes."""
    port = found.entries[0].ready
    while True:
        begin_s = time.monotonic()
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            await reader.readline()
            writer.close()
        except OSError:
            pass
        gaps.append(time.monotonic() - begin_s)
        await asyncio.sleep(1.0)


async def _send(
    found: deployment.Deployment, target: str, per_s: int, length_s: float
) -> list[client.Result]:
    """Send requests at a steady rate; return their results."""
    is_stream = target.startswith("/clause")
    timeout_ms = STREAM_TIMEOUT_MS if is_stream else TIMEOUT_MS
    calls = []
    for _ in range(int(per_s * length_s)):
        calls.append(
            asyncio.create_task(
                client.call(
                    found.entries[0].front,
                    found.record,
                    target,
                    method="POST" if is_stream else "GET",
                    deadline_ms=timeout_ms,
                    patience_s=timeout_ms / 1_000 + 4,
                )
            )
        )
        await asyncio.sleep(1 / per_s)
    return await asyncio.gather(*calls)


async def _play(found: deployment.Deployment) -> int:
    engines = _Engines()
    for number in range(1, 5):
        worker = await found.add_worker(f"i-model-{number}", "ppa-models")
        worker.special = engines.answer
    engines.faulty = {"i-model-1", "i-model-2"}
    for number in (1, 2, 3):
        await found.add_worker(f"i-settle-{number}", "settle-app")
    found.configure(
        [
            deployment.plain_route(
                "clause-live",
                "/clause/",
                "ppa-models",
                "streaming",
                timeout_ms=STREAM_TIMEOUT_MS,
                target_latency_ms=400,
                gap_aim_ms=250,
            ),
            deployment.plain_route(
                "invoice-get", "/invoice/", "settle-app", "idempotent"
            ),
        ],
        [
            {"name": "ppa-models", "health_path": "/health", "max_conns": 250},
            {"name": "settle-app", "health_path": "/health", "max_conns": 110},
        ],
    )
    await found.start_entries(1)
    engines.is_active = found.is_troubled
    gaps: list[float] = []
    watch = asyncio.create_task(_watch_ready(found, gaps))
    streams = asyncio.create_task(
        _send(found, "/clause/2f", STREAMS_PER_S, TROUBLE_S)
    )
    lookups = await _send(found, "/invoice/2f", LOOKUPS_PER_S, LOOKUPS_S)
    started = await streams
    watch.cancel()
    late = [item for item in lookups if _took_ms(item) > TIMEOUT_MS]
    unanswered = [
        item for item in late if _took_ms(item) > TIMEOUT_MS + SLACK_MS
    ]
    found.record.write(
        "result",
        streams=len(started),
        answers_without_end=engines.endless,
        lookups=len(lookups),
        unanswered_at_timeout=len(late),
        unanswered_half_a_second_later=len(unanswered),
        longest_answer_s=round(max(map(_took_ms, lookups)) / 1_000, 1),
        longest_readiness_answer_s=round(max(gaps, default=0.0), 1),
    )
    is_broken = len(unanswered) >= MIN_UNANSWERED and len(
        unanswered
    ) * 2 > len(late)
    return deployment.BROKEN if is_broken else deployment.HELD


def _took_ms(item: client.Result) -> float:
    return 1_000 * (item.ended_s - item.sent_s)


if __name__ == "__main__":
    deployment.play(_play, pathlib.Path(__file__).parent)
