"""Build fleets, models, adapters and services from sections."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.configuration import name_pattern
from balsamwall.configuration import tenant_configuration
from balsamwall.configuration import value_readers

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from balsamwall.configuration import ini_file

_VERSION = value_readers.text(
    r"[A-Za-z0-9._-]{1,64}", "1 to 64 of letters, digits, '.', '_', '-'"
)
_VMS = value_readers.integer(1, 12_000)
_SPARE_VMS = value_readers.integer(0, 11_999)
_ZONES = value_readers.integer(1, 64)
_VM_MEMORY = value_readers.size_bytes("1 MiB", "16 TiB")
_KV_RESERVE = value_readers.decimal(0.05, 0.9)
_LOADS_PER_SECOND = value_readers.decimal(0.01, 10_000)
_CONCURRENT_LOADS = value_readers.integer(1, 10_000)
_WEIGHTS = value_readers.size_bytes("1 KiB", "8 TiB")
_KV_PER_TOKEN = value_readers.size_bytes("1 B", "64 MiB")
_CONTEXT = value_readers.integer(16, 4_000_000)
_YES_OR_NO = value_readers.boolean()
_SERVICE_TIMEOUT = value_readers.duration_ms("50 ms", "1 h")
_PATHS = value_readers.paths()


def build_fleet(section: ini_file.Section) -> tenant_configuration.FleetSpec:
    """Build the fleet; report problems to the section."""
    section.check_keys(
        {
            "model_vms",
            "vm_memory",
            "kv_reserve",
            "spare_vms",
            "availability_zones",
        }
    )
    fleet = tenant_configuration.FleetSpec(
        model_vms=section.read("model_vms", _VMS, 1, is_required=True),
        vm_memory_bytes=section.read(
            "vm_memory", _VM_MEMORY, 0, is_required=True
        ),
        kv_reserve=section.read("kv_reserve", _KV_RESERVE, 0.25),
        spare_vms=section.read("spare_vms", _SPARE_VMS, 0),
        availability_zones=section.read("availability_zones", _ZONES, 1),
    )
    if fleet.spare_vms >= fleet.model_vms:
        section.report(
            "spare_vms", str(fleet.spare_vms), "fewer than model_vms"
        )
    return fleet


def build_weight_store(
    section: ini_file.Section,
) -> tenant_configuration.WeightStoreSpec:
    """Build the weight store; report problems to the section."""
    section.check_keys({"loads_per_second", "max_concurrent"})
    return tenant_configuration.WeightStoreSpec(
        loads_per_second=section.read(
            "loads_per_second", _LOADS_PER_SECOND, 1.0, is_required=True
        ),
        max_concurrent=section.read(
            "max_concurrent", _CONCURRENT_LOADS, 1, is_required=True
        ),
    )


def build_models(
    section: ini_file.Section, names: Sequence[str]
) -> dict[str, tenant_configuration.ModelSpec]:
    """Build one model per name, all with the values of the section."""
    section.check_keys({"version", "weights", "kv_per_token", "context"})
    version = section.read("version", _VERSION, "", is_required=True)
    weights = section.read("weights", _WEIGHTS, 0, is_required=True)
    kv = section.read("kv_per_token", _KV_PER_TOKEN, 0, is_required=True)
    context = section.read("context", _CONTEXT, 0, is_required=True)
    return {
        name: tenant_configuration.ModelSpec(
            name, version, weights, kv, context
        )
        for name in names
    }


def build_adapters(
    section: ini_file.Section,
    names: Sequence[str],
    models: Mapping[str, tenant_configuration.ModelSpec],
) -> dict[str, tenant_configuration.AdapterSpec]:
    """Build one adapter per name; assign several bases round-robin."""
    section.check_keys({"base", "version", "weights"})
    version = section.read("version", _VERSION, "", is_required=True)
    weights = section.read("weights", _WEIGHTS, 0, is_required=True)
    text = section.values.get("base", "")
    allowed = "models of this configuration"
    bases: list[str] = []
    try:
        bases, unmatched = name_pattern.select(text, models)
    except ValueError as error:
        section.report("base", str(error), allowed)
    else:
        for name in unmatched:
            section.report("base", name, allowed)
        if not bases and not unmatched:
            section.report("base", text, allowed)
    if not bases:
        return {}
    return {
        name: tenant_configuration.AdapterSpec(
            name, bases[index % len(bases)], version, weights
        )
        for index, name in enumerate(names)
    }


def build_service(
    section: ini_file.Section,
) -> tenant_configuration.ServiceSpec:
    """Build one service, by default not repeatable."""
    section.check_keys({"repeatable", "repeatable_paths", "timeout"})
    return tenant_configuration.ServiceSpec(
        name=section.name,
        is_repeatable=section.read("repeatable", _YES_OR_NO, False),
        timeout_ms=section.read("timeout", _SERVICE_TIMEOUT, 10_000),
        repeatable_paths=section.read("repeatable_paths", _PATHS, ()),
    )
