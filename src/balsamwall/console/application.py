"""Entry point of the `balsamwall` command-line tool."""

from __future__ import annotations

import importlib
import json
import pkgutil
import sys
from typing import TYPE_CHECKING

import fire

from balsamwall.console import command_registry
from balsamwall.console import commands
from balsamwall.console import exceptions
from balsamwall.console import exit_codes

if TYPE_CHECKING:
    from collections.abc import Sequence

_EXIT = exit_codes.ExitCode


def main(
    arguments: Sequence[str] | None = None,
    factory: command_registry.SessionFactory = command_registry.open_session,
) -> int:
    """Parse and run one command; return its exit code."""
    command_line = list(sys.argv[1:] if arguments is None else arguments)
    load_commands()
    if not command_line:
        print(usage(), file=sys.stderr)
        return _EXIT.USAGE
    try:
        parsed = fire.Fire(
            command_registry.fire_components(factory),
            command=command_line,
            name="balsamwall",
            serialize=_serialize,
        )
        if isinstance(parsed, command_registry.PendingCommand):
            command_registry.run_pending(parsed)
            return _EXIT.OK
        print(usage(), file=sys.stderr)
    except fire.core.FireExit as error:
        return int(error.code)
    except exceptions.ConsoleError as error:
        _show_error(error, is_json="--json" in command_line)
        return error.exit_code
    except KeyboardInterrupt:
        return _EXIT.FAILED
    except BrokenPipeError:
        return _EXIT.FAILED
    return _EXIT.USAGE


def load_commands() -> None:
    """Import all command modules, each of which registers its command."""
    for module in pkgutil.iter_modules(commands.__path__):
        importlib.import_module(f"{commands.__name__}.{module.name}")


def usage() -> str:
    """Return the usage text with a summary line per command."""
    lines = [
        f"  {name:<18} {(function.__doc__ or '').splitlines()[0]}"
        for name, function in sorted(command_registry.registered().items())
    ]
    return "\n".join(
        ["usage: balsamwall COMMAND [ARGUMENT...] [--json]", *lines]
    )


def _serialize(result: object) -> object:
    if isinstance(result, command_registry.PendingCommand):
        return None
    return result


def _show_error(error: exceptions.ConsoleError, is_json: bool) -> None:
    if is_json:
        print(json.dumps(error.body), flush=True)
    print(error.message, file=sys.stderr, flush=True)


if __name__ == "__main__":
    sys.exit(main())
