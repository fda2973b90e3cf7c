"""Order requests by the priorities of their workspaces and routes."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.gateway import gateway_configuration
    from balsamwall.gateway import room_waiter
    from balsamwall.gateway import route as route_module
    from balsamwall.gateway import workspace as workspace_module

# Largest priority number that is sent to an engine, for the least urgent.
MAX_ENGINE_PRIORITY = 9


def priority_of(
    route: route_module.Route, workspace: workspace_module.Workspace | None
) -> room_waiter.Priority:
    """Return the priority of a request, the lowest is the most urgent."""
    if workspace is None or workspace.priority is None:
        return route.priority, route.priority
    return workspace.priority, route.priority


def _by_route(route: route_module.Route) -> int:
    """Return the priority for an engine without those of workspaces.

    Of two streams with equal route priority, the one that can't be resumed
    goes first.
    """
    return 2 * route.priority + int(route.is_resumable)


class EnginePriorities:
    """Map the priorities of one configuration to those of engines.

    Engines know ten priorities. Those that streams can have are numbered in
    their order; more than ten are spread evenly over the ten, so that the
    order is never reversed.
    """

    __slots__ = ("_numbers", "_version")

    def __init__(self) -> None:
        self._version: int | None = None
        # Empty if no workspace has a priority.
        self._numbers: dict[tuple[room_waiter.Priority, bool], int] = {}

    def priority(
        self,
        configuration: gateway_configuration.GatewayConfiguration | None,
        route: route_module.Route,
        workspace: workspace_module.Workspace | None,
    ) -> int | None:
        """Return the priority for an engine, None if not a stream.

        A request whose route is not in the configuration any more is ordered
        by the route alone.
        """
        if not route.is_stream:
            return None
        if configuration is not None:
            self._update(configuration)
        place = priority_of(route, workspace), route.is_resumable
        number = self._numbers.get(place, _by_route(route))
        return min(MAX_ENGINE_PRIORITY, number)

    def _update(
        self, configuration: gateway_configuration.GatewayConfiguration
    ) -> None:
        if configuration.version == self._version:
            return
        self._version = configuration.version
        self._numbers = {}
        workspaces = list(configuration.workspaces or ())
        if all(item.priority is None for item in workspaces):
            return
        places = sorted(
            {
                (priority_of(route, item), route.is_resumable)
                for route in configuration.routes
                if route.is_stream
                for item in (None, *workspaces)
            }
        )
        levels = MAX_ENGINE_PRIORITY + 1
        for number, place in enumerate(places):
            if len(places) > levels:
                number = number * levels // len(places)
            self._numbers[place] = number
