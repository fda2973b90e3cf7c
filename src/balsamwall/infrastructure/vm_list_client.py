"""Polling client of the platform's VM list."""

from __future__ import annotations

import dataclasses
import json
from typing import Any
from typing import Protocol
from typing import TYPE_CHECKING

from balsamwall.infrastructure import http_client

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.timing import clock as clock_module

POLL_INTERVAL_MS = 1_000
POLL_TIMEOUT_MS = 2_000
NOT_MODIFIED = 304
_TEXT_FIELDS = (
    "vm",
    "availability_zone",
    "tenant",
    "role",
    "state",
    "address",
)


@dataclasses.dataclass(slots=True, frozen=True)
class VmListItem:
    """VM in the platform's list; the address has the form HOST:PORT."""

    vm: str
    availability_zone: str
    tenant: str
    role: str
    state: str  # "live" or "leaving"
    address: str


@dataclasses.dataclass(slots=True, frozen=True)
class VmListing:
    """VM list at one revision."""

    revision: int
    vms: tuple[VmListItem, ...]


class VmList(Protocol):
    """Source of VM list updates."""

    def start(self, on_listing: Callable[[VmListing], None]) -> None:
        """Deliver the list after each change; report no failures."""

    def stop(self) -> None:
        """Deliver no further lists."""


class VmListClient:
    """Poll the list; keep the last one while polls fail."""

    __slots__ = (
        "_cancel_call",
        "_client",
        "_clock",
        "_interval_ms",
        "_is_stopped",
        "_last_listing",
        "_on_listing",
        "_etag",
        "_timer",
        "_url",
        "failed_polls",
    )

    def __init__(
        self,
        reactor: Any,
        clock: clock_module.Clock,
        base_url: str,
        interval_ms: int = POLL_INTERVAL_MS,
    ) -> None:
        self._client = http_client.HttpClient(reactor, clock)
        self._clock = clock
        self._url = base_url.rstrip("/") + "/vms"
        self._interval_ms = interval_ms
        self._is_stopped = False
        self._last_listing: VmListing | None = None
        self._on_listing: Callable[[VmListing], None] | None = None
        self._timer: clock_module.Timer | None = None
        self._cancel_call: Callable[[], None] | None = None
        # A list of 1,400 VMs is 177 KB; without the entity tag each process
        # would transfer all of it every second.
        self._etag = ""
        self.failed_polls = 0

    @property
    def last(self) -> VmListing | None:
        """Return the newest valid list, None before the first."""
        return self._last_listing

    def start(self, on_listing: Callable[[VmListing], None]) -> None:
        """Deliver the list after each change; report no failures."""
        self._on_listing = on_listing
        self._poll()

    def stop(self) -> None:
        """Stop polling and cancel the call in progress."""
        self._is_stopped = True
        if self._timer is not None:
            self._timer.cancel()
        if self._cancel_call is not None:
            self._cancel_call()

    def _poll(self) -> None:
        if not self._is_stopped:
            headers = {"if-none-match": self._etag} if self._etag else {}
            self._cancel_call = self._client.call(
                "GET",
                self._url,
                headers,
                b"",
                POLL_TIMEOUT_MS,
                self._on_response,
            )

    def _on_response(self, response: http_client.HttpResponse) -> None:
        self._cancel_call = None
        if response.status == NOT_MODIFIED:
            self._timer = self._clock.call_later(self._interval_ms, self._poll)
            return
        listing = parse_listing(response) if response.status == 200 else None
        self._timer = self._clock.call_later(self._interval_ms, self._poll)
        if listing is None:
            self.failed_polls += 1
            return
        self._etag = response.headers.get("etag", "")
        if listing != self._last_listing:
            self._last_listing = listing
            if self._on_listing is not None:
                self._on_listing(listing)


def parse_listing(response: http_client.HttpResponse) -> VmListing | None:
    """Parse the list in a response; return None if it is invalid."""
    try:
        body = json.loads(response.body)
        vms = tuple(
            VmListItem(*(str(item[name]) for name in _TEXT_FIELDS))
            for item in body["vms"]
        )
        return VmListing(int(body["revision"]), vms)
    except (AttributeError, KeyError, TypeError, ValueError):
        return None
