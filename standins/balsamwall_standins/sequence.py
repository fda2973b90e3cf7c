"""Request in the batch of an engine."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from balsamwall_standins import response_buffer
from balsamwall_standins import response_format
from balsamwall_standins import tokens

if TYPE_CHECKING:
    from balsamwall_standins import engine_orders


class Sequence:
    """Prompt, output tokens and progress of a request."""

    __slots__ = (
        "_formatter",
        "_serial",
        "base_model",
        "buffer",
        "cached_tokens",
        "emitted_tokens",
        "has_run",
        "model",
        "idempotency_key",
        "is_crashing",
        "is_streamed",
        "is_urgent",
        "kv_bytes",
        "max_tokens",
        "remaining_prefill_tokens",
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
        model: engine_orders.ResidentModel,
        kv_bytes_per_token: int,
    ) -> None:
        prompt = tokens.extract_prompt(body)
        self._serial = serial
        self.request_id = request_id
        self.idempotency_key = idempotency_key
        self.model = model
        # Version of the base model that an adapter request runs on.
        self.base_model: engine_orders.ResidentModel | None = None
        self.is_urgent = is_urgent
        self.is_streamed = bool(body.get("stream"))
        self.is_crashing = bool(body.get("crash"))
        self.max_tokens = tokens.parse_max_tokens(body)
        self.prompt_tokens = tokens.count_prompt_tokens(prompt)
        self.remaining_prefill_tokens = self.prompt_tokens
        self.cached_tokens = 0
        self.prefixes = tokens.prefix_hashes(model.name, prompt)
        self.tokens = tokens.response_tokens(model.name, body)
        self.emitted_tokens = 0
        self.has_run = False
        self.kv_bytes = kv_bytes_per_token * (
            self.prompt_tokens + self.max_tokens
        )
        kind = "text/event-stream" if self.is_streamed else "application/json"
        self.buffer = response_buffer.ResponseBuffer(kind)
        self._formatter = response_format.ResponseFormatter(
            request_id, model.name, is_chat, self.prompt_tokens
        )

    @property
    def is_done(self) -> bool:
        """Tell whether the response is complete or aborted."""
        return self.buffer.is_done or self.buffer.is_aborted

    @property
    def memory_key(self) -> str:
        """Return the key under which the KV cache is charged."""
        return f"kv:{self._serial}"

    def use_cached_blocks(self, blocks: int) -> None:
        """Skip the prefill of cached blocks, but for at least one token."""
        cached = blocks * tokens.BLOCK_BYTES // tokens.BYTES_PER_TOKEN
        self.cached_tokens = min(cached, self.prompt_tokens - 1)
        self.remaining_prefill_tokens = self.prompt_tokens - self.cached_tokens

    def emit_token(self) -> None:
        """Emit the next token; the last one completes the response."""
        self.emitted_tokens += 1
        if self.is_streamed:
            text = self.tokens[self.emitted_tokens - 1]
            self.buffer.append(
                self._formatter.event(text, self.emitted_tokens == 1)
            )
        if self.emitted_tokens < len(self.tokens):
            return
        count = self.emitted_tokens
        reason = "length" if count == self.max_tokens else "stop"
        if self.is_streamed:
            self.buffer.append(self._formatter.final_events(count, reason))
        else:
            text = "".join(self.tokens)
            self.buffer.append(self._formatter.document(text, count, reason))
        self.buffer.end()
