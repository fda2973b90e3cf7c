"""Request, response and fleet types of the administration API."""

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
    """Permissions of an administration key."""

    tenant: str
    may_write: bool
    author: str


@dataclasses.dataclass(slots=True, frozen=True)
class AdministrationRequest:
    """Authenticated request; the body is decoded JSON or None."""

    method: str
    path: str
    query: Mapping[str, str]
    body: object
    scope: AdministrationScope


@dataclasses.dataclass(slots=True, frozen=True)
class AdministrationResponse:
    """HTTP status and JSON body."""

    status: int
    body: dict[str, object]


@dataclasses.dataclass(slots=True, frozen=True)
class VmStatus:
    """State of one VM as known to an entry."""

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
        """Return the fields as JSON values, models and adapters as counts."""
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
    remaining_ms: int

    def to_json(self) -> dict[str, object]:
        """Return the fields as JSON values."""
        return {
            "fingerprint": self.fingerprint.hex(),
            "reason": self.reason,
            "left_ms": self.remaining_ms,
        }


@dataclasses.dataclass(slots=True, frozen=True)
class RouteCandidate:
    """Replica that the router evaluated for a model or adapter."""

    vm: str
    availability_zone: str
    predicted_first_token_ms: int
    is_eligible: bool
    reason: str

    def to_json(self) -> dict[str, object]:
        """Return the fields as JSON values."""
        return dataclasses.asdict(self)


class FleetState(Protocol):
    """Interface to the fleet of one entry."""

    def vms(self, tenant: str) -> Sequence[VmStatus]:
        """Return the VMs of a tenant."""

    def candidates(
        self, tenant: str, name: str, is_urgent: bool
    ) -> Sequence[RouteCandidate]:
        """Return the replicas of a name in order of preference."""

    def quarantined(self, tenant: str) -> Sequence[QuarantineEntry]:
        """Return the quarantined fingerprints."""

    def clear_quarantine(self, tenant: str, fingerprint: bytes) -> bool:
        """Clear a fingerprint on all VMs; return False if unknown."""

    def mark_leaving(self, tenant: str, vm: str) -> bool:
        """Mark a VM as leaving; return False if its agent is unreachable."""


class AdministrationError(exceptions.BalsamwallError):
    """Rejected administration request with its HTTP status.

    A status of 0 stands for the HTTP status of the result code.
    """

    def __init__(
        self, code: result_code.ResultCode, message: str, status: int = 0
    ) -> None:
        super().__init__(code, message)
        self.status = status or code.http_status


def error_response(
    error: exceptions.BalsamwallError, **details: object
) -> AdministrationResponse:
    """Return the response for an error with extra fields."""
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


def malformed_request(message: str) -> AdministrationError:
    """Return the error for a malformed body or query."""
    return AdministrationError(
        result_code.ResultCode.MALFORMED_REQUEST, message
    )


def body_field(
    body: object, name: str, expected: type, default: Any = None
) -> Any:
    """Return a field of exactly this type; raise AdministrationError.

    The default stands for an absent field and must have the type too, so a
    field without a default is required.
    """
    if type(body) is not dict:
        raise malformed_request("the body must be a JSON object")
    value = body.get(name, default)
    if type(value) is not expected:
        raise malformed_request(
            f"{name}: expected {expected.__name__},"
            f" found {type(value).__name__}"
        )
    return value
