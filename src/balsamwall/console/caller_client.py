"""Client of the inference and service API."""

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
    """Client that authenticates with the API key of a workspace."""

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
        """Send a prompt and return the generated text.

        Call `on_text` with each part as it arrives. Raise ConsoleError if
        the stream ends without its final marker.
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
            lambda response: _read_events(response, on_text),
        )

    def call(
        self, service: str, path: str, data: bytes, headers: Mapping[str, str]
    ) -> str:
        """Call a service and return the response body as text.

        Bytes that are not UTF-8 are replaced. Raise ConsoleError.
        """
        name = urllib.parse.quote(service, safe="")
        return self._send(
            f"/v1/services/{name}/{path.lstrip('/')}",
            data,
            headers,
            lambda response: response.read().decode("utf-8", "replace"),
        )

    def _send(
        self,
        path: str,
        data: bytes,
        headers: Mapping[str, str],
        read: Callable[[http_transport.HttpResponse], str],
    ) -> str:
        settings = self._session.settings
        if not settings.caller_address or not settings.caller_key:
            raise exceptions.ConsoleError(
                _EXIT.USAGE,
                "no caller address or key: pass --caller-address and"
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
            ) as response:
                if response.status >= 400:
                    raise _response_error(response)
                return read(response)
        except ConnectionError as error:
            raise exceptions.ConsoleError(
                _EXIT.NOT_REACHABLE, str(error)
            ) from error


def _read_events(
    response: http_transport.HttpResponse, on_text: Callable[[str], None]
) -> str:
    parts: list[str] = []
    for event in event_stream.read(response.lines):
        if event.data == event_stream.DONE:
            return "".join(parts)
        try:
            body = json.loads(event.data)
        except ValueError:
            continue
        if event.name == "error" or "error" in body:
            raise exceptions.ConsoleError(
                _EXIT.FAILED, _format_error(response.status, body), body
            )
        text = _delta_text(body)
        if text:
            parts.append(text)
            on_text(text)
    raise exceptions.ConsoleError(
        _EXIT.FAILED,
        "3002 ANSWER_INTERRUPTED: stream ended without a final marker",
    )


def _delta_text(body: Any) -> str:
    try:
        return str(body["choices"][0]["delta"].get("content") or "")
    except (AttributeError, IndexError, KeyError, TypeError):
        return ""


def _response_error(
    response: http_transport.HttpResponse,
) -> exceptions.ConsoleError:
    content = response.read()
    try:
        body = json.loads(content)
    except ValueError:
        body = {}
    if type(body) is not dict:
        body = {}
    exit_code = exit_codes.from_status(response.status)
    text = _format_error(response.status, body)
    wait_s = response.headers.get("retry-after")
    if wait_s:
        text += f" (retry after {wait_s} s)"
    return exceptions.ConsoleError(exit_code, text, body or None)


def _format_error(status: int, body: dict[str, Any]) -> str:
    text = administration_client.format_error(status, body)
    error = body.get("error")
    if type(error) is dict and error.get("ran"):
        text += f"; ran: {error['ran']}, send again: {error.get('repeat')}"
    return text


def caller_headers(request_class: str, deadline_ms: int) -> dict[str, str]:
    """Return the request headers; an empty class or 0 ms sets none."""
    headers: dict[str, str] = {}
    if request_class:
        headers["X-Balsamwall-Class"] = request_class
    if deadline_ms:
        headers["X-Balsamwall-Deadline-Ms"] = str(deadline_ms)
    return headers


def print_text(text: str) -> None:
    """Write a part of the generated text to standard output at once."""
    sys.stdout.write(text)
    sys.stdout.flush()
