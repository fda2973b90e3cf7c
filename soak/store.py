"""Stand-in for the metadata store of the platform, with faults."""

from __future__ import annotations

import base64
import dataclasses
import enum
import json
from typing import Any

from twisted.internet import reactor
from twisted.web import resource
from twisted.web import server

MAX_ITEMS = 500
HISTORY_LIMIT = 400


class StoreFault(enum.Enum):
    """Faults of the store's HTTP interface."""

    NONE = "none"
    REFUSE = "refuse"  # 503, request not executed
    SILENT = "silent"  # no response, request not executed
    LOSE = "lose"  # request executed, response lost
    SLOW = "slow"


SLOW_S = 0.3


@dataclasses.dataclass(slots=True, frozen=True)
class StoreCopy:
    """State of the store at one moment, from which it may be restored."""

    revision: int
    items: dict[str, dict[str, Any]]
    lease_ttls_ms: dict[int, int]
    next_lease_id: int


class StoreData:
    """Keys with revisions, history and leases."""

    def __init__(self) -> None:
        # Rises by one each time the store is restored from a copy.
        self.era = 1
        self.revision = 1
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.compacted = 0
        self.leases: dict[int, Any] = {}
        self.next_lease_id = 100
        self.listeners: list[Any] = []

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write a key and notify the listeners."""
        self.revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created_rev": self.items.get(key, {}).get(
                "created_rev", self.revision
            ),
            "lease": lease,
        }
        self.items[key] = item
        self._record(item)

    def remove(self, key: str) -> None:
        """Delete a key, if it exists, and notify the listeners."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._record({"key": key, "revision": self.revision, "deleted": True})

    def _record(self, event: dict[str, Any]) -> None:
        self.history.append(event)
        if len(self.history) > HISTORY_LIMIT:
            self.compact(len(self.history) - HISTORY_LIMIT)
        for listener in list(self.listeners):
            listener()

    def compact(self, count: int | None = None) -> None:
        """Remove the oldest changes from the history, by default all."""
        dropped = self.history[:count]
        self.history = self.history[len(dropped) :]
        if dropped:
            self.compacted = dropped[-1]["revision"]

    def grant(self, ttl_ms: int) -> int:
        """Grant a lease and return its id."""
        self.next_lease_id += 1
        lease_id = self.next_lease_id
        self._start_lease_timer(lease_id, ttl_ms)
        return lease_id

    def renew(self, lease_id: int) -> int | None:
        """Renew a lease; return its TTL, or None if it has expired."""
        if lease_id not in self.leases:
            return None
        timer, ttl_ms = self.leases[lease_id]
        timer.cancel()
        self._start_lease_timer(lease_id, ttl_ms)
        return int(ttl_ms)

    def _start_lease_timer(self, lease_id: int, ttl_ms: int) -> None:
        timer = reactor.callLater(ttl_ms / 1_000, self.end_lease, lease_id)
        self.leases[lease_id] = (timer, ttl_ms)

    def end_lease(self, lease_id: int) -> bool:
        """End a lease and delete its keys; return False if it is unknown."""
        found = self.leases.pop(lease_id, None)
        if found is None:
            return False
        if found[0].active():
            found[0].cancel()
        for key, item in list(self.items.items()):
            if item["lease"] == lease_id:
                self.remove(key)
        return True

    def copy(self) -> StoreCopy:
        """Return a copy of the present state."""
        return StoreCopy(
            self.revision,
            dict(self.items),
            {lease: ttl_ms for lease, (_, ttl_ms) in self.leases.items()},
            self.next_lease_id,
        )

    def restore(self, copy: StoreCopy) -> None:
        """Return to a copy; revisions and lease ids are given out again.

        Waiting watches must have been closed before. Leases of the copy start
        again with their whole TTL.
        """
        self.stop()
        self.era += 1
        self.revision = copy.revision
        self.items = dict(copy.items)
        self.history = [
            event
            for event in self.history
            if event["revision"] <= copy.revision
        ]
        self.leases = {}
        self.next_lease_id = copy.next_lease_id
        for lease_id, ttl_ms in copy.lease_ttls_ms.items():
            self._start_lease_timer(lease_id, ttl_ms)

    def stop(self) -> None:
        """Cancel the timers of all leases."""
        for timer, _ in self.leases.values():
            if timer.active():
                timer.cancel()


