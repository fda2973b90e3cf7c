"""Share the learned speeds of servers between the entries."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from balsamwall.coordination import messages_fleet
from balsamwall.gateway import server_speed
from balsamwall.gateway import speed_estimate

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.gateway import backend_directory
    from balsamwall.logs import decision_log
    from balsamwall.timing import clock as clock_module

# A coordinator that takes ServerSpeeds marks its fleet loads with this name,
# which earlier builds ignore, as they know no such server. They close a stream
# on which they receive a message with an unknown number.
ACCEPTS_SPEEDS_KEY = "server-speeds"
# Factors change slowly and are shared less often than work times.
FACTORS_INTERVAL_MS = 1_000
# Factors that an entry has learned are dropped this long after its report.
REPORT_MAX_AGE_MS = 3_000
# Limit of the weight of all entries together against that of one.
MAX_SHARED_WEIGHT = 3 * speed_estimate.MAX_WEIGHT

# Server and start time of its process.
_Process = tuple[str, int]
_Factors = dict[tuple[_Process, str], server_speed.LearnedSpeed]


class SpeedExchange:
    """Report what an entry has learned, and apply what all have learned.

    Load pattern: each of many entries sends a server a request every few
    seconds and learns its speed slowly, while all together learn it at once.
    """

    __slots__ = ("_clock", "_directory", "_factors_ms", "_is_taken", "_log")

    def __init__(
        self,
        clock: clock_module.Clock,
        directory: backend_directory.BackendDirectory,
        log: decision_log.DecisionLog,
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._log = log
        self._is_taken = False
        self._factors_ms = 0

    def restart(self) -> None:
        """Begin with a coordinator that may be of an earlier build."""
        self._is_taken = False

    def on_loads(self, loads: dict[str, int]) -> None:
        """Note whether the coordinator takes reports."""
        self._is_taken = ACCEPTS_SPEEDS_KEY in loads

    def report(self) -> messages_fleet.ServerSpeeds | None:
        """Return what to report now, None without any reported work time."""
        if not self._is_taken:
            return None
        now_ms = self._clock.now_ms()
        is_due = now_ms - self._factors_ms >= FACTORS_INTERVAL_MS
        if is_due:
            self._factors_ms = now_ms
        factors: _Factors = {}
        for server in self._directory.all_servers():
            if is_due and server.speed.reports_work_times:
                process = server.server_id, server.record.started_ms
                for model, speed in server.speed.to_share(now_ms).items():
                    factors[process, model] = speed
        return messages_fleet.ServerSpeeds(
            _encode_factors(factors), work_times(self._directory, now_ms)
        )

    def apply(self, item: messages_fleet.ServerSpeeds) -> None:
        """Apply what the coordinator has merged from all entries."""
        now_ms = self._clock.now_ms()
        try:
            factors = decode_factors(item)
            apply_work_times(item, self._directory, now_ms)
        except ValueError as error:
            self._log.write("speed_report_invalid", reason=str(error)[:200])
            return
        by_process: dict[_Process, dict[str, server_speed.LearnedSpeed]] = {}
        for (process, model), speed in factors.items():
            by_process.setdefault(process, {})[model] = speed
        for (server_id, started_ms), speeds in by_process.items():
            server = self._directory.get(server_id)
            if server is not None and server.record.started_ms == started_ms:
                server.speed.set_shared(speeds, now_ms)


class SpeedMerger:
    """Merge the reports of the entries by weight, in the coordinator."""

    __slots__ = ("_clock", "_directory", "_factors_ms", "_log", "_reports")

    def __init__(
        self,
        clock: clock_module.Clock,
        directory: backend_directory.BackendDirectory,
        log: decision_log.DecisionLog,
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._log = log
        self._factors_ms = 0
        # Time and last factors by entry, for those that report speeds.
        self._reports: dict[str, tuple[int, _Factors]] = {}

    def restart(self) -> None:
        """Discard the reports at the start of a term."""
        self._reports.clear()

    def remove_entry(self, vm: str) -> None:
        """Discard the report of an entry that has disconnected."""
        self._reports.pop(vm, None)

    def on_report(self, vm: str, item: messages_fleet.ServerSpeeds) -> None:
        """Record the report of an entry."""
        now_ms = self._clock.now_ms()
        try:
            factors = decode_factors(item)
            apply_work_times(item, self._directory, now_ms)
        except ValueError as error:
            self._log.write(
                "speed_report_invalid", vm=vm, reason=str(error)[:200]
            )
            return
        if factors or vm not in self._reports:
            self._reports[vm] = now_ms, factors

    def mark(self, loads: dict[str, int]) -> dict[str, int]:
        """Return fleet loads, marked if any server reports work times."""
        if not any(self._directory.speeds.reporting_servers()):
            return loads
        return {**loads, ACCEPTS_SPEEDS_KEY: 1}

    def share(
        self, send: Callable[[str, messages_fleet.ServerSpeeds], None]
    ) -> None:
        """Send the merged speeds to the entries that report theirs."""
        if not self._reports:
            return
        now_ms = self._clock.now_ms()
        factors: _Factors = {}
        if now_ms - self._factors_ms >= FACTORS_INTERVAL_MS:
            self._factors_ms = now_ms
            factors = self._merged(now_ms)
        item = messages_fleet.ServerSpeeds(
            _encode_factors(factors), work_times(self._directory, now_ms)
        )
        for vm in self._reports:
            send(vm, item)

    def _merged(self, now_ms: int) -> _Factors:
        found: dict[tuple[_Process, str], list[server_speed.LearnedSpeed]] = {}
        for reported_ms, factors in self._reports.values():
            if now_ms - reported_ms <= REPORT_MAX_AGE_MS:
                for key, speed in factors.items():
                    found.setdefault(key, []).append(speed)
        return {
            key: server_speed.LearnedSpeed(
                _merge([speed.prefill for speed in speeds]),
                _merge([speed.pause for speed in speeds]),
            )
            for key, speeds in found.items()
        }


def _merge(
    found: list[speed_estimate.WeightedFactor],
) -> speed_estimate.WeightedFactor:
    merged = speed_estimate.combine(found)
    return speed_estimate.WeightedFactor(
        merged.factor, min(MAX_SHARED_WEIGHT, merged.weight)
    )


def work_times(
    directory: backend_directory.BackendDirectory, now_ms: int
) -> list[list[object]]:
    """Return rows of the recently reported work times, with ages."""
    rows: list[list[object]] = []
    for server in directory.all_servers():
        found = server.speed.reported_work_time(now_ms)
        if found is not None:
            started_ms = server.record.started_ms
            rows.append(
                [server.server_id, started_ms, found.percent, found.age_ms]
            )
    return rows


def apply_work_times(
    item: messages_fleet.ServerSpeeds,
    directory: backend_directory.BackendDirectory,
    now_ms: int,
) -> None:
    """Set work times that are newer; raise ValueError if a row is invalid."""
    for row in item.work_times:
        if len(row) != 4 or type(row[0]) is not str:
            raise ValueError(f"work time row {row!r}")
        server_id, started_ms, percent, age_ms = row
        if type(percent) is not int or type(age_ms) is not int:
            raise ValueError(f"work time of {server_id}: not a number")
        if not 0 <= percent <= 10_000 or age_ms < 0:
            raise ValueError(f"work time of {server_id}: out of range")
        server = directory.get(server_id)
        if server is not None and server.record.started_ms == started_ms:
            server.speed.on_work_time(percent, now_ms - age_ms)


def _encode_factors(factors: _Factors) -> list[list[object]]:
    return [
        [
            *process,
            model,
            round(speed.prefill.factor, 3),
            round(speed.prefill.weight, 1),
            round(speed.pause.factor, 3),
            round(speed.pause.weight, 1),
        ]
        for (process, model), speed in factors.items()
    ]


def decode_factors(item: messages_fleet.ServerSpeeds) -> _Factors:
    """Return the factors in a message; raise ValueError if one is invalid."""
    factors: _Factors = {}
    for row in item.factors:
        if len(row) != 7:
            raise ValueError(f"factor row: expected 7 values, got {len(row)}")
        server_id, started_ms, model, *numbers = row
        if type(server_id) is not str or type(model) is not str:
            raise ValueError("factor row: server or model is not a string")
        if type(started_ms) is not int:
            raise ValueError(f"factor row of {server_id}: invalid time")
        for number in numbers:
            is_number = type(number) in (int, float)
            if not is_number or not math.isfinite(number) or number < 0:
                raise ValueError(f"factor of {server_id}: {number!r}")
        prefill, prefill_weight, pause, pause_weight = map(float, numbers)
        factors[(server_id, started_ms), model] = server_speed.LearnedSpeed(
            _rated(prefill, prefill_weight), _rated(pause, pause_weight)
        )
    return factors


def _rated(factor: float, weight: float) -> speed_estimate.WeightedFactor:
    """Return a factor within the limits of a local observation."""
    factor = max(speed_estimate.MIN_FACTOR, factor)
    return speed_estimate.WeightedFactor(
        min(speed_estimate.MAX_FACTOR, factor),
        min(MAX_SHARED_WEIGHT, weight),
    )
