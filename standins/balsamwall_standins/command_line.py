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


def build_parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the options common to all stand-ins."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--interface", default="127.0.0.1")
    return parser


def serve(
    arguments: argparse.Namespace,
    build: Callable[[Any], http_server.HttpStandin],
) -> None:
    """Build a stand-in, print its port and run until a signal arrives."""
    standin = build(reactor)
    port = standin.listen(arguments.port, arguments.interface)
    print(f"listening {port}", flush=True)
    reactor.run()
    sys.stdout.flush()
