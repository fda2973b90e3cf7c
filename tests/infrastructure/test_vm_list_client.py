"""Tests of the polling client of the VM list."""

from __future__ import annotations

import unittest

from twisted.internet import reactor

from balsamwall.infrastructure import http_client
from balsamwall.infrastructure import vm_list_client
from balsamwall.timing import virtual_clock
from tests.fixtures import reactor_thread
from tests.fixtures import standin_process


class VmListClientTest(unittest.TestCase):
    """Guard against wrong or needlessly transferred VM lists."""

    def test_changes_arrive_and_outages_change_nothing(self) -> None:
        """An outage taken for an empty list would remove all VMs."""
        standin = standin_process.StandinProcess(
            "vm_list", "--lag-ms", "50", "--vms", '[{"vm": "v1"}]'
        )
        self.addCleanup(standin.stop)
        seen = []
        client = vm_list_client.VmListClient(
            reactor, reactor_thread.clock, standin.url, 50
        )
        reactor_thread.run(lambda: client.start(seen.append))
        self.addCleanup(reactor_thread.run, client.stop)
        standin_process.wait_until(lambda: len(seen) == 1)
        standin.post("/admin/vms", {"action": "leave", "vm": "v1"})
        standin_process.wait_until(lambda: len(seen) == 2)
        self.assertEqual(
            [("v1", "leaving")],
            [(entry.vm, entry.state) for entry in client.last.vms],
        )
        standin.set_faults(down_ms=300)
        standin_process.wait_until(lambda: client.failed_polls > 0)
        self.assertEqual(2, len(seen))

    def test_unchanged_list_is_not_read_again(self) -> None:
        """At 1,400 VMs, a full list every second would cost 177 KB/s."""
        clock = virtual_clock.VirtualClock()
        client = vm_list_client.VmListClient(None, clock, "http://list")
        seen = []
        etags = []

        class HttpClient:
            def call(self, method, url, headers, body, timeout_ms, callback):
                etags.append(headers.get("if-none-match"))
                if etags[-1]:
                    callback(response(304, b""))
                else:
                    callback(response(200, b'{"revision": 1, "vms": []}'))

        def response(status, body):
            headers = {"etag": '"1"'}
            return http_client.HttpResponse(status, headers, body, True, "")

        client._client = HttpClient()
        client.start(seen.append)
        clock.advance(2_000)
        self.assertEqual([None, '"1"', '"1"'], etags)
        self.assertEqual(1, len(seen))
        self.assertEqual(0, client.failed_polls)
