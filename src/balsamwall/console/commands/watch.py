"""Command that monitors a roll-out."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from balsamwall.console import command_registry
from balsamwall.console import exceptions
from balsamwall.console import exit_codes
from balsamwall.console import session as console_session

if TYPE_CHECKING:
    from collections.abc import Sequence

POLL_INTERVAL_S = 2.0
COLUMNS = ("number", "state", "action", "part", "name", "version", "detail")


@command_registry.command("watch")
def watch(
    session: console_session.Session, limit_s: int = 3_600, once: bool = False
) -> None:
    """Print the roll-out on each change until it is complete.

    The exit code is 1 if it is incomplete after the limit. With --once the
    current state is printed once.
    """
    last_shown: object = None
    waited_s = 0.0
    while True:
        body = session.administration.get("rollout")
        states = [(s["number"], s["state"]) for s in body["steps"]]
        if (body["revision"], states) != last_shown:
            last_shown = (body["revision"], states)
            session.show(body, describe(body["revision"], body["steps"]))
        if body["is_done"] or once:
            return
        if waited_s >= limit_s:
            raise exceptions.ConsoleError(
                exit_codes.ExitCode.FAILED,
                f"the roll-out is not complete after {limit_s} s",
            )
        session.sleep(POLL_INTERVAL_S)
        waited_s += POLL_INTERVAL_S


def describe(revision: int, steps: Sequence[dict[str, Any]]) -> str:
    """Return the progress and the table of incomplete steps."""
    open_steps = [step for step in steps if step["state"] != "done"]
    done = len(steps) - len(open_steps)
    text = f"revision {revision}: {done} of {len(steps)} steps are done"
    if open_steps:
        text += "\n" + console_session.table(open_steps, COLUMNS)
    return text
