"""Client of the administration API."""

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

SAFE_ATTEMPTS = 3
RETRY_DELAY_S = 1.0
# CONFIGURATION_OUTCOME_UNKNOWN and CONFIGURATION_UNAVAILABLE: a change with
# the same identifier takes effect at most once, so it may be sent again.
RETRIED_NUMBERS = (4004, 4005)

_EXIT = exit_codes.ExitCode


class AdministrationClient:
    """Sender of requests about one tenant."""

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
        """Read a path below the tenant; raise ConsoleError."""
        if query:
            path += "?" + urllib.parse.urlencode(query)
        return self._repeat("GET", path, None)

    def post(self, path: str, body: dict[str, object]) -> dict[str, Any]:
        """Send a body, again if no answer came; raise ConsoleError.

        Configuration changes carry a change identifier and the other writes
        set a state, so a repeated one has no second effect.
        """
        return self._repeat("POST", path, body)

    def _repeat(
        self, method: str, path: str, body: dict[str, object] | None
    ) -> dict[str, Any]:
        for attempt in range(1, SAFE_ATTEMPTS + 1):
            try:
                return self._call(method, path, body)
            except exceptions.ConsoleError as error:
                number = _number(error)
                is_lost = error.exit_code is _EXIT.NOT_REACHABLE
                if attempt == SAFE_ATTEMPTS or not (
                    is_lost or number in RETRIED_NUMBERS
                ):
                    raise
            self._sleep(RETRY_DELAY_S)
        raise AssertionError("the last attempt raises")

    def _call(
        self, method: str, path: str, body: dict[str, object] | None
    ) -> dict[str, Any]:
        settings = self._settings
        for name in ("address", "key", "tenant"):
            if not getattr(settings, name):
                raise exceptions.ConsoleError(
                    _EXIT.USAGE,
                    f"no {name}: give --{name}, set"
                    f" BALSAMWALL_{name.upper()} or write it into the"
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
            ) as answer:
                status, content = answer.status, answer.read()
        except ConnectionError as error:
            raise exceptions.ConsoleError(
                _EXIT.NOT_REACHABLE, f"not reachable: {error}"
            ) from error
        return _checked(status, content)


def _checked(status: int, content: bytes) -> dict[str, Any]:
    try:
        body = json.loads(content)
    except ValueError as error:
        raise exceptions.ConsoleError(
            _EXIT.FAILED, f"HTTP {status} without a JSON body"
        ) from error
    if type(body) is not dict:
        raise exceptions.ConsoleError(
            _EXIT.FAILED, f"HTTP {status} without a JSON object"
        )
    if status >= 400:
        raise exceptions.ConsoleError(
            exit_codes.from_status(status), describe(status, body), body
        )
    return body


def describe(status: int, body: dict[str, Any]) -> str:
    """Return the text of an error body."""
    error = body.get("error")
    if type(error) is not dict:
        return f"HTTP {status}"
    if error.get("problems"):
        return "\n".join(_problem(problem) for problem in error["problems"])
    code = str(error.get("code", "")).upper()
    return f"{error.get('number')} {code}: {error.get('message')}"


def _problem(problem: dict[str, Any]) -> str:
    place = f"{problem['file']}: [{problem['section']}]"
    if problem["key"]:
        place += f" {problem['key']}"
    return (
        f"{problem['number']} {place}: found {problem['found']},"
        f" allowed: {problem['allowed']}"
    )


def _number(error: exceptions.ConsoleError) -> object:
    inner = error.body.get("error")
    return inner.get("number") if type(inner) is dict else None
