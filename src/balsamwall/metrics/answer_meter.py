"""Times and outcome of one answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.results import result_code

if TYPE_CHECKING:
    from balsamwall.metrics import metrics
    from balsamwall.timing import clock


class AnswerMeter:
    """Recorder of the times of one answer from its receipt on."""

    __slots__ = (
        "_clock",
        "_histograms",
        "_is_urgent",
        "_last_output_ms",
        "_metrics",
        "_received_ms",
        "_tenant",
    )

    _last_output_ms: int | None

    def __init__(
        self,
        clock: clock.Clock,
        metrics: metrics.Metrics,
        tenant: str,
        is_urgent: bool,
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._tenant = tenant
        self._is_urgent = is_urgent
        self._histograms = metrics.histograms(tenant, is_urgent)
        self._received_ms = clock.now_ms()
        self._last_output_ms = None

    def on_output(self) -> None:
        """Note a part of the answer."""
        now_ms = self._clock.now_ms()
        if self._last_output_ms is None:
            self._histograms.observe_first_token(now_ms - self._received_ms)
        else:
            time_ms = now_ms - self._last_output_ms
            self._histograms.observe_between_tokens(time_ms)
        self._last_output_ms = now_ms

    def on_finished(self, code: result_code.ResultCode) -> None:
        """Note the outcome."""
        self._metrics.count_request(self._tenant, self._is_urgent, code)
        if code is result_code.ResultCode.OK:
            time_ms = self._clock.now_ms() - self._received_ms
            self._histograms.observe_whole_answer(time_ms)
