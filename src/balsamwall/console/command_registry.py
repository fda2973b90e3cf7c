"""Registry of commands, filled by a decorator."""

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

# Flags that every command takes, with their defaults.
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
_TRUE_WORDS = ("True", "true", "yes")
_FALSE_WORDS = ("False", "false", "no")

_COMMANDS: dict[str, Command] = {}


class PendingCommand:
    """Command with parsed arguments.

    The tool runs it after the parser has consumed the whole line, so that
    a superfluous argument never leaves a command half done.
    """

    __slots__ = ("_run",)

    def __init__(self, run: Callable[[], None]) -> None:
        self._run = run

    def __str__(self) -> str:
        return ""


def run_pending(pending: PendingCommand) -> None:
    """Run a command; raise ConsoleError."""
    pending._run()  # noqa: SLF001


def command(name: str) -> Callable[[Command], Command]:
    """Register a function whose first argument is the session."""

    def add(function: Command) -> Command:
        if name in _COMMANDS:
            raise ValueError(f"command {name} is registered twice")
        _COMMANDS[name] = function
        return function

    return add


def registered() -> dict[str, Command]:
    """Return the functions of all commands by name."""
    return dict(_COMMANDS)


def components(
    factory: SessionFactory,
) -> dict[str, Callable[..., PendingCommand]]:
    """Return the commands for fire, with the common flags added."""
    return {
        name.replace("-", "_"): _with_flags(function, factory)
        for name, function in sorted(_COMMANDS.items())
    }


def open_session(flags: dict[str, Any]) -> session.Session:
    """Open a session from flags, environment and settings file."""
    settings = console_settings.load(
        {key: value for key, value in flags.items() if key != "json"},
        os.environ,
    )
    return session.Session(settings, flags["json"])


def _with_flags(
    function: Command, factory: SessionFactory
) -> Callable[..., PendingCommand]:
    own = list(inspect.signature(function).parameters.values())[1:]
    flags = [
        inspect.Parameter(
            name, inspect.Parameter.KEYWORD_ONLY, default=default
        )
        for name, default in COMMON_FLAGS.items()
    ]

    def run(*arguments: Any, **named: Any) -> PendingCommand:
        chosen = {
            name: named.pop(name, default)
            for name, default in COMMON_FLAGS.items()
        }
        return PendingCommand(
            lambda: function(factory(chosen), *arguments, **named)
        )

    run.__doc__ = function.__doc__
    run.__name__ = function.__name__
    described: Any = run
    described.__signature__ = inspect.Signature([*own, *flags])
    # Without parsers fire turns "0123" or "1e5" into numbers.
    parsers = {
        parameter.name: _parser(parameter) for parameter in (*own, *flags)
    }
    decorators.SetParseFn(str)(run)
    for name, parser in parsers.items():
        decorators.SetParseFn(parser, name)(run)
    return run


def _parser(parameter: inspect.Parameter) -> Callable[[str], Any]:
    # Annotations are texts; the common flags have only defaults.
    name = parameter.name
    if parameter.annotation == "bool" or parameter.default is False:
        return lambda text: _boolean(name, text)
    if parameter.annotation == "int":
        return lambda text: _integer(name, text)
    return str


def _boolean(name: str, text: str) -> bool:
    if text in _TRUE_WORDS:
        return True
    if text in _FALSE_WORDS:
        return False
    raise exceptions.ConsoleError(
        exit_codes.ExitCode.USAGE,
        f"--{name}: found {text}, allowed: --{name} or --no{name}",
    )


def _integer(name: str, text: str) -> int:
    try:
        return int(text)
    except ValueError:
        raise exceptions.ConsoleError(
            exit_codes.ExitCode.USAGE,
            f"{name}: found {text}, allowed: a whole number",
        ) from None
