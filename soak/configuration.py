"""Configuration of the routes and services of a soak."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from soak import backend_server
from soak import caller as caller_module
from soak import checks
from soak import ledger as ledger_module

if TYPE_CHECKING:
    from collections.abc import Iterable

KINDS = {
    ledger_module.Kind.IDEMPOTENT: ("idempotent", "app", False),
    ledger_module.Kind.NON_IDEMPOTENT: ("non_idempotent", "app", False),
    ledger_module.Kind.STREAM: ("streaming", "models", False),
    ledger_module.Kind.RESUMABLE_STREAM: ("streaming", "models", True),
}
EMPTY_SERVICE = "empty"


def rows(version: int, added_routes: Iterable[str]) -> dict[str, Any]:
    """Return a configuration in the format of the platform."""
    routes = [
        {
            "name": kind.value,
            "host": caller_module.HOST,
            "path_prefix": f"/{kind.value}/",
            "kind": rule,
            "timeout_ms": caller_module.DEADLINE_MS,
            "target_latency_ms": 300,
            "priority": 1,
            "service": service,
            "attempts": checks.MAX_RUNS[kind],
            "resumable": is_resumable,
            "gap_aim_ms": 250,
        }
        for kind, (rule, service, is_resumable) in KINDS.items()
    ]
    # Their service has no server, so that requests show whether an entry
    # knows the route, and run nowhere.
    routes += [
        {
            **routes[0],
            "name": name,
            "path_prefix": f"/{name}/",
            "service": EMPTY_SERVICE,
        }
        for name in added_routes
    ]
    services = [
        {"name": "app", "max_conns": 200},
        {"name": EMPTY_SERVICE, "max_conns": 200},
        {
            "name": "models",
            "max_conns": 200,
            "engine": engine(backend_server.MODELS),
        },
    ]
    return {"version": version, "routes": routes, "services": services}


def engine(models: Iterable[str]) -> dict[str, Any]:
    """Return the engine of a service, as in a configuration."""
    return {
        "slots": 16,
        "kv_capacity": 100_000,
        "weights_mb": backend_server.WEIGHTS_MB,
        "adapter_slots": 0,
        "loads_per_s": 20.0,
        "models": [
            {
                "name": name,
                "weights_mb": backend_server.MODEL_MB,
                "load_s": backend_server.LOAD_S,
            }
            for name in models
        ],
    }
