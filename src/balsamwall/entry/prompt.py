"""Estimate of the size of a prompt."""

from __future__ import annotations

import json
from typing import Any

# Common tokenizers average three or more bytes of text per token. The
# estimate is deliberately high, because memory is reserved from it.
BYTES_PER_TOKEN = 3
TOKENS_PER_MESSAGE = 8


def serialize_prompt(document: dict[str, Any]) -> bytes:
    """Serialize the prompt of a validated chat or completion request."""
    prompt = document.get("messages", document.get("prompt"))
    if isinstance(prompt, str):
        return prompt.encode("utf-8", "surrogatepass")
    return json.dumps(
        prompt, ensure_ascii=False, sort_keys=True, separators=(",", ":")
    ).encode("utf-8", "surrogatepass")


def estimate_tokens(document: dict[str, Any]) -> int:
    """Return a conservative estimate of the number of prompt tokens."""
    prompt = document.get("messages", document.get("prompt"))
    parts = len(prompt) if isinstance(prompt, list) else 1
    size = len(serialize_prompt(document))
    return -(-size // BYTES_PER_TOKEN) + parts * TOKENS_PER_MESSAGE
