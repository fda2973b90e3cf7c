"""Tests of the stream from an entry to the coordinator."""

from __future__ import annotations

import random
import unittest
from unittest import mock

from balsamwall.coordination import fleet_client
from balsamwall.coordination import held_configuration
from balsamwall.coordination import messages_fleet
from balsamwall.coordination import standby_link
from balsamwall.gateway import assignment_client
from balsamwall.gateway import backend_directory
from balsamwall.gateway import crash_suspects
from balsamwall.gateway import fingerprints
from balsamwall.gateway import release_pacing
from balsamwall.gateway import residency_waits
from balsamwall.gateway import wait_forecast
from balsamwall.logs import decision_log
from balsamwall.timing import virtual_clock
from tests.fixtures import gateway_harness
from tests.fixtures import origin_harness


class FakeStream:
    """Stream that records the sent messages."""

    def __init__(self):
        self.sent = []
        self.is_closed = False

    def send(self, item):
        self.sent.append(item)

    def close(self):
        self.is_closed = True


class FleetClientTest(unittest.TestCase):
    """An entry connects to the coordinator and backs off from others."""

    def setUp(self):
        self.clock = virtual_clock.VirtualClock(start_ms=1_000)
        self.connect_times_ms = []
        self.addresses = []
        self.entry_counts = []
        self.suspects = crash_suspects.CrashSuspects(
            self.clock, decision_log.DecisionLog(self.clock)
        )
        harness = gateway_harness.GatewayHarness(clock=self.clock)
        self.client = fleet_client.FleetClient(
            self.clock,
            "f1",
            "z1",
            "10.0.0.9:7",
            assignment_client.AssignmentClient(self.clock),
            gateway_harness.make_limits(self.clock)[0],
            harness.quotas,
            mock.Mock(spec=standby_link.StandbyLink),
            gateway_harness.make_use(harness),
            backend_directory.BackendDirectory(self.clock.now_ms),
            list,
            dict,
            dict,
            self.open_link,
            self.entry_counts.append,
            residency_waits.ResidencyWaits(
                self.clock,
                lambda wanted: None,
                release_pacing.ReleasePacing(random.Random(1)),
            ),
            wait_forecast.WaitForecast(self.clock),
            self.suspects,
            origin_harness.make_parts(harness).exchange,
            lambda changes: None,
            lambda: None,
            held_configuration.HeldConfigurationReader(
                self.clock, harness.configuration, lambda document: None
            ),
            decision_log.DecisionLog(self.clock),
        )
        self.client.start()

    def open_link(self, address):
        self.connect_times_ms.append(self.clock.now_ms())
        self.addresses.append(address)
        return None

    def test_late_stream_to_a_former_coordinator_is_closed(self):
        """Guards against an entry that follows a coordinator without a lease.

        The connection to the former one opens after the change.
        """
        self.client.on_coordinator_changed("10.0.0.1:7")
        self.client.on_coordinator_changed("10.0.0.2:7")
        former, current = FakeStream(), FakeStream()
        self.client.on_stream_opened(former)
        self.assertTrue(former.is_closed)
        self.assertEqual(former.sent, [])
        self.assertEqual(self.addresses, ["10.0.0.1:7", "10.0.0.2:7"])
        self.client.on_stream_closed(former)
        self.client.on_stream_opened(current)
        self.assertFalse(current.is_closed)
        state = messages_fleet.FleetState(4, {}, {}, {})
        self.client.on_stream_message(former, state)
        self.assertEqual(self.entry_counts, [])
        self.client.on_stream_message(current, state)
        self.assertEqual(self.entry_counts, [4])

    def reject_connection(self):
        stream = FakeStream()
        self.client.on_stream_opened(stream)
        self.client.on_stream_closed(stream)

    def test_reconnect_delay_grows_while_streams_are_closed(self):
        """Guards against five connection attempts per second forever.

        A former coordinator closes each new stream at once.
        """
        self.client.on_coordinator_changed("10.0.0.1:7")
        for _ in range(50):
            self.reject_connection()
            self.clock.advance(100)
        self.assertLessEqual(len(self.connect_times_ms), 9)

    def test_new_coordinator_is_connected_at_once(self):
        """Guards against the reconnect delay of an earlier coordinator."""
        self.client.on_coordinator_changed("10.0.0.1:7")
        self.reject_connection()
        self.client.on_coordinator_changed("10.0.0.2:7")
        self.assertEqual(len(self.connect_times_ms), 2)

    def test_quarantine_is_sent_before_the_reports(self):
        """Guards against blame at a new coordinator for known crashes."""
        request = fingerprints.RequestFingerprints(b"r", frozenset([b"bad"]))
        self.suspects.on_broken_response(
            gateway_harness.make_record("s1"), request, True, 1
        )
        self.suspects.hold_back(frozenset([b"bad"]), 1_000)
        stream = FakeStream()
        self.client.on_stream_opened(stream)
        types = [type(item) for item in stream.sent]
        self.assertLess(
            types.index(messages_fleet.QuarantineNotice),
            types.index(messages_fleet.BrokenRequestReport),
        )

    def test_lost_coordinator_is_reconnected_soon(self):
        """Guards against stale fleet state after a short disconnection."""
        self.client.on_coordinator_changed("10.0.0.1:7")
        stream = FakeStream()
        self.client.on_stream_opened(stream)
        self.client.on_message(messages_fleet.FleetState(3, {}, {}, {}))
        self.clock.advance(5_000)
        self.client.on_stream_closed(stream)
        self.clock.advance(2 * fleet_client.REPORT_INTERVAL_MS)
        self.assertEqual(len(self.connect_times_ms), 2)
        self.assertEqual(self.entry_counts, [3])
