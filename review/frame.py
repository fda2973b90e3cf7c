"""Frame of a case: its record, its processes and its exit code."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import os
import pathlib
import sys
import tempfile
import time
import traceback

import client_peer
import entry_process
import store_peer
import worker_peer

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2
MAX_RUN_S = 110.0
MAX_START_S = 20.0
# A case whose own process stood still for longer can't judge the entries.
MAX_LAG_S = 0.25
LAG_INTERVAL_S = 0.02


class CouldNotRunError(Exception):
    """The case did not come to the point where the rule can be checked."""


class Case:
    """Folder, store, workers and entries of one run of a case."""

    def __init__(self, folder: pathlib.Path, scratch: pathlib.Path) -> None:
        self.scratch = scratch
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = store_peer.Store()
        self.workers: list[worker_peer.Worker] = []
        self.entries: list[entry_process.Entry] = []
        self._begin_s = time.monotonic()
        self._lines: list[tuple[float, str]] = []
        self._path = folder / "record.txt"
        self._lag_s = 0.0

    @property
    def now_s(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self._begin_s

    def since_begin(self, at_s: float) -> float:
        """Return a time of the steady clock as seconds of the case."""
        return at_s - self._begin_s

    def record(self, what: str, **fields: object) -> None:
        """Add a line to the record."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._lines.append((self.now_s, f"{what} {text}".strip()))

    def record_attempt(self, attempt: client_peer.Attempt) -> None:
        """Add an attempt of a client, at the time of its send."""
        took = "none" if attempt.took_s is None else f"{attempt.took_s:.3f}"
        self._lines.append(
            (
                self.since_begin(attempt.sent_s),
                f"client sends request={attempt.request_id} "
                f"to={attempt.entry} target={attempt.target}; "
                f"gets status={attempt.status} after_s={took} "
                f"complete={attempt.is_complete} error={attempt.error}",
            )
        )

    def say(self, text: str) -> None:
        """Print a line and add it to the record."""
        print(text, flush=True)
        self.record(text)

    async def watch_lag(self) -> None:
        """Measure for how long this process itself stands still."""
        while True:
            before_s = time.monotonic()
            await asyncio.sleep(LAG_INTERVAL_S)
            lag_s = time.monotonic() - before_s - LAG_INTERVAL_S
            self._lag_s = max(self._lag_s, lag_s)

    def require_no_lag(self) -> None:
        """Give up if this process stood still for too long."""
        self.say(f"longest pause of this process: {self._lag_s:.3f} s")
        if self._lag_s > MAX_LAG_S:
            raise CouldNotRunError("this machine is too busy")

    async def add_entry(self, name: str) -> entry_process.Entry:
        """Add an entry with an address of the store of its own."""
        address = await self.store.listen_for(name)
        found = entry_process.Entry(name, address, self.scratch)
        self.entries.append(found)
        return found

    async def wait_until_ready(self) -> None:
        """Wait until each entry is ready."""
        end_s = self.now_s + MAX_START_S
        waiting = list(self.entries)
        while waiting:
            if self.now_s > end_s:
                names = [item.name for item in waiting]
                raise CouldNotRunError(f"not ready: {names}")
            await asyncio.sleep(0.1)
            waiting = [
                item
                for item in waiting
                if await client_peer.probe(item.ready) != 200
            ]

    def close(self) -> None:
        """End all processes and write the record."""
        for item in self.entries:
            item.kill()
        for found in self.workers:
            found.stop()
        self.store.stop()
        rows = sorted(self._lines, key=lambda row: row[0])
        self._path.write_text(
            "".join(f"{at_s:8.3f} {text}\n" for at_s, text in rows)
        )


def run(folder: pathlib.Path, play: Callable[[Case], Awaitable[int]]) -> None:
    """Play a case and exit with its code."""

    async def main(scratch: pathlib.Path) -> int:
        case = Case(folder, scratch)
        try:
            await case.store.start()
            lag = asyncio.create_task(case.watch_lag())
            async with asyncio.timeout(MAX_RUN_S):
                code = await play(case)
            lag.cancel()
            case.require_no_lag()
            return code
        except (CouldNotRunError, TimeoutError, OSError) as error:
            case.say(f"could not run: {error!r}")
            return COULD_NOT_RUN
        except Exception:
            case.say(f"could not run: {traceback.format_exc()}")
            return COULD_NOT_RUN
        finally:
            case.close()

    with tempfile.TemporaryDirectory() as name:
        code = asyncio.run(main(pathlib.Path(name)))
    sys.exit(code)
