"""Size of a prompt."""

from __future__ import annotations

import json
from typing import Any

# A token of the usual tokenizers covers three or more bytes of text on
# average; the estimate is on the high side, because it charges memory.
BYTES_PER_TOKEN = 3
TOKENS_PER_MESSAGE = 8


def text_of(document: dict[str, Any]) -> bytes:
    """Return the prompt of a checked chat or completion as bytes."""
    prompt = document.get("messages", document.get("prompt"))
    if isinstance(prompt, str):
        return prompt.encode("utf-8", "surrogatepass")
    return json.dumps(
        prompt, ensure_ascii=False, sort_keys=True, separators=(",", ":")
    ).encode("utf-8", "surrogatepass")


def estimate_tokens(document: dict[str, Any]) -> int:
    """Return an upper estimate of the tokens of a prompt."""
    prompt = document.get("messages", document.get("prompt"))
    parts = len(prompt) if isinstance(prompt, list) else 1
    size = len(text_of(document))
    return -(-size // BYTES_PER_TOKEN) + parts * TOKENS_PER_MESSAGE
