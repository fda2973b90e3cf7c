"""A request crashes workers again and again; its caller leaves each time."""

from __future__ import annotations

import asyncio
import itertools
import os
import pathlib
import time

from review.peers2 import client
from review.peers2 import deployment
from review.peers2 import wire
from review.peers2 import worker as worker_module

CONTACT_MS = 3_000
MAX_RETRIES = 3
CRASHES_BEFORE = 3
# Time from the begin of the work on the request to the crash.
CRASH_AFTER_S = 0.15
DOWN_S = 2.0
# The caller leaves within half of the objective of 200 ms.
LEAVES_AFTER_S = 0.08
RESEND_INTERVAL_S = 1.0
SOUND_PER_S = 24
LENGTH_S = 24.0
DEADLY_BODY = b"the deadly lookup"
WORK_S = 0.045


class _Workers:
    """Crash each worker that runs the deadly request."""

    def __init__(self) -> None:
        self.reached_s: list[float] = []
        self.crashed_s: list[float] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def answer(
        self,
        worker: worker_module.Worker,
        found: wire.Message,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Begin work on the deadly request, and crash."""
        if found.body != DEADLY_BODY:
            return False
        self.reached_s.append(time.monotonic())
        worker.note_run(found.fields[worker_module.REQUEST_ID])
        await asyncio.sleep(CRASH_AFTER_S)
        self.crashed_s.append(time.monotonic())
        self._tasks.append(asyncio.create_task(worker.crash(DOWN_S)))
        return True


async def _send_sound(
    found: deployment.Deployment, results: list[client.Result]
) -> None:
    """Send sound lookups at a steady rate."""
    calls = []
    for number in range(int(SOUND_PER_S * LENGTH_S)):
        entry = found.entries[number % len(found.entries)]
        calls.append(
            asyncio.create_task(
                client.call(
                    entry.front,
                    found.record,
                    "/meter/2f",
                    body=f"lookup {number}".encode(),
                )
            )
        )
        await asyncio.sleep(1 / SOUND_PER_S)
    results.extend(await asyncio.gather(*calls))


async def _play(found: deployment.Deployment) -> int:
    workers = _Workers()
    for number in (1, 2, 3):
        worker = await found.add_worker(
            f"i-settle-{number}", "settle-app", work_s=WORK_S, slots=6
        )
        worker.special = workers.answer
    found.configure(
        [
            deployment.plain_route(
                "meter-read", "/meter/", "settle-app", "non_idempotent"
            )
        ],
        [{"name": "settle-app", "health_path": "/health", "max_conns": 110}],
    )
    await found.start_entries(2)
    stays = os.environ.get("LEAVE") == "0"
    results: list[client.Result] = []
    sound = asyncio.create_task(_send_sound(found, results))
    deadly: list[client.Result] = []
    begin_s = time.monotonic()
    ports = itertools.cycle([entry.front for entry in found.entries])
    await asyncio.sleep(1.0)
    while found.is_troubled and time.monotonic() - begin_s < LENGTH_S - 3:
        result = await client.call(
            next(ports),
            found.record,
            "/meter/2f",
            body=DEADLY_BODY,
            patience_s=None if stays else LEAVES_AFTER_S,
        )
        deadly.append(result)
        await asyncio.sleep(RESEND_INTERVAL_S)
    await sound
    retries: list[float] = []
    if len(workers.crashed_s) >= CRASHES_BEFORE:
        third_s = workers.crashed_s[CRASHES_BEFORE - 1]
        limit_s = third_s + CONTACT_MS / 1_000
        retries = [at_s for at_s in workers.reached_s if at_s > limit_s]
    found.record.write(
        "result",
        deadly_sent=len(deadly),
        deadly_reached_workers=len(workers.reached_s),
        crashes=len(workers.crashed_s),
        retries_after_contact_ms=len(retries),
        deadly_statuses=[item.status for item in deadly],
        sound=len(results),
        sound_without_success=sum(item.status != 200 for item in results),
    )
    is_broken = len(retries) > MAX_RETRIES
    return deployment.BROKEN if is_broken else deployment.HELD


if __name__ == "__main__":
    deployment.play(_play, pathlib.Path(__file__).parent)
