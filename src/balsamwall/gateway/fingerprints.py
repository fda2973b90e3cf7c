"""Digests by which requests with equal content are recognised."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.gateway import caller_exchange
    from balsamwall.gateway import incoming_request

FINGERPRINT_BYTES = 16
# Prompts share a few parts. The limit bounds the work for one request.
MAX_PARTS = 64


class RequestFingerprints:
    """Hold the digests of one request."""

    __slots__ = ("all", "parts", "request")

    def __init__(self, request: bytes, parts: frozenset[bytes]) -> None:
        self.request = request  # equal for all resends of the request
        self.parts = parts  # each equal for all requests that share a part
        self.all = parts | {request}


def of_request(
    head: caller_exchange.RequestHead,
    body: bytes,
    request: incoming_request.IncomingRequest,
) -> RequestFingerprints:
    """Return the digests of the whole request and of its prompt parts."""
    part_ids = [
        part.part_id.encode("latin-1")
        for part in request.shared_parts[:MAX_PARTS]
    ]
    model = f"{request.model}/{request.adapter}".encode("latin-1")
    # Where the prompt is not in the body, only the last part tells requests
    # with equal shared parts from each other.
    own_part_id = request.own_part_id.encode("latin-1")
    content = (body, model, *part_ids, own_part_id)
    return RequestFingerprints(
        _digest(b"request", head.method, head.target, *content),
        frozenset(_digest(b"part", part_id) for part_id in part_ids),
    )


def _digest(*values: bytes) -> bytes:
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for value in values:
        digest.update(len(value).to_bytes(8, "big"))
        digest.update(value)
    return digest.digest()
