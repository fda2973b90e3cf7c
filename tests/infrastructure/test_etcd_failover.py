"""Tests of failover between base URLs of the key-value service."""

from __future__ import annotations

import unittest

from balsamwall.infrastructure import etcd_client
from balsamwall.infrastructure import http_client
from balsamwall.timing import virtual_clock


class EtcdFailoverTest(unittest.TestCase):
    """Guard against a client that keeps using an address that is down."""

    def test_next_call_uses_another_address(self) -> None:
        """One address that is down must not fail every later call."""
        clock = virtual_clock.VirtualClock()
        urls = ["http://127.0.0.1:1", "http://127.0.0.1:2"]
        client = etcd_client.EtcdClient(None, clock, urls)
        requested_urls: list[str] = []

        class RefusedClient:
            def call(self, method, url, headers, body, timeout_ms, callback):
                requested_urls.append(url)
                callback(
                    http_client.HttpResponse(0, {}, b"", False, "refused")
                )

        client._client = RefusedClient()
        client.get("key", lambda result: None)
        client.get("key", lambda result: None)
        self.assertEqual(
            [
                "http://127.0.0.1:1/v3/kv/range",
                "http://127.0.0.1:2/v3/kv/range",
            ],
            requested_urls,
        )
