"""HTTP resource for model and service requests of callers."""

from __future__ import annotations

import json
from typing import Any
from typing import TYPE_CHECKING

import eliot
from twisted.web import resource
from twisted.web import server

from balsamwall.dispatch import caller_request
from balsamwall.entry import caller_response
from balsamwall.entry import http_site
from balsamwall.entry import request_checker
from balsamwall.idempotency import scoped_key
from balsamwall.metrics import answer_meter
from balsamwall.results import exceptions
from balsamwall.results import result_code

if TYPE_CHECKING:
    from balsamwall.configuration import tenant_configuration
    from balsamwall.entry import entry_core
    from balsamwall.metrics import metrics as metrics_module
    from balsamwall.settings import daemon_settings
    from balsamwall.timing import clock

MODELS_PATH = "/v1/models"
MODEL_PATHS = ("/v1/chat/completions", "/v1/completions")
SERVICES_PREFIX = "/v1/services/"

_SINGLE_HEADERS = (
    request_checker.CLASS_HEADER,
    request_checker.DEADLINE_HEADER,
    request_checker.REPEATABLE_HEADER,
    request_checker.KEY_HEADER,
)


class CallerResource(resource.Resource):  # type: ignore[misc]
    """Twisted resource that checks and submits callers' requests."""

    isLeaf = True

    def __init__(
        self,
        clock: clock.Clock,
        core: entry_core.EntryCore,
        checker: request_checker.RequestChecker,
        metrics: metrics_module.Metrics,
        limits: daemon_settings.LimitSettings,
    ) -> None:
        super().__init__()
        self._clock = clock
        self._core = core
        self._checker = checker
        self._metrics = metrics
        self._limits = limits

    def render(self, request: Any) -> Any:
        """Handle a request; the response may be sent after the return."""
        sink = http_site.HttpSink(
            request, self._clock, self._limits.caller_buffer_bytes
        )
        try:
            self._handle(request, sink)
        except exceptions.BalsamwallError as error:
            self._metrics.count(f"caller_{error.code.name.lower()}")
            caller_response.send_error(sink, error.code, error.message)
        except Exception:
            eliot.write_traceback()
            self._metrics.count("caller_fault")
            caller_response.send_error(
                sink, result_code.ResultCode.INTERNAL_ERROR, "internal error"
            )
        return server.NOT_DONE_YET

    def _handle(self, request: Any, sink: http_site.HttpSink) -> None:
        path = request.path.decode("latin-1")
        method = request.method.decode("latin-1")
        configuration, workspace = self._core.authenticate(
            request.getHeader("authorization"), _address(request)
        )
        if path == MODELS_PATH or path.startswith(MODELS_PATH + "/"):
            _check_method(method, "GET")
            name = path[len(MODELS_PATH) + 1 :]
            _send_models(sink, configuration, workspace, name)
            return
        is_model = path in MODEL_PATHS
        if not is_model and not path.startswith(SERVICES_PREFIX):
            raise exceptions.BalsamwallError(
                result_code.ResultCode.UNKNOWN_PATH, f"no path {path[:128]!r}"
            )
        _check_method(method, "POST")
        if request.is_body_too_large:
            raise exceptions.BalsamwallError(
                result_code.ResultCode.BODY_TOO_LARGE,
                f"body exceeds {self._limits.body_bytes} bytes",
            )
        if request.is_body_budget_exceeded:
            raise exceptions.BalsamwallError(
                result_code.ResultCode.QUEUE_FULL,
                "request bodies exceed the memory limit of the entry",
            )
        headers = _read_headers(request)
        body = request.content.read()
        if is_model:
            raw = request_checker.RawRequest(path, headers, body)
            checked = self._checker.check_model(raw, configuration, workspace)
        else:
            uri = request.uri.decode("latin-1")[len(SERVICES_PREFIX) :]
            name, _, rest = uri.partition("/")
            raw = request_checker.RawRequest("/" + rest, headers, body)
            checked = self._checker.check_service(
                raw, name, configuration, workspace
            )
        has_caller_key = request_checker.KEY_HEADER in headers
        self._submit(checked, sink, has_caller_key)

    def _submit(
        self,
        checked: caller_request.CallerRequest,
        sink: http_site.HttpSink,
        has_caller_key: bool,
    ) -> None:
        extra_headers = {"x-balsamwall-request-id": checked.request_id}
        if checked.idempotency_key:
            extra_headers["idempotency-key"] = scoped_key.caller_key(
                checked.idempotency_key
            )
        meter = answer_meter.AnswerMeter(
            self._clock, self._metrics, checked.tenant, checked.is_urgent
        )
        response: (
            caller_response.StreamedResponse | caller_response.BufferedResponse
        )

        def cancel() -> None:
            self._core.cancel(checked.request_id)

        def abort_slow_caller() -> None:
            self._metrics.count("caller_too_slow")
            response.on_caller_disconnected()
            sink.close_incomplete()

        if checked.is_streamed:
            response = caller_response.StreamedResponse(
                self._clock,
                sink,
                meter,
                cancel,
                self._limits.answer_bytes,
                extra_headers,
            )
        else:
            response = caller_response.BufferedResponse(
                sink,
                meter,
                cancel,
                self._limits.answer_bytes,
                extra_headers,
                has_caller_key,
            )
        sink.set_callbacks(response.on_caller_disconnected, abort_slow_caller)
        try:
            self._core.submit(checked, response)
        except Exception:
            eliot.write_traceback()
            self._metrics.count("caller_fault")
            response.on_failure(
                caller_request.AnswerFailure(
                    result_code.ResultCode.INTERNAL_ERROR, "internal error"
                )
            )


def _address(request: Any) -> str:
    peer = request.getClientAddress()
    return getattr(peer, "host", "")


def _check_method(found: str, allowed: str) -> None:
    if found != allowed:
        raise exceptions.BalsamwallError(
            result_code.ResultCode.METHOD_NOT_ALLOWED,
            f"method {found[:16]!r}, allowed: {allowed}",
        )


def _read_headers(request: Any) -> dict[str, str]:
    headers: dict[str, str] = {}
    for raw_name, values in request.requestHeaders.getAllRawHeaders():
        name = raw_name.decode("latin-1").lower()
        if len(values) > 1 and name in _SINGLE_HEADERS:
            # With two keys or deadlines it is ambiguous which one applies.
            raise exceptions.BalsamwallError(
                result_code.ResultCode.INVALID_HEADER,
                f"header {name} appears {len(values)} times",
            )
        headers[name] = values[0].decode("latin-1").strip()
    return headers


def _send_models(
    sink: http_site.HttpSink,
    configuration: tenant_configuration.TenantConfiguration,
    workspace: tenant_configuration.WorkspaceSpec,
    name: str,
) -> None:
    rows = [
        {
            "id": item,
            "object": "model",
            "created": 0,
            "owned_by": configuration.tenant,
        }
        for item in sorted({*workspace.models, *workspace.adapters})
        if name in ("", item)
    ]
    if name and not rows:
        raise exceptions.BalsamwallError(
            result_code.ResultCode.UNKNOWN_MODEL,
            f"workspace {workspace.name} has no model {name[:128]!r}",
        )
    document: object = rows[0] if name else {"object": "list", "data": rows}
    body = json.dumps(document).encode()
    sink.start(
        200,
        {"content-type": "application/json", "content-length": str(len(body))},
    )
    sink.write(body)
    sink.finish()
