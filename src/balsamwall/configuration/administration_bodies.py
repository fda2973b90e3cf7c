"""Request and response bodies for configurations."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from balsamwall.configuration import administration_types
from balsamwall.configuration import configuration_difference
from balsamwall.configuration import rollout_planner
from balsamwall.results import result_code

if TYPE_CHECKING:
    from balsamwall.configuration import configuration_document
    from balsamwall.configuration import exceptions
    from balsamwall.configuration import tenant_configuration

    Document = configuration_document.ConfigurationDocument

MAX_FILES = 16
MAX_FILES_BYTES = 512 * 1024

_CODE = result_code.ResultCode
_CHANGE_ID = re.compile(r"[A-Za-z0-9-]{8,64}")
_FILE_NAME = re.compile(r"[A-Za-z0-9._-]{1,64}")


def document_json(document: Document) -> dict[str, object]:
    """Return the newest entry of a document with its files and counts."""
    return {
        **document.head.to_json(),
        "files": dict(document.head.files),
        **part_counts(document.configuration),
    }


def part_counts(
    configuration: tenant_configuration.TenantConfiguration,
) -> dict[str, object]:
    """Return the number of items in each part."""
    return {
        part: len(getattr(configuration, part))
        for part in ("models", "adapters", "services", "workspaces")
    }


def change_json(
    old: tenant_configuration.TenantConfiguration | None,
    new: tenant_configuration.TenantConfiguration,
) -> dict[str, object]:
    """Return the difference and the roll-out steps from old to new."""
    entries = configuration_difference.difference(old, new)
    steps = rollout_planner.RolloutPlanner().plan(old, new)
    return {
        "base_revision": old.revision if old is not None else 0,
        "difference": [entry.to_json() for entry in entries],
        "difference_text": configuration_difference.to_text(entries),
        "steps": [step.to_json() for step in steps],
        "steps_text": "\n".join(map(str, steps)),
    }


def invalid_response(
    error: exceptions.ConfigurationInvalid,
) -> administration_types.AdministrationResponse:
    """Return the error response that lists all problems."""
    return administration_types.error_response(
        error, problems=[problem.to_json() for problem in error.problems]
    )


def parse_files(body: object) -> dict[str, str]:
    """Return the files of a body by name; raise AdministrationError."""
    files: dict[object, object] = administration_types.body_field(
        body, "files", dict
    )
    if not 1 <= len(files) <= MAX_FILES:
        raise administration_types.malformed_request(
            f"files: found {len(files)}, allowed: 1 to {MAX_FILES}"
        )
    checked: dict[str, str] = {}
    for name, text in files.items():
        if type(name) is not str or not _FILE_NAME.fullmatch(name):
            raise administration_types.malformed_request(
                "files: a name must have 1 to 64 of letters, digits, . _ -"
            )
        if type(text) is not str:
            raise administration_types.malformed_request(
                f"files: {name} must be a string"
            )
        checked[name] = text
    size = sum(len(text.encode()) for text in checked.values())
    if size > MAX_FILES_BYTES:
        raise administration_types.AdministrationError(
            _CODE.BODY_TOO_LARGE,
            f"files of {size} bytes exceed {MAX_FILES_BYTES}",
        )
    return checked


def parse_change_id(body: object) -> str:
    """Return the change identifier of a body; raise AdministrationError."""
    change_id: str = administration_types.body_field(body, "change_id", str)
    if not _CHANGE_ID.fullmatch(change_id):
        raise administration_types.malformed_request(
            "change_id must have 8 to 64 of letters, digits and '-'"
        )
    return change_id


def parse_revision(text: str) -> int:
    """Parse a revision number; raise AdministrationError."""
    if not re.fullmatch(r"[0-9]{1,12}", text):
        raise administration_types.malformed_request(
            f"a revision must be a whole number, found {text[:32]!r}"
        )
    return int(text)


def no_configuration_error(
    tenant: str,
) -> administration_types.AdministrationError:
    """Return the error for a tenant without a configuration."""
    return administration_types.AdministrationError(
        _CODE.UNKNOWN_TENANT, f"no configuration is stored for tenant {tenant}"
    )


def unknown_revision_error(
    revision: int,
) -> administration_types.AdministrationError:
    """Return the error for a revision that is not in the history."""
    return administration_types.AdministrationError(
        _CODE.CONFIGURATION_INVALID,
        f"revision {revision} is not in the history",
        404,
    )
