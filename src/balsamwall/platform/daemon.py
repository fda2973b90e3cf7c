"""Command-line program that runs an entry on the hosting platform."""

from __future__ import annotations

import argparse
import os
import random
import signal
import sys
from typing import Any

import eliot

import balsamwall
from balsamwall.composition import gateway_dependencies
from balsamwall.composition import gateway_unit
from balsamwall.gateway import gateway_settings
from balsamwall.infrastructure import http_client
from balsamwall.logs import line_writer
from balsamwall.platform import documents
from balsamwall.platform import engine_calls
from balsamwall.platform import header_codec
from balsamwall.platform import node_settings
from balsamwall.platform import store_client
from balsamwall.timing import reactor_clock

EXIT_OK = 0
EXIT_SETTINGS_INVALID = 4
EXIT_CANNOT_LISTEN = 5


def build(
    settings: gateway_settings.GatewaySettings, reactor: Any
) -> gateway_unit.GatewayUnit:
    """Assemble an entry from the settings and the platform adapters."""
    clock = reactor_clock.ReactorClock(reactor)
    random_source = random.Random()
    store = store_client.StoreClient(
        clock,
        random_source,
        http_client.HttpClient(reactor, clock),
        str(settings.store),
    )
    # Engines share no bound on memory with the store.
    engine_http = http_client.HttpClient(
        reactor, clock, engine_calls.MAX_UNFINISHED_BYTES
    )
    ports = gateway_dependencies.GatewayDependencies(
        store=store,
        connection=store.feed,
        engines=engine_calls.EngineCalls(engine_http, settings.vm),
        codec=header_codec.HeaderCodec(),
        read_configuration=documents.decode_configuration,
        read_server=documents.decode_server,
        configuration_key=documents.CONFIGURATION_KEY,
        servers_prefix=documents.SERVERS_PREFIX,
    )
    return gateway_unit.GatewayUnit(
        settings, reactor, clock, random_source, ports
    )


def main(arguments: list[str] | None = None) -> int:
    """Run the entry until a termination signal; return the exit code."""
    parser = argparse.ArgumentParser(
        prog="balsamwall-entry",
        description="Run an entry on the hosting platform.",
    )
    parser.add_argument(
        "--settings",
        default=os.environ.get(
            node_settings.PATH_VARIABLE, node_settings.DEFAULT_PATH
        ),
        help="path of the platform's settings file",
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    parser.add_argument(
        "--version", action="version", version=balsamwall.__version__
    )
    options = parser.parse_args(arguments)
    try:
        settings = node_settings.load(options.settings)
    except node_settings.NodeSettingsError as error:
        print(f"balsamwall-entry: {error}", file=sys.stderr)
        return EXIT_SETTINGS_INVALID
    if options.check:
        print(f"{options.settings}: valid")
        return EXIT_OK
    return _run(settings, options.settings)


def _run(settings: gateway_settings.GatewaySettings, path: str) -> int:
    from twisted.internet import error
    from twisted.internet import reactor

    reactor_clock.use_monotonic_time(reactor)
    os.set_blocking(sys.stdout.fileno(), False)
    writer = line_writer.LineWriter(sys.stdout.fileno())
    eliot.to_file(writer)
    _log_twisted_failures()
    daemon = build(settings, reactor)
    daemon.watch_log(lambda: writer.dropped)
    try:
        daemon.start()
    except error.CannotListenError as failure:
        eliot.log_message("cannot_listen", reason=str(failure))
        print(f"balsamwall-entry: {failure}", file=sys.stderr)
        return EXIT_CANNOT_LISTEN
    settings_reload = _SettingsReload(path, settings)

    def on_stop(number: int, frame: object) -> None:
        reactor.callFromThread(daemon.stop)

    def on_reload(number: int, frame: object) -> None:
        reactor.callFromThread(settings_reload.run)

    signal.signal(signal.SIGTERM, on_stop)
    signal.signal(signal.SIGINT, on_stop)
    signal.signal(signal.SIGHUP, on_reload)
    reactor.run(installSignalHandlers=False)
    # The interpreter resets handlers before it ends, but not ignored signals.
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
    return EXIT_OK


class _SettingsReload:
    """Validate the settings file on SIGHUP without applying it.

    Ports and identity can't change while the process runs. The check shows
    the operator whether the next start would accept the file.
    """

    def __init__(
        self, path: str, settings: gateway_settings.GatewaySettings
    ) -> None:
        self._path = path
        self._settings = settings

    def run(self) -> None:
        """Read the file and log whether it is valid and has changed."""
        try:
            found = node_settings.load(self._path)
        except node_settings.NodeSettingsError as error:
            eliot.log_message("settings_invalid", reason=str(error)[:200])
            return
        eliot.log_message("settings_read", is_changed=found != self._settings)


def _log_twisted_failures() -> None:
    from twisted import logger

    def observe(event: dict[str, Any]) -> None:
        failure = event.get("log_failure")
        if failure is not None:
            eliot.log_message(
                "twisted_failure", traceback=failure.getTraceback()[-4_096:]
            )

    # Until an observer is set, Twisted buffers up to 65,536 events in memory.
    logger.globalLogBeginner.beginLoggingTo(
        [observe], redirectStandardIO=False
    )
