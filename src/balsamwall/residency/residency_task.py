"""Define the unit of work of the residency manager."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.residency import model_copy
    from balsamwall.residency import retention
    from balsamwall.results import result_code


class TaskKind(enum.Enum):
    """List the kinds of tasks; ROLE changes the role of the engine."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


TaskKey = tuple[TaskKind, str, str]


@dataclasses.dataclass(slots=True)
class ResidencyTask:
    """Hold a queued or running load, unload or change of role."""

    kind: TaskKind
    name: str
    version: str  # empty for a load, which uses the configured one
    urgency: int
    sequence_number: int
    callbacks: list[Callable[[result_code.ResultCode], None]] = (
        dataclasses.field(default_factory=list)
    )
    # Name that the load replaces in a swap, else empty.
    replaced_name: str = ""
    is_version_change: bool = False
    # Names that are not evicted for this task, because their eviction was
    # refused in this attempt.
    excluded_names: set[str] = dataclasses.field(default_factory=set)
    attempts: int = 0
    # Times on the agent's monotonic clock.
    not_before_ms: int = 0
    waiting_since_ms: int | None = None
    # State of the running attempt.
    spec: model_copy.CopySpec | None = None
    permit_id: int | None = None
    is_permit_granted: bool = False
    is_grant_requested: bool = False
    is_grant_refused: bool = False
    grant: retention.Grant | None = None

    @property
    def key(self) -> TaskKey:
        """Return the key by which equal tasks are merged."""
        return (self.kind, self.name, self.version)

    def reset(self) -> None:
        """Clear the state of an attempt."""
        self.spec = None
        self.excluded_names = set()
        self.permit_id = None
        self.is_permit_granted = False
        self.is_grant_requested = False
        self.is_grant_refused = False
        self.grant = None
        self.waiting_since_ms = None
