"""Decide whether a request carries the key that its route needs."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING
import urllib.parse

from balsamwall.gateway import refusal
from balsamwall.results import result_code

if TYPE_CHECKING:
    from balsamwall.gateway import configuration_freshness
    from balsamwall.gateway import configuration_holder
    from balsamwall.gateway import incoming_request
    from balsamwall.gateway import route as route_module
    from balsamwall.gateway import workspace as workspace_module

_Code = result_code.ResultCode


def closed_route(route: route_module.Route, path: str) -> route_module.Route:
    """Return the route, as not public if the path has dot segments.

    A server that resolves them would serve a path of a route that needs a key.
    """
    if not route.is_public:
        return route
    plain = urllib.parse.unquote(path, "latin-1").replace("\\", "/")
    if any(part in (".", "..") for part in plain.split("/")):
        return dataclasses.replace(route, is_public=False)
    return route


class Authenticator:
    """Find the workspace of a request in the configuration in force.

    Load pattern: keys are revoked while their holders keep connections open
    and requests queued, so a request is checked again before each send.
    """

    __slots__ = ("_configuration", "_freshness")

    def __init__(
        self,
        configuration: configuration_holder.ConfigurationHolder,
        freshness: configuration_freshness.ConfigurationFreshness
        | None = None,
    ) -> None:
        self._configuration = configuration
        self._freshness = freshness

    @property
    def has_workspaces(self) -> bool:
        """Return whether the configuration in force has workspaces."""
        current = self._configuration.current
        return current is not None and current.workspaces is not None

    def authenticate(
        self,
        request: incoming_request.IncomingRequest,
        route: route_module.Route,
    ) -> workspace_module.Workspace | None:
        """Return the workspace, or None if the request needs none.

        Raise RefusalError if the request must not be served.
        """
        workspaces = self._configuration.require().workspaces
        if workspaces is None:
            return None
        found = workspaces.find(request.api_key) if request.api_key else None
        if route.is_public:
            return found
        if self._freshness is not None and not self._freshness.check():
            raise refusal.RefusalError(
                _Code.CONFIGURATION_UNAVAILABLE,
                "the configuration is not confirmed to be the newest",
            )
        if found is None:
            raise refusal.RefusalError(
                _Code.KEY_MISSING_OR_WRONG,
                "the request has no key that is in force",
            )
        return found
