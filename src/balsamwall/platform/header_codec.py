"""Header fields of requests and responses on the platform."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from balsamwall.gateway import http_fields
from balsamwall.gateway import incoming_request

if TYPE_CHECKING:
    from balsamwall.gateway import backend_directory
    from balsamwall.gateway import caller_exchange

REQUEST_ID = b"balsamwall-request-id"
DEADLINE = b"balsamwall-deadline-ms"
MODEL = b"balsamwall-model"
TOKEN_USAGE = b"balsamwall-token-usage"
PROMPT_PREFIX = b"balsamwall-prompt-prefix"
EXPECT_SERVER = b"balsamwall-expect-instance"
PRIORITY = b"balsamwall-request-priority"
LAST_EVENT_ID = b"last-event-id"
RESUMES = b"resumes"
SIGNATURE = b"balsamwall-response-signature"
NOT_EXECUTED = b"balsamwall-not-executed"
SERVER_LOAD = b"balsamwall-server-load"
SERVER_LIMIT = b"server-limit"
SERVER_LEAVING = b"server-leaving"
RETRY_AFTER = b"retry-after"
CONTENT_ENCODING = b"content-encoding"
AUTHORIZATION = b"authorization"
WORKSPACE = b"balsamwall-tenant"

# Fields reserved for the system; they are removed from requests of callers.
_SYSTEM_FIELDS = frozenset(
    (
        EXPECT_SERVER,
        PRIORITY,
        WORKSPACE,
        b"balsamwall-expect-version",
        b"balsamwall-hold",
        b"balsamwall-pin-ms",
        b"balsamwall-kv-backup",
        b"kv-from",
        b"kv-fetch",
    )
)
# Fields that are replaced for each attempt.
_REPLACED_FIELDS = frozenset((DEADLINE, LAST_EVENT_ID))
# Fields that are forwarded even if a Connection field names them.
_ALWAYS_FORWARDED_FIELDS = frozenset(
    (b"host", REQUEST_ID, MODEL, TOKEN_USAGE, PROMPT_PREFIX)
)
# Percentages of the usual work time above this count as this.
MAX_WORK_TIME_PERCENT = 10_000
# A longer deadline of a request is reduced to one day.
MAX_DEADLINE_MS = 86_400_000
# A longer back-off of a server is reduced to this. One faulty header must not
# take a server out for good.
MAX_BACKOFF_MS = 600_000
# Characters of a header field that are logged.
MAX_LOGGED_CHARACTERS = 40


class HeaderCodec:
    """Translate between header fields and typed values."""

    __slots__ = ()

    @property
    def echo_field(self) -> bytes:
        """Return the field in which a response echoes the attempt ID."""
        return REQUEST_ID

    def decode(
        self, head: caller_exchange.RequestHead
    ) -> incoming_request.IncomingRequest:
        """Decode the fields of a request; invalid numbers count as absent."""
        fields = dict(head.fields)
        host = fields.get(b"host", b"").decode("latin-1")
        name, _, adapter = (
            fields.get(MODEL, b"").decode("latin-1").partition("/")
        )
        usage = [
            _parse_integer(part)
            for part in fields.get(TOKEN_USAGE, b"").split(b",")
        ]
        shared_rows, own_row = _split_prompt(fields.get(PROMPT_PREFIX, b""))
        return incoming_request.IncomingRequest(
            attempt_id=fields.get(REQUEST_ID, b""),
            host=host.rsplit(":", 1)[0] if ":" in host else host,
            deadline_ms=_parse_integer(
                fields.get(DEADLINE, b""), MAX_DEADLINE_MS
            ),
            model=name,
            adapter=adapter,
            prompt_tokens=usage[0] or 0,
            max_output_tokens=(usage[1] or 0) if len(usage) > 1 else 0,
            shared_parts=tuple(_parse_part(row) for row in shared_rows),
            own_part_id=_parse_part(own_row).part_id,
            resumes_after=fields.get(LAST_EVENT_ID),
            resumed_attempt_id=_resumed_attempt(head.fields),
            has_token_usage=len(usage) > 1 and None not in usage[:2],
            api_key=_bearer_key(head.fields),
        )

    def forwarded_fields(
        self, head: caller_exchange.RequestHead, has_workspaces: bool
    ) -> http_fields.Fields:
        """Return the request fields that are forwarded to backend servers.

        With workspaces, Authorization has a key, which only the entry reads.
        """
        return [
            field
            for field in http_fields.end_to_end(
                head.fields, _ALWAYS_FORWARDED_FIELDS
            )
            # Servers with a CGI-like interface read "_" in a name as "-".
            if field[0].replace(b"_", b"-") not in _SYSTEM_FIELDS
            and field[0] not in _REPLACED_FIELDS
            and not (has_workspaces and field[0] == AUTHORIZATION)
        ]

    def attempt_fields(
        self,
        record: backend_directory.ServerRecord,
        remaining_ms: int,
        priority: int | None,
        last_event_id: bytes | None,
        workspace: str = "",
    ) -> http_fields.Fields:
        """Return the fields that the system adds to one attempt."""
        fields = [
            (DEADLINE, str(remaining_ms).encode()),
            (EXPECT_SERVER, record.server_id.encode()),
        ]
        if priority is not None:
            fields.append((PRIORITY, str(priority).encode()))
        if last_event_id is not None:
            fields.append((LAST_EVENT_ID, last_event_id))
        if workspace:
            fields.append((WORKSPACE, workspace.encode()))
        return fields

    def decode_response(
        self, fields: http_fields.Fields, attempt_id: bytes
    ) -> incoming_request.ResponseHead:
        """Decode the fields of a response to an attempt.

        With two identifiers or two signatures it is not known whose response
        it is.
        """
        found = dict(fields)
        echoed_id = http_fields.agreed_value(fields, REQUEST_ID)
        load = found.get(SERVER_LOAD, b"").split(b",")
        return incoming_request.ResponseHead(
            is_signed=bool(http_fields.agreed_value(fields, SIGNATURE)),
            is_echoed=echoed_id == attempt_id,
            has_certificate=NOT_EXECUTED in found,
            is_encoded=CONTENT_ENCODING in found,
            running=_parse_integer(load[0]),
            waiting=_parse_integer(load[1]) if len(load) > 1 else None,
            limit_per_s=decode_limit(http_fields.values(fields, SERVER_LIMIT)),
            work_time_percent=(
                _parse_percent(load[3]) if len(load) > 3 else None
            ),
            is_leaving=announces_leaving(
                http_fields.values(fields, SERVER_LEAVING)
            ),
            retry_after=decode_retry_after(
                http_fields.values(fields, RETRY_AFTER)
            ),
        )

    def response_fields(
        self, fields: http_fields.Fields
    ) -> http_fields.Fields:
        """Return the response fields that are forwarded to the caller.

        A certificate is not one of them: what is forwarded counts as run.
        """
        return [
            field
            for field in http_fields.end_to_end(fields, frozenset())
            if field[0] != NOT_EXECUTED
        ]


def _resumed_attempt(fields: http_fields.Fields) -> bytes:
    """Return the attempt that began the resumed stream, if only one is named.

    With two of them it is not known which one the caller holds.
    """
    if http_fields.is_repeated(fields, RESUMES):
        return b""
    return http_fields.value(fields, RESUMES) or b""


def _bearer_key(fields: http_fields.Fields) -> bytes:
    """Return the key of the only Authorization field, else an empty value.

    A repeated field is no key: another system might read the other one.
    """
    if http_fields.is_repeated(fields, AUTHORIZATION):
        return b""
    content = http_fields.value(fields, AUTHORIZATION) or b""
    scheme, _, key = content.strip().partition(b" ")
    return key.strip() if scheme.lower() == b"bearer" else b""


def decode_limit(values: list[bytes]) -> float | None:
    """Return the announced request rate, or None without a valid one.

    The lowest of several values counts. A value that is not a finite decimal
    number of at least 0 is ignored.
    """
    return min(
        (rate for rate in map(_parse_decimal, values) if rate is not None),
        default=None,
    )


def announces_leaving(values: list[bytes]) -> bool:
    """Return whether one of the values announces that a server leaves.

    Other values than 1 are ignored.
    """
    return any(value.strip() == b"1" for value in values)


def decode_retry_after(
    values: list[bytes],
) -> incoming_request.RetryAfter | None:
    """Return the back-off of a server, None without the header field.

    The longest of several values counts. A value that is not a finite decimal
    number of seconds of at least 0 is ignored, as is a date.
    """
    if not values:
        return None
    seconds = [found for found in map(_parse_decimal, values) if found]
    delay_ms = min(MAX_BACKOFF_MS, 1_000 * max(seconds, default=0.0))
    text = b", ".join(values).decode("latin-1")
    return incoming_request.RetryAfter(
        math.ceil(delay_ms), text[:MAX_LOGGED_CHARACTERS]
    )


def _parse_decimal(raw: bytes) -> float | None:
    """Return a finite decimal number of at least 0, or None."""
    try:
        number = float(raw.strip().decode("ascii"))
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None


def _parse_integer(raw: bytes, maximum: int = 10**9) -> int | None:
    """Return a non-negative integer capped at a maximum, or None."""
    text = raw.strip()
    if not text.isdigit() or len(text) > 12:
        return None
    return min(maximum, int(text))


def _parse_percent(raw: bytes) -> int | None:
    """Return a work time in percent, reduced to the maximum, or None."""
    text = raw.strip()
    if text.isdigit() and len(text) > 12:
        return MAX_WORK_TIME_PERCENT
    return _parse_integer(text, MAX_WORK_TIME_PERCENT)


def _split_prompt(raw: bytes) -> tuple[list[bytes], bytes]:
    """Return the rows of the shared prompt parts, and that of the last part.

    The last part is specific to a request or session.
    """
    *shared, own = raw.split(b",")
    return shared, own


def _parse_part(row: bytes) -> incoming_request.PromptPart:
    """Return a prompt part that is written as ID:TOKENS."""
    part_id, _, tokens = row.partition(b":")
    return incoming_request.PromptPart(
        part_id.strip().decode("latin-1"), _parse_integer(tokens) or 0
    )
