"""Reader of configuration files for the commands."""

from __future__ import annotations

import pathlib

from balsamwall.configuration import ini_file
from balsamwall.console import exceptions
from balsamwall.console import exit_codes


def read_files(paths: tuple[str, ...]) -> dict[str, str]:
    """Return the contents by base name.

    Raise ConsoleError if no path is given, a file cannot be read or two base
    names are equal.
    """
    if not paths:
        raise exceptions.ConsoleError(
            exit_codes.ExitCode.USAGE,
            "at least one configuration file is required",
        )
    files: dict[str, str] = {}
    for path in paths:
        name = pathlib.Path(path).name
        if name in files:
            raise exceptions.ConsoleError(
                exit_codes.ExitCode.USAGE,
                f"more than one file is named {name}",
            )
        try:
            with open(path, encoding="utf-8") as file:
                # One byte above the limit, so that validation reports the
                # file as too long.
                files[name] = file.read(ini_file.MAX_FILE_BYTES + 1)
        except (OSError, UnicodeDecodeError) as error:
            raise exceptions.ConsoleError(
                exit_codes.ExitCode.INVALID, f"{path}: {error}"
            ) from error
    return files
