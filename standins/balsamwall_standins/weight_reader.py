"""HTTP client of the weight store."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING
import urllib.parse

from balsamwall.infrastructure import http_client

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.timing import clock as clock_module

READ_TIMEOUT_MS = 120_000


class WeightReader:
    """Weight loader whose reads take as long as the store's transfers."""

    __slots__ = ("_base_url", "_client")

    def __init__(
        self, reactor: Any, clock: clock_module.Clock, base_url: str
    ) -> None:
        self._base_url = base_url.rstrip("/")
        self._client = http_client.HttpClient(reactor, clock)

    def read(
        self,
        name: str,
        version: str,
        size_bytes: int,
        callback: Callable[[bool], None],
    ) -> None:
        """Read weights; the callback gets whether the read was complete."""
        path = "/".join(
            urllib.parse.quote(part, safe="") for part in (name, version)
        )
        self._client.call(
            "GET",
            f"{self._base_url}/weights/{path}?bytes={size_bytes}",
            {},
            b"",
            READ_TIMEOUT_MS,
            lambda response: callback(response.status == 200),
        )
