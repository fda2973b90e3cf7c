"""Export the Prometheus metrics of a gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING

import prometheus_client
from prometheus_client import registry as registry_module

from balsamwall.gateway import workspace_metrics

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.gateway import connection_source
    from balsamwall.gateway import speed_metrics
    from balsamwall.results import result_code

_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 15.0)
# Bounds the memory for a configuration with many routes; further routes share
# one label.
MAX_ROUTES = 64
OTHER_ROUTES = "other"


class GatewayMetrics:
    """Keep the metrics of one process, in a registry of their own."""

    __slots__ = (
        "_attempts",
        "_body_bytes",
        "_connections",
        "_dropped_lines",
        "_durations",
        "_first_responses",
        "_origin_batches",
        "_origins",
        "_origins_dropped",
        "_registry",
        "_permits",
        "_requests",
        "_refusals_after_send",
        "_resumes",
        "_routes",
        "_sends",
        "_sends_in_backoff",
        "_server_limits",
        "_withheld_sends",
        "workspaces",
    )

    def __init__(self) -> None:
        # The _created series would need a third more memory.
        prometheus_client.disable_created_metrics()  # type: ignore
        self._registry = registry_module.CollectorRegistry()
        self._routes: set[str] = set()
        self._requests = prometheus_client.Counter(
            "balsamwall_gateway_requests",
            "Finished requests by result code",
            ("route", "code"),
            registry=self._registry,
        )
        self.workspaces = workspace_metrics.WorkspaceMetrics(self._registry)
        self._attempts = prometheus_client.Counter(
            "balsamwall_gateway_failed_attempts",
            "Sends to backend servers that gave no answer",
            ("failure",),
            registry=self._registry,
        )
        self._sends = prometheus_client.Counter(
            "balsamwall_gateway_sends",
            "Requests sent to backend servers, by first, retry or resume",
            ("reason",),
            registry=self._registry,
        )
        self._refusals_after_send = prometheus_client.Counter(
            "balsamwall_gateway_refusals_after_send",
            "Refusals of sent requests that run at most once, by proof",
            ("proof",),
            registry=self._registry,
        )
        self._withheld_sends = prometheus_client.Counter(
            "balsamwall_gateway_withheld_sends",
            "Sends that came after the answer, or while another was open",
            registry=self._registry,
        )
        self._sends_in_backoff = prometheus_client.Counter(
            "balsamwall_gateway_sends_in_backoff",
            "Requests sent within the back-off of a server, by reason",
            ("reason",),
            registry=self._registry,
        )
        self._resumes = prometheus_client.Counter(
            "balsamwall_gateway_resumed_streams",
            "Streams resumed by their caller or by the entry, by outcome",
            ("by", "outcome"),
            registry=self._registry,
        )
        self._connections = prometheus_client.Counter(
            "balsamwall_gateway_connections_opened",
            "Connections opened to backend servers, by reason",
            ("reason",),
            registry=self._registry,
        )
        self._permits = prometheus_client.Counter(
            "balsamwall_gateway_permits",
            "Decisions on requests to servers with a limit",
            ("decision",),
            registry=self._registry,
        )
        self._server_limits = prometheus_client.Gauge(
            "balsamwall_gateway_server_limit",
            "Requests per second that a backend server accepts in total",
            ("server",),
            registry=self._registry,
        )
        self._dropped_lines = prometheus_client.Gauge(
            "balsamwall_log_dropped_lines",
            "Log lines that were dropped because nobody read them",
            registry=self._registry,
        )
        self._body_bytes = prometheus_client.Gauge(
            "balsamwall_gateway_body_bytes",
            "Bytes held for the bodies of requests",
            registry=self._registry,
        )
        self._origins = prometheus_client.Gauge(
            "balsamwall_gateway_stream_origins",
            "Streams whose software version is known",
            registry=self._registry,
        )
        self._origins_dropped = prometheus_client.Counter(
            "balsamwall_gateway_stream_origins_dropped",
            "Streams whose software version could not be written in time",
            registry=self._registry,
        )
        self._origin_batches = prometheus_client.Counter(
            "balsamwall_gateway_stream_origin_writes",
            "Writes of the software versions of streams to the store",
            ("outcome",),
            registry=self._registry,
        )
        self._first_responses = self._histogram(
            "balsamwall_gateway_first_answer_seconds",
            "Time from the first byte of a request to the head of its answer",
        )
        self._durations = self._histogram(
            "balsamwall_gateway_request_seconds",
            "Time from the first byte of a request to the end of its answer",
        )

    def watch_log(self, count_dropped: Callable[[], int]) -> None:
        """Export the number of log lines dropped for a slow reader."""
        self._dropped_lines.set_function(count_dropped)

    def watch_bodies(self, count_bytes: Callable[[], int]) -> None:
        """Export the bytes held for the bodies of requests."""
        self._body_bytes.set_function(count_bytes)

    def watch_origins(self, count: Callable[[], int]) -> None:
        """Export the number of streams whose software version is known."""
        self._origins.set_function(count)

    def count_dropped_origins(self, count: int) -> None:
        """Count streams whose origins were not written to the store."""
        self._origins_dropped.inc(count)

    def count_origin_batch(self, is_written: bool) -> None:
        """Count a write of origins to the store by its outcome."""
        outcome = "written" if is_written else "failed"
        self._origin_batches.labels(outcome).inc()

    def watch_speeds(self, collector: speed_metrics.SpeedCollector) -> None:
        """Export the learned speeds of servers."""
        self._registry.register(collector)

    def _histogram(self, name: str, text: str) -> prometheus_client.Histogram:
        return prometheus_client.Histogram(
            name, text, ("route",), buckets=_BUCKETS_S, registry=self._registry
        )

    def _label(self, route: str) -> str:
        if route not in self._routes and len(self._routes) >= MAX_ROUTES:
            return OTHER_ROUTES
        self._routes.add(route)
        return route

    def count_attempt(self, failure: str) -> None:
        """Count a failed attempt by the value of its AttemptFailure."""
        self._attempts.labels(failure).inc()

    def count_send(self, reason: str) -> None:
        """Count a request that is sent to a server."""
        self._sends.labels(reason).inc()

    def count_refusal_after_send(self, proof: str) -> None:
        """Count a refusal by what proves that the request has not run."""
        self._refusals_after_send.labels(proof).inc()

    def count_withheld_send(self) -> None:
        """Count a send that was withheld."""
        self._withheld_sends.inc()

    def count_send_in_backoff(self, reason: str) -> None:
        """Count a send to a server that has asked for a back-off."""
        self._sends_in_backoff.labels(reason).inc()

    def count_resume(self, *, is_by_caller: bool, outcome: str) -> None:
        """Count a resumed stream by the value of its ResumeOutcome."""
        self._resumes.labels(
            "caller" if is_by_caller else "entry", outcome
        ).inc()

    def count_opened(self, source: connection_source.ConnectionSource) -> None:
        """Count a new connection to a server by the reason for it."""
        self._connections.labels(source.value).inc()

    def count_permit(self, is_granted: bool) -> None:
        """Count a decision on a request to a server with a limit."""
        self._permits.labels("granted" if is_granted else "denied").inc()

    def set_server_limit(self, server_id: str, per_s: float | None) -> None:
        """Export the limit of a server; None removes it."""
        if per_s is None:
            self._server_limits.remove(server_id)
        else:
            self._server_limits.labels(server_id).set(per_s)

    def observe_first_response(self, route: str, time_ms: int) -> None:
        """Record the time to the head of a response."""
        self._first_responses.labels(self._label(route)).observe(
            time_ms / 1_000
        )

    def observe_end(
        self, route: str, code: result_code.ResultCode, time_ms: int
    ) -> None:
        """Count a finished request and record its duration."""
        label = self._label(route)
        self._requests.labels(label, code.name.lower()).inc()
        self._durations.labels(label).observe(time_ms / 1_000)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)
