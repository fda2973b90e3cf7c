"""OpenAI-compatible response format of the engine."""

from __future__ import annotations

import json

CREATED_S = 1_700_000_000
DONE_EVENT = b"data: [DONE]\n\n"


class ResponseFormatter:
    """Encoder of a response; equal requests give equal bytes."""

    __slots__ = ("_response_id", "_is_chat", "_model", "_prompt_tokens")

    def __init__(
        self, request_id: str, model: str, is_chat: bool, prompt_tokens: int
    ) -> None:
        kind = "chatcmpl" if is_chat else "cmpl"
        self._response_id = f"{kind}-{request_id}"
        self._model = model
        self._is_chat = is_chat
        self._prompt_tokens = prompt_tokens

    def event(self, text: str, is_first: bool) -> bytes:
        """Encode the event of one token."""
        return self._event(text, is_first, None, None)

    def final_events(self, count: int, finish_reason: str) -> bytes:
        """Encode the event with the token usage, and the end marker."""
        usage = self._usage(count)
        return self._event("", False, finish_reason, usage) + DONE_EVENT

    def document(self, text: str, count: int, finish_reason: str) -> bytes:
        """Encode the body of a response that is not streamed."""
        choice: dict[str, object] = {"index": 0}
        if self._is_chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        choice["finish_reason"] = finish_reason
        name = "chat.completion" if self._is_chat else "text_completion"
        return _encode(self._body(name, choice, self._usage(count)))

    def _event(
        self,
        text: str,
        is_first: bool,
        finish_reason: str | None,
        usage: dict[str, int] | None,
    ) -> bytes:
        choice: dict[str, object] = {"index": 0}
        if self._is_chat:
            delta = {"role": "assistant"} if is_first else {}
            if text:
                delta["content"] = text
            choice["delta"] = delta
        else:
            choice["text"] = text
        choice["finish_reason"] = finish_reason
        name = "chat.completion.chunk" if self._is_chat else "text_completion"
        return b"data: " + _encode(self._body(name, choice, usage)) + b"\n\n"

    def _body(
        self,
        name: str,
        choice: dict[str, object],
        usage: dict[str, int] | None,
    ) -> dict[str, object]:
        body: dict[str, object] = {
            "id": self._response_id,
            "object": name,
            "created": CREATED_S,
            "model": self._model,
            "choices": [choice],
        }
        if usage is not None:
            body["usage"] = usage
        return body

    def _usage(self, count: int) -> dict[str, int]:
        return {
            "prompt_tokens": self._prompt_tokens,
            "completion_tokens": count,
            "total_tokens": self._prompt_tokens + count,
        }


def _encode(value: object) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()
