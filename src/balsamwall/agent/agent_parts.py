"""Decision objects of one unit of an agent."""

from __future__ import annotations

import dataclasses
from typing import Protocol
from typing import TYPE_CHECKING

from balsamwall.protocol import messages_configuration
from balsamwall.protocol import messages_home
from balsamwall.protocol import messages_request
from balsamwall.protocol import messages_residency
from balsamwall.protocol import messages_session
from balsamwall.protocol import messages_state

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.configuration import configuration_roles
    from balsamwall.protocol import message
    from balsamwall.protocol import message_hub
    from balsamwall.residency import memory_account


@dataclasses.dataclass(slots=True, frozen=True)
class LoadCounts:
    """Load of one backend server at one moment."""

    running: int = 0
    waiting_urgent: int = 0
    waiting_deferrable: int = 0
    queued_tokens: int = 0
    free_kv_bytes: int = 0
    step_us: int = 0
    age_ms: int = 0
    max_running: int = 0  # attempts that may run at the same time


@dataclasses.dataclass(slots=True, frozen=True)
class ResidentNames:
    """Names of what one backend server holds."""

    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    loading: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    versions: tuple[str, ...] = ()  # "name@version" of ready copies


class LoadSource(Protocol):
    """Source of load counts."""

    def load_counts(self) -> LoadCounts:
        """Return the load now."""


class ResidentSource(Protocol):
    """Source of the names of resident models, adapters and services."""

    @property
    def is_ready(self) -> bool:
        """Tell whether the state was rebuilt since the start."""

    @property
    def is_down(self) -> bool:
        """Tell whether the backend server does not answer."""

    def resident_names(self) -> ResidentNames:
        """Return the names now."""


@dataclasses.dataclass(slots=True)
class AgentParts:
    """Decision objects by what they own; None for an absent one."""

    demand: message_hub.MessageHandler | None = None
    executor: message_hub.MessageHandler | None = None
    residency: message_hub.MessageHandler | None = None
    key_homes: message_hub.MessageHandler | None = None
    membership: message_hub.MessageHandler | None = None
    quarantine: message_hub.MessageHandler | None = None
    configuration: configuration_roles.ConfigurationOwner | None = None
    fleet_view: message_hub.MessageHandler | None = None
    permits: message_hub.MessageHandler | None = None
    memory: memory_account.MemoryAccount | None = None
    load_source: LoadSource | None = None
    resident_source: ResidentSource | None = None
    configuration_readers: list[configuration_roles.ConfigurationReader] = (
        dataclasses.field(default_factory=list)
    )
    # Each step starts when the VM is marked as leaving and calls back once
    # when its work is complete.
    drain_steps: list[Callable[[Callable[[], None]], None]] = (
        dataclasses.field(default_factory=list)
    )


# Owner of each message that an agent takes, by the name of its part.
MESSAGE_TYPES: dict[str, tuple[type[message.Message], ...]] = {
    "demand": (messages_request.Dispatch,),
    "executor": (
        messages_request.Dispatch,
        messages_request.Ack,
        messages_request.Reattach,
        messages_request.Cancel,
    ),
    "residency": (
        messages_residency.EnsureResident,
        messages_residency.PlacementStep,
        messages_residency.RetainRequest,
        messages_residency.RetainGranted,
        messages_residency.RetainRefused,
        messages_residency.RetainReleased,
        messages_residency.PermitGranted,
    ),
    "key_homes": (
        messages_home.HomeJoin,
        messages_home.HomeGrant,
        messages_home.HomeRefuse,
        messages_home.HomeRecords,
        messages_home.HomeRecordsReceived,
        messages_home.HomeMapChanged,
    ),
    "membership": (messages_state.AgentReport, messages_state.Leaving),
    "quarantine": (messages_state.Verdict,),
    "configuration": (
        messages_session.Ping,
        messages_configuration.ConfigAnnounce,
        messages_configuration.ConfigFetch,
        messages_configuration.ConfigDocument,
    ),
    "fleet_view": (messages_state.Residents, messages_state.Leaving),
    "permits": (
        messages_residency.PermitInUse,
        messages_residency.PermitRequest,
        messages_residency.PermitReturned,
    ),
}
