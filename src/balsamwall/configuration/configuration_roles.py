"""Interfaces to the active configuration of a process."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.configuration import tenant_configuration
    from balsamwall.protocol import message


class ConfigurationListener(Protocol):
    """Receiver of newly activated configurations."""

    def on_configuration(
        self, configuration: tenant_configuration.TenantConfiguration
    ) -> None:
        """Handle a newly activated configuration."""


class RevisionTracker(Protocol):
    """Tracker of the active revision per tenant."""

    def on_message(self, peer: str, item: message.Message) -> None:
        """Handle a configuration message from a peer."""

    def revisions(self) -> dict[str, int]:
        """Return the active revision per tenant."""
