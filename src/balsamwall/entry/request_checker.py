"""Validation of callers' requests."""

from __future__ import annotations

import dataclasses
import hashlib
import json
from typing import Any
from typing import TYPE_CHECKING
import uuid

from balsamwall.backend import prefix_hash
from balsamwall.dispatch import caller_request
from balsamwall.entry import body_schema
from balsamwall.entry import idempotency_keys
from balsamwall.entry import prompt
from balsamwall.idempotency import scoped_key
from balsamwall.results import exceptions
from balsamwall.results import result_code

if TYPE_CHECKING:
    import random

    from balsamwall.configuration import tenant_configuration
    from balsamwall.timing import clock

CLASS_HEADER = "x-balsamwall-class"
DEADLINE_HEADER = "x-balsamwall-deadline-ms"
REPEATABLE_HEADER = "x-balsamwall-repeatable"
KEY_HEADER = "idempotency-key"
MAX_DEADLINE_MS = 24 * 3_600 * 1_000
MAX_PATH_LENGTH = 1_024

_FORWARDED_HEADERS = ("content-type", "accept", "accept-language")
# These do not affect the output of the model, so a retry that differs only
# in them has the same fingerprint.
_NOT_IN_FINGERPRINT = ("stream", "stream_options", "user", "metadata")


@dataclasses.dataclass(slots=True, frozen=True)
class RawRequest:
    """Request as received, with header names in lower case.

    The path includes the query string.
    """

    path: str
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class _Parameters:
    """Values of the request headers; deadlines are times of the clock."""

    is_urgent: bool
    deadline_ms: int
    first_token_deadline_ms: int
    idempotency_key: str


class RequestChecker:
    """Validator that turns received requests into CallerRequests."""

    __slots__ = ("_clock", "_key_source", "_random")

    def __init__(
        self,
        clock: clock.Clock,
        random: random.Random,
        key_source: idempotency_keys.KeySource,
    ) -> None:
        self._clock = clock
        self._random = random
        self._key_source = key_source

    def check_model(
        self,
        raw: RawRequest,
        configuration: tenant_configuration.TenantConfiguration,
        workspace: tenant_configuration.WorkspaceSpec,
    ) -> caller_request.CallerRequest:
        """Validate a model request; raise BalsamwallError if invalid.

        A model request must not have an idempotency key.
        """
        parameters = self._parameters(raw, workspace)
        if parameters.idempotency_key:
            raise _error(
                "INVALID_IDEMPOTENCY_KEY",
                "model requests take no Idempotency-Key",
            )
        document = body_schema.parse(raw.body)
        body_schema.check(document, raw.path.endswith("/chat/completions"))
        target = document["model"]
        if target not in workspace.models + workspace.adapters:
            raise _error(
                "UNKNOWN_MODEL",
                f"workspace {workspace.name} has no model {target!r}",
            )
        base = configuration.base_of(target)
        spec = configuration.models.get(base)
        if spec is None:
            raise _error("UNKNOWN_MODEL", f"no base model for {target!r}")
        output = body_schema.output_limit(
            document, min(workspace.max_output_tokens, spec.max_context_tokens)
        )
        tokens = prompt.estimate_tokens(document)
        if tokens + output > spec.max_context_tokens:
            raise _error(
                "PROMPT_TOO_LONG",
                f"about {tokens} prompt tokens and {output} output tokens"
                f" exceed {spec.max_context_tokens}",
            )
        hashed = {
            key: value
            for key, value in document.items()
            if key not in _NOT_IN_FINGERPRINT
        }
        owner = (configuration.tenant, workspace.name, target, raw.path)
        return caller_request.CallerRequest(
            request_id=self._new_id(),
            tenant=configuration.tenant,
            workspace=workspace.name,
            kind="model",
            target=target,
            base=base,
            path=raw.path,
            headers={"content-type": "application/json"},
            body=_encode(document),
            is_urgent=parameters.is_urgent,
            is_repeatable=_is_repeatable(raw.headers),
            is_streamed=document.get("stream") is True,
            deadline_ms=parameters.deadline_ms,
            first_token_deadline_ms=parameters.first_token_deadline_ms,
            prompt_tokens=tokens,
            max_output_tokens=output,
            idempotency_key="",
            fingerprint=_fingerprint(owner, _encode(hashed)),
            prefix_hashes=prefix_hash.prefix_hashes(
                target, prefix_hash.prompt_text(document)
            ),
        )

    def check_service(
        self,
        raw: RawRequest,
        name: str,
        configuration: tenant_configuration.TenantConfiguration,
        workspace: tenant_configuration.WorkspaceSpec,
    ) -> caller_request.CallerRequest:
        """Validate a service request; raise BalsamwallError if invalid.

        A request that is not repeatable and has no idempotency key gets a new
        one.
        """
        spec = configuration.services.get(name)
        if spec is None or name not in workspace.services:
            raise _error(
                "UNKNOWN_SERVICE",
                f"workspace {workspace.name} has no service {name!r}",
            )
        _check_path(raw.path)
        parameters = self._parameters(raw, workspace)
        is_repeatable = (
            spec.is_repeatable
            or raw.path.partition("?")[0] in spec.repeatable_paths
        )
        key = parameters.idempotency_key
        if not key and not is_repeatable:
            key = self._key_source.new_key(
                configuration.tenant, workspace.name, name
            )
        now_ms = self._clock.now_ms()
        deadline_ms = min(parameters.deadline_ms, now_ms + spec.timeout_ms)
        owner = (configuration.tenant, workspace.name, name, raw.path)
        return caller_request.CallerRequest(
            request_id=self._new_id(),
            tenant=configuration.tenant,
            workspace=workspace.name,
            kind="service",
            target=name,
            base=name,
            path=raw.path,
            headers={
                header: raw.headers[header]
                for header in _FORWARDED_HEADERS
                if header in raw.headers
            },
            body=raw.body,
            is_urgent=parameters.is_urgent,
            is_repeatable=is_repeatable,
            is_streamed=False,
            deadline_ms=deadline_ms,
            first_token_deadline_ms=deadline_ms,
            prompt_tokens=0,
            max_output_tokens=0,
            idempotency_key=scoped_key.scope(workspace.name, key)
            if key
            else "",
            fingerprint=_fingerprint(owner, raw.body),
        )

    def _parameters(
        self,
        raw: RawRequest,
        workspace: tenant_configuration.WorkspaceSpec,
    ) -> _Parameters:
        is_urgent = workspace.is_urgent_by_default
        value = raw.headers.get(CLASS_HEADER)
        if value is not None:
            if value not in ("urgent", "deferrable"):
                raise _header_error(
                    CLASS_HEADER, value, "urgent or deferrable"
                )
            is_urgent = value == "urgent"
        remaining_ms = (
            workspace.urgent_deadline_ms
            if is_urgent
            else workspace.deferrable_deadline_ms
        )
        text = raw.headers.get(DEADLINE_HEADER)
        if text is not None:
            is_number = text.isascii() and text.isdigit() and len(text) < 10
            if not is_number or not 1 <= int(text) <= MAX_DEADLINE_MS:
                allowed = f"1 to {MAX_DEADLINE_MS}"
                raise _header_error(DEADLINE_HEADER, text, allowed)
            remaining_ms = int(text)
        now_ms = self._clock.now_ms()
        deadline_ms = now_ms + remaining_ms
        first_ms = deadline_ms
        if is_urgent:
            first_ms = min(deadline_ms, now_ms + workspace.first_token_ms)
        key = raw.headers.get(KEY_HEADER, "")
        if KEY_HEADER in raw.headers:
            _check_key(key, workspace.are_opaque_keys_allowed)
        return _Parameters(is_urgent, deadline_ms, first_ms, key)

    def _new_id(self) -> str:
        return uuid.UUID(int=self._random.getrandbits(128), version=4).hex


