"""Command line and process lifecycle of balsamwalld."""

from __future__ import annotations

import argparse
import signal
import sys
from typing import Any
from typing import TYPE_CHECKING

from balsamwall.settings import exceptions
from balsamwall.settings import settings_file

if TYPE_CHECKING:
    from balsamwall import factory
    from balsamwall.settings import daemon_settings

EXIT_OK = 0
EXIT_PORT_TAKEN = 3
EXIT_SETTINGS_INVALID = 4
EXIT_INTERRUPTED = 130


def main(arguments: list[str] | None = None) -> int:
    """Run the daemon until it has drained; return the exit code."""
    parser = argparse.ArgumentParser(
        prog="balsamwalld", description="Run one balsamwall daemon."
    )
    parser.add_argument("settings", help="path of the INI settings file")
    parser.add_argument(
        "--check",
        action="store_true",
        help="check the settings, print the result and exit",
    )
    options = parser.parse_args(arguments)
    try:
        settings = settings_file.load(options.settings)
    except exceptions.SettingsError as error:
        print(error.message, file=sys.stderr)
        count = len(error.problems)
        print(f"{options.settings}: {count} invalid", file=sys.stderr)
        return EXIT_SETTINGS_INVALID
    if options.check:
        print(f"{options.settings}: valid, role {settings.role}")
        return EXIT_OK
    return _run(settings)


def _run(settings: daemon_settings.DaemonSettings) -> int:
    # Imported here because these modules take most of the start-up time and
    # --check does not need them.
    import eliot
    from twisted.internet import error
    from twisted.internet import reactor

    from balsamwall import factory
    from balsamwall.timing import reactor_clock

    reactor_clock.use_monotonic_time(reactor)
    eliot.to_file(sys.stderr)
    _begin_logging()
    runner = _Runner(reactor)
    try:
        daemon = factory.build(settings, reactor)
    except error.CannotListenError as port_error:
        print(f"balsamwalld: {port_error}", file=sys.stderr)
        return EXIT_PORT_TAKEN
    runner.start(daemon)
    return runner.exit_code


def _begin_logging() -> None:
    from twisted import logger

    # Twisted buffers up to 65,536 events until an observer is set.
    logger.globalLogBeginner.beginLoggingTo(
        [_log_failure], redirectStandardIO=False
    )


def _log_failure(event: dict[str, Any]) -> None:
    """Log the exceptions that Twisted caught; drop its other events."""
    failure = event.get("log_failure")
    if failure is not None:
        import eliot

        eliot.log_message(
            "twisted_failure", traceback=failure.getTraceback()[-4_096:]
        )


class _Runner:
    """Signal handling and the reactor loop."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._daemon: factory.Daemon | None = None
        self._is_draining = False
        self.exit_code = EXIT_OK

    def start(self, daemon: factory.Daemon) -> None:
        """Run the reactor until the drain after a signal is complete."""
        import eliot

        self._daemon = daemon
        # The reactor's own handlers would stop it at once and abort the
        # active requests.
        signal.signal(signal.SIGTERM, self._on_signal)
        signal.signal(signal.SIGINT, self._on_signal)
        ports = {
            name: str(port.getHost().port)
            for name, port in daemon.ports.items()
        }
        eliot.log_message(
            "daemon_started",
            role=daemon.settings.role,
            vm=daemon.settings.vm,
            ports=ports,
        )
        self._reactor.run(installSignalHandlers=False)

    def _on_signal(self, number: int, frame: object) -> None:
        self._reactor.callFromThread(self._drain, number)

    def _drain(self, number: int) -> None:
        assert self._daemon is not None
        if self._is_draining and number == signal.SIGINT:
            # A second Ctrl-C ends the process without waiting for the drain.
            self.exit_code = EXIT_INTERRUPTED
            self._stop()
            return
        if not self._is_draining:
            self._is_draining = True
            self._daemon.begin_drain("signal", self._stop)

    def _stop(self) -> None:
        if self._daemon is not None:
            self._daemon.stop()
            self._daemon = None
        if self._reactor.running:
            self._reactor.callLater(0, self._reactor.stop)


if __name__ == "__main__":
    sys.exit(main())
