"""Poller of the platform's list of VMs."""

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
class VmEntry:
    """VM as the platform lists it; the address is HOST:PORT."""

    vm: str
    availability_zone: str
    tenant: str
    role: str
    state: str  # "live" or "leaving"
    address: str


@dataclasses.dataclass(slots=True, frozen=True)
class VmListing:
    """List of VMs at one revision."""

    revision: int
    vms: tuple[VmEntry, ...]


class VmList(Protocol):
    """Source of the list of VMs."""

    def start(self, on_listing: Callable[[VmListing], None]) -> None:
        """Deliver the list after each change; keep silent on failures."""

    def stop(self) -> None:
        """Stop to deliver."""


class VmListClient:
    """Polls the list; the last state stays valid while polls fail."""

    __slots__ = (
        "_cancel_call",
        "_client",
        "_clock",
        "_interval_ms",
        "_is_stopped",
        "_last",
        "_on_listing",
        "_tag",
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
        self._last: VmListing | None = None
        self._on_listing: Callable[[VmListing], None] | None = None
        self._timer: clock_module.Timer | None = None
        self._cancel_call: Callable[[], None] | None = None
        # A list of 1,400 VMs is 177 KB; without a tag each process would
        # read all of it every second.
        self._tag = ""
        self.failed_polls = 0

    @property
    def last(self) -> VmListing | None:
        """Return the last list that was read."""
        return self._last

    def start(self, on_listing: Callable[[VmListing], None]) -> None:
        """Deliver the list after each change; keep silent on failures."""
        self._on_listing = on_listing
        self._poll()

    def stop(self) -> None:
        """Stop to poll."""
        self._is_stopped = True
        if self._timer is not None:
            self._timer.cancel()
        if self._cancel_call is not None:
            self._cancel_call()

    def _poll(self) -> None:
        if not self._is_stopped:
            headers = {"if-none-match": self._tag} if self._tag else {}
            self._cancel_call = self._client.call(
                "GET",
                self._url,
                headers,
                b"",
                POLL_TIMEOUT_MS,
                self._on_answer,
            )

    def _on_answer(self, answer: http_client.HttpResponse) -> None:
        self._cancel_call = None
        if answer.status == NOT_MODIFIED:
            self._timer = self._clock.call_later(self._interval_ms, self._poll)
            return
        listing = parse_listing(answer) if answer.status == 200 else None
        self._timer = self._clock.call_later(self._interval_ms, self._poll)
        if listing is None:
            self.failed_polls += 1
            return
        self._tag = answer.headers.get("etag", "")
        if listing != self._last:
            self._last = listing
            if self._on_listing is not None:
                self._on_listing(listing)


def parse_listing(answer: http_client.HttpResponse) -> VmListing | None:
    """Return the list of an answer, or None if it is invalid."""
    try:
        body = json.loads(answer.body)
        vms = tuple(
            VmEntry(*(str(item[name]) for name in _TEXT_FIELDS))
            for item in body["vms"]
        )
        return VmListing(int(body["revision"]), vms)
    except (AttributeError, KeyError, TypeError, ValueError):
        return None
