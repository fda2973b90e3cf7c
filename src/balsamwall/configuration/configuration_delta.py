"""Encode a configuration as a delta to an earlier revision."""

from __future__ import annotations

import dataclasses
from typing import Any
from typing import TYPE_CHECKING

from balsamwall.configuration import document_codec
from balsamwall.configuration import exceptions

if TYPE_CHECKING:
    from collections.abc import Mapping

    from balsamwall.configuration import tenant_configuration

    Configuration = tenant_configuration.TenantConfiguration


def encode(base: Configuration, new: Configuration) -> bytes:
    """Encode the delta to a base; raise DocumentInvalid if too large.

    The delta for one changed workspace takes a few hundred bytes,
    independent of the size of the configuration.
    """
    plain: dict[str, Any] = {
        "format": document_codec.FORMAT,
        "tenant": new.tenant,
        "revision": new.revision,
        "change_id": new.change_id,
        "base_revision": base.revision,
        "base_change_id": base.change_id,
    }
    for part, _ in document_codec.PARTS:
        before, after = getattr(base, part), getattr(new, part)
        plain[part] = {
            "set": [
                dataclasses.asdict(spec)
                for name, spec in after.items()
                if before.get(name) != spec
            ],
            "drop": [name for name in before if name not in after],
        }
    for part, _ in document_codec.SINGLE_PARTS:
        spec = getattr(new, part)
        if spec is not None:
            plain[part] = dataclasses.asdict(spec)
    content = document_codec.pack(plain)
    if len(content) > document_codec.MAX_CONTENT_BYTES:
        raise exceptions.DocumentInvalid(
            f"configuration delta of {len(content)} bytes is too large"
        )
    return content


def decode(
    content: bytes, retained: Mapping[int, Configuration]
) -> Configuration:
    """Decode a full configuration or a delta to a retained one.

    Raise DeltaBaseUnknown if the base is missing, or DocumentInvalid.
    """
    plain = document_codec.unpack(content, document_codec.MAX_CONTENT_BYTES)
    if "base_revision" not in plain:
        return document_codec.configuration_from_map(plain)
    document_codec.check_format(plain)
    number = document_codec.read_field(plain, "base_revision", int)
    change_id = document_codec.read_field(plain, "base_change_id", str)
    base = retained.get(number)
    if base is None or base.change_id != change_id:
        raise exceptions.DeltaBaseUnknown(
            f"revision {number} of change {change_id} is not retained"
        )
    return _apply(base, plain)


def share_unchanged(old: Configuration, new: Configuration) -> Configuration:
    """Return the new configuration with unchanged specs taken from the old.

    The replica retains several revisions, which would otherwise take
    megabytes each.
    """
    parts: dict[str, Any] = {}
    for part, _ in document_codec.PARTS:
        before, after = getattr(old, part), getattr(new, part)
        if before == after:
            parts[part] = before
            continue
        parts[part] = {
            name: before[name] if before.get(name) == spec else spec
            for name, spec in after.items()
        }
    return dataclasses.replace(new, **parts)


def _apply(base: Configuration, plain: Mapping[str, Any]) -> Configuration:
    parts: dict[str, Any] = {}
    for part, cls in document_codec.PARTS:
        delta = document_codec.read_field(plain, part, dict)
        specs = dict(getattr(base, part))
        for name in document_codec.read_field(delta, "drop", list):
            if type(name) is not str or name not in specs:
                raise exceptions.DocumentInvalid(
                    f"{part}: dropped name is not in the base revision"
                )
            del specs[name]
        for row in document_codec.read_field(delta, "set", list):
            spec: Any = document_codec.read_spec(cls, row)
            specs[spec.name] = spec
        parts[part] = specs
    for part, cls in document_codec.SINGLE_PARTS:
        row = plain.get(part)
        parts[part] = (
            document_codec.read_spec(cls, row) if row is not None else None
        )
    configuration = dataclasses.replace(
        base,
        tenant=document_codec.read_field(plain, "tenant", str),
        revision=document_codec.read_field(plain, "revision", int),
        change_id=document_codec.read_field(plain, "change_id", str),
        **parts,
    )
    document_codec.check_references(configuration)
    return configuration
