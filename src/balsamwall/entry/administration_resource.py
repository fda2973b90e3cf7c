"""HTTP resource of the administration API."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING
from urllib import parse

import eliot
from twisted.web import resource
from twisted.web import server

from balsamwall.entry import administration
from balsamwall.entry import http_site
from balsamwall.results import exceptions
from balsamwall.results import result_code

if TYPE_CHECKING:
    from balsamwall.metrics import metrics as metrics_module
    from balsamwall.timing import clock

MAX_UNSENT_BYTES = 8 * 1024 * 1024


class AdministrationResource(resource.Resource):  # type: ignore[misc]
    """Twisted resource that serves calls of operators."""

    isLeaf = True

    def __init__(
        self,
        clock: clock.Clock,
        api: administration.AdministrationApi,
        metrics: metrics_module.Metrics,
    ) -> None:
        super().__init__()
        self._clock = clock
        self._api = api
        self._metrics = metrics

    def render(self, request: Any) -> Any:
        """Handle a call; the response may be sent after the return."""
        sink = http_site.HttpSink(request, self._clock, MAX_UNSENT_BYTES)
        # A reply may be sent after the operator has closed the connection.
        sink.set_callbacks(_ignore_disconnect, sink.close_incomplete)
        reply = administration.Reply(sink)
        try:
            self._handle(request, reply)
        except exceptions.BalsamwallError as error:
            self._metrics.count(f"administration_{error.code.name.lower()}")
            reply.fail(error.code, error.message)
        except Exception:
            eliot.write_traceback()
            self._metrics.count("administration_fault")
            reply.fail(result_code.ResultCode.INTERNAL_ERROR, "internal error")
        return server.NOT_DONE_YET

    def _handle(self, request: Any, reply: administration.Reply) -> None:
        address = getattr(request.getClientAddress(), "host", "")
        key = self._api.authenticate(
            request.getHeader("authorization"), address
        )
        if request.is_body_too_large:
            raise exceptions.BalsamwallError(
                result_code.ResultCode.BODY_TOO_LARGE,
                f"body exceeds {request.max_body_bytes} bytes",
            )
        uri = parse.urlsplit(request.uri.decode("latin-1"))
        try:
            query = dict(parse.parse_qsl(uri.query, max_num_fields=32))
        except ValueError as error:
            raise exceptions.BalsamwallError(
                result_code.ResultCode.MALFORMED_REQUEST,
                "query has too many fields",
            ) from error
        method = request.method.decode("latin-1")
        path = parse.unquote(request.path.decode("latin-1"))
        body = request.content.read()
        self._api.handle(key, method, path, query, body, reply)


def _ignore_disconnect() -> None:
    """Let the call run to its end; the sink drops the reply."""
