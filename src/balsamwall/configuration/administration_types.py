"""Requests, answers and the fleet as the administration API sees them."""

from __future__ import annotations

import dataclasses
from typing import Any
from typing import Protocol
from typing import TYPE_CHECKING

from balsamwall.results import exceptions
from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from balsamwall.configuration import rollout_progress

    Respond = Callable[["AdministrationResponse"], None]


@dataclasses.dataclass(slots=True, frozen=True)
class AdministrationScope:
    """What an administration key may do."""

    tenant: str
    may_write: bool
    author: str


@dataclasses.dataclass(slots=True, frozen=True)
class AdministrationRequest:
    """Request after the key check; the body is parsed JSON or None."""

    method: str
    path: str
    query: Mapping[str, str]
    body: object
    scope: AdministrationScope


@dataclasses.dataclass(slots=True, frozen=True)
class AdministrationResponse:
    """Status and JSON body of an answer."""

    status: int
    body: dict[str, object]


@dataclasses.dataclass(slots=True, frozen=True)
class VmStatus:
    """One VM as an entry sees it."""

    vm: str
    availability_zone: str
    role: str  # "entry" or "agent"
    state: str  # "starting", "ready", "leaving" or "down"
    incarnation: int
    config_revision: int
    running: int
    waiting: int
    committed_bytes: int
    capacity_bytes: int
    residents: rollout_progress.ResidentSet

    def to_json(self) -> dict[str, object]:
        """Return the fields as plain JSON values, residents as counts."""
        return {
            "vm": self.vm,
            "availability_zone": self.availability_zone,
            "role": self.role,
            "state": self.state,
            "incarnation": self.incarnation,
            "config_revision": self.config_revision,
            "running": self.running,
            "waiting": self.waiting,
            "committed_bytes": self.committed_bytes,
            "capacity_bytes": self.capacity_bytes,
            "models": len(self.residents.models),
            "adapters": len(self.residents.adapters),
            "services": sorted(self.residents.services),
        }


@dataclasses.dataclass(slots=True, frozen=True)
class QuarantineEntry:
    """Quarantined request fingerprint."""

    fingerprint: bytes
    reason: str
    left_ms: int

    def to_json(self) -> dict[str, object]:
        """Return the fields as plain JSON values."""
        return {
            "fingerprint": self.fingerprint.hex(),
            "reason": self.reason,
            "left_ms": self.left_ms,
        }


@dataclasses.dataclass(slots=True, frozen=True)
class RouteCandidate:
    """Replica that the router considers for a model or adapter."""

    vm: str
    availability_zone: str
    predicted_first_token_ms: int
    is_eligible: bool
    reason: str

    def to_json(self) -> dict[str, object]:
        """Return the fields as plain JSON values."""
        return dataclasses.asdict(self)


class FleetState(Protocol):
    """Fleet of one entry, which the wiring provides."""

    def vms(self, tenant: str) -> Sequence[VmStatus]:
        """Return the VMs of a tenant."""

    def candidates(
        self, tenant: str, name: str, is_urgent: bool
    ) -> Sequence[RouteCandidate]:
        """Return the replicas of a name, the preferred one first."""

    def quarantined(self, tenant: str) -> Sequence[QuarantineEntry]:
        """Return the quarantined fingerprints."""

    def clear_quarantine(self, tenant: str, fingerprint: bytes) -> bool:
        """Clear one everywhere; return False for an unknown one."""

    def mark_leaving(self, tenant: str, vm: str) -> bool:
        """Hand the mark to the VM's agent; False if it is unreachable."""


class AdministrationError(exceptions.BalsamwallError):
    """Refusal of an administration request."""

    def __init__(
        self, code: result_code.ResultCode, message: str, status: int = 0
    ) -> None:
        super().__init__(code, message)
        self.status = status or code.http_status


def failure(
    error: exceptions.BalsamwallError, **details: object
) -> AdministrationResponse:
    """Return the answer that carries an error."""
    status = getattr(error, "status", error.code.http_status)
    return AdministrationResponse(
        status,
        {
            "error": {
                "message": error.message,
                "code": error.code.name.lower(),
                "number": error.code.number,
                "ran": error.code.ran.value,
                "repeat": error.code.repeat.value,
                **details,
            }
        },
    )


def malformed(message: str) -> AdministrationError:
    """Return the error of a malformed body or query."""
    return AdministrationError(
        result_code.ResultCode.MALFORMED_REQUEST, message
    )


def body_field(
    body: object, name: str, expected: type, default: Any = None
) -> Any:
    """Return a checked field of a body; raise AdministrationError."""
    if type(body) is not dict:
        raise malformed("the body must be a JSON object")
    value = body.get(name, default)
    if type(value) is not expected:
        raise malformed(
            f"{name}: expected {expected.__name__},"
            f" found {type(value).__name__}"
        )
    return value
