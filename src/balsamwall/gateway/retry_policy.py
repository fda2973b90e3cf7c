"""Decide on retries of a failed attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.gateway import attempt as attempt_module

if TYPE_CHECKING:
    from balsamwall.gateway import execution_record
    from balsamwall.gateway import route as route_module
    from balsamwall.limits import retry_budget

# Attempts that servers certified as not run, before the request is refused.
MAX_REFUSED_ATTEMPTS = 3
# Failed connects are limited separately from the retry budget: nothing was
# sent, so they put no load on the servers.
MAX_FAILED_CONNECTS = 4
# With less time left, no response would arrive before the deadline.
MIN_REMAINING_MS = 40
# Failures of attempts that sent nothing.
UNSENT = frozenset(
    {
        attempt_module.AttemptFailure.NOT_CONNECTED,
        attempt_module.AttemptFailure.BACKED_OFF,
        attempt_module.AttemptFailure.WITHDRAWN,
    }
)


class RetryPolicy:
    """Allow retries that are safe, within the limits and the retry budget.

    A request that is not repeatable is only sent again if no server may have
    run it.
    """

    __slots__ = ()

    def may_retry(
        self,
        route: route_module.Route,
        execution: execution_record.ExecutionRecord,
        failure: attempt_module.AttemptFailure,
        remaining_ms: int,
        budget: retry_budget.RetryBudget,
    ) -> bool:
        """Return whether to send again; if so, use up a retry of the budget.

        A failed connect uses none.
        """
        if remaining_ms < MIN_REMAINING_MS:
            return False
        if failure in UNSENT:
            return execution.failed_connects < MAX_FAILED_CONNECTS
        if failure is attempt_module.AttemptFailure.NOT_RUN:
            if execution.refused >= MAX_REFUSED_ATTEMPTS:
                return False
        elif (
            not route.is_repeatable
            or execution.possible_runs >= route.attempts
        ):
            return False
        return budget.take()

    def may_send_again(
        self,
        route: route_module.Route,
        execution: execution_record.ExecutionRecord,
        remaining_ms: int,
        has_response: bool,
    ) -> bool:
        """Return whether any failure of the written attempt allows a retry.

        A request that must not be repeated is sent again if the server
        certifies that it has not run, which a response excludes.
        """
        if remaining_ms < MIN_REMAINING_MS:
            return False
        if not has_response and execution.refused + 1 < MAX_REFUSED_ATTEMPTS:
            return True
        return route.is_repeatable and (
            execution.possible_runs < route.attempts
        )
