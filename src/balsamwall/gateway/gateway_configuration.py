"""Define the typed configuration of a gateway."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from balsamwall.gateway import route as route_module
    from balsamwall.gateway import workspace as workspace_module


@dataclasses.dataclass(slots=True, frozen=True)
class CallerLimits:
    """Hold the limits of the size and duration of callers' requests."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclasses.dataclass(slots=True, frozen=True)
class ModelSpec:
    """Describe a model with its memory use and expected load times."""

    name: str
    weights_mb: float
    load_ms: int  # from the weight store
    warm_ms: int  # from the memory of the VM
    disk_ms: int  # from the disk of the VM
    adapters: int
    adapter_mb: float


@dataclasses.dataclass(slots=True, frozen=True)
class EngineSpec:
    """Describe the capacity of each engine of a service, and its models."""

    slots: int
    kv_capacity: int  # tokens
    weights_mb: float
    adapter_slots: int
    loads_per_s: float  # limit of the weight store, over all engines
    models: Mapping[str, ModelSpec]


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceSpec:
    """Describe a service that is provided by a set of backend servers."""

    name: str
    health_path: str
    max_connections: int  # to one backend server, over all entries
    engine: EngineSpec | None = None


class GatewayConfiguration:
    """Hold the routes, services and limits of one configuration version.

    Without workspaces callers need no key.
    """

    __slots__ = (
        "_routes_by_host",
        "limits",
        "longest_stream_ms",
        "resumable_services",
        "routes",
        "services",
        "version",
        "workspaces",
    )

    def __init__(
        self,
        version: int,
        routes: Iterable[route_module.Route],
        services: Iterable[ServiceSpec],
        limits: CallerLimits,
        workspaces: workspace_module.WorkspaceTable | None = None,
    ) -> None:
        self.version = version
        self.workspaces = workspaces
        self.limits = limits
        self.services = {service.name: service for service in services}
        self.routes = tuple(routes)
        resumable = [route for route in self.routes if route.is_resumable]
        # Services whose streams can be resumed, and the longest timeout of
        # such a stream.
        self.resumable_services = frozenset(
            part.service for route in resumable for part in route.destinations
        )
        self.longest_stream_ms = max(
            (route.timeout_ms for route in resumable), default=0
        )
        by_host: dict[str, list[route_module.Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host.lower(), []).append(route)
        for routes_of_host in by_host.values():
            # Longest prefix first, since find_route returns the first match.
            routes_of_host.sort(key=lambda route: -len(route.path_prefix))
        self._routes_by_host = by_host

    def gap_target_ms(self, service: str) -> int:
        """Return the shortest gap target of the routes to a service.

        It is 0 if no route to the service has one.
        """
        targets = [
            route.gap_target_ms
            for route in self.routes
            if route.gap_target_ms
            and any(part.service == service for part in route.destinations)
        ]
        return min(targets, default=0)

    def find_route(self, host: str, path: str) -> route_module.Route | None:
        """Return the route of the host with the longest matching prefix."""
        for route in self._routes_by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None
