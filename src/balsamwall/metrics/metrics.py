"""Counters and histograms of one process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import prometheus_client
from prometheus_client import registry as registry_module

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from balsamwall.results import result_code

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST
# Bounds the memory for label values; further names count as OTHER_EVENTS.
MAX_EVENT_NAMES = 256
OTHER_EVENTS = "other"

# The buckets 0.069 and 0.51 are the targets for the time between tokens and
# to the first token, so that the share within the targets is exact.
_BUCKETS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.069,
    0.1,
    0.25,
    0.51,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
    120.0,
)
_LABELS = ("tenant", "request_class")


def class_name(is_urgent: bool) -> str:
    """Return the label value of a request class."""
    return "urgent" if is_urgent else "deferrable"


class RequestHistograms:
    """Histograms of one tenant and class.

    Arguments are in milliseconds, the exported series in seconds.
    """

    __slots__ = ("_between_tokens", "_first_token", "_queue", "_whole_answer")

    def __init__(
        self,
        first_token: prometheus_client.Histogram,
        between_tokens: prometheus_client.Histogram,
        whole_answer: prometheus_client.Histogram,
        queue: prometheus_client.Histogram,
    ) -> None:
        self._first_token = first_token
        self._between_tokens = between_tokens
        self._whole_answer = whole_answer
        self._queue = queue

    def observe_first_token(self, time_ms: int) -> None:
        """Record the time to the first token."""
        self._first_token.observe(time_ms / 1_000)

    def observe_between_tokens(self, time_ms: int) -> None:
        """Record the time between two parts of an answer."""
        self._between_tokens.observe(time_ms / 1_000)

    def observe_whole_answer(self, time_ms: int) -> None:
        """Record the time to the end of an answer."""
        self._whole_answer.observe(time_ms / 1_000)

    def observe_queue(self, time_ms: int) -> None:
        """Record the time in a queue."""
        self._queue.observe(time_ms / 1_000)


class Metrics:
    """Registry of the metrics of one process."""

    __slots__ = (
        "_between_tokens",
        "_event_names",
        "_events",
        "_first_token",
        "_histograms",
        "_queue",
        "_registry",
        "_requests",
        "_whole_answer",
    )

    def __init__(self) -> None:
        # The series of creation times would use a third more memory.
        prometheus_client.disable_created_metrics()  # type: ignore
        self._registry = registry_module.CollectorRegistry()
        self._event_names: set[str] = set()
        self._histograms: dict[tuple[str, bool], RequestHistograms] = {}
        self._events = prometheus_client.Counter(
            "balsamwall_events",
            "Events by name",
            ("event",),
            registry=self._registry,
        )
        self._requests = prometheus_client.Counter(
            "balsamwall_requests",
            "Finished requests by result code",
            (*_LABELS, "code"),
            registry=self._registry,
        )
        self._first_token = self._histogram(
            "balsamwall_first_token_seconds", "Time to the first token"
        )
        self._between_tokens = self._histogram(
            "balsamwall_between_tokens_seconds",
            "Time between two parts of an answer",
        )
        self._whole_answer = self._histogram(
            "balsamwall_whole_answer_seconds", "Time to the end of an answer"
        )
        self._queue = self._histogram(
            "balsamwall_queue_seconds", "Time in the admission queue"
        )

    def count(self, event: str) -> None:
        """Count an event; names above `MAX_EVENT_NAMES` share one series."""
        if event not in self._event_names:
            if len(self._event_names) >= MAX_EVENT_NAMES:
                event = OTHER_EVENTS
            self._event_names.add(event)
        self._events.labels(event).inc()

    def count_request(
        self, tenant: str, is_urgent: bool, code: result_code.ResultCode
    ) -> None:
        """Count a finished request by its result code."""
        name = code.name.lower()
        self._requests.labels(tenant, class_name(is_urgent), name).inc()

    def histograms(self, tenant: str, is_urgent: bool) -> RequestHistograms:
        """Return the histograms of a tenant and class; create missing ones."""
        histograms_of_class = self._histograms.get((tenant, is_urgent))
        if histograms_of_class is None:
            labels = (tenant, class_name(is_urgent))
            histograms_of_class = RequestHistograms(
                self._first_token.labels(*labels),
                self._between_tokens.labels(*labels),
                self._whole_answer.labels(*labels),
                self._queue.labels(*labels),
            )
            self._histograms[tenant, is_urgent] = histograms_of_class
        return histograms_of_class

    def add_gauge(
        self, name: str, description: str, read: Callable[[], float]
    ) -> None:
        """Add a gauge whose value is read on each export."""
        gauge = prometheus_client.Gauge(
            f"balsamwall_{name}", description, registry=self._registry
        )
        gauge.set_function(read)

    def add_labelled_gauge(
        self,
        name: str,
        description: str,
        label: str,
        readers: Mapping[str, Callable[[], float]],
    ) -> None:
        """Add a gauge with one series per value of a label.

        `readers` maps the label values to functions, called on each export.
        """
        gauge = prometheus_client.Gauge(
            f"balsamwall_{name}",
            description,
            (label,),
            registry=self._registry,
        )
        for value, read in readers.items():
            gauge.labels(value).set_function(read)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)

    def _histogram(
        self, name: str, description: str
    ) -> prometheus_client.Histogram:
        return prometheus_client.Histogram(
            name,
            description,
            _LABELS,
            buckets=_BUCKETS_S,
            registry=self._registry,
        )
