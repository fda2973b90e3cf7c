"""Idempotency keys with the workspace that they belong to."""

from __future__ import annotations

_SEPARATOR = "/"


def scope(workspace: str, key: str) -> str:
    """Return a key that no other workspace can use."""
    return f"{workspace}{_SEPARATOR}{key}"


def caller_key(scoped: str) -> str:
    """Return the key as the caller sent it."""
    return scoped.partition(_SEPARATOR)[2]
