"""Interfaces to the configuration in force inside one process."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.configuration import tenant_configuration
    from balsamwall.protocol import message


class ConfigurationListener(Protocol):
    """Receiver of configurations that come into force."""

    def on_configuration(
        self, configuration: tenant_configuration.TenantConfiguration
    ) -> None:
        """Take a configuration."""


class RevisionTracker(Protocol):
    """Highest revisions that this process has seen."""

    def on_message(self, peer: str, item: message.Message) -> None:
        """Receive a message."""

    def revisions(self) -> dict[str, int]:
        """Return the revision in force per tenant."""
