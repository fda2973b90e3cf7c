"""Hand over the models of a leaving VM to other VMs."""

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

CHECK_INTERVAL_MS = 1_000
# Another VM is asked to load a name that has no other holder by then.
TARGET_TIMEOUT_MS = 20_000
# A load request to the same VM is repeated after this time.
REQUEST_INTERVAL_MS = 4_000
# Grants older than this are renewed before the VM leaves, so that none is
# close to its expiry when the process exits.
GRANT_RENEWAL_AGE_MS = 20_000


@dataclasses.dataclass(slots=True)
class _HandoverProgress:
    """Handover progress of one model or adapter."""

    grant: retention.Grant | None = None
    is_grant_requested: bool = False
    target_index: int = 0
    target_since_ms: int | None = None
    load_requested_ms: int | None = None


class Handover:
    """Obtain a retention grant for each name.

    A name without another holder is first loaded on another VM.
    """

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
        """Initialize; required returns the names, None while unknown."""
        self._clock = clock
        self._outbox = outbox
        self._retention = retention_table
        self._hooks = hooks
        self._required = required
        self._on_done = on_done
        self._names: dict[str, _HandoverProgress] = {}
        self._is_done = False

    @property
    def is_done(self) -> bool:
        """Return whether another holder granted retention of every name."""
        return self._is_done

    @property
    def missing(self) -> list[str]:
        """Return the names without a grant of another holder.

        The list is also empty while the required names are unknown.
        """
        return [
            name
            for name in self._required() or ()
            if name not in self._names or self._names[name].grant is None
        ]

    def step(self) -> None:
        """Request missing grants; repeat until all names are granted."""
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
        self._clock.call_later(CHECK_INTERVAL_MS, self.step)

    def _step_name(self, name: str, now_ms: int) -> None:
        progress = self._names.setdefault(name, _HandoverProgress())
        grant = progress.grant
        if grant is not None and now_ms - grant.sent_ms > GRANT_RENEWAL_AGE_MS:
            progress.grant = grant = None
        if grant is not None or progress.is_grant_requested:
            return
        holders = self._hooks.holders(name)
        if holders:
            self._request_grant(name, progress)
        else:
            self._request_load(name, progress, now_ms)

    def _request_grant(self, name: str, progress: _HandoverProgress) -> None:
        progress.is_grant_requested = True

        def on_answer(grant: retention.Grant | None) -> None:
            progress.is_grant_requested = False
            progress.grant = grant

        self._retention.request_grant(
            name, self._hooks.holders(name), on_answer, is_eviction=False
        )

    def _request_load(
        self, name: str, progress: _HandoverProgress, now_ms: int
    ) -> None:
        """Ask one VM to load the name, the next one after a timeout."""
        targets = self._hooks.load_targets(name)
        if not targets:
            return
        if progress.target_since_ms is None:
            progress.target_since_ms = now_ms
        elif now_ms - progress.target_since_ms > TARGET_TIMEOUT_MS:
            progress.target_index += 1
            progress.target_since_ms = now_ms
            progress.load_requested_ms = None
        requested_ms = progress.load_requested_ms
        if requested_ms is None or now_ms - requested_ms > REQUEST_INTERVAL_MS:
            progress.load_requested_ms = now_ms
            self._outbox.send(
                targets[progress.target_index % len(targets)],
                messages_residency.EnsureResident(name, False),
            )
