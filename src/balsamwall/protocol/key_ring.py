"""Shared keys of the internal protocol."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING

from balsamwall.protocol import codec
from balsamwall.protocol import exceptions
from balsamwall.protocol import messages_session
from balsamwall.results import result_code

if TYPE_CHECKING:
    from balsamwall.protocol import message

_LABELS = {True: b"balsamwall dialler", False: b"balsamwall listener"}


class KeyRing:
    """Keys by identifier; proofs use the current one, all are accepted."""

    __slots__ = ("_current_id", "_keys")

    def __init__(self, keys: dict[str, bytes], current_id: str) -> None:
        self._keys = dict(keys)
        self._current_id = current_id

    def prove(
        self,
        is_dialler: bool,
        dialler: messages_session.Hello,
        listener: messages_session.Hello,
    ) -> messages_session.Proof:
        """Return the proof of one end over both introductions."""
        key = self._keys[self._current_id]
        digest = _digest(key, is_dialler, dialler, listener)
        return messages_session.Proof(self._current_id, digest)

    def check(
        self,
        proof: messages_session.Proof,
        is_dialler: bool,
        dialler: messages_session.Hello,
        listener: messages_session.Hello,
    ) -> None:
        """Check the proof of one end; raise ProtocolError."""
        key = self._keys.get(proof.key_id)
        expected = _digest(key or b"", is_dialler, dialler, listener)
        is_equal = hmac.compare_digest(expected, proof.digest)
        if key is None or not is_equal:
            raise exceptions.ProtocolError(
                "peer does not hold an internal key",
                result_code.ResultCode.PEER_NOT_AUTHENTICATED,
            )


def _digest(
    key: bytes,
    is_dialler: bool,
    dialler: messages_session.Hello,
    listener: messages_session.Hello,
) -> bytes:
    # The label keeps an attacker from sending an end's own proof back to it;
    # the introductions bind names, roles, incarnations and both nonces.
    data = _LABELS[is_dialler]
    parts: tuple[message.Message, ...] = (dialler, listener)
    for part in parts:
        frame = codec.encode(part)
        data += len(frame).to_bytes(4, "big") + frame
    return hmac.digest(key, data, "sha256")
