"""HTTP client based on the standard library."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import dataclasses
import http.client
import ssl
from typing import Protocol
import urllib.parse

from balsamwall.console import exceptions
from balsamwall.console import exit_codes

MAX_LINE_BYTES = 1024 * 1024


@dataclasses.dataclass(slots=True)
class HttpResponse:
    """Response whose body is read line by line.

    Header names are in lower case. Iteration raises ConnectionError if the
    body ends early.
    """

    status: int
    headers: Mapping[str, str]
    lines: Iterator[bytes]

    def read(self) -> bytes:
        """Return the unread rest of the body; raise ConnectionError."""
        return b"".join(self.lines)


class Transport(Protocol):
    """Function that sends one request."""

    def __call__(
        self,
        method: str,
        url: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout_s: float,
    ) -> contextlib.AbstractContextManager[HttpResponse]:
        """Send a request; raise ConnectionError without a response."""


@contextlib.contextmanager
def send(
    method: str,
    url: str,
    headers: Mapping[str, str],
    body: bytes,
    timeout_s: float,
) -> Iterator[HttpResponse]:
    """Send a request on a new connection, closed on exit.

    Raise ConnectionError without a response, ConsoleError on a bad URL.
    """
    parts = urllib.parse.urlsplit(url)
    connection = _create_connection(parts, timeout_s)
    target = parts.path + (f"?{parts.query}" if parts.query else "")
    try:
        try:
            connection.request(method, target, body or None, dict(headers))
            response = connection.getresponse()
        except (OSError, http.client.HTTPException) as error:
            raise ConnectionError(f"{parts.netloc}: {error}") from error
        response_headers = {k.lower(): v for k, v in response.getheaders()}
        yield HttpResponse(
            response.status, response_headers, _iterate_lines(response)
        )
    finally:
        connection.close()


def _create_connection(
    parts: urllib.parse.SplitResult, timeout_s: float
) -> http.client.HTTPConnection:
    try:
        host, port = parts.hostname, parts.port
    except ValueError:
        host, port = None, None
    if parts.scheme not in ("http", "https") or not host:
        raise exceptions.ConsoleError(
            exit_codes.ExitCode.USAGE,
            f"address: found {parts.geturl()!r},"
            " allowed: http://HOST:PORT or https://HOST:PORT",
        )
    if parts.scheme == "https":
        context = ssl.create_default_context()
        return http.client.HTTPSConnection(
            host, port, timeout=timeout_s, context=context
        )
    return http.client.HTTPConnection(host, port, timeout=timeout_s)


def _iterate_lines(response: http.client.HTTPResponse) -> Iterator[bytes]:
    expected = response.length
    received = 0
    while True:
        try:
            line = response.readline(MAX_LINE_BYTES)
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise ConnectionError(f"response interrupted: {error}") from error
        if not line:
            break
        received += len(line)
        yield line
    if expected is not None and received < expected:
        raise ConnectionError(
            f"response interrupted after {received} of {expected} bytes"
        )
