"""Address of a TCP endpoint."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Address:
    """Host name or IP address (without brackets) and port."""

    host: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


def parse(text: str) -> Address:
    """Parse HOST:PORT or [IPV6]:PORT; raise ValueError."""
    host, separator, port = text.strip().rpartition(":")
    if not separator or not host or not port.isascii():
        raise ValueError("not HOST:PORT")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    elif ":" in host:
        raise ValueError("IPv6 address without brackets")
    if not port.isdigit() or int(port) > 65_535:
        raise ValueError("port out of range")
    return Address(host, int(port))
