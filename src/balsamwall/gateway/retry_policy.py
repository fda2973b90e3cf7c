"""Decision whether a request is sent once more."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from balsamwall.gateway import attempt as attempt_module

if TYPE_CHECKING:
    from balsamwall.gateway import route as route_module
    from balsamwall.limits import retry_budget

# Sends of one request that were certified as not run, before it is refused.
MAX_REFUSED_ATTEMPTS = 3
# Connects that failed; nothing was sent, so they cost the servers nothing.
MAX_FAILED_CONNECTS = 4
# Less time than this does not suffice for a useful answer.
MIN_TIME_LEFT_MS = 40


@dataclasses.dataclass(slots=True)
class AttemptHistory:
    """What has been tried for a request."""

    possible_runs: int = 0  # servers that may have run it
    refused: int = 0  # servers that certified that they did not
    failed_connects: int = 0

    @property
    def may_have_run(self) -> bool:
        """Tell whether a server may have run the request."""
        return self.possible_runs > 0

    def record_failure(self, failure: attempt_module.AttemptFailure) -> None:
        """Count a failed send."""
        if failure is attempt_module.AttemptFailure.NOT_CONNECTED:
            self.failed_connects += 1
        elif failure is attempt_module.AttemptFailure.NOT_RUN:
            self.refused += 1
        else:
            self.possible_runs += 1


class RetryPolicy:
    """Repeat what may be repeated, within the budget of the fleet."""

    __slots__ = ()

    def may_retry(
        self,
        route: route_module.Route,
        history: AttemptHistory,
        failure: attempt_module.AttemptFailure,
        left_ms: int,
        budget: retry_budget.RetryBudget,
    ) -> bool:
        """Decide after a failed send; take from the budget when true."""
        if left_ms < MIN_TIME_LEFT_MS:
            return False
        if failure is attempt_module.AttemptFailure.NOT_CONNECTED:
            return history.failed_connects < MAX_FAILED_CONNECTS
        if failure is attempt_module.AttemptFailure.NOT_RUN:
            if history.refused >= MAX_REFUSED_ATTEMPTS:
                return False
        elif (
            not route.is_repeatable or history.possible_runs >= route.attempts
        ):
            return False
        return budget.take()
