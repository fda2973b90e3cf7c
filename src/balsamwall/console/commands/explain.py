"""Command that explains a routing decision."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.console import command_registry
from balsamwall.console import session as console_session

if TYPE_CHECKING:
    from typing import Any

COLUMNS = (
    "vm",
    "availability_zone",
    "predicted_first_token_ms",
    "is_eligible",
    "reason",
)


@command_registry.command("explain")
def explain(
    session: console_session.Session, name: str, request_class: str = "urgent"
) -> None:
    """Show where a request for a model or adapter would go, and why."""
    body = session.administration.get(
        "explain", **{"name": name, "class": request_class}
    )
    session.show(body, _describe(body))


def _describe(body: dict[str, Any]) -> str:
    text = f"{body['name']} (base {body['base']}, {body['request_class']})"
    if body["chosen"]:
        text += f" goes to {body['chosen']}"
    else:
        text += " has no eligible replica; an agent would be asked to load it"
    if body["candidates"]:
        text += "\n" + console_session.table(body["candidates"], COLUMNS)
    return text
