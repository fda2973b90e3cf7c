"""Decoding of the platform's configuration and server documents.

Other versions of the platform may write documents with missing fields or other
types. A document that can't be decoded completely is rejected.
"""

from __future__ import annotations

import ipaddress
import json
from typing import Any

from balsamwall.gateway import backend_directory
from balsamwall.gateway import gateway_configuration
from balsamwall.gateway import route as route_module
from balsamwall.platform import json_fields
from balsamwall.platform import workspace_documents

CONFIGURATION_KEY = "op/config"
SERVERS_PREFIX = "servers/"
_STATES = ("ready", "draining")
# Load time in seconds of a model whose document states none, and the longest.
DEFAULT_LOAD_S = 2.0
MAX_LOAD_S = 86_400.0
MAX_PORT = 65_535


def decode_configuration(
    raw: bytes,
) -> gateway_configuration.GatewayConfiguration:
    """Decode a configuration; raise DocumentError if it is invalid."""
    fields = json_fields.decode_object(raw)
    try:
        return _configuration(fields)
    except workspace_documents.WorkspaceDocumentError as error:
        raise json_fields.DocumentError(str(error)) from error


def _configuration(
    fields: dict[str, Any],
) -> gateway_configuration.GatewayConfiguration:
    workspaces = None
    if "tenants" in fields:
        workspaces = workspace_documents.decode(fields["tenants"])
    limits = (
        json_fields.typed(fields, "limits", dict) if "limits" in fields else {}
    )
    defaults = gateway_configuration.CallerLimits()
    return gateway_configuration.GatewayConfiguration(
        json_fields.integer(
            fields, "version", maximum=json_fields.MAX_INTEGER
        ),
        [_route(row) for row in json_fields.objects(fields, "routes")],
        [_service(row) for row in json_fields.objects(fields, "services")],
        gateway_configuration.CallerLimits(
            int(
                json_fields.number(
                    limits, "max_header_bytes", defaults.max_header_bytes
                )
            ),
            int(
                json_fields.number(
                    limits, "max_body_bytes", defaults.max_body_bytes
                )
            ),
            json_fields.duration_ms(
                limits, "header_timeout_ms", defaults.header_timeout_ms
            ),
            json_fields.duration_ms(
                limits, "idle_timeout_ms", defaults.idle_timeout_ms
            ),
        ),
        workspaces,
    )


def _route(row: dict[str, Any]) -> route_module.Route:
    try:
        kind = route_module.RequestKind(json_fields.text(row, "kind"))
    except ValueError as error:
        raise json_fields.DocumentError(str(error)) from error
    if "split" in row:
        destinations = tuple(
            route_module.Destination(
                json_fields.text(part, "service"),
                json_fields.number(part, "weight"),
            )
            for part in json_fields.objects(row, "split")
        )
    else:
        service = json_fields.text(row, "service")
        destinations = (route_module.Destination(service, 1.0),)
    return route_module.Route(
        name=json_fields.text(row, "name"),
        host=json_fields.text(row, "host"),
        path_prefix=json_fields.text(row, "path_prefix"),
        kind=kind,
        timeout_ms=json_fields.duration_ms(row, "timeout_ms"),
        first_response_target_ms=json_fields.duration_ms(
            row, "target_latency_ms", 0
        ),
        priority=json_fields.integer(row, "priority", 0),
        destinations=destinations,
        attempts=json_fields.integer(row, "attempts", 1),
        is_resumable=json_fields.flag(row, "resumable"),
        gap_target_ms=json_fields.duration_ms(row, "gap_aim_ms", 0),
        is_public=json_fields.flag(row, "public"),
    )


def _service(row: dict[str, Any]) -> gateway_configuration.ServiceSpec:
    engine = json_fields.typed(row, "engine", dict, type(None))
    return gateway_configuration.ServiceSpec(
        name=json_fields.text(row, "name"),
        health_path=json_fields.text(row, "health_path", "/health"),
        max_connections=json_fields.integer(row, "max_conns", 100),
        engine=_engine(engine) if engine else None,
    )


def _engine(row: dict[str, Any]) -> gateway_configuration.EngineSpec:
    models = [_model(item) for item in json_fields.objects(row, "models")]
    return gateway_configuration.EngineSpec(
        slots=json_fields.integer(row, "slots", 1),
        kv_capacity=json_fields.integer(
            row, "kv_capacity", 0, json_fields.MAX_INTEGER
        ),
        weights_mb=json_fields.number(row, "weights_mb", 0.0),
        adapter_slots=json_fields.integer(row, "adapter_slots", 0),
        loads_per_s=json_fields.number(row, "loads_per_s", 0.0),
        models={model.name: model for model in models},
    )


