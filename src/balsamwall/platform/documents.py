"""Decoding of the platform's configuration and server documents.

Other versions of the platform may write documents with missing fields or other
types. A document that can't be decoded completely is rejected.
"""

from __future__ import annotations

import json
from typing import Any

from balsamwall.gateway import backend_directory
from balsamwall.gateway import gateway_configuration
from balsamwall.gateway import route as route_module
from balsamwall.platform import workspace_documents

CONFIGURATION_KEY = "op/config"
SERVERS_PREFIX = "servers/"
_STATES = ("ready", "draining")
# Load time in seconds of a model whose document states none.
DEFAULT_LOAD_S = 2.0


class DocumentError(ValueError):
    """Document that is not valid JSON or has a missing or invalid field."""


def decode_object(raw: bytes) -> dict[str, Any]:
    """Decode a JSON object; raise DocumentError if it is none."""
    try:
        found = json.loads(raw)
    except (ValueError, RecursionError) as error:
        raise DocumentError(f"invalid JSON: {error}") from error
    if type(found) is not dict:
        raise DocumentError(f"expected a JSON object, found {type(found)}")
    return found


def _field(fields: dict[str, Any], name: str, *types: type) -> Any:
    found = fields.get(name)
    if type(found) not in types:
        raise DocumentError(f"{name}: missing or invalid value {found!r}")
    return found


def _optional(
    fields: dict[str, Any], name: str, default: Any, *types: type
) -> Any:
    return default if name not in fields else _field(fields, name, *types)


def _objects(fields: dict[str, Any], name: str) -> list[dict[str, Any]]:
    found = _field(fields, name, list)
    if not all(type(row) is dict for row in found):
        raise DocumentError(f"{name}: expected a list of objects")
    return list(found)


def decode_configuration(
    raw: bytes,
) -> gateway_configuration.GatewayConfiguration:
    """Decode a configuration; raise DocumentError if it is invalid."""
    fields = decode_object(raw)
    try:
        return _configuration(fields)
    except OverflowError as error:
        raise DocumentError(f"number out of range: {error}") from error
    except workspace_documents.WorkspaceDocumentError as error:
        raise DocumentError(str(error)) from error


def _configuration(
    fields: dict[str, Any],
) -> gateway_configuration.GatewayConfiguration:
    workspaces = None
    if "tenants" in fields:
        workspaces = workspace_documents.decode(fields["tenants"])
    limits = _optional(fields, "limits", {}, dict)
    defaults = gateway_configuration.CallerLimits()
    return gateway_configuration.GatewayConfiguration(
        _field(fields, "version", int),
        [_route(row) for row in _objects(fields, "routes")],
        [_service(row) for row in _objects(fields, "services")],
        gateway_configuration.CallerLimits(
            _limit(limits, "max_header_bytes", defaults.max_header_bytes),
            _limit(limits, "max_body_bytes", defaults.max_body_bytes),
            _limit(limits, "header_timeout_ms", defaults.header_timeout_ms),
            _limit(limits, "idle_timeout_ms", defaults.idle_timeout_ms),
        ),
        workspaces,
    )


def _limit(fields: dict[str, Any], name: str, default: int) -> int:
    return int(_optional(fields, name, default, int, float))


def _route(row: dict[str, Any]) -> route_module.Route:
    try:
        kind = route_module.RequestKind(_field(row, "kind", str))
    except ValueError as error:
        raise DocumentError(str(error)) from error
    if "split" in row:
        destinations = tuple(
            route_module.Destination(
                _field(part, "service", str),
                float(_field(part, "weight", int, float)),
            )
            for part in _objects(row, "split")
        )
    else:
        service = _field(row, "service", str)
        destinations = (route_module.Destination(service, 1.0),)
    return route_module.Route(
        name=_field(row, "name", str),
        host=_field(row, "host", str),
        path_prefix=_field(row, "path_prefix", str),
        kind=kind,
        timeout_ms=int(_field(row, "timeout_ms", int, float)),
        first_response_target_ms=int(
            _optional(row, "target_latency_ms", 0, int, float)
        ),
        priority=_optional(row, "priority", 0, int),
        destinations=destinations,
        attempts=_optional(row, "attempts", 1, int),
        is_resumable=_optional(row, "resumable", False, bool),
        gap_target_ms=int(_optional(row, "gap_aim_ms", 0, int, float)),
        is_public=_optional(row, "public", False, bool),
    )


