"""Help for commands that change the configuration."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from balsamwall.console import exceptions

if TYPE_CHECKING:
    from balsamwall.console import session as console_session

_UNKNOWN_TENANT = 4006


def current(session: console_session.Session) -> int:
    """Return the stored revision, 0 without a configuration."""
    try:
        body = session.administration.get("configuration")
    except exceptions.ConsoleError as error:
        inner = error.body.get("error")
        if type(inner) is dict and inner.get("number") == _UNKNOWN_TENANT:
            return 0
        raise
    return int(body["revision"])


def describe_change(body: dict[str, Any]) -> str:
    """Return the text of an accepted change."""
    parts = [f"revision {body['revision']} is accepted"]
    parts += _difference_and_steps(body)
    parts.append("follow the roll-out with: balsamwall watch")
    return "\n".join(parts)


def describe_plan(body: dict[str, Any]) -> str:
    """Return the text of a change that was not made."""
    return "\n".join(_difference_and_steps(body))


def _difference_and_steps(body: dict[str, Any]) -> list[str]:
    parts = [str(body["difference_text"])]
    if body["steps_text"]:
        parts += ["steps:", str(body["steps_text"])]
    return parts
