"""Create the listening ports of a gateway."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import protocol
from twisted.web import resource
from twisted.web import server as web_server

from balsamwall.gateway import caller_connection

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.gateway import gateway as gateway_module

CALLER_BACKLOG = 512
PROBE_BACKLOG = 16


class CallerFactory(protocol.Factory):  # type: ignore[misc]
    """Create the protocol of each caller's connection."""

    noisy = False

    def __init__(self, gateway: gateway_module.Gateway) -> None:
        self._gateway = gateway

    def buildProtocol(self, addr: object) -> Any:  # noqa: N802
        """Return a protocol for a new connection."""
        return caller_connection.CallerConnection(self._gateway)


class TextResource(resource.Resource):  # type: ignore[misc]
    """Respond with the status and text of a function."""

    isLeaf = True  # noqa: N815

    def __init__(self, render: Callable[[], tuple[int, bytes]]) -> None:
        super().__init__()
        self._render = render

    def render_GET(self, request: Any) -> bytes:  # noqa: N802
        """Respond with the current status and text."""
        status, text = self._render()
        request.setResponseCode(status)
        request.setHeader(b"content-type", b"text/plain; version=0.0.4")
        return text


def text_site(pages: dict[str, Callable[[], tuple[int, bytes]]]) -> Any:
    """Return a site that serves one text resource per path."""
    root = resource.Resource()
    for path, render in pages.items():
        root.putChild(path.encode(), TextResource(render))
    site = web_server.Site(root)
    site.noisy = False
    # Probes and scrapes would fill the access log.
    site.log = _ignore
    return site


def _ignore(request: object) -> None:
    """Discard an access log entry."""
