"""Define the input and result of a routing decision."""

from __future__ import annotations

import dataclasses

from balsamwall.results import result_code


@dataclasses.dataclass(slots=True, frozen=True)
class RouteQuery:
    """Hold the properties of a request that the decision depends on."""

    kind: str  # "model" or "service"
    target: str
    is_urgent: bool
    prompt_tokens: int
    max_output_tokens: int
    first_token_deadline_ms: int  # on the entry's monotonic clock
    prefix_hashes: tuple[int, ...] = ()
    excluded: frozenset[str] = frozenset()  # agents not to choose


@dataclasses.dataclass(slots=True, frozen=True)
class RouteDecision:
    """Hold the chosen agent, or a refusal and when to retry."""

    code: result_code.ResultCode
    peer: str = ""
    incarnation: int = 0
    predicted_ms: int = 0
    matched_tokens: int = 0  # prompt tokens expected in the cache
    retry_after_ms: int = 0
    detail: str = ""

    @property
    def is_chosen(self) -> bool:
        """Return whether an agent was chosen."""
        return self.code is result_code.ResultCode.OK


@dataclasses.dataclass(slots=True, frozen=True)
class CandidateView:
    """Show the routing state of one replica to operators."""

    peer: str
    zone: str
    predicted_ms: int
    matched_tokens: int
    is_ejected: bool
    slow_start_weight: float
    report_age_ms: int


def index_name(kind: str, target: str) -> str:
    """Return the name under which replicas of a target are indexed."""
    return f"service:{target}" if kind == "service" else target
