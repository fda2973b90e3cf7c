"""Tests of the soak's check of refused requests and its causes."""

from __future__ import annotations

import unittest

from soak import ledger as ledger_module
from soak import refusal_checks

ANSWERED_MS = 1_000
Intrusion = ledger_module.Intrusion


class RefusalChecksTest(unittest.TestCase):
    """Guard against violations that are missed or have the wrong cause."""

    def setUp(self):
        self.ledger = ledger_module.Ledger()

    def add_request(self, status, signature=""):
        request = ledger_module.Request(
            "q1", ledger_module.Kind.STREAM, "front-0", 0
        )
        request.response = ledger_module.Response(status, signature)
        request.finished_ms = ANSWERED_MS
        self.ledger.add_request(request)

    def add_run(self, at_ms=0, action="served", intrusion=Intrusion.NONE):
        self.ledger.add_arrival(
            ledger_module.Arrival(
                "q1",
                "models-0",
                at_ms,
                has_run=True,
                action=action,
                intrusion=intrusion,
            )
        )

    def check(self):
        return refusal_checks.RefusalChecks(self.ledger)

    def assert_refused(self, cause):
        self.assertEqual(
            self.check().refused,
            [f"q1 at front-0: live got status 503, but was run: {cause}"],
        )

    def test_signed_status_without_certificate(self):
        """Guard against a signature that hides a broken promise."""
        self.add_request(503, signature="models-0.q1")
        self.add_run(action="status 503 signed")
        self.assert_refused(
            "a server's own status without certificate passed on"
        )

    def test_refusal_that_is_not_of_this_send(self):
        """Guard against a false refusal without a name for its origin."""
        self.add_request(503)
        self.add_run(intrusion=Intrusion.OWN_COPY)
        self.assert_refused(
            "second copy of a refusal taken for the next send's"
        )

    def test_own_refusal_though_sent(self):
        """Guard against a cause that leaves out what the server did."""
        self.add_request(503)
        self.add_run(action="reset")
        self.assert_refused("own refusal though sent (reset)")

    def test_run_after_the_answer(self):
        """Guard against a late run that counts as one before the answer."""
        self.add_request(503)
        self.add_run(ANSWERED_MS + refusal_checks.MAX_TRANSIT_MS + 1)
        self.assert_refused("sent after the answer")

    def test_two_runs(self):
        """Guard against two runs without the reason for the second send."""
        self.add_request(200)
        self.add_run(intrusion=Intrusion.NAMELESS_REFUSAL)
        self.add_run()
        found = self.check()
        self.assertEqual(found.refused, [])
        self.assertEqual(
            found.twice,
            [
                "q1 at front-0: live ran 2 times: "
                "refusal that names no request taken"
            ],
        )

    def test_kept_promises(self):
        """Guard against requests that are reported without a violation."""
        self.add_request(503)
        self.add_run()
        self.ledger.arrivals["q1"][0].has_run = False
        found = self.check()
        self.assertEqual(found.refused + found.twice, [])
