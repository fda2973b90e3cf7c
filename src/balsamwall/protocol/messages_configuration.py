"""Messages that spread the configuration."""

from __future__ import annotations

from balsamwall.protocol import message


@message.register(50)
class ConfigAnnounce(message.Message):
    """Announce the revision that a process has in force."""

    tenant: str
    revision: int


@message.register(51)
class ConfigFetch(message.Message):
    """Ask for a document newer than a revision."""

    tenant: str
    above_revision: int


@message.register(52)
class ConfigDocument(message.Message):
    """Carry an accepted document."""

    tenant: str
    revision: int
    content: bytes
