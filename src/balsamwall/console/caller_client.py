"""Client of the callers' API."""

from __future__ import annotations

import json
import sys
from typing import Any
from typing import TYPE_CHECKING
import urllib.parse

from balsamwall.console import administration_client
from balsamwall.console import event_stream
from balsamwall.console import exceptions
from balsamwall.console import exit_codes

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from balsamwall.console import http_transport
    from balsamwall.console import session as console_session

_EXIT = exit_codes.ExitCode


class CallerClient:
    """Sender of requests with a workspace's API key."""

    __slots__ = ("_session",)

    def __init__(self, session: console_session.Session) -> None:
        self._session = session

    def chat(
        self,
        model: str,
        prompt: str,
        max_tokens: int,
        headers: Mapping[str, str],
        on_text: Callable[[str], None],
    ) -> str:
        """Send a prompt; pass on the text as it comes and return it all.

        Raise ConsoleError unless the final marker arrives.
        """
        body: dict[str, object] = {
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "stream": True,
        }
        if max_tokens:
            body["max_tokens"] = max_tokens
        return self._send(
            "/v1/chat/completions",
            json.dumps(body).encode(),
            headers,
            lambda answer: _read_events(answer, on_text),
        )

    def call(
        self, service: str, path: str, data: bytes, headers: Mapping[str, str]
    ) -> str:
        """Call a service and return the body as text."""
        name = urllib.parse.quote(service, safe="")
        return self._send(
            f"/v1/services/{name}/{path.lstrip('/')}",
            data,
            headers,
            lambda answer: answer.read().decode("utf-8", "replace"),
        )

    def _send(
        self,
        path: str,
        data: bytes,
        headers: Mapping[str, str],
        read: Callable[[http_transport.HttpAnswer], str],
    ) -> str:
        settings = self._session.settings
        if not settings.caller_address or not settings.caller_key:
            raise exceptions.ConsoleError(
                _EXIT.USAGE,
                "no caller address or key: give --caller-address and"
                " --caller-key-file, or set them in the settings file",
            )
        full_headers = {
            "Authorization": f"Bearer {settings.caller_key}",
            "Content-Type": "application/json",
            **headers,
        }
        try:
            with self._session.transport(
                "POST",
                settings.caller_address.rstrip("/") + path,
                full_headers,
                data,
                settings.timeout_s,
            ) as answer:
                if answer.status >= 400:
                    raise _failure(answer)
                return read(answer)
        except ConnectionError as error:
            raise exceptions.ConsoleError(
                _EXIT.NOT_REACHABLE, str(error)
            ) from error


def _read_events(
    answer: http_transport.HttpAnswer, on_text: Callable[[str], None]
) -> str:
    parts: list[str] = []
    for event in event_stream.read(answer.lines):
        if event.data == event_stream.DONE:
            return "".join(parts)
        try:
            body = json.loads(event.data)
        except ValueError:
            continue
        if event.name == "error" or "error" in body:
            raise exceptions.ConsoleError(
                _EXIT.FAILED, _describe(answer.status, body), body
            )
        text = _text_of(body)
        if text:
            parts.append(text)
            on_text(text)
    raise exceptions.ConsoleError(
        _EXIT.FAILED, "3002 ANSWER_INTERRUPTED: no final marker arrived"
    )


def _text_of(body: Any) -> str:
    try:
        return str(body["choices"][0]["delta"].get("content") or "")
    except (AttributeError, IndexError, KeyError, TypeError):
        return ""


def _failure(
    answer: http_transport.HttpAnswer,
) -> exceptions.ConsoleError:
    content = answer.read()
    try:
        body = json.loads(content)
    except ValueError:
        body = {}
    if type(body) is not dict:
        body = {}
    exit_code = exit_codes.from_status(answer.status)
    text = _describe(answer.status, body)
    wait_s = answer.headers.get("retry-after")
    if wait_s:
        text += f" (retry after {wait_s} s)"
    return exceptions.ConsoleError(exit_code, text, body or None)


def _describe(status: int, body: dict[str, Any]) -> str:
    text = administration_client.describe(status, body)
    error = body.get("error")
    if type(error) is dict and error.get("ran"):
        text += f"; ran: {error['ran']}, send again: {error.get('repeat')}"
    return text


def caller_headers(request_class: str, deadline_ms: int) -> dict[str, str]:
    """Return the headers of the class and the deadline."""
    headers: dict[str, str] = {}
    if request_class:
        headers["X-Balsamwall-Class"] = request_class
    if deadline_ms:
        headers["X-Balsamwall-Deadline-Ms"] = str(deadline_ms)
    return headers


def print_text(text: str) -> None:
    """Print a part of an answer as it arrives."""
    sys.stdout.write(text)
    sys.stdout.flush()
