"""Client of the administration API, with retries."""

from __future__ import annotations

import json
import time
from typing import Any
from typing import TYPE_CHECKING
import urllib.parse

from balsamwall.console import exceptions
from balsamwall.console import exit_codes

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.console import console_settings
    from balsamwall.console import http_transport

MAX_ATTEMPTS = 3
RETRY_DELAY_S = 1.0
# CONFIGURATION_OUTCOME_UNKNOWN and CONFIGURATION_UNAVAILABLE. A retry is safe,
# because a change identifier takes effect at most once.
RETRYABLE_NUMBERS = (4004, 4005)

_EXIT = exit_codes.ExitCode


class AdministrationClient:
    """Client for the resources of one tenant."""

    __slots__ = ("_settings", "_sleep", "_transport")

    def __init__(
        self,
        settings: console_settings.ConsoleSettings,
        transport: http_transport.Transport,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._settings = settings
        self._transport = transport
        self._sleep = sleep

    def get(self, path: str, **query: str) -> dict[str, Any]:
        """Get a path relative to the tenant; raise ConsoleError."""
        if query:
            path += "?" + urllib.parse.urlencode(query)
        return self._call_with_retries("GET", path, None)

    def post(self, path: str, body: dict[str, object]) -> dict[str, Any]:
        """Post a body; raise ConsoleError.

        Retries are safe, because configuration changes carry a change
        identifier and the other writes set a state.
        """
        return self._call_with_retries("POST", path, body)

    def _call_with_retries(
        self, method: str, path: str, body: dict[str, object] | None
    ) -> dict[str, Any]:
        for attempt in range(1, MAX_ATTEMPTS + 1):
            try:
                return self._call(method, path, body)
            except exceptions.ConsoleError as error:
                number = _error_number(error)
                is_unreachable = error.exit_code is _EXIT.NOT_REACHABLE
                if attempt == MAX_ATTEMPTS or not (
                    is_unreachable or number in RETRYABLE_NUMBERS
                ):
                    raise
            self._sleep(RETRY_DELAY_S)
        raise AssertionError("unreachable: the last attempt returns or raises")

    def _call(
        self, method: str, path: str, body: dict[str, object] | None
    ) -> dict[str, Any]:
        settings = self._settings
        for name in ("address", "key", "tenant"):
            if not getattr(settings, name):
                raise exceptions.ConsoleError(
                    _EXIT.USAGE,
                    f"no {name}: pass --{name}, set"
                    f" BALSAMWALL_{name.upper()} or add it to the"
                    " settings file",
                )
        tenant = urllib.parse.quote(settings.tenant, safe="")
        base = settings.address.rstrip("/")
        headers = {
            "Authorization": f"Bearer {settings.key}",
            "Accept": "application/json",
        }
        data = b""
        if body is not None:
            data = json.dumps(body).encode()
            headers["Content-Type"] = "application/json"
        try:
            with self._transport(
                method,
                f"{base}/v1/tenants/{tenant}/{path}",
                headers,
                data,
                settings.timeout_s,
            ) as response:
                status, content = response.status, response.read()
        except ConnectionError as error:
            raise exceptions.ConsoleError(
                _EXIT.NOT_REACHABLE, f"cannot reach the server: {error}"
            ) from error
        return _parse_response(status, content)


def _parse_response(status: int, content: bytes) -> dict[str, Any]:
    try:
        body = json.loads(content)
    except ValueError as error:
        raise exceptions.ConsoleError(
            _EXIT.FAILED, f"HTTP {status}: response body is not JSON"
        ) from error
    if type(body) is not dict:
        raise exceptions.ConsoleError(
            _EXIT.FAILED, f"HTTP {status}: response body is not a JSON object"
        )
    if status >= 400:
        raise exceptions.ConsoleError(
            exit_codes.from_status(status), format_error(status, body), body
        )
    return body


def format_error(status: int, body: dict[str, Any]) -> str:
    """Return an error body as text, with one line per problem."""
    error = body.get("error")
    if type(error) is not dict:
        return f"HTTP {status}"
    if error.get("problems"):
        return "\n".join(
            _format_problem(problem) for problem in error["problems"]
        )
    code = str(error.get("code", "")).upper()
    return f"{error.get('number')} {code}: {error.get('message')}"


def _format_problem(problem: dict[str, Any]) -> str:
    location = f"{problem['file']}: [{problem['section']}]"
    if problem["key"]:
        location += f" {problem['key']}"
    return (
        f"{problem['number']} {location}: found {problem['found']},"
        f" allowed: {problem['allowed']}"
    )


def _error_number(error: exceptions.ConsoleError) -> object:
    inner = error.body.get("error")
    return inner.get("number") if type(inner) is dict else None
