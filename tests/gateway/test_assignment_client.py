"""Tests of the queries for the server of a prompt."""

from __future__ import annotations

import unittest

from balsamwall.gateway import assignment_client
from balsamwall.gateway import coordinator_queries
from balsamwall.timing import virtual_clock

TOKENS = assignment_client.MIN_QUERY_TOKENS


class FakeLink:
    """Link that records queries while it is connected."""

    def __init__(self):
        self.is_connected = True
        self.numbers = []

    def send_query(self, number, query):
        if self.is_connected:
            self.numbers.append(number)
        return self.is_connected


class AssignmentClientTest(unittest.TestCase):
    """Load pattern: the coordinator is slow, frozen or gone under load."""

    def setUp(self):
        self.clock = virtual_clock.VirtualClock(start_ms=1_000)
        self.client = assignment_client.AssignmentClient(self.clock)
        self.link = FakeLink()
        self.client.set_link(self.link)
        self.client.set_entries(assignment_client.MIN_ENTRIES)
        self.assigned = []

    def query(self, tokens=TOKENS):
        query = assignment_client.PromptQuery("app", "m1", "", tokens)
        return self.client.query(query, self.assigned.append)

    def test_response_is_delivered_once(self):
        """Guards against a request that is sent twice."""
        self.assertTrue(self.query())
        number = self.link.numbers[0]
        self.client.on_response(number, "e1")
        self.client.on_response(number, "e2")
        self.clock.advance(1_000)
        self.assertEqual(self.assigned, ["e1"])

    def test_missing_response_ends_the_wait(self):
        """Guards against requests that wait for a frozen coordinator."""
        self.query()
        self.clock.advance(coordinator_queries.QUERY_TIMEOUT_MS)
        self.assertEqual(self.assigned, [""])

    def test_response_read_after_a_pause_is_ignored(self):
        """Guards against a permission that expired during a suspension.

        The process reads the response before its overdue timer runs.
        """
        self.query()
        self.clock.suspend(3_000)
        self.client.on_response(self.link.numbers[0], "e1")
        self.assertEqual(self.assigned, [""])

    def test_silent_coordinator_is_not_asked_for_some_time(self):
        """Guards against a short wait of every request in an outage."""
        for _ in range(coordinator_queries.MAX_TIMEOUTS):
            self.query()
            self.clock.advance(coordinator_queries.QUERY_TIMEOUT_MS)
        self.assertFalse(self.query())
        self.clock.advance(coordinator_queries.SUSPENSION_MS)
        self.assertTrue(self.query())

    def test_entry_without_a_coordinator_chooses_by_itself(self):
        """Guards against requests that wait while there is no coordinator."""
        self.link.is_connected = False
        self.assertFalse(self.query())

    def test_short_prompt_is_not_queried(self):
        """Guards against messages that cost more than the prompt."""
        self.assertFalse(self.query(TOKENS - 1))

    def test_few_entries_choose_by_themselves(self):
        """Guards against a choice by older knowledge than the entry has."""
        self.client.set_entries(assignment_client.MIN_ENTRIES - 1)
        self.assertFalse(self.query())

    def test_response_within_the_call_is_delivered(self):
        """Guards against a timeout of each query in the coordinator itself."""
        self.link.send_query = lambda number, query: (
            self.client.on_response(number, "e1") or True
        )
        self.assertTrue(self.query())
        self.assertEqual(self.assigned, ["e1"])
        self.clock.advance(coordinator_queries.QUERY_TIMEOUT_MS)
        self.assertEqual(self.assigned, ["e1"])
