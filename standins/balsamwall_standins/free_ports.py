"""Ports for processes that are started later, or again."""

from __future__ import annotations

import socket

HOST = "127.0.0.1"
# Reservations of this process, which end with it.
_reserved: list[socket.socket] = []


def free_port() -> int:
    """Return a free port on the loopback interface, and reserve it.

    A bound socket that does not listen keeps the port: no other search for a
    free port and no outgoing connection gets it, while its process starts or
    is down. A server that sets SO_REUSEADDR, as twisted does, can listen.
    """
    reservation = socket.socket()
    # With SO_REUSEADDR before the bind, the system may choose a port that
    # another process has reserved in the same way.
    reservation.bind((HOST, 0))
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    _reserved.append(reservation)
    port: int = reservation.getsockname()[1]
    return port
