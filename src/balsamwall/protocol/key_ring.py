"""Authentication of peers by shared keys."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING

from balsamwall.protocol import codec
from balsamwall.protocol import exceptions
from balsamwall.protocol import messages_session
from balsamwall.results import result_code

if TYPE_CHECKING:
    from balsamwall.protocol import message

_PROOF_LABELS = {True: b"balsamwall dialler", False: b"balsamwall listener"}


class KeyRing:
    """Shared keys by identifier.

    Own proofs use the current key and proofs of peers may use any key, so
    that keys can be rotated without downtime.
    """

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
        """Return the proof of one end, an HMAC over both hello messages."""
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
        """Verify the proof of one end.

        Raise ProtocolError if its key is unknown or the digest differs.
        """
        key = self._keys.get(proof.key_id)
        expected = _digest(key or b"", is_dialler, dialler, listener)
        is_match = hmac.compare_digest(expected, proof.digest)
        if key is None or not is_match:
            raise exceptions.ProtocolError(
                "proof of the peer does not match any internal key",
                result_code.ResultCode.PEER_NOT_AUTHENTICATED,
            )


def _digest(
    key: bytes,
    is_dialler: bool,
    dialler: messages_session.Hello,
    listener: messages_session.Hello,
) -> bytes:
    # The label prevents reflection of an end's own proof. The hello messages
    # bind the proof to names, roles, incarnations and both nonces.
    data = _PROOF_LABELS[is_dialler]
    hellos: tuple[message.Message, ...] = (dialler, listener)
    for hello in hellos:
        frame = codec.encode(hello)
        data += len(frame).to_bytes(4, "big") + frame
    return hmac.digest(key, data, "sha256")
