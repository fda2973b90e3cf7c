"""Unit of work of the residency manager."""

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
    """Kind of work."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


TaskKey = tuple[TaskKind, str, str]


@dataclasses.dataclass(slots=True)
class ResidencyTask:
    """Load, unload or change of role that waits or runs."""

    kind: TaskKind
    name: str
    version: str  # of an unload; a load takes the configured one
    urgency: int
    number: int
    callbacks: list[Callable[[result_code.ResultCode], None]] = (
        dataclasses.field(default_factory=list)
    )
    # Copy to drop for a load, in a swap; empty without one.
    drop: str = ""
    is_roll: bool = False
    # Names whose eviction was refused in this attempt.
    barred: set[str] = dataclasses.field(default_factory=set)
    attempts: int = 0
    not_before_ms: int = 0
    waits_since_ms: int | None = None
    # Facts of the running attempt.
    spec: model_copy.CopySpec | None = None
    permit_id: int | None = None
    is_permit_granted: bool = False
    is_asking: bool = False
    is_refused: bool = False
    grant: retention.Grant | None = None

    @property
    def key(self) -> TaskKey:
        """Return what makes two tasks the same."""
        return (self.kind, self.name, self.version)

    def reset(self) -> None:
        """Forget the facts of an attempt."""
        self.spec = None
        self.barred = set()
        self.permit_id = None
        self.is_permit_granted = False
        self.is_asking = False
        self.is_refused = False
        self.grant = None
        self.waits_since_ms = None
