"""Tests of the reservation of free ports."""

from __future__ import annotations

import socket
import subprocess
import sys
import unittest

from balsamwall_standins import free_ports

# Binds as a server with SO_REUSEADDR, and accepts one connection.
LISTEN = """
import socket, sys
with socket.socket() as found:
    found.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    found.bind(("127.0.0.1", int(sys.argv[1])))
    found.listen()
    print("listens", flush=True)
    found.accept()
"""


class FreePortsTest(unittest.TestCase):
    """A port belongs to its test while no process listens on it."""

    def setUp(self):
        self.address = free_ports.HOST, free_ports.free_port()

    def test_port_is_not_given_away_while_its_process_is_down(self):
        """Guards against two tests that start processes on one port.

        Entries of the soak ended with code 5, and agents of the sample with
        code 3, when another run had taken their port.
        """
        with socket.socket() as other, self.assertRaises(OSError):
            other.bind(self.address)
        with socket.socket() as caller, self.assertRaises(OSError):
            caller.connect(self.address)

    def test_process_listens_on_its_port_again(self):
        """Guards against a reservation that keeps the process itself out."""
        for _ in range(2):
            command = [sys.executable, "-c", LISTEN, str(self.address[1])]
            with subprocess.Popen(
                command, stdout=subprocess.PIPE, text=True
            ) as process:
                self.assertEqual(process.stdout.readline(), "listens\n")
                socket.create_connection(self.address).close()
                self.assertEqual(process.wait(), 0)
