"""Encode and decode configurations with size and schema checks.

A document consists of content, which is the current configuration in encoded
form, and of history entries, the newest first. Each entry holds the files of
one revision; the newest has the revision of the configuration.
"""

from __future__ import annotations

import dataclasses
import typing
from typing import Any
from typing import TYPE_CHECKING
from typing import TypeVar
import zlib

import msgpack

from balsamwall.configuration import configuration_document
from balsamwall.configuration import exceptions
from balsamwall.configuration import tenant_configuration
from balsamwall.protocol import exceptions as protocol_exceptions
from balsamwall.protocol import message

if TYPE_CHECKING:
    from collections.abc import Mapping

T = TypeVar("T")

FORMAT = 1
# A document above this size is encoded without its oldest history entries.
MAX_DOCUMENT_BYTES = 1_000_000
# Limit of one encoded configuration without its history.
MAX_CONTENT_BYTES = 512 * 1024
# Bounds decompression bombs; a daemon has 64 MB of memory.
MAX_UNCOMPRESSED_BYTES = 4 * 1024 * 1024
MAX_HISTORY_ENTRIES = 50

PARTS: tuple[tuple[str, Any], ...] = (
    ("models", tenant_configuration.ModelSpec),
    ("adapters", tenant_configuration.AdapterSpec),
    ("services", tenant_configuration.ServiceSpec),
    ("workspaces", tenant_configuration.WorkspaceSpec),
)
SINGLE_PARTS: tuple[tuple[str, Any], ...] = (
    ("fleet", tenant_configuration.FleetSpec),
    ("weight_store", tenant_configuration.WeightStoreSpec),
)


def encode_configuration(
    configuration: tenant_configuration.TenantConfiguration,
) -> bytes:
    """Encode a configuration; raise DocumentInvalid if it is too large."""
    plain: dict[str, Any] = {
        "format": FORMAT,
        "tenant": configuration.tenant,
        "revision": configuration.revision,
        "change_id": configuration.change_id,
    }
    for part, _ in PARTS:
        specs = getattr(configuration, part)
        plain[part] = [dataclasses.asdict(spec) for spec in specs.values()]
    for part, _ in SINGLE_PARTS:
        spec = getattr(configuration, part)
        if spec is not None:
            plain[part] = dataclasses.asdict(spec)
    content = pack(plain)
    if len(content) > MAX_CONTENT_BYTES:
        raise exceptions.DocumentInvalid(
            f"configuration of {len(content)} bytes"
            f" exceeds {MAX_CONTENT_BYTES}"
        )
    return content


def decode_configuration(
    content: bytes,
) -> tenant_configuration.TenantConfiguration:
    """Decode and check a configuration; raise DocumentInvalid.

    Unknown fields are ignored and missing fields that have a default take it,
    so that processes of different releases can exchange configurations. A
    missing field without a default is an error.
    """
    return configuration_from_map(unpack(content, MAX_CONTENT_BYTES))


def configuration_from_map(
    plain: Mapping[str, Any],
) -> tenant_configuration.TenantConfiguration:
    """Build and check a configuration; raise DocumentInvalid."""
    check_format(plain)
    parts: dict[str, Any] = {}
    for part, cls in PARTS:
        rows = read_field(plain, part, list)
        specs = [read_spec(cls, row) for row in rows]
        parts[part] = {spec.name: spec for spec in specs}
        if len(parts[part]) != len(rows):
            raise exceptions.DocumentInvalid(f"{part}: repeated name")
    for part, cls in SINGLE_PARTS:
        if plain.get(part) is not None:
            parts[part] = read_spec(cls, plain[part])
    configuration = tenant_configuration.TenantConfiguration(
        tenant=read_field(plain, "tenant", str),
        revision=read_field(plain, "revision", int),
        change_id=read_field(plain, "change_id", str),
        **parts,
    )
    check_references(configuration)
    return configuration


