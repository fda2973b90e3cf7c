"""Numbered result codes."""

from __future__ import annotations

import dataclasses
import enum


class ExecutionState(enum.Enum):
    """Whether a request was executed, as certified by a result code."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class RetryAdvice(enum.Enum):
    """Advice to the caller about repeating the request."""

    NEVER = "never"
    LATER = "later"
    SAME_KEY = "same_key"


@dataclasses.dataclass(slots=True, frozen=True)
class CodeTraits:
    """Fixed properties of a result code."""

    number: int
    http_status: int
    ran: ExecutionState
    repeat: RetryAdvice


def _row(
    number: int, status: int, ran: ExecutionState, repeat: RetryAdvice
) -> CodeTraits:
    return CodeTraits(number, status, ran, repeat)


_NOT_RUN, _RAN, _UNKNOWN = (
    ExecutionState.NOT_RUN,
    ExecutionState.RAN,
    ExecutionState.UNKNOWN,
)
_NEVER, _LATER, _SAME_KEY = (
    RetryAdvice.NEVER,
    RetryAdvice.LATER,
    RetryAdvice.SAME_KEY,
)


class ResultCode(enum.Enum):
    """Outcome of a request, an order or a configuration change."""

    OK = _row(0, 200, _RAN, _NEVER)

    MALFORMED_REQUEST = _row(1001, 400, _NOT_RUN, _NEVER)
    BODY_TOO_LARGE = _row(1002, 413, _NOT_RUN, _NEVER)
    KEY_MISSING_OR_WRONG = _row(1003, 401, _NOT_RUN, _NEVER)
    FORBIDDEN = _row(1004, 403, _NOT_RUN, _NEVER)
    UNKNOWN_MODEL = _row(1005, 404, _NOT_RUN, _NEVER)
    UNKNOWN_SERVICE = _row(1006, 404, _NOT_RUN, _NEVER)
    UNKNOWN_PATH = _row(1007, 404, _NOT_RUN, _NEVER)
    INVALID_HEADER = _row(1008, 400, _NOT_RUN, _NEVER)
    INVALID_IDEMPOTENCY_KEY = _row(1009, 400, _NOT_RUN, _NEVER)
    KEY_CONFLICT = _row(1010, 409, _NOT_RUN, _NEVER)
    KEY_EXPIRED = _row(1011, 409, _UNKNOWN, _NEVER)
    PROMPT_TOO_LONG = _row(1012, 400, _NOT_RUN, _NEVER)
    METHOD_NOT_ALLOWED = _row(1013, 405, _NOT_RUN, _NEVER)

    RATE_LIMITED = _row(2001, 429, _NOT_RUN, _LATER)
    CONCURRENCY_LIMITED = _row(2002, 429, _NOT_RUN, _LATER)
    QUEUE_FULL = _row(2003, 503, _NOT_RUN, _LATER)
    DEADLINE_UNREACHABLE = _row(2004, 503, _NOT_RUN, _LATER)
    NO_REPLICA = _row(2005, 503, _NOT_RUN, _LATER)
    LEAVING = _row(2006, 503, _NOT_RUN, _LATER)
    WRONG_INCARNATION = _row(2007, 503, _NOT_RUN, _LATER)
    HOME_UNREACHABLE = _row(2008, 503, _NOT_RUN, _SAME_KEY)
    NOT_HOME = _row(2009, 503, _NOT_RUN, _LATER)
    CANCELLED_NOT_RUN = _row(2010, 503, _NOT_RUN, _LATER)
    QUARANTINED = _row(2011, 422, _NOT_RUN, _NEVER)
    NOT_READY = _row(2012, 503, _NOT_RUN, _LATER)
    RETRY_BUDGET_EXHAUSTED = _row(2013, 503, _NOT_RUN, _LATER)
    INSUFFICIENT_MEMORY = _row(2014, 503, _NOT_RUN, _LATER)
    KEY_RECORD_INCOMPLETE = _row(2015, 409, _UNKNOWN, _NEVER)
    BACKEND_DOWN = _row(2016, 503, _NOT_RUN, _LATER)
    STREAM_NOT_RESUMABLE = _row(2017, 503, _NOT_RUN, _LATER)

    OUTCOME_UNKNOWN = _row(3001, 502, _UNKNOWN, _SAME_KEY)
    ANSWER_INTERRUPTED = _row(3002, 502, _RAN, _LATER)
    BACKEND_ERROR = _row(3003, 502, _RAN, _LATER)
    BACKEND_CRASHED = _row(3004, 502, _UNKNOWN, _SAME_KEY)
    DEADLINE_EXCEEDED = _row(3005, 504, _UNKNOWN, _SAME_KEY)
    CALLER_GONE = _row(3006, 499, _UNKNOWN, _NEVER)
    ANSWER_NOT_KEPT = _row(3007, 409, _RAN, _NEVER)
    CANCELLED_AFTER_START = _row(3008, 502, _RAN, _LATER)

    SETTINGS_INVALID = _row(4001, 500, _NOT_RUN, _NEVER)
    CONFIGURATION_INVALID = _row(4002, 422, _NOT_RUN, _NEVER)
    CONFIGURATION_CONFLICT = _row(4003, 409, _NOT_RUN, _LATER)
    CONFIGURATION_UNAVAILABLE = _row(4004, 503, _NOT_RUN, _LATER)
    CONFIGURATION_OUTCOME_UNKNOWN = _row(4005, 503, _UNKNOWN, _SAME_KEY)
    UNKNOWN_TENANT = _row(4006, 404, _NOT_RUN, _NEVER)
    UNKNOWN_VM = _row(4007, 404, _NOT_RUN, _NEVER)

    INTERNAL_ERROR = _row(5001, 500, _UNKNOWN, _SAME_KEY)
    PLATFORM_UNAVAILABLE = _row(5002, 503, _NOT_RUN, _LATER)
    COMPARE_FAILED = _row(5003, 409, _NOT_RUN, _LATER)
    PLATFORM_OUTCOME_UNKNOWN = _row(5004, 503, _UNKNOWN, _LATER)

    FRAME_INVALID = _row(6001, 400, _NOT_RUN, _NEVER)
    FRAME_TOO_LARGE = _row(6002, 413, _NOT_RUN, _NEVER)
    PEER_NOT_AUTHENTICATED = _row(6003, 401, _NOT_RUN, _NEVER)

    ORDER_REFUSED_MEMORY = _row(7001, 507, _NOT_RUN, _LATER)
    ORDER_STALE_FENCE = _row(7002, 409, _NOT_RUN, _NEVER)
    ORDER_OUTCOME_UNKNOWN = _row(7003, 504, _UNKNOWN, _LATER)
    EVICTION_REFUSED = _row(7004, 409, _NOT_RUN, _LATER)
    PERMIT_REFUSED = _row(7005, 429, _NOT_RUN, _LATER)

    @property
    def number(self) -> int:
        """Return the number used on the wire and in the documentation."""
        return self.value.number

    @property
    def http_status(self) -> int:
        """Return the HTTP status of responses with the code."""
        return self.value.http_status

    @property
    def ran(self) -> ExecutionState:
        """Return whether the request was executed."""
        return self.value.ran

    @property
    def repeat(self) -> RetryAdvice:
        """Return the advice about repeating the request."""
        return self.value.repeat

    @property
    def is_certified_not_run(self) -> bool:
        """Return whether the code certifies that nothing was executed."""
        return self.value.ran is ExecutionState.NOT_RUN


_BY_NUMBER = {code.number: code for code in ResultCode}


def from_number(number: int) -> ResultCode:
    """Return the code with a number, or INTERNAL_ERROR if unknown."""
    return _BY_NUMBER.get(number, ResultCode.INTERNAL_ERROR)
