"""HTTP client for the control interface of the platform's workers."""

from __future__ import annotations

import json
from typing import Any
from typing import TYPE_CHECKING

import eliot

from balsamwall.coordination import engine_control
from balsamwall.gateway import incoming_request
from balsamwall.infrastructure import http_client
from balsamwall.platform import documents
from balsamwall.platform import header_codec
from balsamwall.platform import json_fields

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from balsamwall.gateway import backend_directory
    from balsamwall.gateway import server_backoff

REPORT_TIMEOUT_MS = 700
# A report names the models and adapters of one engine. An order has no body
# of use in its response.
MAX_REPORT_BYTES = 256 * 1024
MAX_ORDER_RESPONSE_BYTES = 16 * 1024
# Bodies of all unfinished reports and orders together.
MAX_UNFINISHED_BYTES = 8 * 1024 * 1024
# Header with the server for which a call is meant; another one responds with
# status 421.
EXPECT_SERVER = "Balsamwall-Expect-Instance"

_Outcome = engine_control.OrderOutcome
_OUTCOMES = {
    200: _Outcome.ALREADY_TRUE,
    202: _Outcome.ACCEPTED,
    400: _Outcome.REJECTED,
    409: _Outcome.CONFLICT,
    412: _Outcome.FENCED,
    421: _Outcome.WRONG_SERVER,
}


class EngineCalls:
    """Read reports of workers and send them orders, as the coordinator."""

    __slots__ = ("_backoff", "_holder", "_http")

    def __init__(self, http: http_client.HttpClient, holder: str) -> None:
        self._http = http
        self._holder = holder
        self._backoff: server_backoff.ServerBackoff | None = None

    def set_backoff(self, backoff: server_backoff.ServerBackoff) -> None:
        """Set what records the back-off that engines ask for."""
        self._backoff = backoff

    def read_report(
        self,
        record: backend_directory.ServerRecord,
        callback: Callable[[engine_control.EngineReport | None], None],
    ) -> None:
        """Request a report; the callback gets None if none is readable."""

        def on_answer(answer: http_client.HttpResponse) -> None:
            self._on_answer(record, answer)
            report = None
            if answer.status == 200:
                try:
                    report = decode_report(answer.body, answer.headers)
                except ValueError as error:
                    eliot.log_message(
                        "report_unreadable",
                        server=record.server_id,
                        reason=str(error)[:200],
                    )
            callback(report)

        self._http.call(
            "GET",
            f"http://{record.host}:{record.port}/report",
            {EXPECT_SERVER: record.server_id},
            b"",
            REPORT_TIMEOUT_MS,
            on_answer,
            max_bytes=MAX_REPORT_BYTES,
        )

    def send_order(
        self,
        record: backend_directory.ServerRecord,
        order: engine_control.Order,
        order_count: int,
        fencing_token: int,
        send_by_ms: int | None,
        callback: Callable[[engine_control.OrderOutcome], None],
    ) -> None:
        """Send an order that is valid only for the expected order count.

        Nothing is sent after `send_by_ms`.
        """

        def on_answer(answer: http_client.HttpResponse) -> None:
            self._on_answer(record, answer)
            callback(_OUTCOMES.get(answer.status, _Outcome.UNKNOWN))

        body: dict[str, Any] = {
            "op": order.kind.value,
            "model": order.model,
            # The worker reports its number of accepted orders as "seq".
            "precondition": order_count,
            "holder": self._holder,
            "fencing_token": fencing_token,
        }
        if order.adapter:
            body["adapter"] = order.adapter
        headers = {
            EXPECT_SERVER: record.server_id,
            "Content-Type": "application/json",
        }
        self._http.call(
            "POST",
            f"http://{record.host}:{record.port}/order",
            headers,
            json.dumps(body).encode(),
            engine_control.ORDER_TIMEOUT_MS,
            on_answer,
            send_by_ms,
            MAX_ORDER_RESPONSE_BYTES,
        )

    def _on_answer(
        self,
        record: backend_directory.ServerRecord,
        answer: http_client.HttpResponse,
    ) -> None:
        """Log a response that was cut off; record a back-off it asks for."""
        if answer.reason == http_client.EXCEEDED:
            eliot.log_message("response_too_long", server=record.server_id)
        if answer.status != incoming_request.UNAVAILABLE_STATUS:
            return
        retry_after = header_codec.decode_retry_after(
            _header_values(answer.headers, header_codec.RETRY_AFTER)
        )
        if self._backoff is not None and retry_after is not None:
            self._backoff.on_refused(record, retry_after, is_from_server=False)


def decode_report(
    raw: bytes, headers: Mapping[str, str]
) -> engine_control.EngineReport:
    """Decode a report and its header; raise ValueError if invalid."""
    document = json_fields.decode_object(raw)
    return engine_control.EngineReport(
        order_count=json_fields.integer(
            document, "seq", maximum=json_fields.MAX_INTEGER
        ),
        is_busy=bool(document.get("busy")),
        models=documents.decode_models(document),
        pending_adapters=frozenset(_decode_pending_adapters(document)),
        running=json_fields.integer(document, "active"),
        waiting=json_fields.integer(document, "queued"),
        limit_per_s=header_codec.decode_limit(
            _header_values(headers, header_codec.SERVER_LIMIT)
        ),
        is_leaving=header_codec.announces_leaving(
            _header_values(headers, header_codec.SERVER_LEAVING)
        ),
    )


def _header_values(headers: Mapping[str, str], name: bytes) -> list[bytes]:
    """Return the values of a header field, none or one."""
    found = headers.get(name.decode())
    return [] if found is None else [found.encode("latin-1", "replace")]


def _decode_pending_adapters(
    document: dict[str, Any],
) -> list[tuple[str, str]]:
    """Decode the pending adapters, written as MODEL/NAME@VERSION."""
    found = []
    for row in json_fields.texts(document, "coming"):
        model, _, rest = row.partition("/")
        found.append((model, rest.partition("@")[0]))
    return found