def encode_document(
    document: configuration_document.ConfigurationDocument,
) -> bytes:
    """Encode a document without its oldest entries if it is too large.

    At most MAX_HISTORY_ENTRIES entries are kept. Raise DocumentInvalid if the
    configuration is too large, there is no entry, or not even the newest
    entry fits.
    """
    content = encode_configuration(document.configuration)
    entries = [
        {**entry.to_json(), "files": pack(dict(entry.files))}
        for entry in document.entries[:MAX_HISTORY_ENTRIES]
    ]
    while entries:
        data: bytes = msgpack.packb(
            {"format": FORMAT, "content": content, "entries": entries}
        )
        if len(data) <= MAX_DOCUMENT_BYTES:
            return data
        entries.pop()
    raise exceptions.DocumentInvalid(
        f"document exceeds {MAX_DOCUMENT_BYTES} bytes without any history"
    )


def decode_newer(
    data: bytes, above_revision: int
) -> tenant_configuration.TenantConfiguration | None:
    """Decode the configuration of a document, or None if not newer.

    Of the history, only the revision of the newest entry is checked. Raise
    DocumentInvalid.
    """
    if len(data) > MAX_DOCUMENT_BYTES:
        raise exceptions.DocumentInvalid(
            f"document of {len(data)} bytes exceeds {MAX_DOCUMENT_BYTES}"
        )
    plain = _unpack_map(data)
    check_format(plain)
    entries = read_field(plain, "entries", list)
    if not entries or type(entries[0]) is not dict:
        raise exceptions.DocumentInvalid("entries: no newest entry")
    revision = read_field(entries[0], "revision", int)
    if revision <= above_revision:
        return None
    configuration = decode_configuration(read_field(plain, "content", bytes))
    if configuration.revision != revision:
        raise exceptions.DocumentInvalid(
            "newest entry and configuration differ in revision"
        )
    return configuration


def decode_document(
    data: bytes,
) -> configuration_document.ConfigurationDocument:
    """Decode and check a document and its history; raise DocumentInvalid."""
    if len(data) > MAX_DOCUMENT_BYTES:
        raise exceptions.DocumentInvalid(
            f"document of {len(data)} bytes exceeds {MAX_DOCUMENT_BYTES}"
        )
    plain = _unpack_map(data)
    check_format(plain)
    configuration = decode_configuration(read_field(plain, "content", bytes))
    entries = []
    for row in read_field(plain, "entries", list):
        if type(row) is not dict:
            raise exceptions.DocumentInvalid("entries: not a map")
        files = unpack(read_field(row, "files", bytes), MAX_DOCUMENT_BYTES)
        _check_value("files", dict[str, str], files)
        entries.append(
            read_spec(
                configuration_document.DocumentEntry,
                {**row, "files": {}},
                files=files,
            )
        )
    if not entries or entries[0].revision != configuration.revision:
        raise exceptions.DocumentInvalid(
            "newest entry and configuration differ in revision"
        )
    return configuration_document.ConfigurationDocument(
        configuration, tuple(entries)
    )


def check_format(plain: Mapping[str, Any]) -> None:
    """Raise DocumentInvalid for a format other than FORMAT."""
    found = read_field(plain, "format", int)
    if found != FORMAT:
        raise exceptions.DocumentInvalid(
            f"format {found}, this release reads {FORMAT}"
        )


def pack(plain: Mapping[str, Any]) -> bytes:
    """Encode a map with msgpack and compress it with zlib."""
    return zlib.compress(msgpack.packb(plain), 6)


