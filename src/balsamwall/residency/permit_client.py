"""Request permits for loads from the weight store."""

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

# A pending request, or the report that a permit is in use, is repeated after
# this time.
REQUEST_INTERVAL_MS = 2_000
# A granter that has not answered for this long is replaced by the next one.
ANSWER_TIMEOUT_MS = 4_000


@dataclasses.dataclass(slots=True)
class _Permit:
    """Requested or granted permit."""

    name: str
    urgency: int
    callback: Callable[[int], None]
    target: str = ""
    pool: int = 0
    request_id: int = 0
    last_answer_ms: int = 0
    # The validity counts from the last request, so that a late grant of a
    # paused granter is not used.
    sent_ms: int = 0
    is_granted: bool = False
    is_started: bool = False


class PermitClient:
    """Request permits from the lease holder, then from the share owners.

    The owners of fixed shares are asked while the lease holder does not
    answer.
    """

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
        """Initialize with the VMs to ask.

        lease_target returns the candidate for the lease, share_targets the
        owner of each fixed share.
        """
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
        """Request a permit; call back with its identifier when granted."""
        self._last_id += 1
        permit_id = self._last_id
        permit = _Permit(name, urgency, callback)
        self._permits[permit_id] = permit
        self._start_request(permit, 0)
        self._clock.call_later(
            REQUEST_INTERVAL_MS, self._on_repeat_timer, permit_id
        )
        return permit_id

    def is_usable(self, permit_id: int) -> bool:
        """Return whether a load may still start under a permit."""
        permit = self._permits.get(permit_id)
        if permit is None or not permit.is_granted or permit.is_started:
            return False
        end_ms = permit.sent_ms + permit_pool.PERMIT_VALID_MS
        return self._clock.now_ms() < end_ms

    def mark_started(self, permit_id: int) -> None:
        """Record that the load under a permit starts now."""
        permit = self._permits[permit_id]
        permit.is_started = True
        self._send_in_use(permit)

    def release(self, permit_id: int) -> None:
        """Return a permit or withdraw the request for it."""
        permit = self._permits.pop(permit_id, None)
        if permit is not None:
            item = messages_residency.PermitReturned(permit.request_id)
            self._outbox.send(permit.target, item)

    def on_message(self, peer: str, item: message.Message) -> bool:
        """Handle a grant; return whether it was one."""
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
        permit.last_answer_ms = now_ms
        if valid_ms == 0 or permit.is_granted:
            return
        if now_ms - permit.sent_ms >= permit_pool.PERMIT_VALID_MS:
            return
        permit.is_granted = True
        permit.callback(permit_id)

    def _start_request(self, permit: _Permit, pool: int) -> None:
        """Request a permit from a granter under a new request identifier."""
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
        permit.last_answer_ms = self._clock.now_ms()
        self._send_request(permit)

    def _send_request(self, permit: _Permit) -> None:
        permit.sent_ms = self._clock.now_ms()
        item = messages_residency.PermitRequest(
            permit.request_id, permit.name, permit.urgency
        )
        self._outbox.send(permit.target, item)

    def _send_in_use(self, permit: _Permit) -> None:
        """Report the permit in use to its granter and to the current one."""
        item = messages_residency.PermitInUse(permit.request_id)
        targets = [*self._share_targets()]
        target = self._lease_target()
        if 0 < permit.pool <= len(targets):
            target = targets[permit.pool - 1]
        for vm in {permit.target, target}:
            self._outbox.send(vm, item)

    def _on_repeat_timer(self, permit_id: int) -> None:
        """Repeat a pending request or the report that a permit is in use."""
        permit = self._permits.get(permit_id)
        if permit is None:
            return
        now_ms = self._clock.now_ms()
        if permit.is_started or permit.is_granted:
            self._send_in_use(permit)
        elif now_ms - permit.last_answer_ms > ANSWER_TIMEOUT_MS:
            self._start_request(permit, permit.pool + 1)
        else:
            self._send_request(permit)
        self._clock.call_later(
            REQUEST_INTERVAL_MS, self._on_repeat_timer, permit_id
        )
