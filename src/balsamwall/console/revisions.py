"""Helpers of the commands that change the configuration."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from balsamwall.console import exceptions

if TYPE_CHECKING:
    from balsamwall.console import session as console_session

_UNKNOWN_TENANT = 4006


def current_revision(session: console_session.Session) -> int:
    """Return the stored revision, or 0 if the tenant has none."""
    try:
        body = session.administration.get("configuration")
    except exceptions.ConsoleError as error:
        error_body = error.body.get("error")
        if (
            type(error_body) is dict
            and error_body.get("number") == _UNKNOWN_TENANT
        ):
            return 0
        raise
    return int(body["revision"])


def describe_change(body: dict[str, Any]) -> str:
    """Return the response to an accepted change as text."""
    lines = [f"revision {body['revision']} is accepted"]
    lines += _difference_and_steps(body)
    lines.append("follow the roll-out with: balsamwall watch")
    return "\n".join(lines)


def describe_plan(body: dict[str, Any]) -> str:
    """Return the response to a dry run as text."""
    return "\n".join(_difference_and_steps(body))


def _difference_and_steps(body: dict[str, Any]) -> list[str]:
    lines = [str(body["difference_text"])]
    if body["steps_text"]:
        lines += ["steps:", str(body["steps_text"])]
    return lines
