"""Read HTTP header fields and remove hop-by-hop fields."""

from __future__ import annotations

Fields = list[tuple[bytes, bytes]]

_CONNECTION_FIELDS = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


def value(fields: Fields, name: bytes) -> bytes | None:
    """Return the first value of a field; the name is in lower case."""
    for found, content in fields:
        if found == name:
            return content
    return None


def values(fields: Fields, name: bytes) -> list[bytes]:
    """Return all values of a field; the name is in lower case."""
    return [content for found, content in fields if found == name]


def agreed_value(fields: Fields, name: bytes) -> bytes | None:
    """Return the value of a field, None if it has several different ones."""
    found = set(values(fields, name))
    return found.pop() if len(found) == 1 else None


def content_length(fields: Fields) -> int | None:
    """Return the value of Content-Length, None if absent or invalid."""
    content = value(fields, b"content-length")
    if content is None or not content.isdigit():
        return None
    return int(content)


def media_type(fields: Fields) -> bytes:
    """Return the media type without parameters, empty if there is none."""
    found = value(fields, b"content-type") or b""
    return found.partition(b";")[0].strip().lower()


def is_repeated(fields: Fields, name: bytes) -> bool:
    """Return whether a field occurs more than once."""
    return len(values(fields, name)) > 1


def connection_options(fields: Fields) -> set[bytes]:
    """Return the options of all Connection fields in lower case."""
    options: set[bytes] = set()
    for found, content in fields:
        if found == b"connection":
            options.update(
                option.strip().lower() for option in content.split(b",")
            )
    return options


def end_to_end(fields: Fields, kept: frozenset[bytes]) -> Fields:
    """Return the fields without those of the connection.

    Fields in kept, such as Host, are not removed even if the sender lists
    them as connection options.
    """
    dropped = (connection_options(fields) - kept) | _CONNECTION_FIELDS
    return [field for field in fields if field[0] not in dropped]


def keep_alive_ms(fields: Fields) -> int | None:
    """Return the idle timeout that the peer states in Keep-Alive, if any."""
    content = value(fields, b"keep-alive")
    if content is None:
        return None
    for part in content.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.strip().lower() == b"timeout" and number.strip().isdigit():
            return int(number) * 1_000
    return None
