"""Log what stands behind refusals that promise a request has not run."""

from __future__ import annotations

import enum
from typing import Protocol
from typing import TYPE_CHECKING

from balsamwall.gateway import execution_record

if TYPE_CHECKING:
    from balsamwall.gateway import gateway_metrics
    from balsamwall.gateway import route as route_module
    from balsamwall.logs import decision_log

_SendState = execution_record.SendState


class RefusalProof(enum.Enum):
    """State what proves that a refused request has not run."""

    CERTIFIED = "certified"  # by the servers of all sends that were written
    UNSENT = "unsent"  # no byte was written
    NONE = "none"  # nothing: a server may have run it


class AnsweredRequest(Protocol):
    """Represent a request whose response has begun, or was refused."""

    route: route_module.Route
    execution: execution_record.ExecutionRecord

    @property
    def request_id(self) -> str:
        """Return the caller's request identifier as text for logs."""

    @property
    def arrived_ms(self) -> int:
        """Return when the first byte of the request was read."""

    @property
    def is_finished(self) -> bool:
        """Return whether the request has ended in any way."""

    @property
    def answered_status(self) -> int:
        """Return the status that the caller got, 0 without one."""


class ExecutionLog:
    """Log and count refusals of requests that run at most once.

    Load pattern: servers refuse many requests at once. The counter has all of
    them, and the lines as many as the log takes.
    """

    __slots__ = ("_log", "_metrics")

    def __init__(
        self,
        log: decision_log.DecisionLog,
        metrics: gateway_metrics.GatewayMetrics,
    ) -> None:
        self._log = log
        self._metrics = metrics

    def on_withheld(self, request: AnsweredRequest, server_id: str) -> None:
        """Log a send that came too late, or while another one is open."""
        self._metrics.count_withheld_send()
        self._log.write(
            "send_withheld",
            request=request.request_id,
            server=server_id,
            is_finished=request.is_finished,
            sends=request.execution.rows(request.arrived_ms),
        )

    def on_finished(self, request: AnsweredRequest) -> None:
        """Log the sends of a refused request, if there are any."""
        execution, status = request.execution, request.answered_status
        is_promise = status in execution_record.NOT_RUN_STATUSES
        if not is_promise or not execution.sends:
            return
        if request.route.is_repeatable:
            return
        proof = _proof(execution)
        self._metrics.count_refusal_after_send(proof.value)
        self._log.write(
            "refused_after_send",
            request=request.request_id,
            route=request.route.name,
            status=status,
            proof=proof.value,
            sends=execution.rows(request.arrived_ms),
        )


def _proof(execution: execution_record.ExecutionRecord) -> RefusalProof:
    if execution.may_have_run:
        return RefusalProof.NONE
    if any(send.state is _SendState.NOT_RUN for send in execution.sends):
        return RefusalProof.CERTIFIED
    return RefusalProof.UNSENT
