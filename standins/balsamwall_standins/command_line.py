"""Command line shared by all stand-ins."""

from __future__ import annotations

import argparse
import sys
from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import reactor

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall_standins import http_server


def parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the options common to all stand-ins."""
    found = argparse.ArgumentParser(description=description)
    found.add_argument("--port", type=int, default=0)
    found.add_argument("--interface", default="127.0.0.1")
    return found


def serve(
    options: argparse.Namespace,
    build: Callable[[Any], http_server.HttpStandin],
) -> None:
    """Build a stand-in, print its port and run until a signal arrives."""
    standin = build(reactor)
    port = standin.listen(options.port, options.interface)
    print(f"listening {port}", flush=True)
    reactor.run()
    sys.stdout.flush()
