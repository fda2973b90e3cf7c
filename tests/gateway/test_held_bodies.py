"""Tests of the bound of the bytes held for request bodies."""

from __future__ import annotations

import unittest

from balsamwall.gateway import held_bodies
from balsamwall.logs import decision_log
from balsamwall.timing import virtual_clock

MB = 1024 * 1024
WAIT_MS = 100


class RecordingOwner:
    """Reader of a body that records what it is told."""

    def __init__(self, bodies, length=0):
        self.is_paused = self.is_refused = self.is_dropped = False
        self.is_sent = self.may_drop = False
        self.body = bodies.open(self, length)

    def add(self, size):
        """Receive a part of the body, the rest of which is on its way."""
        self.body.add(bytes(size))
        if not self.is_refused:
            self.body.on_incomplete()

    def pause_body(self):
        self.is_paused = True
        return WAIT_MS

    def resume_body(self):
        self.is_paused = False

    def refuse_body(self):
        if self.is_sent:
            return False
        self.is_refused = True
        self.body.release(self)
        return True

    def drop_body(self):
        if not self.may_drop:
            return False
        self.is_dropped = True
        self.body.release(self)
        return True


class HeldBodiesTest(unittest.TestCase):
    """Load pattern: the bodies of all open requests exceed the memory."""

    def setUp(self):
        self.clock = virtual_clock.VirtualClock(start_ms=1_000)
        self.bodies = held_bodies.HeldBodies(
            self.clock, decision_log.DecisionLog(self.clock)
        )

    def make(self, *sizes, is_sent=False):
        """Return the owners of bodies of the given sizes, read in full."""
        owners = []
        for size in sizes:
            owner = RecordingOwner(self.bodies)
            owner.is_sent = is_sent
            owner.body.add(bytes(size))
            owner.body.on_complete()
            owners.append(owner)
        return owners

    def read(self, count, size):
        """Return owners of bodies of which a part has been read."""
        owners = [RecordingOwner(self.bodies) for _ in range(count)]
        for owner in owners:
            owner.add(size)
        return owners

    def test_bodies_that_arrived_last_are_paused_first(self):
        """Guards against memory that grows with the number of callers."""
        self.make(23 * MB, is_sent=True)
        owners = self.read(60, 1)
        self.assertFalse(any(owner.is_paused for owner in owners))
        owners[0].add(2 * MB)
        paused = [owner.is_paused for owner in owners]
        reading = paused.count(False)
        self.assertEqual(reading, (3 * MB - 60) // held_bodies.READ_BYTES)
        self.assertEqual(paused, [False] * reading + [True] * (60 - reading))

    def test_body_that_is_read_for_longest_always_continues(self):
        """Guards against a deadlock of bodies that wait for each other."""
        owners = self.read(29, MB)
        for _ in range(3):
            self.assertTrue(owners[-1].is_paused)
            first = owners.pop(0)
            self.assertFalse(first.is_paused)
            first.add(3 * MB)
            self.assertFalse(first.is_refused)
            self.assertLessEqual(
                self.bodies.total, held_bodies.MAX_TOTAL_BYTES
            )
            first.body.on_complete()
            first.body.release(first)

    def test_first_body_waits_for_requests_that_end_by_themselves(self):
        """Guards against requests refused to read one more body."""
        sent = self.make(*[4 * MB] * 7, is_sent=True)
        (waiting,) = self.make(4 * MB - held_bodies.READ_BYTES)
        (first,) = self.read(1, 1)
        self.assertTrue(first.is_paused)
        sent[0].body.release(sent[0])
        self.assertFalse(first.is_paused or waiting.is_refused)

    def test_bodies_are_read_again_in_the_order_of_arrival(self):
        """Guards against an early caller that waits for later ones."""
        (sent,) = self.make(27 * MB, is_sent=True)
        owners = self.read(30, MB // 32)
        paused = [owner.is_paused for owner in owners]
        self.assertEqual(paused, sorted(paused))
        self.assertIn(True, paused)
        sent.body.release(sent)
        self.assertFalse(any(owner.is_paused for owner in owners))
        self.clock.advance(WAIT_MS)
        self.assertFalse(any(owner.is_refused for owner in owners))

    def test_callers_that_send_nothing_keep_out_no_others(self):
        """Guards against a limit on connections while there is memory."""
        owners = self.read(2_000, 100)
        self.assertFalse(any(owner.is_paused for owner in owners))

    def test_largest_waiting_request_makes_room_for_a_late_one(self):
        """Guards against a body that is held at the cost of others."""
        small, large = self.make(MB, 2 * MB)
        (sent,) = self.make(24 * MB, is_sent=True)
        first, late = self.read(2, MB // 2)
        self.clock.advance(WAIT_MS - 1)
        self.assertTrue(late.is_paused)
        self.assertFalse(large.is_refused)
        self.clock.advance(1)
        refused = [
            owner.is_refused for owner in (small, large, sent, first, late)
        ]
        self.assertEqual(refused, [False, True, False, False, False])
        self.assertFalse(late.is_paused)

    def test_late_body_is_refused_rather_than_smaller_ones(self):
        """Guards against many requests refused in favor of a large one."""
        small = self.make(*[MB] * 2)
        self.make(26 * MB, is_sent=True)
        owner = RecordingOwner(self.bodies, 3 * MB)
        owner.add(1)
        late = RecordingOwner(self.bodies, 2 * MB)
        late.add(1)
        self.clock.advance(WAIT_MS)
        self.assertEqual((owner.is_refused, late.is_refused), (False, True))
        self.assertFalse(any(owner.is_refused for owner in small))

    def test_late_body_costs_at_most_one_other_request(self):
        """Guards against many small requests refused for a single one."""
        small = self.make(*[1_000] * 10)
        self.make(28 * MB, is_sent=True)
        _, late = self.read(2, 10)
        self.clock.advance(WAIT_MS)
        self.assertTrue(late.is_refused)
        self.assertEqual(sum(owner.is_refused for owner in small), 1)

    def test_total_is_bounded(self):
        """Guards against requests that wait without a bound of memory."""
        waiting = self.make(*[4 * MB] * 20)
        self.assertEqual(self.bodies.total, held_bodies.MAX_TOTAL_BYTES)
        self.assertEqual(sum(owner.is_refused for owner in waiting), 12)

    def test_first_body_is_refused_last(self):
        """Guards against bytes that were read in vain."""
        self.make(26 * MB, is_sent=True)
        (waiting,) = self.make(MB)
        (first,) = self.read(1, MB)
        first.add(5 * MB)
        self.assertEqual((waiting.is_refused, first.is_refused), (True, False))

    def test_body_that_finds_only_sent_requests_is_refused(self):
        """Guards against the end of a request that may have run."""
        sent = self.make(*[4 * MB] * 8, is_sent=True)
        (owner,) = self.make(1)
        self.assertTrue(owner.is_refused)
        self.assertFalse(any(item.is_refused for item in sent))
        self.assertEqual(self.bodies.total, held_bodies.MAX_TOTAL_BYTES)

    def test_body_that_is_hardly_needed_is_dropped_first(self):
        """Guards against refusals while bodies are held in vain."""
        (sent,) = self.make(28 * MB, is_sent=True)
        sent.may_drop = True
        first, late = self.read(2, MB)
        self.assertFalse(sent.is_dropped)
        self.clock.advance(WAIT_MS)
        self.assertTrue(sent.is_dropped)
        self.assertFalse(first.is_refused or late.is_refused)
        self.assertFalse(late.is_paused)

    def test_body_counts_until_its_last_user_has_gone(self):
        """Guards against bytes for slow servers that nobody counts."""
        owner, writer = self.make(20 * MB)[0], object()
        owner.may_drop = True
        owner.body.retain(writer)
        owner.body.release(owner)
        self.assertEqual(self.bodies.total, 20 * MB)
        self.assertFalse(owner.body.may_be_sent)
        # The connection of its caller serves another request by now.
        (other,) = self.make(13 * MB)
        refused = [owner.is_refused, owner.is_dropped, other.is_refused]
        self.assertEqual(refused, [False, False, True])
        owner.body.release(writer)
        self.assertEqual((self.bodies.total, owner.body.data), (0, b""))
