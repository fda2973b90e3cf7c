"""Administration API handlers for the fleet."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from balsamwall.configuration import administration_routes
from balsamwall.configuration import administration_types
from balsamwall.results import result_code

if TYPE_CHECKING:
    from balsamwall.configuration import administration_context
    from balsamwall.configuration import tenant_configuration

    Context = administration_context.AdministrationContext
    Request = administration_types.AdministrationRequest
    Respond = administration_types.Respond

_CODE = result_code.ResultCode
_FINGERPRINT = re.compile(r"(?:[0-9a-f]{2}){1,64}")

route = administration_routes.route


def _respond_ok(respond: Respond, **body: object) -> None:
    respond(administration_types.AdministrationResponse(200, body))


def _active_configuration(
    context: Context, request: Request
) -> tenant_configuration.TenantConfiguration:
    configuration = context.replica.current(request.scope.tenant)
    if configuration is None:
        raise administration_types.AdministrationError(
            _CODE.UNKNOWN_TENANT, "no configuration is active"
        )
    return configuration


def _vms_by_resident(context: Context, tenant: str) -> dict[str, list[str]]:
    """Return the VMs on which each model or adapter is resident."""
    holders: dict[str, list[str]] = {}
    for vm in context.fleet.vms(tenant):
        if vm.state in ("ready", "leaving"):
            for name in vm.residents.models | vm.residents.adapters:
                holders.setdefault(name, []).append(vm.vm)
    return holders


def _workspaces_by_name(
    configuration: tenant_configuration.TenantConfiguration,
) -> dict[str, list[str]]:
    """Return the workspaces that use each model or adapter."""
    users: dict[str, list[str]] = {}
    for workspace in configuration.workspaces.values():
        for name in (*workspace.models, *workspace.adapters):
            users.setdefault(name, []).append(workspace.name)
    return users


@route("GET", "models")
def models(context: Context, request: Request, respond: Respond) -> None:
    """List the models with their replicas and workspaces."""
    configuration = _active_configuration(context, request)
    holders = _vms_by_resident(context, request.scope.tenant)
    users = _workspaces_by_name(configuration)
    _respond_ok(
        respond,
        models=[
            {
                "name": spec.name,
                "version": spec.version,
                "weight_bytes": spec.weight_bytes,
                "replicas": len(holders.get(spec.name, [])),
                "workspaces": users.get(spec.name, []),
            }
            for spec in configuration.models.values()
        ],
    )


@route("GET", "adapters")
def adapters(context: Context, request: Request, respond: Respond) -> None:
    """List the adapters with their replicas and workspaces."""
    configuration = _active_configuration(context, request)
    holders = _vms_by_resident(context, request.scope.tenant)
    users = _workspaces_by_name(configuration)
    _respond_ok(
        respond,
        adapters=[
            {
                "name": spec.name,
                "base": spec.base,
                "version": spec.version,
                "weight_bytes": spec.weight_bytes,
                "replicas": len(holders.get(spec.name, [])),
                "workspaces": users.get(spec.name, []),
            }
            for spec in configuration.adapters.values()
        ],
    )


@route("GET", "vms")
def vms(context: Context, request: Request, respond: Respond) -> None:
    """List the VMs with their load and memory."""
    rows = [vm.to_json() for vm in context.fleet.vms(request.scope.tenant)]
    _respond_ok(respond, vms=sorted(rows, key=lambda row: str(row["vm"])))


@route("GET", "replicas")
def replicas(context: Context, request: Request, respond: Respond) -> None:
    """List the VMs that hold each configured name, or one name."""
    configuration = _active_configuration(context, request)
    holders = _vms_by_resident(context, request.scope.tenant)
    requested_name = request.query.get("name", "")
    names = sorted(configuration.configured_names())
    if requested_name:
        if requested_name not in names:
            raise _unknown_name_error(requested_name)
        names = [requested_name]
    _respond_ok(
        respond,
        replicas=[
            {"name": name, "vms": sorted(holders.get(name, []))}
            for name in names
        ],
    )


@route("GET", "drains")
def drains(context: Context, request: Request, respond: Respond) -> None:
    """List leaving VMs and drains that no agent has received."""
    tenant = request.scope.tenant
    now_ms = context.clock.now_ms()
    rows: list[dict[str, object]] = [
        {
            "vm": vm.vm,
            "state": "leaving",
            "running": vm.running,
            "waiting": vm.waiting,
        }
        for vm in context.fleet.vms(tenant)
        if vm.state == "leaving"
    ]
    rows += [
        {
            "vm": intent.vm,
            "state": "not seen by the agent",
            "author": intent.author,
            "age_ms": now_ms - intent.since_ms,
        }
        for intent in context.drains.pending(tenant)
    ]
    _respond_ok(respond, drains=rows)


@route("POST", "vms/{vm}/drain", needs_write=True)
def drain(
    context: Context, request: Request, respond: Respond, vm: str
) -> None:
    """Mark a VM as leaving as soon as its agent is reachable."""
    tenant = request.scope.tenant
    _check_vm(context, tenant, vm)
    is_received = context.drains.request(tenant, vm, request.scope.author)
    _respond_ok(
        respond,
        vm=vm,
        state="leaving" if is_received else "not seen by the agent",
        can_be_withdrawn=not is_received,
    )


@route("POST", "vms/{vm}/undrain", needs_write=True)
def undrain(
    context: Context, request: Request, respond: Respond, vm: str
) -> None:
    """Withdraw a drain that no agent has received."""
    tenant = request.scope.tenant
    if context.drains.withdraw(tenant, vm):
        _respond_ok(respond, vm=vm, state="withdrawn")
        return
    _check_vm(context, tenant, vm)
    raise administration_types.AdministrationError(
        _CODE.LEAVING,
        f"no drain of {vm} is pending; a drain that the agent has received"
        " cannot be withdrawn, replace the VM instead",
        409,
    )


@route("GET", "quarantine")
def quarantine(context: Context, request: Request, respond: Respond) -> None:
    """List the quarantined request fingerprints."""
    entries = context.fleet.quarantined(request.scope.tenant)
    _respond_ok(respond, quarantine=[entry.to_json() for entry in entries])


@route("POST", "quarantine/clear", needs_write=True)
def clear_quarantine(
    context: Context, request: Request, respond: Respond
) -> None:
    """Clear a fingerprint on all VMs."""
    text = administration_types.body_field(request.body, "fingerprint", str)
    if not _FINGERPRINT.fullmatch(text):
        raise administration_types.malformed_request(
            "fingerprint must be an even number of hexadecimal digits"
        )
    if not context.fleet.clear_quarantine(
        request.scope.tenant, bytes.fromhex(text)
    ):
        raise administration_types.AdministrationError(
            _CODE.QUARANTINED, "this fingerprint is not quarantined", 404
        )
    _respond_ok(respond, fingerprint=text, state="cleared")


@route("GET", "explain")
def explain(context: Context, request: Request, respond: Respond) -> None:
    """Explain where a request for a name would be routed."""
    configuration = _active_configuration(context, request)
    name = request.query.get("name", "")
    if name not in configuration.configured_names():
        raise _unknown_name_error(name)
    urgency = request.query.get("class", "urgent")
    if urgency not in ("urgent", "deferrable"):
        raise administration_types.malformed_request(
            f"class: found {urgency[:32]!r}, allowed: urgent or deferrable"
        )
    candidates = context.fleet.candidates(
        request.scope.tenant, name, urgency == "urgent"
    )
    chosen = next((c.vm for c in candidates if c.is_eligible), "")
    _respond_ok(
        respond,
        name=name,
        base=configuration.base_of(name),
        request_class=urgency,
        workspaces=_workspaces_by_name(configuration).get(name, []),
        chosen=chosen,
        candidates=[candidate.to_json() for candidate in candidates],
    )


def _check_vm(context: Context, tenant: str, vm: str) -> None:
    if not any(known.vm == vm for known in context.fleet.vms(tenant)):
        raise administration_types.AdministrationError(
            _CODE.UNKNOWN_VM, f"tenant {tenant} has no VM {vm}"
        )


def _unknown_name_error(name: str) -> administration_types.AdministrationError:
    return administration_types.AdministrationError(
        _CODE.UNKNOWN_MODEL, f"no workspace uses a model or adapter {name!r}"
    )
