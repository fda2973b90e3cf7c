"""Messages between the entries and the holder of the orders."""

from __future__ import annotations

from typing import Any

from balsamwall.protocol import message


@message.register(100)
class FleetHello(message.Message):
    """Introduce an entry."""

    vm: str


@message.register(101)
class DemandReport(message.Message):
    """Report the open requests of an entry.

    A row of running has the server, the model and the number of requests; a
    row of waiting has the service, the model, the adapter and the number.
    Queued requests are counted by model; they wait for room at an engine.
    Arrivals have the requests and their prompt tokens by model since the
    last report.
    """

    running: list[list[Any]]
    waiting: list[list[Any]]
    queued: dict[str, int]
    arrivals: dict[str, list[int]]


@message.register(102)
class LoadWanted(message.Message):
    """Ask for a model or an adapter that no server holds."""

    service: str
    model: str
    adapter: str


@message.register(103)
class ServerModels(message.Message):
    """Tell what a server holds, by model."""

    server_id: str
    started_ms: int
    models: dict[str, list[str]]


@message.register(105)
class CrashReport(message.Message):
    """Report the content of a request and the server process it crashed."""

    content: bytes
    process: str


@message.register(106)
class Quarantine(message.Message):
    """Tell all entries to refuse a request by its content."""

    content: bytes


@message.register(104)
class FleetState(message.Message):
    """Tell the number of entries and the state of the servers.

    The load of a server counts the requests of all entries. Queued requests
    are counted by model; they wait for room at an engine. The loads due have
    the time in ms until a model that is on its way can be used.
    """

    entries: int
    loads: dict[str, int]
    queued: dict[str, int]
    loads_due: dict[str, int]
