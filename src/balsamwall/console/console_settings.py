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
    """Addresses and keys; flags win over the environment and the file."""

    address: str
    key: str = dataclasses.field(repr=False)
    tenant: str
    caller_address: str
    caller_key: str = dataclasses.field(repr=False)
    timeout_s: float


def load(
    flags: Mapping[str, str], environment: Mapping[str, str]
) -> ConsoleSettings:
    """Merge flags, environment and file; raise ConsoleError."""
    path, is_named = _path(flags, environment)
    values = _from_file(path, is_named)
    for key in KEYS:
        variable = ENVIRONMENT_PREFIX + key.upper()
        if environment.get(variable):
            _override(values, key, environment[variable])
        if flags.get(key):
            _override(values, key, flags[key])
    return ConsoleSettings(
        address=values.get("address", ""),
        key=_key(values, "key"),
        tenant=values.get("tenant", ""),
        caller_address=values.get("caller_address", ""),
        caller_key=_key(values, "caller_key"),
        timeout_s=_timeout(values.get("timeout_s", "30")),
    )


def _override(values: dict[str, str], key: str, value: str) -> None:
    # A key from a stronger source replaces a key file of a weaker one.
    if key in ("key", "caller_key"):
        values.pop(f"{key}_file", None)
    elif key in ("key_file", "caller_key_file"):
        values.pop(key.removesuffix("_file"), None)
    values[key] = value


def _path(
    flags: Mapping[str, str], environment: Mapping[str, str]
) -> tuple[pathlib.Path, bool]:
    named = flags.get("settings") or environment.get(
        ENVIRONMENT_PREFIX + "SETTINGS"
    )
    if named:
        return pathlib.Path(named), True
    base = environment.get("XDG_CONFIG_HOME")
    folder = (
        pathlib.Path(base)
        if base
        else pathlib.Path(environment.get("HOME", "/"), ".config")
    )
    return folder / DEFAULT_PATH, False


def _from_file(path: pathlib.Path, is_named: bool) -> dict[str, str]:
    parser = configparser.ConfigParser(interpolation=None)
    try:
        text = path.read_text("utf-8")
    except FileNotFoundError as error:
        if is_named:
            raise _usage(f"{path}: no such file") from error
        return {}
    except (OSError, UnicodeDecodeError) as error:
        raise _usage(f"{path}: {error}") from error
    try:
        parser.read_string(text)
    except configparser.Error as error:
        # The text of the error may repeat a line with a key.
        raise _usage(f"{path}: not an INI file") from error
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
        raise _usage("\n".join(problems))
    return values


def _key(values: Mapping[str, str], name: str) -> str:
    if values.get(name):
        return values[name]
    path = values.get(f"{name}_file", "")
    if not path:
        return ""
    try:
        text = pathlib.Path(path).expanduser().read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise _usage(f"{name}_file {path}: {error}") from error
    if len(text) > MAX_KEY_FILE_BYTES:
        raise _usage(f"{name}_file {path}: more than {MAX_KEY_FILE_BYTES} B")
    return text.strip()


def _timeout(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = 0
    if not 0.1 <= value <= 3_600:
        raise _usage(f"timeout_s: found {text}, allowed: 0.1 to 3600")
    return value


def _usage(message: str) -> exceptions.ConsoleError:
    return exceptions.ConsoleError(exit_codes.ExitCode.USAGE, message)
