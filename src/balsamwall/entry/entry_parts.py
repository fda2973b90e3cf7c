"""Components of an entry and the messages that each handles."""

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
    from balsamwall.configuration import configuration_roles
    from balsamwall.dispatch import caller_request
    from balsamwall.protocol import message
    from balsamwall.protocol import message_hub


class RequestDispatcher(Protocol):
    """Component that runs requests on agents."""

    def submit(
        self,
        request: caller_request.CallerRequest,
        listener: caller_request.AnswerListener,
    ) -> None:
        """Start a request; the listener receives its response."""

    def cancel(self, request_id: str) -> None:
        """Cancel a request; its listener gets a failure if it was open."""

    def on_message(self, peer: str, item: message.Message) -> None:
        """Handle a message from a peer."""


@dataclasses.dataclass(slots=True)
class EntryParts:
    """Components of an entry; None for one that is absent."""

    dispatcher: RequestDispatcher | None = None
    fleet_view: message_hub.MessageHandler | None = None
    membership: message_hub.MessageHandler | None = None
    quarantine: message_hub.MessageHandler | None = None
    configuration: configuration_roles.RevisionTracker | None = None
    key_homes: message_hub.MessageHandler | None = None
    permits: message_hub.MessageHandler | None = None
    configuration_readers: list[configuration_roles.ConfigurationListener] = (
        dataclasses.field(default_factory=list)
    )


# Message types by the field of EntryParts that handles them.
MESSAGE_TYPES: dict[str, tuple[type[message.Message], ...]] = {
    "dispatcher": (
        messages_request.Accepted,
        messages_request.Refused,
        messages_request.Chunk,
        messages_request.End,
        messages_request.Failed,
        messages_request.Cancelled,
    ),
    "fleet_view": (
        messages_state.AgentReport,
        messages_state.Residents,
        messages_state.CacheDigest,
        messages_state.DemandReport,
        messages_state.Leaving,
    ),
    "membership": (messages_session.Ping,),
    "quarantine": (messages_state.Verdict,),
    "configuration": (
        messages_session.Ping,
        messages_configuration.ConfigAnnounce,
        messages_configuration.ConfigFetch,
        messages_configuration.ConfigDocument,
    ),
    "key_homes": (messages_home.HomeMapChanged,),
    "permits": (
        messages_residency.PermitInUse,
        messages_residency.PermitRequest,
        messages_residency.PermitReturned,
    ),
}
