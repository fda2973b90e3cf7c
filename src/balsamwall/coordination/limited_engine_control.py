"""Calls of the coordinator to engines, as far as they want them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.coordination import engine_control
from balsamwall.limits import limit_book

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.coordination import permit_issuer
    from balsamwall.gateway import backend_directory
    from balsamwall.gateway import server_backoff
    from balsamwall.gateway import server_limits
    from balsamwall.timing import clock as clock_module


class LimitedEngineControl:
    """Keep to the limit and the back-off of engines in reports and orders.

    Load pattern: an overloaded engine is polled while a model loads, which
    alone would use up its limit. Reports are spaced, and orders, which free a
    place for many requests, are sent at once; both delay later requests.
    An engine in a back-off gets neither before its end.
    """

    __slots__ = (
        "_backoff",
        "_clock",
        "_control",
        "_directory",
        "_last_report_ms",
        "_limits",
        "_permits",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        control: engine_control.EngineControl,
        limits: server_limits.ServerLimits,
        permits: permit_issuer.PermitIssuer,
        directory: backend_directory.BackendDirectory,
        backoff: server_backoff.ServerBackoff,
    ) -> None:
        self._clock = clock
        self._control = control
        self._limits = limits
        self._permits = permits
        self._directory = directory
        self._backoff = backoff
        # By limited server; others are not recorded.
        self._last_report_ms: dict[str, int] = {}

    def read_report(
        self,
        record: backend_directory.ServerRecord,
        callback: Callable[[engine_control.EngineReport | None], None],
    ) -> None:
        """Request a report, later if the engine does not want it now."""
        delay_ms = self._backoff.left_ms(record)
        delay_ms = delay_ms or self._report_delay_ms(record.server_id)
        if delay_ms > 0:
            self._clock.call_later(
                delay_ms, self.read_report, record, callback
            )
            return

        def on_report(report: engine_control.EngineReport | None) -> None:
            self._observe(record, report)
            callback(report)

        self._permits.charge(record.server_id)
        self._control.read_report(record, on_report)

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

        An engine in a back-off is taken for one that is busy.
        """
        if self._backoff.left_ms(record):
            outcome = engine_control.OrderOutcome.CONFLICT
            self._clock.call_later(0, callback, outcome)
            return
        self._permits.charge(record.server_id)
        self._control.send_order(
            record, order, order_count, fencing_token, send_by_ms, callback
        )

    def _report_delay_ms(self, server_id: str) -> int:
        """Return the time until a report may be read; 0 reserves it."""
        interval_ms = self._permits.report_interval_ms(server_id)
        if not interval_ms:
            self._last_report_ms.pop(server_id, None)
            return 0
        now_ms = self._clock.now_ms()
        last_ms = self._last_report_ms.get(server_id)
        if last_ms is not None and now_ms - last_ms < interval_ms:
            return interval_ms - (now_ms - last_ms)
        self._last_report_ms[server_id] = now_ms
        return 0

    def _observe(
        self,
        record: backend_directory.ServerRecord,
        report: engine_control.EngineReport | None,
    ) -> None:
        """Record what a report announces; one without a limit ends none."""
        if report is None:
            return
        if report.is_leaving:
            self._directory.mark_leaving(record.server_id, record.started_ms)
        if report.limit_per_s is None:
            return
        self._limits.on_observation(
            limit_book.LimitObservation(
                record.server_id,
                record.started_ms,
                report.limit_per_s,
                self._clock.now_ms(),
            )
        )
