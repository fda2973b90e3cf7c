"""Orders to engines and reports of them."""

from __future__ import annotations

import dataclasses
import enum
from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.gateway import backend_directory


class OrderKind(enum.Enum):
    """What an engine is told to do."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclasses.dataclass(slots=True, frozen=True)
class Order:
    """Load or unload of a model, or of an adapter of a resident model."""

    kind: OrderKind
    model: str
    adapter: str = ""


class OrderOutcome(enum.Enum):
    """Answer of an engine to an order."""

    ACCEPTED = "accepted"
    ALREADY_TRUE = "already_true"
    CONFLICT = "conflict"  # busy, or its order count differs
    FENCED = "fenced"  # a newer holder has given orders
    REJECTED = "rejected"
    WRONG_SERVER = "wrong_server"
    UNKNOWN = "unknown"  # it may still be carried out


@dataclasses.dataclass(slots=True, frozen=True)
class EngineReport:
    """State of an engine, some hundred milliseconds old."""

    order_count: int
    is_busy: bool
    models: dict[str, frozenset[str]]  # adapters by model
    pending_adapters: frozenset[
        tuple[str, str]
    ]  # model and adapter on their way
    running: int
    waiting: int


class EngineControl(Protocol):
    """Caller of the engines."""

    def read_report(
        self,
        record: backend_directory.ServerRecord,
        callback: Callable[[EngineReport | None], None],
    ) -> None:
        """Ask an engine for its state; None when there is no answer."""

    def send_order(
        self,
        record: backend_directory.ServerRecord,
        order: Order,
        order_count: int,
        fencing_token: int,
        callback: Callable[[OrderOutcome], None],
    ) -> None:
        """Give an order that holds only for the expected order count."""
