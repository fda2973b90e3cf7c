"""Permits for loads from the weight store, as an agent asks for them."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from balsamwall.placement import permit_pool
from balsamwall.placement import permit_task
from balsamwall.protocol import messages_residency

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from balsamwall.protocol import message
    from balsamwall.protocol import outbox as outbox_module
    from balsamwall.timing import clock as clock_module

REPEAT_MS = 2_000
# Without any answer for this time another granter is asked.
SILENT_MS = 4_000


@dataclasses.dataclass(slots=True)
class _Permit:
    """Request for a permit, then the permit."""

    name: str
    urgency: int
    callback: Callable[[int], None]
    target: str = ""
    pool: int = 0
    request_id: int = 0
    heard_ms: int = 0
    # A grant is used for a while after the last request only, so that a
    # late grant of a paused granter is not used.
    sent_ms: int = 0
    is_granted: bool = False
    is_started: bool = False


class PermitClient:
    """Ask the lease holder, and owners of fixed shares if it is silent."""

    __slots__ = (
        "_clock",
        "_last_id",
        "_lease_target",
        "_outbox",
        "_permits",
        "_random_source",
        "_share_targets",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        outbox: outbox_module.Outbox,
        random_source: random.Random,
        lease_target: Callable[[], str],
        share_targets: Callable[[], list[str]],
    ) -> None:
        """Take the VMs to ask: lease candidate and owner of each share."""
        self._clock = clock
        self._outbox = outbox
        self._random_source = random_source
        self._lease_target = lease_target
        self._share_targets = share_targets
        self._last_id = 0
        self._permits: dict[int, _Permit] = {}

    def acquire(
        self, name: str, urgency: int, callback: Callable[[int], None]
    ) -> int:
        """Ask for a permit; call back with its identifier when granted."""
        self._last_id += 1
        permit_id = self._last_id
        permit = _Permit(name, urgency, callback)
        self._permits[permit_id] = permit
        self._ask(permit, 0)
        self._clock.call_later(REPEAT_MS, self._repeat, permit_id)
        return permit_id

    def is_usable(self, permit_id: int) -> bool:
        """Tell whether a load may still start under a permit."""
        permit = self._permits.get(permit_id)
        if permit is None or not permit.is_granted or permit.is_started:
            return False
        end_ms = permit.sent_ms + permit_pool.PERMIT_VALID_MS
        return self._clock.now_ms() < end_ms

    def mark_started(self, permit_id: int) -> None:
        """Note that the load of a permit starts now."""
        permit = self._permits[permit_id]
        permit.is_started = True
        self._name(permit)

    def release(self, permit_id: int) -> None:
        """Give a permit or a request for one back."""
        permit = self._permits.pop(permit_id, None)
        if permit is not None:
            item = messages_residency.PermitReturned(permit.request_id)
            self._outbox.send(permit.target, item)

    def on_message(self, peer: str, item: message.Message) -> bool:
        """Handle a grant; tell whether it was one."""
        if not isinstance(item, messages_residency.PermitGranted):
            return False
        for permit_id, permit in list(self._permits.items()):
            if permit.request_id == item.request_id:
                if permit.target == peer:
                    self._on_granted(permit_id, permit, item.valid_ms)
                return True
        if item.valid_ms > 0:
            back = messages_residency.PermitReturned(item.request_id)
            self._outbox.send(peer, back)
        return True

    def _on_granted(
        self, permit_id: int, permit: _Permit, valid_ms: int
    ) -> None:
        now_ms = self._clock.now_ms()
        permit.heard_ms = now_ms
        if valid_ms == 0 or permit.is_granted:
            return
        if now_ms - permit.sent_ms >= permit_pool.PERMIT_VALID_MS:
            return
        permit.is_granted = True
        permit.callback(permit_id)

    def _ask(self, permit: _Permit, pool: int) -> None:
        """Ask a granter under a new request number."""
        if permit.target:
            item = messages_residency.PermitReturned(permit.request_id)
            self._outbox.send(permit.target, item)
        targets = self._share_targets()
        permit.pool = pool % (len(targets) + 1)
        permit.target = self._lease_target()
        if permit.pool:
            permit.target = targets[permit.pool - 1]
        number = self._random_source.getrandbits(48)
        permit.request_id = number * permit_task.POOL_ID_MODULUS + permit.pool
        permit.heard_ms = self._clock.now_ms()
        self._send(permit)

    def _send(self, permit: _Permit) -> None:
        permit.sent_ms = self._clock.now_ms()
        item = messages_residency.PermitRequest(
            permit.request_id, permit.name, permit.urgency
        )
        self._outbox.send(permit.target, item)

    def _name(self, permit: _Permit) -> None:
        """Tell the granter, and a new one, that the permit is in use."""
        item = messages_residency.PermitInUse(permit.request_id)
        targets = [*self._share_targets()]
        target = self._lease_target()
        if 0 < permit.pool <= len(targets):
            target = targets[permit.pool - 1]
        for vm in {permit.target, target}:
            self._outbox.send(vm, item)

    def _repeat(self, permit_id: int) -> None:
        """Repeat the request while it waits; name the permit in use."""
        permit = self._permits.get(permit_id)
        if permit is None:
            return
        now_ms = self._clock.now_ms()
        if permit.is_started or permit.is_granted:
            self._name(permit)
        elif now_ms - permit.heard_ms > SILENT_MS:
            self._ask(permit, permit.pool + 1)
        else:
            self._send(permit)
        self._clock.call_later(REPEAT_MS, self._repeat, permit_id)
