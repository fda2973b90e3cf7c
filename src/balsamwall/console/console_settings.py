"""Settings of the command-line tool."""

from __future__ import annotations

import configparser
import dataclasses
import pathlib
from typing import TYPE_CHECKING

from balsamwall.console import exceptions
from balsamwall.console import exit_codes

if TYPE_CHECKING:
    from collections.abc import Mapping

DEFAULT_PATH = "balsamwall/console.ini"
ENVIRONMENT_PREFIX = "BALSAMWALL_"
SECTION = "console"
KEYS = (
    "address",
    "key",
    "key_file",
    "tenant",
    "caller_address",
    "caller_key",
    "caller_key_file",
    "timeout_s",
)
MAX_KEY_FILE_BYTES = 4_096


@dataclasses.dataclass(slots=True, frozen=True)
class ConsoleSettings:
    """Merged settings of one command.

    Flags take precedence over the environment, which takes precedence over
    the settings file.
    """

    address: str
    key: str = dataclasses.field(repr=False)
    tenant: str
    caller_address: str
    caller_key: str = dataclasses.field(repr=False)
    timeout_s: float


def load(
    flags: Mapping[str, str], environment: Mapping[str, str]
) -> ConsoleSettings:
    """Merge flags, environment and file.

    Raise ConsoleError with the exit code USAGE if one of them is invalid.
    """
    path, is_explicit = _settings_path(flags, environment)
    values = _read_file(path, is_explicit)
    for key in KEYS:
        variable = ENVIRONMENT_PREFIX + key.upper()
        if environment.get(variable):
            _set_value(values, key, environment[variable])
        if flags.get(key):
            _set_value(values, key, flags[key])
    return ConsoleSettings(
        address=values.get("address", ""),
        key=_resolve_key(values, "key"),
        tenant=values.get("tenant", ""),
        caller_address=values.get("caller_address", ""),
        caller_key=_resolve_key(values, "caller_key"),
        timeout_s=_parse_timeout(values.get("timeout_s", "30")),
    )


def _set_value(values: dict[str, str], key: str, value: str) -> None:
    # A key overrides a key file from a source of lower precedence, and vice
    # versa.
    if key in ("key", "caller_key"):
        values.pop(f"{key}_file", None)
    elif key in ("key_file", "caller_key_file"):
        values.pop(key.removesuffix("_file"), None)
    values[key] = value


def _settings_path(
    flags: Mapping[str, str], environment: Mapping[str, str]
) -> tuple[pathlib.Path, bool]:
    explicit_path = flags.get("settings") or environment.get(
        ENVIRONMENT_PREFIX + "SETTINGS"
    )
    if explicit_path:
        return pathlib.Path(explicit_path), True
    base = environment.get("XDG_CONFIG_HOME")
    folder = (
        pathlib.Path(base)
        if base
        else pathlib.Path(environment.get("HOME", "/"), ".config")
    )
    return folder / DEFAULT_PATH, False


def _read_file(path: pathlib.Path, is_explicit: bool) -> dict[str, str]:
    parser = configparser.ConfigParser(interpolation=None)
    try:
        text = path.read_text("utf-8")
    except FileNotFoundError as error:
        if is_explicit:
            raise _usage_error(f"{path}: file not found") from error
        return {}
    except (OSError, UnicodeDecodeError) as error:
        raise _usage_error(f"{path}: {error}") from error
    try:
        parser.read_string(text)
    except configparser.Error as error:
        # The parser error may quote a line with a key, so it is not shown.
        raise _usage_error(f"{path}: invalid INI syntax") from error
    problems = [
        f"{path}: unknown section [{name}], allowed: [{SECTION}]"
        for name in parser.sections()
        if name != SECTION
    ]
    values = dict(parser[SECTION]) if SECTION in parser else {}
    problems += [
        f"{path}: [{SECTION}] {key}: unknown key, allowed: {', '.join(KEYS)}"
        for key in values
        if key not in KEYS
    ]
    if problems:
        raise _usage_error("\n".join(problems))
    return values


def _resolve_key(values: Mapping[str, str], name: str) -> str:
    if values.get(name):
        return values[name]
    path = values.get(f"{name}_file", "")
    if not path:
        return ""
    try:
        text = pathlib.Path(path).expanduser().read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise _usage_error(f"{name}_file {path}: {error}") from error
    if len(text) > MAX_KEY_FILE_BYTES:
        raise _usage_error(
            f"{name}_file {path}: larger than {MAX_KEY_FILE_BYTES} bytes"
        )
    return text.strip()


def _parse_timeout(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = 0
    if not 0.1 <= value <= 3_600:
        raise _usage_error(f"timeout_s: found {text}, allowed: 0.1 to 3600")
    return value


def _usage_error(message: str) -> exceptions.ConsoleError:
    return exceptions.ConsoleError(exit_codes.ExitCode.USAGE, message)
