"""Components of one agent unit and the messages that they handle."""

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
    """Load of one backend server at one point in time."""

    running: int = 0
    waiting_urgent: int = 0
    waiting_deferrable: int = 0
    queued_tokens: int = 0
    free_kv_bytes: int = 0
    step_us: int = 0
    age_ms: int = 0
    max_running: int = 0  # maximum number of concurrent attempts


@dataclasses.dataclass(slots=True, frozen=True)
class ResidentNames:
    """Names that one backend server holds or is loading."""

    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    loading: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    versions: tuple[str, ...] = ()  # "name@version" of ready copies


class LoadSource(Protocol):
    """Interface that provides load counts."""

    def load_counts(self) -> LoadCounts:
        """Return the current load."""


class ResidentSource(Protocol):
    """Interface that provides resident models, adapters and services."""

    @property
    def is_ready(self) -> bool:
        """Return whether the state has been rebuilt since the start."""

    @property
    def is_down(self) -> bool:
        """Return whether the backend server does not respond."""

    def resident_names(self) -> ResidentNames:
        """Return the current names."""


@dataclasses.dataclass(slots=True)
class AgentParts:
    """Components of a unit, named by what they own; None if absent."""

    demand: message_hub.MessageHandler | None = None
    executor: message_hub.MessageHandler | None = None
    residency: message_hub.MessageHandler | None = None
    key_homes: message_hub.MessageHandler | None = None
    membership: message_hub.MessageHandler | None = None
    quarantine: message_hub.MessageHandler | None = None
    configuration: configuration_roles.RevisionTracker | None = None
    fleet_view: message_hub.MessageHandler | None = None
    permits: message_hub.MessageHandler | None = None
    memory: memory_account.MemoryAccount | None = None
    load_source: LoadSource | None = None
    resident_source: ResidentSource | None = None
    configuration_readers: list[configuration_roles.ConfigurationListener] = (
        dataclasses.field(default_factory=list)
    )
    # Each step is called when the VM is marked as leaving and calls its
    # argument when it has finished.
    drain_steps: list[Callable[[Callable[[], None]], None]] = (
        dataclasses.field(default_factory=list)
    )
    # Like drain_steps, but given up when no other process can take over.
    transfer_steps: list[Callable[[Callable[[], None]], None]] = (
        dataclasses.field(default_factory=list)
    )


# Message types that each field of AgentParts handles.
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
