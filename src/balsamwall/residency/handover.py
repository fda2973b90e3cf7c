"""Handover of the models of a leaving VM to other holders."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from balsamwall.protocol import messages_residency
from balsamwall.residency import retention

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.protocol import outbox as outbox_module
    from balsamwall.residency import residency_hooks
    from balsamwall.timing import clock as clock_module

STEP_MS = 1_000
ASK_NEXT_TARGET_MS = 20_000
REPEAT_ASK_MS = 4_000
# A promise older than this is asked for again before the VM goes, so that
# all promises are young when the process exits.
RENEW_AFTER_MS = 20_000


@dataclasses.dataclass(slots=True)
class _Name:
    """Progress of one model or adapter."""

    grant: retention.Grant | None = None
    is_asking: bool = False
    target: int = 0
    target_since_ms: int | None = None
    asked_ms: int | None = None


class Handover:
    """Get a promise for each name; load it elsewhere if nobody holds it."""

    __slots__ = (
        "_clock",
        "_hooks",
        "_is_done",
        "_names",
        "_on_done",
        "_outbox",
        "_required",
        "_retention",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        outbox: outbox_module.Outbox,
        retention_table: retention.RetentionTable,
        hooks: residency_hooks.ResidencyHooks,
        required: Callable[[], list[str] | None],
        on_done: Callable[[], None],
    ) -> None:
        """Take required: the names to hand over, None while unknown."""
        self._clock = clock
        self._outbox = outbox
        self._retention = retention_table
        self._hooks = hooks
        self._required = required
        self._on_done = on_done
        self._names: dict[str, _Name] = {}
        self._is_done = False

    @property
    def is_done(self) -> bool:
        """Tell whether every name was promised by another holder."""
        return self._is_done

    @property
    def missing(self) -> list[str]:
        """Return the names without a promise of another holder."""
        return [
            name
            for name in self._required() or ()
            if name not in self._names or self._names[name].grant is None
        ]

    def step(self) -> None:
        """Ask for what is missing and repeat until all is promised."""
        if self._is_done:
            return
        now_ms = self._clock.now_ms()
        required = self._required()
        for name in required or ():
            self._step_name(name, now_ms)
        if required is not None and all(
            self._names[name].grant is not None for name in required
        ):
            self._is_done = True
            self._on_done()
            return
        self._clock.call_later(STEP_MS, self.step)

    def _step_name(self, name: str, now_ms: int) -> None:
        progress = self._names.setdefault(name, _Name())
        grant = progress.grant
        if grant is not None and now_ms - grant.sent_ms > RENEW_AFTER_MS:
            progress.grant = grant = None
        if grant is not None or progress.is_asking:
            return
        holders = self._hooks.holders(name)
        if holders:
            self._ask_holders(name, progress)
        else:
            self._ask_target(name, progress, now_ms)

    def _ask_holders(self, name: str, progress: _Name) -> None:
        progress.is_asking = True

        def on_answer(grant: retention.Grant | None) -> None:
            progress.is_asking = False
            progress.grant = grant

        self._retention.request(
            name, self._hooks.holders(name), on_answer, is_eviction=False
        )

    def _ask_target(self, name: str, progress: _Name, now_ms: int) -> None:
        """Ask one VM to load the name; another one after a while."""
        targets = self._hooks.load_targets(name)
        if not targets:
            return
        if progress.target_since_ms is None:
            progress.target_since_ms = now_ms
        elif now_ms - progress.target_since_ms > ASK_NEXT_TARGET_MS:
            progress.target += 1
            progress.target_since_ms = now_ms
            progress.asked_ms = None
        asked_ms = progress.asked_ms
        if asked_ms is None or now_ms - asked_ms > REPEAT_ASK_MS:
            progress.asked_ms = now_ms
            self._outbox.send(
                targets[progress.target % len(targets)],
                messages_residency.EnsureResident(name, False),
            )
