"""Messages about loads, evictions and weight permits."""

from __future__ import annotations

from balsamwall.protocol import message


@message.register(60)
class EnsureResident(message.Message):
    """Ask an agent to load a model or adapter that has no live replica."""

    name: str
    is_urgent: bool


@message.register(61)
class PlacementStep(message.Message):
    """Propose one step; the agent checks it before it acts."""

    step_id: int
    action: str  # "load", "evict" or "swap"
    name: str
    other: str  # name to drop in a swap, else empty
    urgency: int


@message.register(62)
class RetainRequest(message.Message):
    """Ask a holder to keep a model while the sender evicts its copy."""

    request_id: int
    name: str


@message.register(63)
class RetainGranted(message.Message):
    """Promise to keep a model until released or expired."""

    request_id: int
    name: str


@message.register(64)
class RetainRefused(message.Message):
    """Refuse to promise to keep a model."""

    request_id: int
    name: str
    reason: str


@message.register(65)
class RetainReleased(message.Message):
    """Give back a promise that is no longer needed."""

    request_id: int
    name: str


@message.register(66)
class PermitRequest(message.Message):
    """Ask for a permit to load from the weight store."""

    request_id: int
    name: str
    urgency: int


@message.register(67)
class PermitGranted(message.Message):
    """Permit one load that starts within a time in milliseconds."""

    request_id: int
    valid_ms: int


@message.register(68)
class PermitReturned(message.Message):
    """Return a permit after the load."""

    request_id: int


@message.register(69)
class PermitInUse(message.Message):
    """Tell a granter that the load of a permit runs."""

    request_id: int
