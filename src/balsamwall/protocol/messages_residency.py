"""Messages about model loads, evictions and load permits."""

from __future__ import annotations

from balsamwall.protocol import message


@message.register(60)
class EnsureResident(message.Message):
    """Request the load of a model or adapter that has no live replica."""

    name: str
    is_urgent: bool


@message.register(61)
class PlacementStep(message.Message):
    """Propose a placement step, which the agent validates before it acts."""

    step_id: int
    action: str  # "load", "evict" or "swap"
    name: str
    other: str  # name to evict in a swap, else empty
    urgency: int


@message.register(62)
class RetainRequest(message.Message):
    """Request that a peer retains a model while the sender evicts its copy."""

    request_id: int
    name: str


@message.register(63)
class RetainGranted(message.Message):
    """Agree to retain a model until the grant is released or expires."""

    request_id: int
    name: str


@message.register(64)
class RetainRefused(message.Message):
    """Refuse to retain a model, with the reason as text."""

    request_id: int
    name: str
    reason: str


@message.register(65)
class RetainReleased(message.Message):
    """Release a retention grant that is no longer needed."""

    request_id: int
    name: str


@message.register(66)
class PermitRequest(message.Message):
    """Request a permit to load weights from the weight store."""

    request_id: int
    name: str
    urgency: int


@message.register(67)
class PermitGranted(message.Message):
    """Permit one load that starts within `valid_ms`."""

    request_id: int
    valid_ms: int


@message.register(68)
class PermitReturned(message.Message):
    """Return a permit after its load has finished."""

    request_id: int


@message.register(69)
class PermitInUse(message.Message):
    """Report to the granter that the load of a permit is running."""

    request_id: int
