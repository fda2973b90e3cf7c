"""One request inside the batch of an engine."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from balsamwall_standins import answer_buffer
from balsamwall_standins import answer_format
from balsamwall_standins import tokens

if TYPE_CHECKING:
    from balsamwall_standins import engine_orders


class Sequence:
    """Prompt, expected tokens and progress of one request."""

    __slots__ = (
        "_format",
        "_serial",
        "base_held",
        "buffer",
        "cached_tokens",
        "emitted",
        "has_run",
        "held",
        "idempotency_key",
        "is_crashing",
        "is_streamed",
        "is_urgent",
        "kv_bytes",
        "max_tokens",
        "prefill_left",
        "prefixes",
        "prompt_tokens",
        "request_id",
        "tokens",
    )

    def __init__(
        self,
        serial: int,
        request_id: str,
        idempotency_key: str,
        body: dict[str, Any],
        is_chat: bool,
        is_urgent: bool,
        held: engine_orders.HeldModel,
        kv_bytes_per_token: int,
    ) -> None:
        prompt = tokens.prompt_of(body)
        self._serial = serial
        self.request_id = request_id
        self.idempotency_key = idempotency_key
        self.held = held
        # Copy of the base model that the answer of an adapter uses.
        self.base_held: engine_orders.HeldModel | None = None
        self.is_urgent = is_urgent
        self.is_streamed = bool(body.get("stream"))
        self.is_crashing = bool(body.get("crash"))
        self.max_tokens = tokens.max_tokens_of(body)
        self.prompt_tokens = tokens.count_prompt_tokens(prompt)
        self.prefill_left = self.prompt_tokens
        self.cached_tokens = 0
        self.prefixes = tokens.prefix_hashes(held.name, prompt)
        self.tokens = tokens.answer_tokens(held.name, body)
        self.emitted = 0
        self.has_run = False
        self.kv_bytes = kv_bytes_per_token * (
            self.prompt_tokens + self.max_tokens
        )
        kind = "text/event-stream" if self.is_streamed else "application/json"
        self.buffer = answer_buffer.AnswerBuffer(kind)
        self._format = answer_format.AnswerFormat(
            request_id, held.name, is_chat, self.prompt_tokens
        )

    @property
    def is_done(self) -> bool:
        """Tell whether the answer has ended in any way."""
        return self.buffer.is_done or self.buffer.is_broken

    @property
    def memory_key(self) -> str:
        """Return the key of the charge of the KV cache."""
        return f"kv:{self._serial}"

    def use_cached_blocks(self, blocks: int) -> None:
        """Skip the prefill of cached blocks; one token always remains."""
        cached = blocks * tokens.BLOCK_BYTES // tokens.BYTES_PER_TOKEN
        self.cached_tokens = min(cached, self.prompt_tokens - 1)
        self.prefill_left = self.prompt_tokens - self.cached_tokens

    def emit_token(self) -> None:
        """Add the next token; the last one ends the answer."""
        self.emitted += 1
        if self.is_streamed:
            text = self.tokens[self.emitted - 1]
            self.buffer.append(self._format.event(text, self.emitted == 1))
        if self.emitted < len(self.tokens):
            return
        count = self.emitted
        reason = "length" if count == self.max_tokens else "stop"
        if self.is_streamed:
            self.buffer.append(self._format.last_events(count, reason))
        else:
            text = "".join(self.tokens)
            self.buffer.append(self._format.whole(text, count, reason))
        self.buffer.end()
