"""Prompt text and prefix hashes, computed as engines compute them."""

from __future__ import annotations

import hashlib
from typing import Any

BLOCK_BYTES = 256
BYTES_PER_TOKEN = 4
MAX_BLOCKS = 512


def prompt_text(body: dict[str, Any]) -> str:
    """Return the prompt of a completion or chat body as one string."""
    messages = body.get("messages")
    if isinstance(messages, list):
        return "".join(
            f"{item.get('role', '')}: {item.get('content', '')}\n"
            for item in messages
            if isinstance(item, dict)
        )
    prompt = body.get("prompt", "")
    if isinstance(prompt, list):
        return "".join(str(part) for part in prompt)
    return str(prompt)


def count_prompt_tokens(prompt: str) -> int:
    """Return the number of tokens that an engine counts for a prompt."""
    return max(1, -(-len(prompt.encode()) // BYTES_PER_TOKEN))


def prefix_hashes(target: str, prompt: str) -> tuple[int, ...]:
    """Return a chained 63-bit hash for each complete block of a prompt.

    Each hash covers the target and all blocks up to its own; at most
    MAX_BLOCKS are returned.
    """
    data = memoryview(prompt.encode())
    chain = hashlib.sha256(target.encode()).digest()
    hashes: list[int] = []
    for index in range(min(len(data) // BLOCK_BYTES, MAX_BLOCKS)):
        start = index * BLOCK_BYTES
        digest = hashlib.sha256(chain)
        digest.update(data[start : start + BLOCK_BYTES])
        chain = digest.digest()
        hashes.append(int.from_bytes(chain[:8], "big") >> 1)
    return tuple(hashes)
