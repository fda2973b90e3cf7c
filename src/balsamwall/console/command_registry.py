"""Registry of commands and their adaptation to fire."""

from __future__ import annotations

from collections.abc import Callable
import inspect
import os
from typing import Any

from fire import decorators

from balsamwall.console import console_settings
from balsamwall.console import exceptions
from balsamwall.console import exit_codes
from balsamwall.console import session

Command = Callable[..., None]
SessionFactory = Callable[[dict[str, Any]], session.Session]

# Flags that every command accepts, with their defaults.
COMMON_FLAGS: dict[str, Any] = {
    "json": False,
    "address": "",
    "key": "",
    "key_file": "",
    "tenant": "",
    "caller_address": "",
    "caller_key": "",
    "caller_key_file": "",
    "timeout_s": "",
    "settings": "",
}
_TRUE_VALUES = ("True", "true", "yes")
_FALSE_VALUES = ("False", "false", "no")

_COMMANDS: dict[str, Command] = {}


class PendingCommand:
    """Command with parsed arguments that has not run yet.

    It runs only after fire has consumed the whole command line, so that a
    surplus argument is reported before the command has any effect.
    """

    __slots__ = ("_run",)

    def __init__(self, run: Callable[[], None]) -> None:
        self._run = run

    def __str__(self) -> str:
        return ""


def run_pending(pending: PendingCommand) -> None:
    """Run a parsed command; raise ConsoleError."""
    pending._run()  # noqa: SLF001


def command(name: str) -> Callable[[Command], Command]:
    """Register a function whose first parameter is the session.

    Raise ValueError if the name is taken.
    """

    def decorate(function: Command) -> Command:
        if name in _COMMANDS:
            raise ValueError(f"command {name} is already registered")
        _COMMANDS[name] = function
        return function

    return decorate


def registered() -> dict[str, Command]:
    """Return a copy of the registry: command functions by name."""
    return dict(_COMMANDS)


def fire_components(
    session_factory: SessionFactory,
) -> dict[str, Callable[..., PendingCommand]]:
    """Return the commands in the form that fire takes.

    Dashes in names become underscores, and the common flags are added.
    """
    return {
        name.replace("-", "_"): _add_common_flags(function, session_factory)
        for name, function in sorted(_COMMANDS.items())
    }


def open_session(flags: dict[str, Any]) -> session.Session:
    """Create a session from flags, environment and settings file."""
    settings = console_settings.load(
        {key: value for key, value in flags.items() if key != "json"},
        os.environ,
    )
    return session.Session(settings, flags["json"])


def _add_common_flags(
    function: Command, session_factory: SessionFactory
) -> Callable[..., PendingCommand]:
    own = list(inspect.signature(function).parameters.values())[1:]
    flags = [
        inspect.Parameter(
            name, inspect.Parameter.KEYWORD_ONLY, default=default
        )
        for name, default in COMMON_FLAGS.items()
    ]

    def run(*arguments: Any, **keyword_arguments: Any) -> PendingCommand:
        flag_values = {
            name: keyword_arguments.pop(name, default)
            for name, default in COMMON_FLAGS.items()
        }
        return PendingCommand(
            lambda: function(
                session_factory(flag_values), *arguments, **keyword_arguments
            )
        )

    run.__doc__ = function.__doc__
    run.__name__ = function.__name__
    wrapper: Any = run
    wrapper.__signature__ = inspect.Signature([*own, *flags])
    # By default fire converts arguments such as "0123" or "1e5" to numbers.
    parsers = {
        parameter.name: _parser_for(parameter) for parameter in (*own, *flags)
    }
    decorators.SetParseFn(str)(run)
    for name, parser in parsers.items():
        decorators.SetParseFn(parser, name)(run)
    return run


def _parser_for(parameter: inspect.Parameter) -> Callable[[str], Any]:
    # Annotations are strings here, and the common flags have only defaults.
    name = parameter.name
    if parameter.annotation == "bool" or parameter.default is False:
        return lambda text: _parse_bool(name, text)
    if parameter.annotation == "int":
        return lambda text: _parse_int(name, text)
    return str


def _parse_bool(name: str, text: str) -> bool:
    if text in _TRUE_VALUES:
        return True
    if text in _FALSE_VALUES:
        return False
    raise exceptions.ConsoleError(
        exit_codes.ExitCode.USAGE,
        f"--{name}: found {text}, allowed: --{name} or --no{name}",
    )


def _parse_int(name: str, text: str) -> int:
    try:
        return int(text)
    except ValueError:
        raise exceptions.ConsoleError(
            exit_codes.ExitCode.USAGE,
            f"{name}: found {text}, allowed: an integer",
        ) from None