def _error(name: str, message: str) -> exceptions.BalsamwallError:
    return exceptions.BalsamwallError(result_code.ResultCode[name], message)


def _header_error(
    header: str, found: str, allowed: str
) -> exceptions.BalsamwallError:
    return _error(
        "INVALID_HEADER",
        f"header {header}: found {found[:64]!r}, allowed: {allowed}",
    )


def _check_key(key: str, is_opaque_allowed: bool) -> None:
    if not idempotency_keys.is_usable(key):
        raise _error(
            "INVALID_IDEMPOTENCY_KEY",
            "Idempotency-Key must be 1 to 128 printable ASCII characters",
        )
    if not is_opaque_allowed and not idempotency_keys.is_uuid7(key):
        raise _error(
            "INVALID_IDEMPOTENCY_KEY",
            "the workspace accepts only UUIDv7 as Idempotency-Key",
        )


def _check_path(path: str) -> None:
    is_length_valid = 0 < len(path) <= MAX_PATH_LENGTH
    plain = path.partition("?")[0].lower()
    # An encoded dot or slash could make a non-repeatable path look like a
    # repeatable one.
    is_encoded = "%2e" in plain or "%2f" in plain or "%5c" in plain
    has_dots = bool({".", ".."} & set(plain.split("/")))
    if not is_length_valid or not path.isascii() or is_encoded or has_dots:
        raise _error(
            "UNKNOWN_PATH",
            "service path has a bad length, non-ASCII characters,"
            " dot segments, or encoded dots or slashes",
        )


def _is_repeatable(headers: dict[str, str]) -> bool:
    value = headers.get(REPEATABLE_HEADER, "yes")
    if value not in ("yes", "no"):
        raise _header_error(REPEATABLE_HEADER, value, "yes or no")
    return value == "yes"


def _encode(document: dict[str, Any]) -> bytes:
    return json.dumps(document, sort_keys=True, separators=(",", ":")).encode()


def _fingerprint(owner: tuple[str, ...], body: bytes) -> bytes:
    digest = hashlib.blake2b(digest_size=16)
    for part in owner:
        digest.update(part.encode() + b"\x00")
    digest.update(body)
    return digest.digest()
