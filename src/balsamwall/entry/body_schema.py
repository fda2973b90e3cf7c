"""Schema of the bodies of model requests."""

from __future__ import annotations

import json
from typing import Any

from balsamwall.results import exceptions
from balsamwall.results import result_code

MAX_DEPTH = 32
MAX_MESSAGES = 4_096
# Other values would multiply the memory of a request, which is charged for
# one answer.
_ONLY_ONE = ("n", "best_of")
_LIMIT_KEYS = ("max_completion_tokens", "max_tokens")


def parse(body: bytes) -> dict[str, Any]:
    """Parse a JSON object; raise BalsamwallError."""
    try:
        document = json.loads(
            body, object_pairs_hook=_object_of, parse_constant=_refuse
        )
    except (ValueError, RecursionError) as error:
        raise malformed(f"body is not JSON: {error}") from error
    if not isinstance(document, dict):
        raise malformed("body is not a JSON object")
    _check_depth(document, MAX_DEPTH)
    return document


def check(document: dict[str, Any], is_chat: bool) -> None:
    """Check the fields that balsamwall reads; raise BalsamwallError."""
    model = document.get("model")
    if not isinstance(model, str) or not 0 < len(model) <= 256:
        raise malformed("model must be a name of 1 to 256 characters")
    if is_chat:
        _check_messages(document.get("messages"))
    else:
        _check_prompt(document.get("prompt"))
    if not isinstance(document.get("stream", False), bool | None):
        raise malformed("stream must be true or false")
    for key in _ONLY_ONE:
        value = document.get(key)
        if value is not None and (type(value) is not int or value != 1):
            raise malformed(f"{key} must be 1")
    for key in _LIMIT_KEYS:
        value = document.get(key)
        if value is not None and (type(value) is not int or value < 1):
            raise malformed(f"{key} must be a positive integer")


def output_limit(document: dict[str, Any], highest: int) -> int:
    """Return the bound on output tokens and write it into the document."""
    asked = [document[key] for key in _LIMIT_KEYS if document.get(key)]
    limit: int = min(asked, default=highest)
    if limit > highest:
        raise malformed(
            f"more output tokens asked for than {highest},"
            " the limit of the workspace"
        )
    if not asked:
        # The engine must not produce more than the memory charged for.
        document["max_tokens"] = limit
    return limit


def malformed(message: str) -> exceptions.BalsamwallError:
    """Return the error of a request with a bad body."""
    return exceptions.BalsamwallError(
        result_code.ResultCode.MALFORMED_REQUEST, message
    )


def _check_messages(messages: object) -> None:
    if not isinstance(messages, list) or not messages:
        raise malformed("messages must be a non-empty list")
    if len(messages) > MAX_MESSAGES:
        raise malformed(f"more than {MAX_MESSAGES} messages")
    for index, item in enumerate(messages):
        if not isinstance(item, dict):
            raise malformed(f"messages[{index}] must be an object")
        if not isinstance(item.get("role"), str):
            raise malformed(f"messages[{index}].role must be a string")
        if not isinstance(item.get("content"), str | list | None):
            raise malformed(
                f"messages[{index}].content must be a string or a list"
            )


def _check_prompt(prompt: object) -> None:
    is_tokens = isinstance(prompt, list) and all(
        type(token) is int for token in prompt
    )
    if not prompt or not (isinstance(prompt, str) or is_tokens):
        raise malformed("prompt must be a string or a list of tokens")


def _check_depth(value: object, left: int) -> None:
    if left < 0:
        raise malformed(f"body is nested more than {MAX_DEPTH} levels deep")
    if isinstance(value, dict):
        for item in value.values():
            _check_depth(item, left - 1)
    elif isinstance(value, list):
        for item in value:
            _check_depth(item, left - 1)


def _object_of(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    result = dict(pairs)
    if len(result) != len(pairs):
        # Readers differ in which of two equal keys they use.
        raise ValueError("a key appears twice in one object")
    return result


def _refuse(constant: str) -> None:
    raise ValueError(f"{constant} is not JSON")
