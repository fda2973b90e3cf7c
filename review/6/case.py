"""Some answers of one worker have a length and chunks that disagree."""

from __future__ import annotations

import asyncio
import pathlib

from review.peers2 import client
from review.peers2 import deployment
from review.peers2 import wire
from review.peers2 import worker as worker_module

TIMEOUT_MS = 2_500
# A request has to have its final answer this long after its timeout.
SLACK_MS = 500
MIN_UNANSWERED = 8
REQUESTS = 660
TROUBLE_S = 6.0
# One in this many answers of the faulty worker is spoiled.
SPOILED_EVERY = 20


class _Spoiler:
    """Spoil some answers of one worker while the trouble lasts."""

    def __init__(self) -> None:
        self.is_active = False
        self.answers = 0
        self.spoiled: set[str] = set()

    async def answer(
        self,
        worker: worker_module.Worker,
        found: wire.Message,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Send chunks that end before the stated length is reached."""
        self.answers += 1
        if not self.is_active or self.answers % SPOILED_EVERY:
            return False
        request_id = found.fields[worker_module.REQUEST_ID]
        worker.note_run(request_id)
        await asyncio.sleep(worker.work_s)
        self.spoiled.add(request_id)
        worker.record.write("spoils the answer", request=request_id)
        fields = {
            **worker.signed(request_id),
            "Content-Length": "800",
            "Transfer-Encoding": "chunked",
        }
        body = b"12c\r\n" + b"b" * 300 + b"\r\n0\r\n\r\n"
        writer.write(wire.head("HTTP/1.1 200 X", fields) + body)
        return True


async def _play(found: deployment.Deployment) -> int:
    spoiler = _Spoiler()
    for number in (1, 2):
        worker = await found.add_worker(f"i-settle-{number}", "settle-app")
        if number == 1:
            worker.special = spoiler.answer
    found.configure(
        [
            deployment.plain_route(
                "meter-read", "/meter/", "settle-app", "non_idempotent"
            ),
            deployment.plain_route(
                "invoice-get", "/invoice/", "settle-app", "idempotent"
            ),
        ],
        [{"name": "settle-app", "health_path": "/health", "max_conns": 110}],
    )
    await found.start_entries(1)
    spoiler.is_active = found.is_troubled
    port = found.entries[0].front
    calls = []
    for number in range(REQUESTS):
        is_read = number % 3 == 0
        calls.append(
            asyncio.create_task(
                client.call(
                    port,
                    found.record,
                    "/invoice/2f" if is_read else "/meter/2f",
                    method="GET" if is_read else "POST",
                    deadline_ms=TIMEOUT_MS,
                    patience_s=(TIMEOUT_MS + 2_000) / 1_000,
                )
            )
        )
        await asyncio.sleep(TROUBLE_S / REQUESTS)
    spoiler.is_active = False
    results = await asyncio.gather(*calls)
    late = [item for item in results if _took_ms(item) > TIMEOUT_MS]
    unanswered = [
        item for item in late if _took_ms(item) > TIMEOUT_MS + SLACK_MS
    ]
    found.record.write(
        "result",
        requests=len(results),
        whole=sum(item.status == 200 for item in results),
        spoiled=len(spoiler.spoiled),
        unanswered_at_timeout=len(late),
        unanswered_half_a_second_later=len(unanswered),
        of_these_spoiled=sum(
            item.request_id in spoiler.spoiled for item in unanswered
        ),
    )
    is_broken = len(unanswered) >= MIN_UNANSWERED and len(
        unanswered
    ) * 2 > len(late)
    return deployment.BROKEN if is_broken else deployment.HELD


def _took_ms(item: client.Result) -> float:
    return 1_000 * (item.ended_s - item.sent_s)


if __name__ == "__main__":
    deployment.play(_play, pathlib.Path(__file__).parent)
