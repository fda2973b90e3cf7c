"""Parse single settings."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from balsamwall.settings import address

if TYPE_CHECKING:
    from collections.abc import Callable

MIN_SECRET_BYTES = 16

NAME_ALLOWED = "1 to 64 of a-z, A-Z, 0-9, '.', '_', '-'"
ADDRESS_ALLOWED = "HOST:PORT with a port from 1 to 65535"
LISTEN_ALLOWED = "HOST:PORT with a port from 0 to 65535"
SHA256_ALLOWED = "SHA-256 as 64 hexadecimal digits"
SECRET_ALLOWED = f"at least {2 * MIN_SECRET_BYTES} hexadecimal digits"

_NAME = re.compile(r"[A-Za-z0-9._-]{1,64}")
_SHA256 = re.compile(r"[0-9a-fA-F]{64}")


def name(text: str) -> str:
    """Parse a name; raise ValueError."""
    if not _NAME.fullmatch(text):
        raise ValueError(text)
    return text


def name_or_any(text: str) -> str:
    """Parse a name or an asterisk; raise ValueError."""
    return text if text == "*" else name(text)


def names(text: str) -> tuple[str, ...]:
    """Parse names separated by commas; raise ValueError."""
    return tuple(name(part.strip()) for part in text.split(","))


def tenants(text: str) -> str:
    """Parse names separated by commas; return them separated by spaces.

    Peers exchange the names of their tenants as one string in this form.
    Raise ValueError.
    """
    return " ".join(names(text))


def connect_address(text: str) -> address.Address:
    """Parse an address with a port above 0; raise ValueError.

    Port 0 is valid only for listening.
    """
    result = address.parse(text)
    if result.port == 0:
        raise ValueError(text)
    return result


def connect_addresses(text: str) -> tuple[address.Address, ...]:
    """Parse addresses separated by commas; raise ValueError."""
    return tuple(connect_address(part) for part in text.split(","))


def sha256(text: str) -> str:
    """Parse a hexadecimal SHA-256 hash; raise ValueError."""
    if not _SHA256.fullmatch(text):
        raise ValueError(text)
    return text.lower()


def secret(text: str) -> bytes:
    """Parse a hexadecimal secret of at least MIN_SECRET_BYTES bytes.

    Raise ValueError if it is too short or not hexadecimal.
    """
    result = bytes.fromhex(text)
    if len(result) < MIN_SECRET_BYTES:
        raise ValueError("too short")
    return result


def choice(*choices: str) -> Callable[[str], str]:
    """Return a parser that accepts only the given words."""

    def parse(text: str) -> str:
        if text not in choices:
            raise ValueError(text)
        return text

    return parse


def integer(minimum: int, maximum: int) -> Callable[[str], int]:
    """Return a parser of an integer within bounds."""

    def parse(text: str) -> int:
        if not re.fullmatch(r"-?[0-9]{1,18}", text):
            raise ValueError(text)
        value = int(text)
        if not minimum <= value <= maximum:
            raise ValueError(text)
        return value

    return parse
