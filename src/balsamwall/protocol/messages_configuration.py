"""Messages that distribute the configuration."""

from __future__ import annotations

from balsamwall.protocol import message


@message.register(50)
class ConfigAnnounce(message.Message):
    """Announce the revision that the sender has applied."""

    tenant: str
    revision: int


@message.register(51)
class ConfigFetch(message.Message):
    """Request a document with a revision above the given one."""

    tenant: str
    above_revision: int


@message.register(52)
class ConfigDocument(message.Message):
    """Carry the encoded document of an accepted revision."""

    tenant: str
    revision: int
    content: bytes
