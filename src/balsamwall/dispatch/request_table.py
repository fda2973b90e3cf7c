"""Index the requests in progress by identifier and by agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.limits import class_queue

if TYPE_CHECKING:
    from balsamwall.dispatch import active_request


class RequestTable:
    """Hold the requests in progress at one entry; parked ones are bounded."""

    __slots__ = ("_active", "_by_peer", "_parked")

    def __init__(self) -> None:
        self._active: dict[str, active_request.ActiveRequest] = {}
        self._by_peer: dict[str, set[str]] = {}
        self._parked = class_queue.ClassQueue()

    def __len__(self) -> int:
        return len(self._active)

    def get(self, request_id: str) -> active_request.ActiveRequest | None:
        """Return a request in progress, or None."""
        return self._active.get(request_id)

    def add(self, active: active_request.ActiveRequest) -> None:
        """Index a request by its identifier."""
        self._active[active.request.request_id] = active

    def remove(self, active: active_request.ActiveRequest) -> None:
        """Remove a request from every index."""
        self._active.pop(active.request.request_id, None)
        self.unpark(active)
        self.unset_peer(active)

    def set_peer(self, active: active_request.ActiveRequest) -> None:
        """Index a request under the agent of its current attempt."""
        if active.attempt is not None:
            requests = self._by_peer.setdefault(active.attempt.peer, set())
            requests.add(active.request.request_id)

    def unset_peer(self, active: active_request.ActiveRequest) -> None:
        """Remove a request from the index of its agent."""
        if active.attempt is None:
            return
        requests = self._by_peer.get(active.attempt.peer)
        if requests is not None:
            requests.discard(active.request.request_id)
            if not requests:
                del self._by_peer[active.attempt.peer]

    def assigned_to(self, peer: str) -> list[active_request.ActiveRequest]:
        """Return the requests whose current attempt is at an agent."""
        requests = sorted(self._by_peer.get(peer, ()))
        return [self._active[request_id] for request_id in requests]

    def park(self, active: active_request.ActiveRequest) -> bool:
        """Add a request to the parked ones; return False if they are full."""
        request = active.request
        self._parked.remove(request.request_id)
        return self._parked.push(request.request_id, request.is_urgent)

    def unpark(self, active: active_request.ActiveRequest) -> None:
        """Remove a request from the parked ones, if it is one."""
        self._parked.remove(active.request.request_id)

    def parked(self) -> list[active_request.ActiveRequest]:
        """Return the parked requests, urgent ones first."""
        return [self._active[request_id] for request_id in self._parked]
