"""Replace resident versions by the configured ones.

A change to an earlier version is handled like one to a later version.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.protocol import messages_residency
from balsamwall.residency import model_copy
from balsamwall.residency import residency_task
from balsamwall.residency import urgency as urgency_levels
from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from balsamwall.protocol import outbox as outbox_module
    from balsamwall.residency import copy_table
    from balsamwall.residency import model_catalogue
    from balsamwall.residency import residency_hooks
    from balsamwall.residency import task_runner
    from balsamwall.timing import clock as clock_module

# Mean time between two comparisons.
RECONCILE_INTERVAL_MS = 5_000
# Shortest interval between two loads of the configured version of a name,
# unless the configuration changes.
RETRY_DELAY_MS = 15_000

_Kind = residency_task.TaskKind


class VersionRollout:
    """Load the configured version first, then unload the other one.

    If memory is too short for both, the other version is unloaded first
    under a retention grant, while another holder serves the model.
    """

    __slots__ = (
        "_catalogue",
        "_clock",
        "_hooks",
        "_is_active",
        "_not_before_ms",
        "_outbox",
        "_random_source",
        "_runner",
        "_table",
        "_timer",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        outbox: outbox_module.Outbox,
        random_source: random.Random,
        catalogue: model_catalogue.ModelCatalogue,
        table: copy_table.CopyTable,
        runner: task_runner.TaskRunner,
        hooks: residency_hooks.ResidencyHooks,
        is_active: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._outbox = outbox
        self._random_source = random_source
        self._table = table
        self._runner = runner
        self._hooks = hooks
        self._is_active = is_active
        self._catalogue = catalogue
        self._not_before_ms: dict[str, int] = {}
        self._timer: clock_module.Timer | None = None

    def retry(self) -> None:
        """Clear the retry delays after a change of the configuration."""
        self._not_before_ms.clear()

    def start(self) -> None:
        """Schedule the next comparison after 0.5 to 1.5 intervals.

        The delay is random, so that VMs do not all compare at the same time.
        """
        spread_ms = self._random_source.randrange(RECONCILE_INTERVAL_MS)
        self._timer = self._clock.call_later(
            RECONCILE_INTERVAL_MS // 2 + spread_ms, self._step
        )

    def stop(self) -> None:
        """Stop comparing versions."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _step(self) -> None:
        self.start()
        if not self._is_active():
            return
        for copy in self._table.copies():
            spec = self._catalogue.find_spec(copy.spec.name)
            if spec is not None and spec.version != copy.spec.version:
                self._replace_version(copy, spec)
        self._runner.pump()

    def _replace_version(
        self, copy: model_copy.ModelCopy, spec: model_copy.CopySpec
    ) -> None:
        name, version = copy.spec.key
        level = urgency_levels.REBALANCING
        new_copy = self._table.get(spec.key)
        if new_copy is not None:
            if new_copy.state is model_copy.CopyState.READY:
                self._runner.add(_Kind.UNLOAD, name, version, level)
            return
        now_ms = self._clock.now_ms()
        if self._not_before_ms.get(name, 0) > now_ms:
            return
        if self._runner.has_task(_Kind.LOAD, name):
            return
        self._not_before_ms[name] = now_ms + RETRY_DELAY_MS

        def on_done(code: result_code.ResultCode) -> None:
            if code is not result_code.ResultCode.OK:
                self._request_load_elsewhere(name)

        self._runner.add(
            _Kind.LOAD, name, "", level, on_done, is_version_change=True
        )

    def _request_load_elsewhere(self, name: str) -> None:
        """Ask another VM to load the new version if no other VM holds it."""
        if self._hooks.holders(name):
            return
        for target in self._hooks.load_targets(name)[:1]:
            item = messages_residency.EnsureResident(name, False)
            self._outbox.send(target, item)
