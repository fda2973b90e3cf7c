"""Command that sends a request to a model."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from balsamwall.console import caller_client
from balsamwall.console import command_registry

if TYPE_CHECKING:
    from balsamwall.console import session as console_session


@command_registry.command("send")
def send(
    session: console_session.Session,
    model: str,
    prompt: str = "",
    request_class: str = "",
    deadline_ms: int = 0,
    max_tokens: int = 0,
) -> None:
    """Send a prompt to a model or adapter and print the response.

    Without an argument, the prompt is read from standard input.
    """
    prompt = prompt or sys.stdin.read()
    headers = caller_client.caller_headers(request_class, deadline_ms)
    on_text = _discard if session.is_json else caller_client.print_text
    try:
        text = caller_client.CallerClient(session).chat(
            model, prompt, max_tokens, headers, on_text
        )
    finally:
        if not session.is_json:
            print(flush=True)
    if session.is_json:
        session.show({"model": model, "text": text}, "")


def _discard(text: str) -> None:
    pass
