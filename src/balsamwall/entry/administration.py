"""Endpoint registry and dispatch of the administration API."""

from __future__ import annotations

import dataclasses
import json
from typing import Any
from typing import Protocol
from typing import TYPE_CHECKING

from balsamwall.entry import error_body
from balsamwall.entry import key_table
from balsamwall.results import exceptions
from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from balsamwall.entry import response_sink
    from balsamwall.settings import daemon_settings

READ = "read"
WRITE = "write"


@dataclasses.dataclass(slots=True, frozen=True)
class AdministrationCall:
    """Authorised call of an administration endpoint."""

    key_name: str
    tenant: str
    parameters: dict[str, str]  # path parameters by name
    query: dict[str, str]
    body: bytes

    def document(self) -> dict[str, Any]:
        """Parse the body as a JSON object.

        Raise BalsamwallError (MALFORMED_REQUEST) for anything else.
        """
        try:
            document = json.loads(self.body)
        except (ValueError, RecursionError) as error:
            raise exceptions.BalsamwallError(
                result_code.ResultCode.MALFORMED_REQUEST,
                f"body is not JSON: {error}",
            ) from error
        if not isinstance(document, dict):
            raise exceptions.BalsamwallError(
                result_code.ResultCode.MALFORMED_REQUEST,
                "body is not a JSON object",
            )
        return document


class Reply:
    """Response to one call, sent synchronously or later.

    Only the first response is sent; later ones are ignored.
    """

    __slots__ = ("_is_sent", "_sink")

    def __init__(self, sink: response_sink.ResponseSink) -> None:
        self._sink = sink
        self._is_sent = False

    def send(self, document: object, status: int = 200) -> None:
        """Send a JSON document."""
        body = json.dumps(document, sort_keys=True).encode()
        self._send(status, body, {})

    def fail(
        self,
        code: result_code.ResultCode,
        message: str,
        detail: dict[str, Any] | None = None,
    ) -> None:
        """Send an error; detail is merged into the error object."""
        document = json.loads(error_body.encode(code, message))
        document["error"].update(detail or {})
        headers = {}
        if code.repeat is result_code.RetryAdvice.LATER:
            headers["retry-after"] = "1"
        body = json.dumps(document).encode()
        self._send(code.http_status, body, headers)

    def _send(self, status: int, body: bytes, headers: dict[str, str]) -> None:
        if self._is_sent:
            return
        self._is_sent = True
        headers["content-type"] = "application/json"
        headers["content-length"] = str(len(body))
        self._sink.start(status, headers)
        self._sink.write(body)
        self._sink.finish()


@dataclasses.dataclass(slots=True, frozen=True)
class Endpoint:
    """Registered endpoint; {name} in the path matches one segment.

    `access` is READ or WRITE. A key with write access may also read.
    """

    method: str
    path: str
    access: str
    handle: Callable[[Any, AdministrationCall, Reply], None]


_ENDPOINTS: list[Endpoint] = []


def endpoint(
    method: str, path: str, access: str
) -> Callable[
    [Callable[[Any, AdministrationCall, Reply], None]],
    Callable[[Any, AdministrationCall, Reply], None],
]:
    """Register the decorated function for a method and path.

    The function receives the API context, the call and the reply. A path
    with {tenant} accepts only keys of that tenant and keys of all tenants.
    Raise ValueError if the endpoint is already registered.
    """

    def add(
        handle: Callable[[Any, AdministrationCall, Reply], None],
    ) -> Callable[[Any, AdministrationCall, Reply], None]:
        for known in _ENDPOINTS:
            if (known.method, known.path) == (method, path):
                raise ValueError(
                    f"endpoint {method} {path} is already registered"
                )
        _ENDPOINTS.append(Endpoint(method, path, access, handle))
        return handle

    return add


def endpoints() -> list[Endpoint]:
    """Return a copy of the list of registered endpoints."""
    return list(_ENDPOINTS)


class FallbackHandler(Protocol):
    """Handler of unregistered paths; it checks the scope of the key."""

    def __call__(
        self,
        key: daemon_settings.AdministrationKey,
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes,
        reply: Reply,
    ) -> None:
        """Send a reply, now or later; raise BalsamwallError if refused."""


class AdministrationApi:
    """Authorisation and routing of administration calls."""

    __slots__ = ("_context", "_fallback", "_keys", "_table")

    def __init__(
        self,
        context: object,
        keys: Iterable[daemon_settings.AdministrationKey],
        limiter: key_table.RejectionLimiter,
        fallback: FallbackHandler | None = None,
    ) -> None:
        self._context = context
        self._fallback = fallback
        self._keys = {key.name: key for key in keys}
        self._table = key_table.KeyTable(limiter)
        self._table.replace(
            (key.sha256, key.name) for key in self._keys.values()
        )

    def authenticate(
        self, authorization: str | None, address: str
    ) -> daemon_settings.AdministrationKey:
        """Return the key of a call.

        Raise BalsamwallError if the key is unknown or missing, or if too
        many keys from the address were rejected.
        """
        return self._keys[self._table.find(authorization, address)]

    def handle(
        self,
        key: daemon_settings.AdministrationKey,
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes,
        reply: Reply,
    ) -> None:
        """Run the endpoint of a path.

        Raise BalsamwallError if there is no such endpoint or if the key does
        not permit the call.
        """
        if self._fallback is not None and not _is_registered(path):
            self._fallback(key, method, path, query, body, reply)
            return
        found, parameters = _find(method, path)
        tenant = parameters.get("tenant", key.tenant)
        if key.tenant not in ("*", tenant):
            raise exceptions.BalsamwallError(
                result_code.ResultCode.FORBIDDEN,
                f"key {key.name} is not for this tenant",
            )
        if found.access == WRITE and key.access != WRITE:
            raise exceptions.BalsamwallError(
                result_code.ResultCode.FORBIDDEN,
                f"key {key.name} permits reading only",
            )
        call = AdministrationCall(key.name, tenant, parameters, query, body)
        found.handle(self._context, call, reply)


def _is_registered(path: str) -> bool:
    return any(_match(known.path, path) is not None for known in _ENDPOINTS)


def _find(method: str, path: str) -> tuple[Endpoint, dict[str, str]]:
    allowed = set()
    for known in _ENDPOINTS:
        parameters = _match(known.path, path)
        if parameters is None:
            continue
        if known.method == method:
            return known, parameters
        allowed.add(known.method)
    if allowed:
        raise exceptions.BalsamwallError(
            result_code.ResultCode.METHOD_NOT_ALLOWED,
            f"method {method[:16]!r}, allowed: {', '.join(sorted(allowed))}",
        )
    raise exceptions.BalsamwallError(
        result_code.ResultCode.UNKNOWN_PATH, f"no path {path[:128]!r}"
    )


def _match(pattern: str, path: str) -> dict[str, str] | None:
    expected, found = pattern.split("/"), path.split("/")
    if len(expected) != len(found):
        return None
    parameters = {}
    for part, value in zip(expected, found, strict=True):
        if part.startswith("{") and value:
            parameters[part[1:-1]] = value
        elif part != value:
            return None
    return parameters
