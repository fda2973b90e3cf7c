"""Registry of message classes and checks of their field types."""

from __future__ import annotations

import dataclasses
import typing
from typing import Any
from typing import dataclass_transform
from typing import TYPE_CHECKING

from balsamwall.protocol import exceptions

if TYPE_CHECKING:
    from collections.abc import Callable


class Message:
    """Base class of all messages; NUMBER identifies the class on the wire."""

    __slots__ = ()

    NUMBER = 0


_REGISTRY: dict[int, type[Message]] = {}
_FIELDS: dict[int, tuple[tuple[str, object], ...]] = {}

_SCALAR_TYPES: dict[object, tuple[type, ...]] = {
    bool: (bool,),
    int: (int,),
    float: (float, int),
    str: (str,),
    bytes: (bytes,),
}


@dataclass_transform()
def register(number: int) -> Callable[[type], type]:
    """Make the class a slotted data class with a unique wire number.

    Fields are sent by position, so their order and types are part of the
    protocol. Raise ValueError if the number is taken.
    """

    def decorate(cls: type) -> type:
        registered: Any = dataclasses.dataclass(slots=True)(cls)
        registered.NUMBER = number
        if number in _REGISTRY:
            raise ValueError(f"message number {number} is already registered")
        _REGISTRY[number] = registered
        return typing.cast(type, registered)

    return decorate


def lookup(number: object) -> type[Message]:
    """Return the class of a wire number; raise ProtocolError if unknown."""
    cls = _REGISTRY.get(number) if type(number) is int else None
    if cls is None:
        raise exceptions.ProtocolError(f"unknown message number {number!r}")
    return cls


def registered() -> dict[int, type[Message]]:
    """Return all message classes by wire number."""
    return dict(_REGISTRY)


def fields_of(cls: type[Message]) -> tuple[tuple[str, object], ...]:
    """Return the field names and resolved types in wire order."""
    cached = _FIELDS.get(cls.NUMBER)
    if cached is None:
        hints = typing.get_type_hints(cls)
        fields = dataclasses.fields(cls)  # type: ignore[arg-type]
        cached = tuple((field.name, hints[field.name]) for field in fields)
        _FIELDS[cls.NUMBER] = cached
    return cached


def check_value(name: str, expected: Any, value: object) -> None:
    """Check a decoded field, including the items of lists and dicts.

    Raise ProtocolError if a type differs.
    """
    scalar_types = _SCALAR_TYPES.get(expected)
    if scalar_types is not None:
        if type(value) not in scalar_types:
            raise _type_error(name, expected, value)
        return
    origin = typing.get_origin(expected)
    if origin is list:
        if type(value) is not list:
            raise _type_error(name, expected, value)
        (item_type,) = typing.get_args(expected)
        for item in value:
            check_value(name, item_type, item)
    elif origin is dict:
        if type(value) is not dict:
            raise _type_error(name, expected, value)
        key_type, item_type = typing.get_args(expected)
        for key, item in value.items():
            check_value(name, key_type, key)
            check_value(name, item_type, item)
    elif expected is not Any:
        raise _type_error(name, expected, value)


def _type_error(
    name: str, expected: object, value: object
) -> exceptions.ProtocolError:
    found = type(value).__name__
    return exceptions.ProtocolError(
        f"field {name}: expected {expected}, found {found}"
    )
