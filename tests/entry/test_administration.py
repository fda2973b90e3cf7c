"""Tests of the administration API."""

from __future__ import annotations

import hashlib
import unittest
from unittest import mock

from balsamwall.entry import administration
from balsamwall.entry import key_table
from balsamwall.results import exceptions
from balsamwall.settings import daemon_settings
from balsamwall.timing import virtual_clock
from tests.fixtures import fake_sink


class AdministrationTest(unittest.TestCase):
    """Guards against calls outside the scope of an operator's key."""

    def setUp(self) -> None:
        patcher = mock.patch.object(administration, "_ENDPOINTS", [])
        patcher.start()
        self.addCleanup(patcher.stop)
        path = "/v1/tenants/{tenant}/drains/{vm}"
        for method, access in (("GET", "read"), ("POST", "write")):
            administration.endpoint(method, path, access)(self._handle)
        keys = [
            daemon_settings.AdministrationKey(
                name,
                tenant,
                access,
                hashlib.sha256(name.encode()).hexdigest(),
            )
            for name, tenant, access in (
                ("reader", "tampere", "read"),
                ("writer", "tampere", "write"),
                ("other", "kovacevic", "write"),
            )
        ]
        limiter = key_table.RejectionLimiter(virtual_clock.VirtualClock(), 5)
        self.api = administration.AdministrationApi("core", keys, limiter)

    def _handle(
        self,
        context: object,
        call: administration.AdministrationCall,
        reply: administration.Reply,
    ) -> None:
        reply.send([context, call.key_name, call.parameters])

    def _call(self, secret: str, method: str, path: str) -> object:
        sink = fake_sink.FakeSink()
        reply = administration.Reply(sink)
        try:
            key = self.api.authenticate(f"Bearer {secret}", "address")
            self.api.handle(key, method, path, {}, b"", reply)
        except exceptions.BalsamwallError as error:
            return error.code.name
        return sink.document()

    def test_scopes(self) -> None:
        """Read-only keys and keys of other tenants must change nothing."""
        path = "/v1/tenants/tampere/drains/vm-1"
        parameters = {"tenant": "tampere", "vm": "vm-1"}
        cases = {
            ("reader", "GET", path): ["core", "reader", parameters],
            ("reader", "POST", path): "FORBIDDEN",
            ("writer", "POST", path): ["core", "writer", parameters],
            ("other", "GET", path): "FORBIDDEN",
            ("nobody", "GET", path): "KEY_MISSING_OR_WRONG",
            ("writer", "PUT", path): "METHOD_NOT_ALLOWED",
            ("writer", "GET", path + "/x"): "UNKNOWN_PATH",
            ("writer", "GET", "/v1/tenants//drains/x"): "UNKNOWN_PATH",
        }
        for arguments, expected in cases.items():
            with self.subTest(arguments):
                self.assertEqual(expected, self._call(*arguments))

    def test_fallback_gets_the_scope(self) -> None:
        """The fallback handler must receive the key, to check its scope."""
        seen: list[object] = []
        self.api._fallback = lambda key, method, path, *rest: seen.append(
            (key.tenant, key.access, path)
        )
        with self.assertRaises(ValueError):
            self._call("reader", "GET", "/v1/tenants/kovacevic/vms")
        self._call("writer", "GET", "/v1/tenants/tampere/drains/vm-1")
        self.assertEqual(
            [("tampere", "read", "/v1/tenants/kovacevic/vms")], seen
        )

    def test_duplicate_endpoint_is_rejected(self) -> None:
        """A second registration of an endpoint must raise an error."""
        with self.assertRaises(ValueError):
            administration.endpoint(
                "GET", "/v1/tenants/{tenant}/drains/{vm}", "read"
            )(self._handle)
