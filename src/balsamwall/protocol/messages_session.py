"""Messages of the handshake and of liveness checks."""

from __future__ import annotations

from balsamwall.protocol import message


@message.register(1)
class Hello(message.Message):
    """Open the handshake with the identity of the sender."""

    protocol_version: int
    vm: str
    role: str
    availability_zone: str
    tenant: str
    incarnation: int
    nonce: bytes


@message.register(2)
class Proof(message.Message):
    """Prove knowledge of a shared key by an HMAC over both hellos."""

    key_id: str
    digest: bytes


@message.register(3)
class Ping(message.Message):
    """Check liveness; carries the active revision per tenant."""

    sequence: int
    config_revisions: dict[str, int]


@message.register(4)
class Pong(message.Message):
    """Reply to a ping with its sequence number."""

    sequence: int
