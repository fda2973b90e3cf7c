"""Limits of servers in messages, with ages in place of times."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from balsamwall.coordination import messages_fleet
from balsamwall.limits import limit_book

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamwall.gateway import server_limits
    from balsamwall.logs import decision_log


def encode(
    observations: Iterable[limit_book.LimitObservation], now_ms: int
) -> messages_fleet.LimitReport:
    """Return a message; clocks of processes differ, so it holds ages."""
    return messages_fleet.LimitReport(
        [
            [
                found.server_id,
                found.started_ms,
                found.per_s,
                max(0, now_ms - found.observed_ms),
            ]
            for found in observations
        ]
    )


def apply(
    report: messages_fleet.LimitReport,
    now_ms: int,
    limits: server_limits.ServerLimits,
    log: decision_log.DecisionLog,
) -> None:
    """Record the observations of another process, if all are valid."""
    try:
        observations = [_decode_row(row, now_ms) for row in report.rows]
    except ValueError as error:
        log.write("limit_report_invalid", reason=str(error)[:200])
        return
    for found in observations:
        limits.on_observation(found)


def _decode_row(row: list[object], now_ms: int) -> limit_book.LimitObservation:
    """Return the observation in a row; raise ValueError if it is invalid."""
    if len(row) != 4:
        raise ValueError(f"limit row: expected 4 values, found {len(row)}")
    server_id, started_ms, per_s, age_ms = row
    if type(server_id) is not str:
        raise ValueError(f"server: expected a string, found {server_id!r}")
    if type(started_ms) is not int or type(age_ms) is not int or age_ms < 0:
        raise ValueError(f"limit row of {server_id}: invalid time")
    if per_s is not None:
        if type(per_s) not in (int, float):
            raise ValueError(f"limit: expected a number, found {per_s!r}")
        per_s = float(per_s)  # type: ignore[arg-type]
        if not math.isfinite(per_s) or per_s < 0:
            raise ValueError(f"limit: {per_s} is not a rate")
    return limit_book.LimitObservation(
        server_id,
        started_ms,
        per_s,
        now_ms - age_ms,
    )
