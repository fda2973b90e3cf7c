"""Promises between holders of a model: one keeps it while one evicts.

Why a reachable copy remains: an eviction starts only under a promise of
another holder, a holder with a promise outstanding starts no eviction of that
model, and a holder that is evicting gives no promise. So the promising holder
of each eviction stays. A promise lasts 120 s from the grant on the granter's
clock. The requester starts its unload within 30 s after it sent the request,
which was before the grant, and the unload takes effect within the maximum
order delay, so the promise outlives it without a common clock.

A restarted holder has forgotten its promises. They were all made before its
start, so it starts no eviction for the length of a promise after its start.
It gives no new promise before its recovery ends, because an unload of the
earlier incarnation may still take effect until then.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from balsamwall.protocol import messages_residency

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence
    import random

    from balsamwall.protocol import message
    from balsamwall.protocol import outbox as outbox_module
    from balsamwall.timing import clock as clock_module

PROMISE_MS = 120_000
START_WINDOW_MS = 30_000
ANSWER_TIMEOUT_MS = 1_500


@dataclasses.dataclass(slots=True, frozen=True)
class Grant:
    """Promise that another holder gave to this VM."""

    name: str
    peer: str
    request_id: int
    sent_ms: int

    def is_usable(self, now_ms: int) -> bool:
        """Tell whether an unload may still start under this promise."""
        return now_ms <= self.sent_ms + START_WINDOW_MS


@dataclasses.dataclass(slots=True)
class _Inquiry:
    """Search for a holder that promises to keep a model."""

    name: str
    peers: list[str]
    callback: Callable[[Grant | None], None]
    is_eviction: bool
    peer: str = ""
    request_id: int = 0
    sent_ms: int = 0
    grant: Grant | None = None
    is_ordered: bool = False


class RetentionTable:
    """Both sides of retention grants of one holder."""

    __slots__ = (
        "_clock",
        "_inquiries",
        "_is_leaving",
        "_outbox",
        "_promises",
        "_random_source",
        "_started_ms",
        "_verify",
        "_vm",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        outbox: outbox_module.Outbox,
        random_source: random.Random,
        vm: str,
        verify: Callable[[str, Callable[[bool], None]], None],
    ) -> None:
        """Take verify, which calls back whether a ready copy is here now."""
        self._clock = clock
        self._outbox = outbox
        self._random_source = random_source
        self._vm = vm
        self._verify = verify
        self._started_ms = clock.now_ms()
        self._is_leaving = False
        self._inquiries: dict[str, _Inquiry] = {}
        self._promises: dict[str, dict[tuple[str, int], int]] = {}

    @property
    def are_evictions_allowed(self) -> bool:
        """Tell whether promises of an earlier incarnation have ended."""
        return self._clock.now_ms() > self._started_ms + PROMISE_MS

    def set_leaving(self) -> None:
        """Give no more promises, because this VM leaves."""
        self._is_leaving = True

    def is_promised(self, name: str) -> bool:
        """Tell whether a promise to keep a name is valid."""
        now_ms = self._clock.now_ms()
        promises = self._promises.get(name, {})
        return any(end_ms >= now_ms for end_ms in promises.values())

    def may_evict(self, name: str) -> bool:
        """Tell whether an eviction of a name may start."""
        return self.are_evictions_allowed and not self.is_promised(name)

    def request(
        self,
        name: str,
        holders: Sequence[str],
        callback: Callable[[Grant | None], None],
        is_eviction: bool = True,
    ) -> None:
        """Ask holders in turn; call back with a grant, or None at the end.

        The callback gets None later, after a grant, if the eviction must
        stop: the peer lost its copy or asks for the same model itself.
        """
        self.cancel(name)
        peers = [vm for vm in holders if vm != self._vm]
        inquiry = _Inquiry(name, peers, callback, is_eviction)
        self._inquiries[name] = inquiry
        self._ask_next(inquiry)

    def mark_ordered(self, name: str) -> bool:
        """Note that the unload is sent now; False if it must not be."""
        inquiry = self._inquiries.get(name)
        if inquiry is None or inquiry.grant is None:
            return False
        if not inquiry.grant.is_usable(self._clock.now_ms()):
            return False
        if self.is_promised(name) or not self.are_evictions_allowed:
            return False
        inquiry.is_ordered = True
        return True

    def cancel(self, name: str) -> None:
        """End an inquiry or an eviction and give the promise back."""
        inquiry = self._inquiries.pop(name, None)
        if inquiry is not None and inquiry.peer:
            self._send_released(inquiry.peer, inquiry.request_id, name)

    def on_copy_lost(self, name: str) -> None:
        """Tell the peers that rely on this copy that it is gone."""
        for peer, request_id in self._promises.pop(name, {}):
            item = messages_residency.RetainRefused(request_id, name, "lost")
            self._outbox.send(peer, item)

    def on_message(self, peer: str, item: message.Message) -> bool:
        """Handle a retention message; tell whether it was one."""
        if isinstance(item, messages_residency.RetainRequest):
            self._on_request(peer, item.request_id, item.name)
        elif isinstance(item, messages_residency.RetainGranted):
            self._on_granted(peer, item.request_id, item.name)
        elif isinstance(item, messages_residency.RetainRefused):
            self._on_refused(peer, item.request_id, item.name)
        elif isinstance(item, messages_residency.RetainReleased):
            promises = self._promises.get(item.name, {})
            promises.pop((peer, item.request_id), None)
            if not promises:
                self._promises.pop(item.name, None)
        else:
            return False
        return True

    def on_peer_down(self, peer: str) -> None:
        """Ask the next holder; promises to the peer stay until they end."""
        for inquiry in list(self._inquiries.values()):
            if inquiry.peer == peer and inquiry.grant is None:
                self._ask_next(inquiry)

    def _ask_next(self, inquiry: _Inquiry) -> None:
        if inquiry.peer:
            self._send_released(inquiry.peer, inquiry.request_id, inquiry.name)
            inquiry.peer = ""
        if not inquiry.peers:
            self._abort(inquiry)
            return
        inquiry.peer = inquiry.peers.pop(0)
        inquiry.request_id = self._random_source.getrandbits(48)
        inquiry.sent_ms = self._clock.now_ms()
        request_id = inquiry.request_id
        self._outbox.send(
            inquiry.peer,
            messages_residency.RetainRequest(request_id, inquiry.name),
        )
        self._clock.call_later(
            ANSWER_TIMEOUT_MS, self._on_timeout, inquiry, request_id
        )

    def _on_timeout(self, inquiry: _Inquiry, request_id: int) -> None:
        if self._inquiries.get(inquiry.name) is not inquiry:
            return
        if inquiry.request_id == request_id and inquiry.grant is None:
            self._ask_next(inquiry)

    def _abort(self, inquiry: _Inquiry) -> None:
        """Stop an inquiry that has no order out and tell its owner."""
        if self._inquiries.get(inquiry.name) is inquiry:
            self.cancel(inquiry.name)
        inquiry.callback(None)

    def _on_granted(self, peer: str, request_id: int, name: str) -> None:
        inquiry = self._inquiries.get(name)
        if (
            inquiry is None
            or inquiry.peer != peer
            or inquiry.request_id != request_id
        ):
            self._send_released(peer, request_id, name)
            return
        if inquiry.grant is None:
            inquiry.grant = Grant(name, peer, request_id, inquiry.sent_ms)
            inquiry.callback(inquiry.grant)

    def _on_refused(self, peer: str, request_id: int, name: str) -> None:
        inquiry = self._inquiries.get(name)
        if inquiry is None or inquiry.is_ordered:
            return
        if inquiry.peer != peer or inquiry.request_id != request_id:
            return
        if inquiry.grant is None:
            self._ask_next(inquiry)
        else:
            self._abort(inquiry)

    def _on_request(self, peer: str, request_id: int, name: str) -> None:
        reason = self._refusal(peer, name)
        if reason:
            self._send_refused(peer, request_id, name, reason)
            return
        self._verify(
            name,
            lambda is_here: self._on_verified(peer, request_id, name, is_here),
        )

    def _on_verified(
        self, peer: str, request_id: int, name: str, is_here: bool
    ) -> None:
        reason = self._refusal(peer, name) if is_here else "not ready here"
        if reason:
            self._send_refused(peer, request_id, name, reason)
            return
        promises = self._promises.setdefault(name, {})
        promises[(peer, request_id)] = self._clock.now_ms() + PROMISE_MS
        inquiry = self._inquiries.get(name)
        if inquiry is not None and inquiry.is_eviction:
            self._abort(inquiry)
        item = messages_residency.RetainGranted(request_id, name)
        self._outbox.send(peer, item)
        self._drop_expired(name)

    def _refusal(self, peer: str, name: str) -> str:
        """Return why a promise is refused, empty if it may be given."""
        if self._is_leaving:
            return "leaving"
        inquiry = self._inquiries.get(name)
        if inquiry is None or not inquiry.is_eviction:
            return ""
        if inquiry.is_ordered:
            return "evicting"
        # The holder with the lower name keeps the model, so that two that
        # ask each other neither both give way nor both refuse.
        return "" if self._vm < peer else "lower name keeps"

    def _drop_expired(self, name: str) -> None:
        now_ms = self._clock.now_ms()
        promises = self._promises.get(name, {})
        for key in [k for k, end_ms in promises.items() if end_ms < now_ms]:
            del promises[key]

    def _send_released(self, peer: str, request_id: int, name: str) -> None:
        item = messages_residency.RetainReleased(request_id, name)
        self._outbox.send(peer, item)

    def _send_refused(
        self, peer: str, request_id: int, name: str, reason: str
    ) -> None:
        item = messages_residency.RetainRefused(request_id, name, reason)
        self._outbox.send(peer, item)
