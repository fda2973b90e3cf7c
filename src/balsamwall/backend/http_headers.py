"""Headers forwarded between a caller and a backend server."""

from __future__ import annotations

# Hop-by-hop headers and headers that are set for each exchange.
_DROPPED = frozenset(
    (
        "accept-encoding",
        "authorization",
        "connection",
        "content-encoding",
        "content-length",
        "date",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "server",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-engine-boot",
        "x-priority",
        "x-request-id",
        "x-stream-offset",
    )
)


def end_to_end(headers: dict[str, str]) -> dict[str, str]:
    """Return the headers to forward, with names in lower case."""
    return {
        name.lower(): value
        for name, value in headers.items()
        if name.lower() not in _DROPPED
    }
