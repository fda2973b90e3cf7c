"""Read the sections of an operator's INI file."""

from __future__ import annotations

import configparser
import dataclasses
from typing import TYPE_CHECKING
from typing import TypeVar

from balsamwall.configuration import exceptions
from balsamwall.configuration import value_readers

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")

MAX_FILE_BYTES = 512 * 1024
MAX_FOUND_CHARACTERS = 120

# An operator may enter an API key instead of its hash by mistake.
SECRET_KEYS = frozenset({"api_key_hashes"})


@dataclasses.dataclass(slots=True)
class Section:
    """Section of a file; problems are appended to `problems`."""

    file: str
    title: str
    values: dict[str, str]
    problems: list[exceptions.Problem]

    @property
    def kind(self) -> str:
        """Return the first word of the title."""
        return self.title.partition(" ")[0]

    @property
    def name(self) -> str:
        """Return the title without its first word."""
        return self.title.partition(" ")[2].strip()

    def report(self, key: str, found: str, allowed: str) -> None:
        """Report a problem with a key, or with the section if empty."""
        if key in SECRET_KEYS:
            found = f"{len(found)} characters that are not shown"
        elif len(found) > MAX_FOUND_CHARACTERS:
            found = found[:MAX_FOUND_CHARACTERS] + "..."
        self.problems.append(
            exceptions.Problem(
                self.file, self.title, key, found or "nothing", allowed
            )
        )

    def check_keys(self, known: set[str]) -> None:
        """Report each key that is not in `known`."""
        for key in self.values:
            if key not in known:
                self.report(key, "unknown key", ", ".join(sorted(known)))

    def read(
        self,
        key: str,
        reader: value_readers.ValueReader[T],
        fallback: T,
        is_required: bool = False,
    ) -> T:
        """Return the value of a key, or the fallback if absent or invalid."""
        text = self.values.get(key)
        if text is None:
            if is_required:
                self.report(key, "nothing", reader.allowed)
            return fallback
        try:
            return reader.read(text)
        except ValueError:
            self.report(key, text, reader.allowed)
            return fallback


def read_sections(
    file: str, text: str, problems: list[exceptions.Problem]
) -> list[Section]:
    """Split a file into sections; append syntax errors to `problems`."""
    if len(text.encode()) > MAX_FILE_BYTES:
        problems.append(
            exceptions.Problem(
                file,
                "",
                "",
                f"{len(text.encode())} bytes",
                f"at most {MAX_FILE_BYTES} bytes",
            )
        )
        return []
    parser = configparser.ConfigParser(
        interpolation=None,
        default_section="",
        delimiters=("=",),
        comment_prefixes=("#", ";"),
        empty_lines_in_values=False,
    )
    # Keys are case-sensitive, as are all names in the configuration.
    keep_case: Callable[[str], str] = str
    parser.optionxform = keep_case  # type: ignore[assignment,method-assign]
    try:
        parser.read_string(text, file)
    except configparser.DuplicateSectionError as error:
        problems.append(
            exceptions.Problem(
                file,
                error.section,
                "",
                f"duplicate section in line {error.lineno}",
                "unique sections",
            )
        )
        return []
    except configparser.DuplicateOptionError as error:
        problems.append(
            exceptions.Problem(
                file,
                error.section,
                error.option,
                f"duplicate key in line {error.lineno}",
                "unique keys in a section",
            )
        )
        return []
    except configparser.Error as error:
        # The error message quotes lines, which may contain an API key.
        lines = [line for line, _ in getattr(error, "errors", [])]
        lines = lines or [getattr(error, "lineno", 0)]
        reason = f"a syntax error in line {', '.join(map(str, lines))}"
        problems.append(
            exceptions.Problem(file, "", "", reason, "an INI file")
        )
        return []
    return [
        Section(file, " ".join(title.split()), dict(parser[title]), problems)
        for title in parser.sections()
    ]
