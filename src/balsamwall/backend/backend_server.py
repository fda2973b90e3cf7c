"""Interfaces through which the agent uses a backend server."""

from __future__ import annotations

import dataclasses
from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.results import result_code


@dataclasses.dataclass(slots=True, frozen=True)
class BackendRequest:
    """Request to a backend server."""

    request_id: str
    kind: str  # "model" or "service"
    target: str
    path: str
    headers: dict[str, str]
    body: bytes
    is_urgent: bool
    is_streamed: bool
    prompt_tokens: int
    max_output_tokens: int
    idempotency_key: str
    timeout_ms: int


class BackendListener(Protocol):
    """Receiver of the response of a backend server."""

    def on_data(self, offset: int, data: bytes) -> None:
        """Receive a chunk of the response at a byte offset."""

    def on_end(
        self,
        http_status: int,
        headers: dict[str, str],
        total_bytes: int,
        output_tokens: int,
    ) -> None:
        """Receive the end of a complete response."""

    def on_error(
        self, code: result_code.ResultCode, detail: str, is_crash: bool
    ) -> None:
        """Receive the failure; the code states whether the request ran.

        is_crash is true if the backend server crashed while it may have been
        running the request.
        """


class BackendServer(Protocol):
    """Backend server that runs requests asynchronously."""

    def start(
        self, request: BackendRequest, listener: BackendListener
    ) -> None:
        """Run a request; the listener gets one end or error."""

    def resume(
        self, request_id: str, offset: int, listener: BackendListener
    ) -> None:
        """Read the rest of a running stream from a byte offset."""

    def cancel(self, request_id: str) -> None:
        """Cancel a request."""


@dataclasses.dataclass(slots=True, frozen=True)
class Resident:
    """Model or adapter that occupies memory of an engine."""

    name: str
    kind: str  # "model" or "adapter"
    version: str
    base: str  # base model of an adapter, else empty
    memory_bytes: int
    state: str  # "loading", "ready" or "unloading"


@dataclasses.dataclass(slots=True, frozen=True)
class EngineListing:
    """Memory use, residents and open orders that an engine reports."""

    capacity_bytes: int
    used_bytes: int
    fence: int
    is_fence_checked: bool
    role: str
    residents: tuple[Resident, ...]
    open_orders: tuple[str, ...]  # ids of accepted, unfinished orders


@dataclasses.dataclass(slots=True, frozen=True)
class EngineOrder:
    """Order that changes the residents, role or fence of an engine."""

    order_id: str
    fence: int
    action: str  # "load", "unload", "role" or "fence"
    name: str
    kind: str
    version: str
    base: str
    memory_bytes: int


@dataclasses.dataclass(slots=True, frozen=True)
class EngineLoad:
    """Load that an engine reported age_ms ago."""

    running: int
    waiting: int
    queued_tokens: int
    kv_used_bytes: int
    step_us: int
    age_ms: int


class EngineControl(Protocol):
    """Control interface of an engine."""

    def order(
        self,
        order: EngineOrder,
        callback: Callable[[result_code.ResultCode], None],
    ) -> None:
        """Send an order; ORDER_OUTCOME_UNKNOWN if no response arrived."""

    def listing(
        self, callback: Callable[[EngineListing | None], None]
    ) -> None:
        """Read the listing; the callback gets None on failure."""

    def load(self, callback: Callable[[EngineLoad | None], None]) -> None:
        """Read the load; the callback gets None on failure."""
