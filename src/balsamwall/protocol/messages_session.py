"""Messages of the handshake and of liveness."""

from __future__ import annotations

from balsamwall.protocol import message


@message.register(1)
class Hello(message.Message):
    """Introduce a process to its peer."""

    protocol_version: int
    vm: str
    role: str
    availability_zone: str
    tenant: str
    incarnation: int
    nonce: bytes


@message.register(2)
class Proof(message.Message):
    """Prove knowledge of a shared key over both nonces."""

    key_id: str
    digest: bytes


@message.register(3)
class Ping(message.Message):
    """Ask for a sign of life."""

    sequence: int
    config_revisions: dict[str, int]


@message.register(4)
class Pong(message.Message):
    """Answer a ping."""

    sequence: int
