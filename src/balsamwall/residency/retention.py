"""Exchange retention grants between holders of a model.

A VM evicts its copy only while another holder guarantees to keep its own.
This keeps a copy reachable: an eviction starts only under a grant of another
holder, a holder with an issued grant starts no eviction of that model, and a
holder that is evicting issues no grant. So the granter of each eviction keeps
its copy. A grant lasts 120 s from its issue on the granter's clock. The
requester starts its unload within 30 s after it sent the request, which was
before the grant was issued, and the unload takes effect within the maximum
order delay. So the grant outlasts the unload without a common clock.

A restarted holder has no record of the grants it issued. They all date from
before its start, so it starts no eviction for the duration of a grant after
its start. It issues no new grant before its recovery ends, because an unload
of the earlier incarnation may still take effect until then.
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

# Counted from the issue, on the granter's clock.
GRANT_DURATION_MS = 120_000
# Counted from the sending of the request, on the requester's clock.
UNLOAD_START_WINDOW_MS = 30_000
# A holder that has not answered after this time is skipped.
ANSWER_TIMEOUT_MS = 1_500


@dataclasses.dataclass(slots=True, frozen=True)
class Grant:
    """Describe the promise of another holder to keep its copy."""

    name: str
    peer: str
    request_id: int
    sent_ms: int

    def is_usable(self, now_ms: int) -> bool:
        """Return whether an unload may still start under this grant."""
        return now_ms <= self.sent_ms + UNLOAD_START_WINDOW_MS


@dataclasses.dataclass(slots=True)
class _GrantRequest:
    """Request for a grant, sent to one holder after another."""

    name: str
    remaining_peers: list[str]
    callback: Callable[[Grant | None], None]
    is_eviction: bool
    peer: str = ""
    request_id: int = 0
    sent_ms: int = 0
    grant: Grant | None = None
    is_unload_ordered: bool = False


class RetentionTable:
    """Track the grants that one holder requests and issues."""

    __slots__ = (
        "_clock",
        "_grant_requests",
        "_is_leaving",
        "_outbox",
        "_issued_grants",
        "_random_source",
        "_started_ms",
        "_verify_copy",
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
        """Initialize; verify calls back whether a ready copy is here now."""
        self._clock = clock
        self._outbox = outbox
        self._random_source = random_source
        self._vm = vm
        self._verify_copy = verify
        self._started_ms = clock.now_ms()
        self._is_leaving = False
        self._grant_requests: dict[str, _GrantRequest] = {}
        self._issued_grants: dict[str, dict[tuple[str, int], int]] = {}

    @property
    def are_evictions_allowed(self) -> bool:
        """Return whether grants of an earlier incarnation have expired."""
        return self._clock.now_ms() > self._started_ms + GRANT_DURATION_MS

    def set_leaving(self) -> None:
        """Issue no more grants, because this VM is leaving."""
        self._is_leaving = True

    def has_issued_grant(self, name: str) -> bool:
        """Return whether a grant issued for a name is still valid."""
        now_ms = self._clock.now_ms()
        grants = self._issued_grants.get(name, {})
        return any(end_ms >= now_ms for end_ms in grants.values())

    def may_evict(self, name: str) -> bool:
        """Return whether an eviction of a name may start."""
        return self.are_evictions_allowed and not self.has_issued_grant(name)

    def request_grant(
        self,
        name: str,
        holders: Sequence[str],
        callback: Callable[[Grant | None], None],
        is_eviction: bool = True,
    ) -> None:
        """Ask holders in turn; call back with a grant, or None at the end.

        The callback may run before this method returns. It gets None after a
        grant if the eviction must stop, because the granter lost its copy or
        this VM issued a grant for the same name. With `is_eviction` false,
        the request does not keep this VM from issuing grants for the name.
        A new request gets None while an unload that was ordered under an
        earlier grant may still take effect.
        """
        earlier = self._grant_requests.get(name)
        if earlier is not None and earlier.is_unload_ordered:
            callback(None)
            return
        self.cancel(name)
        peers = [vm for vm in holders if vm != self._vm]
        request = _GrantRequest(name, peers, callback, is_eviction)
        self._grant_requests[name] = request
        self._request_next_peer(request)

    def mark_ordered(self, name: str) -> bool:
        """Record that the unload is sent now; return False if not allowed.

        It is allowed under a usable grant, unless this VM has issued a grant
        for the name or may not evict yet after its start.
        """
        request = self._grant_requests.get(name)
        if request is None or request.grant is None:
            return False
        if not request.grant.is_usable(self._clock.now_ms()):
            return False
        if self.has_issued_grant(name) or not self.are_evictions_allowed:
            return False
        request.is_unload_ordered = True
        return True

    def cancel(self, name: str) -> None:
        """End a request or an eviction and release its grant."""
        request = self._grant_requests.pop(name, None)
        if request is not None and request.peer:
            self._send_released(request.peer, request.request_id, name)

    def on_copy_lost(self, name: str) -> None:
        """Revoke the grants for a name whose copy was lost."""
        for peer, request_id in self._issued_grants.pop(name, {}):
            item = messages_residency.RetainRefused(request_id, name, "lost")
            self._outbox.send(peer, item)

    def on_message(self, peer: str, item: message.Message) -> bool:
        """Handle a retention message; return whether it was one."""
        if isinstance(item, messages_residency.RetainRequest):
            self._on_request(peer, item.request_id, item.name)
        elif isinstance(item, messages_residency.RetainGranted):
            self._on_granted(peer, item.request_id, item.name)
        elif isinstance(item, messages_residency.RetainRefused):
            self._on_refused(peer, item.request_id, item.name)
        elif isinstance(item, messages_residency.RetainReleased):
            grants = self._issued_grants.get(item.name, {})
            grants.pop((peer, item.request_id), None)
            if not grants:
                self._issued_grants.pop(item.name, None)
        else:
            return False
        return True

    def on_peer_down(self, peer: str) -> None:
        """Ask the next holder; grants to the peer stay until they expire."""
        for request in list(self._grant_requests.values()):
            if request.peer == peer and request.grant is None:
                self._request_next_peer(request)

    def _request_next_peer(self, request: _GrantRequest) -> None:
        if request.peer:
            self._send_released(request.peer, request.request_id, request.name)
            request.peer = ""
        if not request.remaining_peers:
            self._abort(request)
            return
        request.peer = request.remaining_peers.pop(0)
        request.request_id = self._random_source.getrandbits(48)
        request.sent_ms = self._clock.now_ms()
        request_id = request.request_id
        self._outbox.send(
            request.peer,
            messages_residency.RetainRequest(request_id, request.name),
        )
        self._clock.call_later(
            ANSWER_TIMEOUT_MS, self._on_timeout, request, request_id
        )

    def _on_timeout(self, request: _GrantRequest, request_id: int) -> None:
        if self._grant_requests.get(request.name) is not request:
            return
        if request.request_id == request_id and request.grant is None:
            self._request_next_peer(request)

    def _abort(self, request: _GrantRequest) -> None:
        """Stop a request without an ordered unload and notify its owner."""
        if self._grant_requests.get(request.name) is request:
            self.cancel(request.name)
        request.callback(None)

    def _on_granted(self, peer: str, request_id: int, name: str) -> None:
        request = self._grant_requests.get(name)
        if (
            request is None
            or request.peer != peer
            or request.request_id != request_id
        ):
            self._send_released(peer, request_id, name)
            return
        if request.grant is None:
            request.grant = Grant(name, peer, request_id, request.sent_ms)
            request.callback(request.grant)

    def _on_refused(self, peer: str, request_id: int, name: str) -> None:
        request = self._grant_requests.get(name)
        if request is None or request.is_unload_ordered:
            return
        if request.peer != peer or request.request_id != request_id:
            return
        if request.grant is None:
            self._request_next_peer(request)
        else:
            self._abort(request)

    def _on_request(self, peer: str, request_id: int, name: str) -> None:
        reason = self._refusal_reason(peer, name)
        if reason:
            self._send_refused(peer, request_id, name, reason)
            return
        self._verify_copy(
            name,
            lambda is_ready: self._on_verified(
                peer, request_id, name, is_ready
            ),
        )

    def _on_verified(
        self, peer: str, request_id: int, name: str, is_ready: bool
    ) -> None:
        reason = (
            self._refusal_reason(peer, name) if is_ready else "not ready here"
        )
        if reason:
            self._send_refused(peer, request_id, name, reason)
            return
        grants = self._issued_grants.setdefault(name, {})
        grants[(peer, request_id)] = self._clock.now_ms() + GRANT_DURATION_MS
        request = self._grant_requests.get(name)
        if request is not None and request.is_eviction:
            self._abort(request)
        item = messages_residency.RetainGranted(request_id, name)
        self._outbox.send(peer, item)
        self._remove_expired_grants(name)

    def _refusal_reason(self, peer: str, name: str) -> str:
        """Return why a grant is refused, empty if it may be issued."""
        if self._is_leaving:
            return "leaving"
        request = self._grant_requests.get(name)
        if request is None or not request.is_eviction:
            return ""
        if request.is_unload_ordered:
            return "evicting"
        # The holder with the lower name keeps the model, so that two
        # holders that ask each other neither both agree nor both refuse.
        return "" if self._vm < peer else "lower name keeps"

    def _remove_expired_grants(self, name: str) -> None:
        now_ms = self._clock.now_ms()
        grants = self._issued_grants.get(name, {})
        for key in [k for k, end_ms in grants.items() if end_ms < now_ms]:
            del grants[key]

    def _send_released(self, peer: str, request_id: int, name: str) -> None:
        item = messages_residency.RetainReleased(request_id, name)
        self._outbox.send(peer, item)

    def _send_refused(
        self, peer: str, request_id: int, name: str, reason: str
    ) -> None:
        item = messages_residency.RetainRefused(request_id, name, reason)
        self._outbox.send(peer, item)
