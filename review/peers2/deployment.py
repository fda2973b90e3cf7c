"""A small deployment of entries, workers and a store on loopback."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import os
import pathlib
import sys
import tempfile
from typing import Any

from review.peers2 import entries
from review.peers2 import record as record_module
from review.peers2 import store as store_module
from review.peers2 import worker as worker_module

HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 4_194_304,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
}


class NotRunError(Exception):
    """The case could not run."""


def plain_route(
    name: str, prefix: str, service: str, kind: str, **fields: Any
) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": "ficu95.example",
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 2_500,
        "target_latency_ms": 200,
        "priority": 2,
        "service": service,
        "attempts": 2 if kind == "idempotent" else 1,
        "sticky": False,
        "resumable": False,
        **fields,
    }


class Deployment:
    """Own the store, the workers and the entries of one case."""

    def __init__(
        self, record: record_module.Record, directory: pathlib.Path
    ) -> None:
        self.record = record
        self.directory = directory
        self.is_troubled = os.environ.get("TROUBLE", "1") != "0"
        self.store = store_module.Store()
        self.workers: list[worker_module.Worker] = []
        self.entries: list[entries.Entry] = []

    def configure(
        self,
        routes: list[dict[str, Any]],
        services: list[dict[str, Any]],
        version: int = 7,
    ) -> None:
        """Write a configuration, as the operator does."""
        document = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": LIMITS,
        }
        self.store.put_json("op/config", document)
        self.record.write("configuration", version=version)

    async def add_worker(
        self, name: str, service: str, **options: Any
    ) -> worker_module.Worker:
        """Start a worker."""
        worker = worker_module.Worker(
            self.store, self.record, name, service, **options
        )
        self.workers.append(worker)
        await worker.start()
        return worker

    async def start_entries(self, count: int, **options: Any) -> None:
        """Start entries and wait until they are ready."""
        for number in range(1, count + 1):
            self.entries.append(
                entries.Entry(
                    f"front-{number}",
                    self.directory,
                    f"127.0.0.1:{self.store.port}",
                    **options,
                )
            )
        for entry in self.entries:
            entry.start()
        for entry in self.entries:
            if not await entry.wait_ready():
                raise NotRunError(f"{entry.name} is not ready")
        self.record.write("entries are ready")

    async def stop(self) -> None:
        """End all that was started."""
        for entry in self.entries:
            entry.kill()
        for worker in self.workers:
            worker.stop()
        await self.store.stop()


Case = Callable[[Deployment], Awaitable[int]]


async def _run(case: Case, folder: pathlib.Path, limit_s: float) -> int:
    # A connection that is cancelled at the end is no error.
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda loop, context: None)
    return await _play(case, folder, limit_s)


async def _play(case: Case, folder: pathlib.Path, limit_s: float) -> int:
    record = record_module.Record(folder / "record.txt")
    with tempfile.TemporaryDirectory(prefix="case-") as directory:
        deployment = Deployment(record, pathlib.Path(directory))
        try:
            await deployment.store.start()
            async with asyncio.timeout(limit_s):
                return await case(deployment)
        except Exception as error:
            # A fault of the case itself must not look like a broken rule.
            record.write("the case could not run", error=repr(error))
            return NOT_RUN
        finally:
            await deployment.stop()
            kept = os.environ.get("KEEP_LOGS")
            if kept:
                for entry in deployment.entries:
                    path = pathlib.Path(kept) / f"{entry.name}.log"
                    path.write_text(entry.log_text(), encoding="utf-8")
            record.close()


def play(case: Case, folder: pathlib.Path, limit_s: float = 100.0) -> None:
    """Play a case and exit with its verdict."""
    code = asyncio.run(_run(case, folder, limit_s))
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[code])
    sys.exit(code)
