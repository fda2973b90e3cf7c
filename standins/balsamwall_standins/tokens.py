"""Deterministic output tokens that a test can recompute."""

from __future__ import annotations

import hashlib
from typing import Any

BLOCK_BYTES = 256
BYTES_PER_TOKEN = 4
DEFAULT_MAX_TOKENS = 16
_SYLLABLES = (
    "ba", "de", "fi", "go", "hu", "ka", "le", "mi",
    "no", "pu", "ra", "se", "ti", "vo", "zu", "yo",
)  # fmt: skip


def extract_prompt(body: dict[str, Any]) -> str:
    """Return the prompt of a completion or chat body as a string."""
    messages = body.get("messages")
    if isinstance(messages, list):
        return "".join(
            f"{item.get('role', '')}: {item.get('content', '')}\n"
            for item in messages
        )
    prompt = body.get("prompt", "")
    if isinstance(prompt, list):
        return "".join(str(part) for part in prompt)
    return str(prompt)


def parse_max_tokens(body: dict[str, Any]) -> int:
    """Return the output token limit of a body, at least 1."""
    limit = body.get("max_completion_tokens", body.get("max_tokens"))
    return max(1, int(DEFAULT_MAX_TOKENS if limit is None else limit))


def count_prompt_tokens(prompt: str) -> int:
    """Return the number of tokens of a prompt."""
    size = len(prompt.encode())
    return max(1, (size + BYTES_PER_TOKEN - 1) // BYTES_PER_TOKEN)


def response_tokens(target: str, body: dict[str, Any]) -> list[str]:
    """Return the tokens of the only correct response."""
    prompt = extract_prompt(body)
    seed = hashlib.sha256(f"{target}\0{prompt}".encode()).digest()
    count = parse_max_tokens(body)
    if not body.get("ignore_eos"):
        count = 1 + int.from_bytes(seed[:4], "big") % count
    words: list[str] = []
    block = seed
    for index in range(count):
        position = index % 16
        if position == 0:
            block = hashlib.sha256(block).digest()
        high, low = block[2 * position], block[2 * position + 1]
        word = _SYLLABLES[high % 16] + _SYLLABLES[low % 16]
        words.append(f" {word}{high // 16:x}{low // 16:x}")
    return words


def response_text(target: str, body: dict[str, Any]) -> str:
    """Return the text of the only correct response."""
    return "".join(response_tokens(target, body))


def prefix_hashes(target: str, prompt: str) -> list[int]:
    """Return a chained 63-bit hash for each full block of the prompt."""
    data = prompt.encode()
    chain = hashlib.sha256(target.encode()).digest()
    hashes: list[int] = []
    for start in range(0, len(data) - BLOCK_BYTES + 1, BLOCK_BYTES):
        block = data[start : start + BLOCK_BYTES]
        chain = hashlib.sha256(chain + block).digest()
        hashes.append(int.from_bytes(chain[:8], "big") >> 1)
    return hashes
