"""Validation of the bodies of model requests."""

from __future__ import annotations

import json
from typing import Any

from balsamwall.results import exceptions
from balsamwall.results import result_code

MAX_DEPTH = 32
MAX_MESSAGES = 4_096
# Memory is reserved for one completion per request; other values would
# multiply its use.
_SINGLE_CHOICE_KEYS = ("n", "best_of")
_LIMIT_KEYS = ("max_completion_tokens", "max_tokens")


def parse(body: bytes) -> dict[str, Any]:
    """Parse a JSON object.

    Raise BalsamwallError (MALFORMED_REQUEST) for other JSON values, duplicate
    keys, NaN and infinities, or nesting beyond MAX_DEPTH.
    """
    try:
        document = json.loads(
            body,
            object_pairs_hook=_unique_keys_object,
            parse_constant=_reject_constant,
        )
    except (ValueError, RecursionError) as error:
        raise malformed(f"body is not JSON: {error}") from error
    if not isinstance(document, dict):
        raise malformed("body is not a JSON object")
    _check_depth(document, MAX_DEPTH)
    return document


def check(document: dict[str, Any], is_chat: bool) -> None:
    """Check the fields that balsamwall reads.

    Raise BalsamwallError (MALFORMED_REQUEST) at the first invalid field.
    """
    model = document.get("model")
    if not isinstance(model, str) or not 0 < len(model) <= 256:
        raise malformed("model must be a name of 1 to 256 characters")
    if is_chat:
        _check_messages(document.get("messages"))
    else:
        _check_prompt(document.get("prompt"))
    if not isinstance(document.get("stream", False), bool | None):
        raise malformed("stream must be true or false")
    for key in _SINGLE_CHOICE_KEYS:
        value = document.get(key)
        if value is not None and (type(value) is not int or value != 1):
            raise malformed(f"{key} must be 1")
    for key in _LIMIT_KEYS:
        value = document.get(key)
        if value is not None and (type(value) is not int or value < 1):
            raise malformed(f"{key} must be a positive integer")


def output_limit(document: dict[str, Any], highest: int) -> int:
    """Return the limit of output tokens, at most `highest`.

    A document without a limit gets max_tokens. Raise BalsamwallError if the
    document requests more than `highest`.
    """
    requested = [document[key] for key in _LIMIT_KEYS if document.get(key)]
    limit: int = min(requested, default=highest)
    if limit > highest:
        raise malformed(
            f"more output tokens requested than {highest},"
            " the limit of the workspace"
        )
    if not requested:
        # The engine must not generate more tokens than memory is reserved for.
        document["max_tokens"] = limit
    return limit


def malformed(message: str) -> exceptions.BalsamwallError:
    """Return the error for an invalid request body."""
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


def _check_depth(value: object, remaining_depth: int) -> None:
    if remaining_depth < 0:
        raise malformed(f"body is nested more than {MAX_DEPTH} levels deep")
    if isinstance(value, dict):
        for item in value.values():
            _check_depth(item, remaining_depth - 1)
    elif isinstance(value, list):
        for item in value:
            _check_depth(item, remaining_depth - 1)


def _unique_keys_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    result = dict(pairs)
    if len(result) != len(pairs):
        # JSON parsers differ in which of two duplicate keys they use.
        raise ValueError("an object has a duplicate key")
    return result


def _reject_constant(constant: str) -> None:
    raise ValueError(f"{constant} is not a JSON value")
