"""Build workspaces from expanded sections."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from balsamwall.configuration import name_pattern
from balsamwall.configuration import tenant_configuration
from balsamwall.configuration import value_readers

if TYPE_CHECKING:
    from balsamwall.configuration import ini_file

KEYS = {
    "api_key_hashes",
    "models",
    "adapters",
    "services",
    "default_class",
    "urgent_deadline",
    "deferrable_deadline",
    "first_token",
    "requests_per_second",
    "burst",
    "max_concurrent",
    "max_output_tokens",
    "move_weight",
    "attainment_weight",
    "resend_window",
    "opaque_keys",
}

_HASHES = value_readers.key_hashes()
_CLASS = value_readers.choice({"urgent": True, "deferrable": False})
_URGENT_DEADLINE = value_readers.duration_ms("100 ms", "1 h")
_DEFERRABLE_DEADLINE = value_readers.duration_ms("1 s", "48 h")
_FIRST_TOKEN = value_readers.duration_ms("10 ms", "10 min")
_RATE = value_readers.decimal(0.01, 100_000)
_BURST = value_readers.integer(1, 100_000)
_MAX_CONCURRENT = value_readers.integer(1, 100_000)
_OUTPUT_TOKENS = value_readers.integer(1, 1_000_000)
_WEIGHT = value_readers.decimal(0, 100)
_RESEND_WINDOW = value_readers.duration_ms("1 s", "24 h")
_OPAQUE_KEYS = value_readers.choice({"allow": True, "refuse": False})


@dataclasses.dataclass(slots=True, frozen=True)
class KnownNames:
    """Configured names that a workspace can refer to."""

    models: tuple[str, ...]
    adapters: tuple[str, ...]
    services: tuple[str, ...]


def build(
    section: ini_file.Section, known: KnownNames
) -> tenant_configuration.WorkspaceSpec:
    """Build one workspace; report problems to the section."""
    read = section.read
    spec = tenant_configuration.WorkspaceSpec(
        name=section.name,
        api_key_hashes=read("api_key_hashes", _HASHES, (), is_required=True),
        models=_select(section, "models", known.models),
        adapters=_select(section, "adapters", known.adapters),
        services=_select(section, "services", known.services),
        is_urgent_by_default=read("default_class", _CLASS, False),
        urgent_deadline_ms=read("urgent_deadline", _URGENT_DEADLINE, 30_000),
        deferrable_deadline_ms=read(
            "deferrable_deadline", _DEFERRABLE_DEADLINE, 8 * 3_600_000
        ),
        first_token_ms=read("first_token", _FIRST_TOKEN, 510),
        requests_per_second=read("requests_per_second", _RATE, 10.0),
        burst=read("burst", _BURST, 20),
        max_concurrent=read("max_concurrent", _MAX_CONCURRENT, 64),
        max_output_tokens=read("max_output_tokens", _OUTPUT_TOKENS, 1_024),
        move_weight=read("move_weight", _WEIGHT, 1.0),
        attainment_weight=read("attainment_weight", _WEIGHT, 1.0),
        resend_window_ms=read("resend_window", _RESEND_WINDOW, 600_000),
        are_opaque_keys_allowed=read("opaque_keys", _OPAQUE_KEYS, True),
    )
    _check_relations(section, spec)
    return spec


def _select(
    section: ini_file.Section, key: str, known: tuple[str, ...]
) -> tuple[str, ...]:
    allowed = f"names or patterns of the {key} of this configuration"
    try:
        chosen, unmatched = name_pattern.select(
            section.values.get(key, ""), known
        )
    except ValueError as error:
        section.report(key, str(error), allowed)
        return ()
    for name in unmatched:
        section.report(key, name, allowed)
    return tuple(chosen)


def _check_relations(
    section: ini_file.Section, spec: tenant_configuration.WorkspaceSpec
) -> None:
    if spec.first_token_ms > spec.urgent_deadline_ms:
        section.report(
            "first_token",
            f"{spec.first_token_ms} ms",
            f"at most urgent_deadline ({spec.urgent_deadline_ms} ms)",
        )
    if spec.urgent_deadline_ms > spec.deferrable_deadline_ms:
        section.report(
            "urgent_deadline",
            f"{spec.urgent_deadline_ms} ms",
            f"at most deferrable_deadline ({spec.deferrable_deadline_ms} ms)",
        )
    if not spec.move_weight and not spec.attainment_weight:
        section.report("attainment_weight", "0", "above 0 if move_weight is 0")
    if not (spec.models or spec.adapters or spec.services):
        section.report(
            "models", "nothing", "at least one model, adapter or service"
        )
