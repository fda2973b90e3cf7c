"""Command that calls a service."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from balsamwall.console import caller_client
from balsamwall.console import command_registry
from balsamwall.console import exceptions
from balsamwall.console import idempotency_key

if TYPE_CHECKING:
    from balsamwall.console import session as console_session


@command_registry.command("call")
def call(
    session: console_session.Session,
    service: str,
    path: str,
    body: str = "{}",
    idempotency: str = "",
    request_class: str = "",
    deadline_ms: int = 0,
) -> None:
    """Call a service with an idempotency key, which is printed.

    If the outcome of a call is unknown, retry it with the same key: it is
    executed at most once. With --body=- the body is read from standard input.
    """
    key = idempotency or idempotency_key.new_key()
    session.print_notice(f"idempotency key {key}")
    if body == "-":
        body = sys.stdin.read()
    headers = caller_client.caller_headers(request_class, deadline_ms)
    headers["Idempotency-Key"] = key
    try:
        text = caller_client.CallerClient(session).call(
            service, path, body.encode(), headers
        )
    except exceptions.ConsoleError as error:
        error.body["idempotency_key"] = key
        error.message += f" (idempotency key {key})"
        raise
    session.show({"idempotency_key": key, "body": text}, text)
