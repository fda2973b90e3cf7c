"""Substitute workspace parameters into a template."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.configuration import ini_file

_PLACEHOLDER = re.compile(r"\$\{([^}:]*)(?::([^}]*))?\}")
_PARAMETER = re.compile(r"[a-z][a-z0-9_]*")


def find_parameters(template: ini_file.Section) -> set[str]:
    """Return the parameter names of a template; report malformed ones."""
    names: set[str] = set()
    for key, value in template.values.items():
        for match in _PLACEHOLDER.finditer(value):
            name, default = match.groups()
            if default is not None and "{" in default:
                template.report(
                    key, match.group(0), "a default without a {} pattern"
                )
            if _PARAMETER.fullmatch(name):
                names.add(name)
            else:
                template.report(
                    key,
                    match.group(0),
                    "${parameter} or ${parameter:default} of a-z, 0-9 and _",
                )
        if "${" in _PLACEHOLDER.sub("", value):
            template.report(key, value, "placeholders that end with '}'")
    return names


def expand(
    template: ini_file.Section,
    workspace: ini_file.Section,
    known_keys: set[str],
) -> dict[str, str]:
    """Return the values of a workspace after substitution.

    A key of the workspace is a parameter if the template refers to it;
    otherwise it overrides the key of the template.
    """
    parameters = find_parameters(template)
    arguments = workspace.values
    values = {
        key: _substitute(key, value, arguments, workspace)
        for key, value in template.values.items()
    }
    for key, value in arguments.items():
        if key == "template" or key in parameters:
            continue
        if key in known_keys:
            values[key] = value
        else:
            allowed = sorted(known_keys | parameters)
            workspace.report(key, "unknown key", ", ".join(allowed))
    return values


def _substitute(
    key: str,
    value: str,
    arguments: dict[str, str],
    workspace: ini_file.Section,
) -> str:
    def replace_match(match: re.Match[str]) -> str:
        name, default = match.group(1), match.group(2)
        found = arguments.get(name, default)
        if found is None:
            workspace.report(
                name,
                "nothing",
                f"a value, because the template uses ${{{name}}} in {key}",
            )
            return ""
        return str(found)

    return _PLACEHOLDER.sub(replace_match, value)
