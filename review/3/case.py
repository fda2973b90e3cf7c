"""A holder without a lease goes on with orders while another one holds it."""

from __future__ import annotations

import asyncio
import json
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import client_peer  # noqa: E402
import engine_peer  # noqa: E402
import entry_process  # noqa: E402
import frame  # noqa: E402

SERVICE = "ppa-models"
ENGINES = 3
ENTRIES = 2
MODELS = [f"m{number}" for number in range(9)]
MODEL_MB = 34_300.0
WEIGHTS_MB = 83_000.0
LOAD_S = 0.6
LEASE_S = 3.0
REQUEST_INTERVAL_S = 0.08
DEADLINE_MS = 4_000
TROUBLE_AT_S = 4.0
KILL_FOR_S = 3.5
TURNED_AWAY_FOR_S = 9.0
PLAY_S = 17.0
MAX_WAIT_S = 15.0

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "clause-live",
            "host": "desk.example",
            "path_prefix": "/clause/",
            "kind": "streaming",
            "timeout_ms": 12_000,
            "target_latency_ms": 400,
            "priority": 1,
            "service": SERVICE,
            "attempts": 1,
            "sticky": True,
            "resumable": False,
            "gap_aim_ms": 250,
        }
    ],
    "services": [
        {
            "name": SERVICE,
            "health_path": "/health",
            "max_conns": 250,
            "engine": {
                "slots": 32,
                "kv_capacity": 130_806,
                "weights_mb": WEIGHTS_MB,
                "adapter_slots": 8,
                "loads_per_s": 3.2,
                "models": [
                    {
                        "name": name,
                        "weights_mb": MODEL_MB,
                        "load_s": 2.0,
                        "adapters": 0,
                        "adapter_mb": 40.0,
                        "warm_s": 0.39,
                        "disk_s": 0.51,
                    }
                    for name in MODELS
                ],
            },
        }
    ],
    "limits": {
        "max_header_bytes": 16_384,
        "max_body_bytes": 4_194_304,
        "header_timeout_ms": 3_000,
        "idle_timeout_ms": 15_000,
    },
}


async def send_requests(case: frame.Case, entry: entry_process.Entry) -> None:
    """Ask for one model after the other, more than the engines hold."""
    source = random.Random(entry.name)
    tasks: set[asyncio.Task[None]] = set()

    async def send(model: str, part: int) -> None:
        found = await client_peer.send(
            entry.name,
            entry.front,
            "/clause/2f",
            "POST",
            deadline_ms=DEADLINE_MS,
            fields={
                "Balsamwall-Model": model,
                "Balsamwall-Token-Usage": "300,30",
                "Balsamwall-Prompt-Prefix": f"{part:x}:300",
            },
            body=b"x" * 100,
        )
        case.record_attempt(found)

    while True:
        model = source.choice(MODELS)
        task = asyncio.create_task(send(model, source.getrandbits(32)))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(REQUEST_INTERVAL_S)


async def wait_for_orders(engines: list[engine_peer.Engine]) -> None:
    """Wait until some entry gives orders."""
    end_s = time.monotonic() + MAX_WAIT_S
    while not any(item.orders for item in engines):
        if time.monotonic() > end_s:
            raise frame.CouldNotRunError("no entry gives orders")
        await asyncio.sleep(0.1)


def find_holder(case: frame.Case) -> entry_process.Entry:
    """Return the entry that has given the last order."""
    engines = [
        item for item in case.workers if type(item) is engine_peer.Engine
    ]
    orders = [order for item in engines for order in item.orders]
    if not orders:
        raise frame.CouldNotRunError("no entry has given an order")
    last = max(orders, key=lambda order: order.at_s)
    return next(item for item in case.entries if item.name == last.holder)


async def play(case: frame.Case) -> int:
    """Turn the holder away from the store while the other entry is down."""
    case.store.put("op/config", json.dumps(CONFIGURATION).encode())
    engines = [
        engine_peer.Engine(
            case.store,
            f"i-{number}",
            SERVICE,
            case.record,
            dict.fromkeys(MODELS, MODEL_MB),
            WEIGHTS_MB,
            MODELS[2 * number : 2 * number + 2],
            LOAD_S,
            checks_fences=False,
        )
        for number in range(ENGINES)
    ]
    case.workers += engines
    for found in engines:
        await found.start()
    for number in range(ENTRIES):
        entry = await case.add_entry(f"front-{number}")
        entry.set("fencing_enforced", "false")
        entry.start()
    await case.wait_until_ready()
    traffic = [
        asyncio.create_task(send_requests(case, item)) for item in case.entries
    ]
    await asyncio.sleep(TROUBLE_AT_S)
    await wait_for_orders(engines)
    begin_s = case.now_s
    holder = find_holder(case)
    other = next(item for item in case.entries if item is not holder)
    case.say(f"the holder is {holder.name}")
    if case.has_trouble:
        case.say(f"the machine of {other.name} loses power")
        other.kill()
        case.say(f"the store turns {holder.name} away with 503")
        case.store.turned_away.add(holder.name)
        await asyncio.sleep(KILL_FOR_S)
        case.say(f"{other.name} starts again")
        other.start()
        await asyncio.sleep(begin_s + TURNED_AWAY_FOR_S - case.now_s)
        case.say(f"the store serves {holder.name} again")
        case.store.turned_away.clear()
    await asyncio.sleep(begin_s + PLAY_S - TROUBLE_AT_S - case.now_s)
    for task in traffic:
        task.cancel()
    return judge(case, engines)


def judge(case: frame.Case, engines: list[engine_peer.Engine]) -> int:
    """Apply ONE to the orders that each engine has got."""
    lower = turns = 0
    for found in engines:
        highest, last_by_holder = 0, dict[str, float]()
        previous = ""
        for order in found.orders:
            if order.token < highest:
                lower += 1
                case.say(
                    f"{found.server_id} gets {order.text!r} of "
                    f"{order.holder} with token {order.token} after one "
                    f"with token {highest}, and answers {order.status}"
                )
            highest = max(highest, order.token)
            since_s = order.at_s - last_by_holder.get(order.holder, -1e9)
            if previous not in ("", order.holder) and since_s <= LEASE_S:
                turns += 1
            last_by_holder[order.holder] = order.at_s
            previous = order.holder
    total = sum(len(item.orders) for item in engines)
    if total < 8:
        raise frame.CouldNotRunError(f"only {total} orders")
    case.say(
        f"{total} orders; {lower} with a lower token after a higher one; "
        f"{turns} turns of a holder within {LEASE_S} s"
    )
    is_broken = bool(lower or turns)
    case.say("ONE broken" if is_broken else "ONE held")
    return frame.BROKEN if is_broken else frame.HELD


if __name__ == "__main__":
    frame.run(FOLDER, play)