def _service(row: dict[str, Any]) -> gateway_configuration.ServiceSpec:
    engine = _optional(row, "engine", None, dict, type(None))
    return gateway_configuration.ServiceSpec(
        name=_field(row, "name", str),
        health_path=_optional(row, "health_path", "/health", str),
        max_connections=_optional(row, "max_conns", 100, int),
        engine=_engine(engine) if engine else None,
    )


def _engine(row: dict[str, Any]) -> gateway_configuration.EngineSpec:
    models = [_model(item) for item in _objects(row, "models")]
    return gateway_configuration.EngineSpec(
        slots=_optional(row, "slots", 1, int),
        kv_capacity=_optional(row, "kv_capacity", 0, int),
        weights_mb=float(_optional(row, "weights_mb", 0, int, float)),
        adapter_slots=_optional(row, "adapter_slots", 0, int),
        loads_per_s=float(_optional(row, "loads_per_s", 0, int, float)),
        models={model.name: model for model in models},
    )


def _model(row: dict[str, Any]) -> gateway_configuration.ModelSpec:
    load_s = float(_optional(row, "load_s", DEFAULT_LOAD_S, int, float))
    return gateway_configuration.ModelSpec(
        name=_field(row, "name", str),
        weights_mb=float(_field(row, "weights_mb", int, float)),
        load_ms=int(load_s * 1_000),
        warm_ms=int(_optional(row, "warm_s", load_s, int, float) * 1_000),
        disk_ms=int(_optional(row, "disk_s", load_s, int, float) * 1_000),
        adapters=_optional(row, "adapters", 0, int),
        adapter_mb=float(_optional(row, "adapter_mb", 0, int, float)),
    )


def decode_server(
    server_id: str, raw: bytes
) -> backend_directory.ServerRecord:
    """Decode a server record; raise DocumentError if it is invalid."""
    fields = decode_object(raw)
    host, _, port = _field(fields, "address", str).rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65_536:
        raise DocumentError(
            f"address: expected HOST:PORT, found {fields['address']!r}"
        )
    state = _field(fields, "state", str)
    if state not in _STATES:
        raise DocumentError(
            f"state: expected ready or draining, found {state!r}"
        )
    remaining = _optional(fields, "remaining_ms", None, int, float)
    at_hand = _optional(fields, "at_hand", {}, dict)
    return backend_directory.ServerRecord(
        server_id=server_id,
        service=_field(fields, "service", str),
        host=host,
        port=int(port),
        availability_zone=_field(fields, "zone", str),
        slots=_field(fields, "slots", int),
        is_draining=state == "draining",
        # "born" is the start time of the process. Without it only the server
        # identifier distinguishes processes.
        started_ms=_optional(fields, "born", 0, int),
        models=decode_models(fields),
        in_memory=_string_set(at_hand, "in_memory"),
        on_disk=_string_set(at_hand, "on_disk"),
        remaining_ms=None if remaining is None else int(remaining),
        software_version=_software_version(fields),
        sequence=_sequence(fields),
    )


def _sequence(fields: dict[str, Any]) -> int | None:
    """Return the number of a record, None if it states no usable one."""
    found = fields.get("seq")
    return found if type(found) is int else None


def _software_version(fields: dict[str, Any]) -> str:
    """Return the version of a server as text, empty if it states none.

    Versions are only compared, so that values of all types are accepted.
    """
    found = fields.get("version", "")
    if type(found) is not str:
        return json.dumps(found, sort_keys=True)
    # A lone surrogate can't be sent to other entries.
    return found.encode("utf-8", "backslashreplace").decode()


def decode_models(fields: dict[str, Any]) -> dict[str, frozenset[str]]:
    """Decode the adapters by resident model; raise DocumentError if invalid.

    A document without the field "models" has no resident model.
    """
    if "models" not in fields:
        return {}
    return {
        _field(row, "name", str): _string_set(row, "adapters")
        for row in _objects(fields, "models")
    }


def _string_set(fields: dict[str, Any], name: str) -> frozenset[str]:
    found = _optional(fields, name, [], list)
    if not all(type(item) is str for item in found):
        raise DocumentError(f"{name}: expected a list of strings")
    return frozenset(found)