def _model(row: dict[str, Any]) -> gateway_configuration.ModelSpec:
    load_s = json_fields.number(row, "load_s", DEFAULT_LOAD_S, MAX_LOAD_S)
    return gateway_configuration.ModelSpec(
        name=json_fields.text(row, "name"),
        weights_mb=json_fields.number(row, "weights_mb"),
        load_ms=int(load_s * 1_000),
        warm_ms=int(
            json_fields.number(row, "warm_s", load_s, MAX_LOAD_S) * 1_000
        ),
        disk_ms=int(
            json_fields.number(row, "disk_s", load_s, MAX_LOAD_S) * 1_000
        ),
        adapters=json_fields.integer(row, "adapters", 0),
        adapter_mb=json_fields.number(row, "adapter_mb", 0.0),
    )


def decode_server(
    server_id: str, raw: bytes
) -> backend_directory.ServerRecord:
    """Decode a server record; raise DocumentError if it is invalid."""
    fields = json_fields.decode_object(raw)
    host, port = _address(json_fields.text(fields, "address"))
    state = json_fields.text(fields, "state")
    if state not in _STATES:
        raise json_fields.DocumentError(
            f"state: expected ready or draining, found {state!r}"
        )
    remaining_ms = None
    if "remaining_ms" in fields:
        remaining_ms = json_fields.duration_ms(fields, "remaining_ms")
    at_hand = (
        json_fields.typed(fields, "at_hand", dict)
        if "at_hand" in fields
        else {}
    )
    return backend_directory.ServerRecord(
        server_id=server_id,
        service=json_fields.text(fields, "service"),
        host=host,
        port=port,
        availability_zone=json_fields.text(fields, "zone"),
        slots=json_fields.integer(fields, "slots"),
        is_draining=state == "draining",
        # "born" is the start time of the process. Without it only the server
        # identifier distinguishes processes.
        started_ms=json_fields.integer(
            fields, "born", 0, json_fields.MAX_INTEGER
        ),
        models=decode_models(fields),
        in_memory=json_fields.texts(at_hand, "in_memory"),
        on_disk=json_fields.texts(at_hand, "on_disk"),
        remaining_ms=remaining_ms,
        software_version=_software_version(fields),
        sequence=_sequence(fields),
    )


def _address(text: str) -> tuple[str, int]:
    """Return the IP address and the port of a server."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError as error:
        raise json_fields.DocumentError(f"address: {error}") from error
    is_port = port.isascii() and port.isdigit() and len(port) <= 5
    if not is_port or not 0 < int(port) <= MAX_PORT:
        raise json_fields.DocumentError(
            f"address: expected IP:PORT, found {text!r}"
        )
    return host, int(port)


def _sequence(fields: dict[str, Any]) -> int | None:
    """Return the number of a record, None if it states no usable one."""
    try:
        return json_fields.integer(
            fields, "seq", maximum=json_fields.MAX_INTEGER
        )
    except json_fields.DocumentError:
        return None


def _software_version(fields: dict[str, Any]) -> str:
    """Return the version of a server as text, empty if it states none.

    Versions are only compared, so that values of all types are accepted.
    """
    found = fields.get("version", "")
    if type(found) is not str:
        try:
            found = json.dumps(found, sort_keys=True)
        except (RecursionError, ValueError) as error:
            raise json_fields.DocumentError(f"version: {error}") from error
    if len(found) > json_fields.MAX_TEXT_LENGTH:
        raise json_fields.DocumentError(
            f"version: {len(found)} characters, expected at most "
            f"{json_fields.MAX_TEXT_LENGTH}"
        )
    # A lone surrogate can't be sent to other entries.
    return found.encode("utf-8", "backslashreplace").decode()


def decode_models(fields: dict[str, Any]) -> dict[str, frozenset[str]]:
    """Decode the adapters by resident model; raise DocumentError if invalid.

    A document without the field "models" has no resident model.
    """
    if "models" not in fields:
        return {}
    return {
        json_fields.text(row, "name"): json_fields.texts(row, "adapters")
        for row in json_fields.objects(fields, "models")
    }
