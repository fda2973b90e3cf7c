"""Queue times and answer lengths of the attempts of one agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.execution import run_observer

if TYPE_CHECKING:
    from balsamwall.composition import demand_meter
    from balsamwall.metrics import metrics as metrics_module
    from balsamwall.protocol import messages_request


class RunMeter(run_observer.RunObserver):
    """Feed the queue histogram and the demand meter."""

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
        """Note the start of an attempt after its time in the queue."""
        if self._metrics is not None:
            self._metrics.histograms(
                dispatch.tenant, dispatch.is_urgent
            ).observe_queue(waited_ms)

    def on_end(
        self, dispatch: messages_request.Dispatch, output_tokens: int
    ) -> None:
        """Note a whole answer."""
        if self._demand is not None and dispatch.kind == "model":
            self._demand.on_finished(dispatch.target, output_tokens)