class StoreSite(resource.Resource):  # type: ignore[misc]
    """HTTP interface of the store."""

    isLeaf = True

    def __init__(self, data: StoreData) -> None:
        super().__init__()
        self._data = data
        self.fault = StoreFault.NONE
        self._watches: set[_WaitingWatch] = set()

    def close_watches(self) -> None:
        """Close the connections of all waiting watches."""
        for watch in list(self._watches):
            watch.abort()

    def render(self, request: server.Request) -> Any:
        """Handle a request according to the current fault."""
        request.setHeader("Store-Era", str(self._data.era))
        if self.fault is StoreFault.SILENT:
            return server.NOT_DONE_YET
        if self.fault is StoreFault.REFUSE:
            request.setResponseCode(503)
            return b"{}"
        if self.fault is StoreFault.SLOW:
            reactor.callLater(SLOW_S, self._handle, request, False)
            return server.NOT_DONE_YET
        self._handle(request, self.fault is StoreFault.LOSE)
        return server.NOT_DONE_YET

    def _handle(self, request: server.Request, is_response_lost: bool) -> None:
        name, _, rest = request.path.decode().lstrip("/").partition("/")
        handler = getattr(self, f"_{name.replace('-', '_')}", None)
        if handler is None:
            self._reply(request, 404, {}, is_response_lost)
            return
        found = handler(request, rest)
        if found is not None:
            self._reply(request, found[0], found[1], is_response_lost)

    @staticmethod
    def _reply(
        request: server.Request, status: int, rows: Any, is_response_lost: bool
    ) -> None:
        if getattr(request, "channel", None) is None:
            return
        if is_response_lost:
            request.channel.forceAbortClient()
            return
        request.setResponseCode(status)
        request.write(json.dumps(rows).encode())
        request.finish()

    @staticmethod
    def _argument(request: server.Request, name: str, default: str) -> str:
        found: bytes = request.args.get(name.encode(), [default.encode()])[0]
        return found.decode()

    @staticmethod
    def _body(request: server.Request) -> Any:
        return json.loads(request.content.read() or b"{}")

    def _kv_range(self, request: server.Request, rest: str) -> Any:
        prefix = self._argument(request, "path_prefix", "")
        after = self._argument(request, "after", "")
        items = [
            self._data.items[key]
            for key in sorted(self._data.items)
            if key.startswith(prefix) and key > after
        ]
        return 200, {
            "items": items[:MAX_ITEMS],
            "truncated": len(items) > MAX_ITEMS,
            "current_rev": self._data.revision,
        }

    def _kv_key(self, request: server.Request, rest: str) -> Any:
        item = self._data.items.get(self._argument(request, "key", ""))
        if item is None:
            return 404, {"current_rev": self._data.revision}
        return 200, {**item, "current_rev": self._data.revision}

    def _kv_watch(self, request: server.Request, rest: str) -> Any:
        after = int(self._argument(request, "after", "0"))
        if not self._data.compacted <= after <= self._data.revision:
            return 410, {}
        events = self._events_after(after)
        if events:
            return self._changes(events)
        wait_s = int(self._argument(request, "wait_ms", "0")) / 1_000
        watch = _WaitingWatch(self._data, request, wait_s, after, self)
        self._watches.add(watch)
        return None

    def _events_after(self, revision: int) -> list[dict[str, Any]]:
        return [
            event
            for event in self._data.history
            if event["revision"] > revision
        ]

    def _changes(self, events: list[dict[str, Any]]) -> Any:
        return 200, {"events": events, "current_rev": self._data.revision}

    def forget_watch(self, watch: _WaitingWatch) -> None:
        """Remove a watch that waits no longer."""
        self._watches.discard(watch)

    def finish_watch(self, request: server.Request, after: int) -> None:
        """Respond to a long poll unless the store does not answer now."""
        if self.fault in (StoreFault.SILENT, StoreFault.REFUSE):
            return
        status, rows = self._changes(self._events_after(after))
        self._reply(request, status, rows, False)

    def _kv_txn(self, request: server.Request, rest: str) -> Any:
        body = self._body(request)
        for row in body.get("precondition", []):
            found = self._data.items.get(row["key"], {}).get("revision", 0)
            if found != row["revision"]:
                return 412, {"items": []}
        for row in body.get("writes", []):
            lease = row.get("lease", 0)
            if lease and lease not in self._data.leases:
                return 404, {}
            value = base64.b64decode(row["value"])
            self._data.put(row["key"], value, lease)
        for key in body.get("remove", []):
            self._data.remove(key)
        return 200, {"revision": self._data.revision}

    def _kv_lease(self, request: server.Request, rest: str) -> Any:
        ttl_ms = self._body(request)["ttl_ms"]
        return 200, {"lease": self._data.grant(ttl_ms), "ttl_ms": ttl_ms}

    def _kv_keep(self, request: server.Request, rest: str) -> Any:
        ttl_ms = self._data.renew(int(rest))
        return (404, {}) if ttl_ms is None else (200, {"ttl_ms": ttl_ms})

    def _kv_lease_end(self, request: server.Request, rest: str) -> Any:
        is_ended = self._data.end_lease(int(rest))
        return (200 if is_ended else 404), {}


class _WaitingWatch:
    """Long poll that waits for the next change or its timeout."""

    def __init__(
        self,
        data: StoreData,
        request: server.Request,
        wait_s: float,
        after: int,
        site: StoreSite,
    ) -> None:
        self._data = data
        self._request = request
        self._after = after
        self._site = site
        self._is_finished = False
        self._timer = reactor.callLater(wait_s, self._finish)
        data.listeners.append(self._finish)
        request.notifyFinish().addErrback(lambda failure: self._end())

    def _finish(self) -> None:
        if self._end():
            self._site.finish_watch(self._request, self._after)

    def abort(self) -> None:
        """Close the connection without a response."""
        if self._end():
            self._request.channel.forceAbortClient()

    def _end(self) -> bool:
        if self._is_finished:
            return False
        self._is_finished = True
        self._site.forget_watch(self)
        self._data.listeners.remove(self._finish)
        if self._timer.active():
            self._timer.cancel()
        return True