def unpack(data: bytes, limit: int) -> dict[str, Any]:
    """Decode a compressed map of at most `limit` compressed bytes.

    Raise DocumentInvalid, also if more than MAX_UNCOMPRESSED_BYTES result
    from the decompression.
    """
    if len(data) > limit:
        raise exceptions.DocumentInvalid(
            f"{len(data)} bytes exceed the limit of {limit}"
        )
    expander = zlib.decompressobj()
    try:
        plain = expander.decompress(data, MAX_UNCOMPRESSED_BYTES)
    except zlib.error as error:
        raise exceptions.DocumentInvalid(f"not zlib: {error}") from error
    if not expander.eof or expander.unused_data:
        raise exceptions.DocumentInvalid(
            "truncated, or larger than"
            f" {MAX_UNCOMPRESSED_BYTES} bytes uncompressed"
        )
    return _unpack_map(plain)


def _unpack_map(data: bytes) -> dict[str, Any]:
    try:
        plain = msgpack.unpackb(data, raw=False)
    except (ValueError, msgpack.UnpackException) as error:
        raise exceptions.DocumentInvalid(f"not msgpack: {error}") from error
    if type(plain) is not dict:
        raise exceptions.DocumentInvalid("not a map")
    return plain


def read_field(plain: Mapping[str, Any], name: str, expected: type[T]) -> T:
    """Return a field of exactly this type; raise DocumentInvalid."""
    value = plain.get(name)
    if type(value) is not expected:
        found = type(value).__name__
        raise exceptions.DocumentInvalid(
            f"{name}: expected {expected.__name__}, found {found}"
        )
    return value


def _check_value(name: str, expected: Any, value: object) -> None:
    try:
        message.check_value(name, expected, value)
    except protocol_exceptions.ProtocolError as error:
        raise exceptions.DocumentInvalid(error.message) from error


def read_spec(cls: type[T], row: object, **overrides: object) -> T:
    """Build a data class from a map; raise DocumentInvalid.

    Keyword arguments replace fields of the map and are not checked.
    """
    if type(row) is not dict:
        raise exceptions.DocumentInvalid(f"{cls.__name__}: not a map")
    values: dict[str, Any] = {}
    hints = _type_hints(cls)
    for field in dataclasses.fields(cls):  # type: ignore[arg-type]
        name = field.name
        if name in overrides:
            values[name] = overrides[name]
        elif name in row:
            values[name] = _convert_value(name, hints[name], row[name])
        elif field.default is dataclasses.MISSING:
            raise exceptions.DocumentInvalid(
                f"{cls.__name__}: no field {name}"
            )
    return cls(**values)


_TYPE_HINTS_CACHE: dict[type, dict[str, Any]] = {}


def _type_hints(cls: type) -> dict[str, Any]:
    if cls not in _TYPE_HINTS_CACHE:
        if cls is configuration_document.DocumentEntry:
            # The caller checks the remaining field, `files`.
            _TYPE_HINTS_CACHE[cls] = {
                "revision": int,
                "change_id": str,
                "author": str,
                "changed_ms": int,
                "rollback_of": int,
            }
        else:
            _TYPE_HINTS_CACHE[cls] = typing.get_type_hints(cls)
    return _TYPE_HINTS_CACHE[cls]


def _convert_value(name: str, expected: Any, value: object) -> object:
    if typing.get_origin(expected) is tuple:
        if type(value) is not list:
            raise exceptions.DocumentInvalid(f"{name}: not a list")
        _check_value(name, list[str], value)
        return tuple(value)
    _check_value(name, expected, value)
    return value


def check_references(
    configuration: tenant_configuration.TenantConfiguration,
) -> None:
    """Check that every referenced name exists; raise DocumentInvalid."""
    for adapter in configuration.adapters.values():
        if adapter.base not in configuration.models:
            raise exceptions.DocumentInvalid(
                f"adapter {adapter.name}: unknown base {adapter.base}"
            )
    for workspace in configuration.workspaces.values():
        for part in ("models", "adapters", "services"):
            unknown = set(getattr(workspace, part)).difference(
                getattr(configuration, part)
            )
            if unknown:
                raise exceptions.DocumentInvalid(
                    f"workspace {workspace.name}: unknown {part}"
                    f" {', '.join(sorted(unknown))}"
                )
