"""Exchange the tokens charged to workspaces between the entries."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from balsamwall.coordination import messages_fleet

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from balsamwall.gateway import configuration_holder
    from balsamwall.gateway import room_queue
    from balsamwall.gateway import workspace_metrics
    from balsamwall.logs import decision_log
    from balsamwall.timing import clock as clock_module

# Charges that could not be reported for this time are dropped: after a pause
# of the process they would count for a competition that is over.
CHARGE_MAX_AGE_MS = 1_000
# Rows of a message to an entry; further ones follow in the next message.
MAX_ROWS = 256

_Key = tuple[str, str]  # service and workspace
_Use = collections.Counter[_Key]


class UseReport:
    """Report what an entry has charged, and apply what others have.

    Load pattern: each of 30 entries serves a few requests a second, while the
    shares of the workspaces are those of the requests of all entries.
    """

    __slots__ = (
        "_charges",
        "_clock",
        "_configuration",
        "_log",
        "_metrics",
        "_reported_queued",
        "_room",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        configuration: configuration_holder.ConfigurationHolder,
        room: room_queue.RoomQueue,
        metrics: workspace_metrics.WorkspaceMetrics,
        log: decision_log.DecisionLog,
    ) -> None:
        self._clock = clock
        self._configuration = configuration
        self._room = room
        self._metrics = metrics
        self._log = log
        # Time, service and workspace, and tokens, since the last report.
        self._charges: collections.deque[tuple[int, _Key, float]]
        self._charges = collections.deque()
        self._reported_queued: Mapping[str, int] = {}
        room.set_charge_listener(self.on_charged)

    def on_charged(self, service: str, workspace: str, tokens: float) -> None:
        """Record what a send was charged while requests waited."""
        self._metrics.count_charged(workspace, tokens)
        self._charges.append(
            (self._clock.now_ms(), (service, workspace), tokens)
        )
        self._drop_old()

    def set_queued(self, queued: Mapping[str, int]) -> None:
        """Record the waiting requests that this entry reports, by model."""
        self._reported_queued = queued

    def take(self) -> messages_fleet.WorkspaceUse | None:
        """Return the charges since the last report, None without any.

        They are reported once: if the message is lost with its stream, the
        other entries don't learn of them.
        """
        self._drop_old()
        use: dict[_Key, float] = {}
        for _, key, tokens in self._charges:
            use[key] = use.get(key, 0.0) + tokens
        self._charges.clear()
        if not use:
            return None
        rows = collections.Counter(
            {key: max(1, round(tokens)) for key, tokens in use.items()}
        )
        return messages_fleet.WorkspaceUse(_encode(rows.items()))

    def apply(self, item: messages_fleet.FleetWorkspaceUse) -> None:
        """Charge what the other entries have served."""
        try:
            rows = decode(item.rows, self._configuration)
        except ValueError as error:
            self._log.write("workspace_use_invalid", reason=str(error)[:200])
            return
        for (_, workspace), tokens in rows.items():
            self._metrics.count_charged(workspace, tokens)
        self._room.add_fleet_use(
            [(*key, tokens) for key, tokens in rows.items()]
        )

    def on_fleet_queued(self, queued: Mapping[str, int]) -> None:
        """Note for which services requests wait at other entries.

        The coordinator's counts by model include those of this entry.
        """
        current = self._configuration.current
        if current is None or current.workspaces is None:
            return
        waiting = {
            name
            for name, count in queued.items()
            if count > self._reported_queued.get(name, 0)
        }
        for name, service in current.services.items():
            models = service.engine.models if service.engine else {}
            if name in waiting or not waiting.isdisjoint(models):
                self._room.set_waiting_elsewhere(name)

    def _drop_old(self) -> None:
        oldest_ms = self._clock.now_ms() - CHARGE_MAX_AGE_MS
        while self._charges and self._charges[0][0] < oldest_ms:
            self._charges.popleft()


class UseMerger:
    """Add up the reports of the entries, in the coordinator.

    An entry is told only what the others have charged, each charge once.
    """

    __slots__ = ("_by_entry", "_configuration", "_log", "_total", "_unsent")

    def __init__(
        self,
        configuration: configuration_holder.ConfigurationHolder,
        log: decision_log.DecisionLog,
    ) -> None:
        self._configuration = configuration
        self._log = log
        # Charges since the last messages: of all entries, and of each.
        self._total: _Use = collections.Counter()
        self._by_entry: dict[str, _Use] = {}
        # By entry: rows that the last message had no space for.
        self._unsent: dict[str, _Use] = {}

    def restart(self) -> None:
        """Discard the reports at the start of a term."""
        self._total.clear()
        self._by_entry.clear()
        self._unsent.clear()

    def remove_entry(self, vm: str) -> None:
        """Discard what a disconnected entry was to be told.

        Its own charges are kept until the next messages: an entry that has
        reconnected by then must not be told of them.
        """
        self._unsent.pop(vm, None)

    def on_report(self, vm: str, item: messages_fleet.WorkspaceUse) -> None:
        """Add the charges of an entry."""
        try:
            use = decode(item.rows, self._configuration)
        except ValueError as error:
            self._log.write(
                "workspace_use_invalid", vm=vm, reason=str(error)[:200]
            )
            return
        self._total.update(use)
        self._by_entry.setdefault(vm, collections.Counter()).update(use)

    def share(
        self,
        entries: Iterable[str],
        send: Callable[[str, messages_fleet.FleetWorkspaceUse], None],
    ) -> None:
        """Send each entry what the others have charged since the last time."""
        total, self._total = self._total, collections.Counter()
        by_entry, self._by_entry = self._by_entry, {}
        unsent, self._unsent = self._unsent, {}
        for vm in entries:
            use = total - by_entry.get(vm, collections.Counter())
            use.update(unsent.get(vm, ()))
            rows = use.most_common()
            if not rows:
                continue
            if len(rows) > MAX_ROWS:
                self._unsent[vm] = collections.Counter(dict(rows[MAX_ROWS:]))
            item = messages_fleet.FleetWorkspaceUse(_encode(rows[:MAX_ROWS]))
            send(vm, item)


def _encode(rows: Iterable[tuple[_Key, int]]) -> list[list[object]]:
    return [[*key, tokens] for key, tokens in rows]


def decode(
    rows: Iterable[object],
    configuration: configuration_holder.ConfigurationHolder,
) -> _Use:
    """Return the tokens of rows; raise ValueError if one is invalid.

    Services and workspaces that the configuration in force does not have are
    left out: they were removed, or are not known here yet.
    """
    current = configuration.current
    found: _Use = collections.Counter()
    for row in rows:
        if type(row) is not list or len(row) != 3:
            raise ValueError(
                "row of use: expected service, workspace and tokens, found "
                f"{row!r}"
            )
        service, workspace, tokens = row
        if type(service) is not str or type(workspace) is not str:
            raise ValueError(
                "row of use: expected strings as service and workspace, "
                f"found {service!r} and {workspace!r}"
            )
        if type(tokens) is not int or tokens < 0:
            raise ValueError(
                f"use of {workspace}: expected a non-negative integer of "
                f"tokens, found {tokens!r}"
            )
        if current is None or current.workspaces is None:
            continue
        if service in current.services and current.workspaces.get(workspace):
            found[service, workspace] += tokens
    return found
