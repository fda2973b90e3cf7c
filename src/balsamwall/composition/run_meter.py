"""Queue times and output lengths of the attempts on one agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.execution import run_observer

if TYPE_CHECKING:
    from balsamwall.composition import demand_meter
    from balsamwall.metrics import metrics as metrics_module
    from balsamwall.protocol import messages_request


class RunMeter(run_observer.RunObserver):
    """Observer that updates the queue histogram and the demand meter."""

    __slots__ = ("_demand", "_metrics")

    def __init__(
        self,
        metrics: metrics_module.Metrics | None,
        demand: demand_meter.DemandMeter | None = None,
    ) -> None:
        self._metrics = metrics
        self._demand = demand

    def on_start(
        self, dispatch: messages_request.Dispatch, waited_ms: int
    ) -> None:
        """Record how long an attempt waited in the queue."""
        if self._metrics is not None:
            self._metrics.histograms(
                dispatch.tenant, dispatch.is_urgent
            ).observe_queue(waited_ms)

    def on_end(
        self, dispatch: messages_request.Dispatch, output_tokens: int
    ) -> None:
        """Record the output length of a finished attempt on a model."""
        if self._demand is not None and dispatch.kind == "model":
            self._demand.on_finished(dispatch.target, output_tokens)
