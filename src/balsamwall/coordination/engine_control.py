"""Orders to engines, and the reports of engines on their state."""

from __future__ import annotations

import dataclasses
import enum
from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.gateway import backend_directory
    from balsamwall.gateway import server_backoff


# Longest time from the sending of an order to its response. The connection is
# then aborted, so that the order does not arrive later. An order without a
# response is safe to repeat, as it carries the same expected order count.
ORDER_TIMEOUT_MS = 400


class OrderKind(enum.Enum):
    """Type of an order, by the name used on the wire."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclasses.dataclass(slots=True, frozen=True)
class Order:
    """Load or unload of a model, or of an adapter of a resident model."""

    kind: OrderKind
    model: str
    adapter: str = ""


class OrderOutcome(enum.Enum):
    """Outcome of an order as observed by its sender."""

    ACCEPTED = "accepted"
    ALREADY_TRUE = "already_true"
    CONFLICT = "conflict"  # the engine is busy, or its order count differs
    FENCED = "fenced"  # the engine has seen a newer fencing token
    REJECTED = "rejected"
    WRONG_SERVER = "wrong_server"
    UNKNOWN = "unknown"  # no response; the order may still be executed


@dataclasses.dataclass(slots=True, frozen=True)
class EngineReport:
    """State of an engine, with its running and waiting requests.

    The models may be some hundred milliseconds older than the order count.
    """

    order_count: int
    is_busy: bool
    models: dict[str, frozenset[str]]  # adapters by model
    pending_adapters: frozenset[tuple[str, str]]  # model and adapter
    running: int
    waiting: int
    # Requests per second that the engine accepts, None without a limit.
    limit_per_s: float | None = None
    # Whether the engine announces that it accepts no new requests soon.
    is_leaving: bool = False


class EngineControl(Protocol):
    """Asynchronous client of the control interface of engines."""

    def read_report(
        self,
        record: backend_directory.ServerRecord,
        callback: Callable[[EngineReport | None], None],
    ) -> None:
        """Request a report; the callback gets None without a response."""

    def send_order(
        self,
        record: backend_directory.ServerRecord,
        order: Order,
        order_count: int,
        fencing_token: int,
        send_by_ms: int | None,
        callback: Callable[[OrderOutcome], None],
    ) -> None:
        """Send an order that is valid only for the expected order count.

        Nothing is sent after `send_by_ms`, by the clock of this process; None
        is no bound.
        """


class EngineClient(EngineControl, Protocol):
    """Client that reaches the engines, and reads their refusals."""

    def set_backoff(self, backoff: server_backoff.ServerBackoff) -> None:
        """Set what records the back-off that engines ask for."""
