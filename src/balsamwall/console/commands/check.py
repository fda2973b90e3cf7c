"""Command that validates configuration files locally."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure

from balsamwall.configuration import configuration_parser
from balsamwall.console import command_registry
from balsamwall.console import exceptions
from balsamwall.console import exit_codes
from balsamwall.console import file_reader

if TYPE_CHECKING:
    from balsamwall.console import session as console_session


@command_registry.command("check")
def check(session: console_session.Session, *files: str) -> None:
    """Validate configuration files locally, without a server."""
    result = configuration_parser.try_parse(file_reader.read_files(files))
    if isinstance(result, Failure):
        error = result.failure()
        raise exceptions.ConsoleError(
            exit_codes.ExitCode.INVALID,
            error.message,
            {"problems": [problem.to_json() for problem in error.problems]},
        )
    configuration = result.unwrap()
    body = {
        "tenant": configuration.tenant,
        "models": len(configuration.models),
        "adapters": len(configuration.adapters),
        "services": len(configuration.services),
        "workspaces": len(configuration.workspaces),
    }
    counts = ", ".join(f"{key} {value}" for key, value in body.items())
    session.show(body, f"valid: {counts}")
