"""Tests of membership."""

from __future__ import annotations

import unittest

from balsamwall.membership import leaving_marks
from balsamwall.membership import peer_subset
from balsamwall.membership import rendezvous
from balsamwall.membership import vm_directory


def make_record(vm: str, zone: str = "a") -> vm_directory.VmRecord:
    return vm_directory.VmRecord(vm, zone, "t", "agent", "live", "127.0.0.1:1")


class MembershipTest(unittest.TestCase):
    """Guard against stale membership and subsets without some zone."""

    def test_older_snapshot_changes_nothing(self) -> None:
        """A delayed response of the VM list must not restore a removed VM."""
        directory = vm_directory.VmDirectory()
        removed: list[str] = []
        directory.subscribe(on_removed=removed.append)
        directory.replace(2, [make_record("x"), make_record("y")])
        directory.replace(3, [make_record("x")])
        self.assertFalse(directory.replace(2, [make_record("y")]))
        self.assertEqual(["y"], removed)
        self.assertTrue(directory.is_removed("y"))

    def test_leaving_mark_is_permanent(self) -> None:
        """A late mark must not make a leaving VM eligible for requests."""
        marks = leaving_marks.LeavingMarks()
        marks.mark("x", 5, "signal")
        marks.mark("x", 3, "vm list")
        self.assertTrue(marks.is_leaving("x", 5))
        self.assertFalse(marks.is_leaving("x", 6))

    def test_removal_moves_only_keys_of_the_removed(self) -> None:
        """Otherwise other keys would lose the home of their records."""
        names = [f"vm-{index}" for index in range(8)]
        for key in map(str, range(200)):
            before = rendezvous.top_member(key, names)
            after = rendezvous.top_member(key, names[1:])
            if before != names[0]:
                self.assertEqual(before, after)

    def test_subset_spans_all_zones(self) -> None:
        """An entry must keep agents when a zone is lost."""
        agents = [
            make_record(f"vm-{index}", f"zone-{index % 17}")
            for index in range(1_400)
        ]
        chosen = peer_subset.choose_subset("entry-1", "zone-3", agents)
        zones = {row.availability_zone for row in agents if row.vm in chosen}
        self.assertEqual(64, len(chosen))
        self.assertEqual(17, len(zones))
