"""Listening ports of a gateway."""

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
    """Factory of the callers' connections."""

    noisy = False

    def __init__(self, gateway: gateway_module.Gateway) -> None:
        self._gateway = gateway

    def buildProtocol(self, addr: object) -> Any:  # noqa: N802
        """Make a connection."""
        return caller_connection.CallerConnection(self._gateway)


class TextResource(resource.Resource):  # type: ignore[misc]
    """Resource whose status and text come from a function."""

    isLeaf = True  # noqa: N815

    def __init__(self, render: Callable[[], tuple[int, bytes]]) -> None:
        super().__init__()
        self._render = render

    def render_GET(self, request: Any) -> bytes:  # noqa: N802
        """Answer a probe."""
        status, text = self._render()
        request.setResponseCode(status)
        request.setHeader(b"content-type", b"text/plain; version=0.0.4")
        return text


def text_site(pages: dict[str, Callable[[], tuple[int, bytes]]]) -> Any:
    """Return a site with one text a path."""
    root = resource.Resource()
    for path, render in pages.items():
        root.putChild(path.encode(), TextResource(render))
    site = web_server.Site(root)
    site.noisy = False
    # An access log of probes says nothing.
    site.log = _ignore
    return site


def _ignore(request: object) -> None:
    """Write no access log."""
