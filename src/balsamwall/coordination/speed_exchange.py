"""Share the learned speeds of servers between the entries."""

from __future__ import annotations

import dataclasses
import math
from typing import Any
from typing import TYPE_CHECKING

from balsamwall.coordination import messages_fleet
from balsamwall.gateway import server_speed
from balsamwall.gateway import speed_estimate

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.gateway import backend_directory
    from balsamwall.logs import decision_log
    from balsamwall.timing import clock as clock_module

# Key that a coordinator which accepts all messages from 118 on adds to its
# fleet loads. Earlier builds ignore it, as they know no such server. They
# close a stream on which they receive a message with an unknown number.
ACCEPTS_SPEEDS_KEY = "server-speeds"
# Factors change slowly and are shared less often than work times.
FACTORS_INTERVAL_MS = 1_000
# Factors that an entry has learned are dropped this long after its report.
REPORT_MAX_AGE_MS = 3_000
# Limit of the weight of all entries together against that of one.
MAX_SHARED_WEIGHT = 3 * speed_estimate.MAX_WEIGHT

# Highest work time in percent that a server can report.
MAX_PERCENT = 10_000

# Server and start time of its process.
_Process = tuple[str, int]
_Factors = dict[tuple[_Process, str], server_speed.LearnedSpeed]


@dataclasses.dataclass(slots=True, frozen=True)
class _WorkTimeRow:
    """Work time that a server has reported, as in a message."""

    server_id: str
    started_ms: int
    percent: int
    age_ms: int

    def encode(self) -> list[object]:
        """Return the row of a message."""
        return [self.server_id, self.started_ms, self.percent, self.age_ms]


class _SpeedSource:
    """What the entry and the coordinator need to send speeds."""

    __slots__ = ("_clock", "_directory", "_factors_ms", "_log")

    def __init__(
        self,
        clock: clock_module.Clock,
        directory: backend_directory.BackendDirectory,
        log: decision_log.DecisionLog,
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._log = log
        self._factors_ms = 0  # when factors were last sent

    def _are_factors_due(self, now_ms: int) -> bool:
        return now_ms - self._factors_ms >= FACTORS_INTERVAL_MS


class SpeedExchange(_SpeedSource):
    """Report what an entry has learned, and apply what all have learned.

    Load pattern: each of many entries sends a server a request every few
    seconds and learns its speed slowly, while all together learn it at once.
    """

    __slots__ = ("_is_accepted",)

    def __init__(
        self,
        clock: clock_module.Clock,
        directory: backend_directory.BackendDirectory,
        log: decision_log.DecisionLog,
    ) -> None:
        super().__init__(clock, directory, log)
        self._is_accepted = False

    def restart(self) -> None:
        """Stop reports until the present coordinator accepts them.

        It may be of an earlier build.
        """
        self._is_accepted = False

    def on_loads(self, loads: dict[str, int]) -> None:
        """Record whether the coordinator asks for reports."""
        self._is_accepted = bool(loads.get(ACCEPTS_SPEEDS_KEY))

    def report(self) -> messages_fleet.ServerSpeeds | None:
        """Return what to report now, None without any reported work time."""
        if not self._is_accepted:
            return None
        now_ms = self._clock.now_ms()
        is_due = self._are_factors_due(now_ms)
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


class SpeedMerger(_SpeedSource):
    """Merge the reports of the entries by weight, in the coordinator."""

    __slots__ = ("_reports",)

    def __init__(
        self,
        clock: clock_module.Clock,
        directory: backend_directory.BackendDirectory,
        log: decision_log.DecisionLog,
    ) -> None:
        super().__init__(clock, directory, log)
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

    def with_acceptance(
        self, loads: dict[str, int], has_workspaces: bool
    ) -> dict[str, int]:
        """Return fleet loads that state which messages are accepted.

        They are unchanged unless there are workspaces, or any server reports
        work times. Speeds are reported only in the latter case.
        """
        is_reporting = any(self._directory.speeds.reporting_servers())
        if not is_reporting and not has_workspaces:
            return loads
        return {**loads, ACCEPTS_SPEEDS_KEY: int(is_reporting)}

    def share(
        self, send: Callable[[str, messages_fleet.ServerSpeeds], None]
    ) -> None:
        """Send the merged speeds to the entries that report theirs."""
        if not self._reports:
            return
        now_ms = self._clock.now_ms()
        factors: _Factors = {}
        if self._are_factors_due(now_ms):
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
            row = _WorkTimeRow(
                server.server_id,
                server.record.started_ms,
                found.percent,
                found.age_ms,
            )
            rows.append(row.encode())
    return rows


def apply_work_times(
    item: messages_fleet.ServerSpeeds,
    directory: backend_directory.BackendDirectory,
    now_ms: int,
) -> None:
    """Set work times that are newer; raise ValueError if a row is invalid."""
    for fields in item.work_times:
        row = _decode_work_time(fields)
        server = directory.get(row.server_id)
        if server is not None and server.record.started_ms == row.started_ms:
            server.speed.on_work_time(row.percent, now_ms - row.age_ms)


def _decode_work_time(fields: list[Any]) -> _WorkTimeRow:
    """Decode a row; raise ValueError if it is invalid."""
    if len(fields) != 4 or type(fields[0]) is not str:
        raise ValueError(
            "work time row: expected server, start time, percent and age, "
            f"found {fields!r}"
        )
    server_id, started_ms, percent, age_ms = fields
    if type(percent) is not int or not 0 <= percent <= MAX_PERCENT:
        raise ValueError(
            f"work time of {server_id}: expected an integer from 0 to "
            f"{MAX_PERCENT} percent, found {percent!r}"
        )
    if type(age_ms) is not int or age_ms < 0:
        raise ValueError(
            f"work time of {server_id}: expected a non-negative integer as "
            f"age in ms, found {age_ms!r}"
        )
    return _WorkTimeRow(server_id, started_ms, percent, age_ms)


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
            raise ValueError(
                f"factor row: expected 7 values, found {len(row)}"
            )
        server_id, started_ms, model, *numbers = row
        if type(server_id) is not str or type(model) is not str:
            raise ValueError(
                "factor row: expected strings as server and model, found "
                f"{server_id!r} and {model!r}"
            )
        if type(started_ms) is not int:
            raise ValueError(
                f"factor row of {server_id}: expected an integer as start "
                f"time, found {started_ms!r}"
            )
        for number in numbers:
            is_number = type(number) in (int, float)
            if not is_number or not math.isfinite(number) or number < 0:
                raise ValueError(
                    f"factor of {server_id}: expected a finite number of at "
                    f"least 0, found {number!r}"
                )
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
