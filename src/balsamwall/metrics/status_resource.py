"""HTTP resource for metrics and health checks."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from twisted.web import resource

from balsamwall.metrics import metrics as metrics_module

if TYPE_CHECKING:
    from collections.abc import Callable

_TEXT = "text/plain; charset=utf-8"


class StatusResource(resource.Resource):  # type: ignore[misc]
    """Serves /metrics, /healthz and /readyz.

    The process counts as ready while `not_ready_reason` returns "".
    """

    isLeaf = True

    def __init__(
        self,
        metrics: metrics_module.Metrics,
        not_ready_reason: Callable[[], str],
    ) -> None:
        super().__init__()
        self._metrics = metrics
        self._not_ready_reason = not_ready_reason

    def render_GET(self, request: Any) -> bytes:  # noqa: N802
        """Answer a request; /readyz answers 503 with the reason."""
        status, content_type, body = self._answer(request.path)
        request.setResponseCode(status)
        request.setHeader(b"content-type", content_type.encode())
        return body

    def _answer(self, path: bytes) -> tuple[int, str, bytes]:
        if path == b"/metrics":
            return 200, metrics_module.CONTENT_TYPE, self._metrics.render()
        if path == b"/healthz":
            return 200, _TEXT, b"ok\n"
        if path == b"/readyz":
            reason = self._not_ready_reason()
            if reason:
                return 503, _TEXT, reason.encode() + b"\n"
            return 200, _TEXT, b"ok\n"
        return 404, _TEXT, b"unknown path\n"
