"""Tests of the tokens that entries charge to workspaces for each other."""

from __future__ import annotations

import types
import unittest

from balsamwall.coordination import messages_fleet
from balsamwall.coordination import workspace_use
from balsamwall.gateway import configuration_holder
from balsamwall.gateway import workspace as workspace_module
from balsamwall.logs import decision_log
from balsamwall.timing import virtual_clock
from tests.fixtures import fake_waiter
from tests.fixtures import fleet_harness
from tests.fixtures import gateway_harness

MODEL = "m1"
TARGET = ("app", MODEL, "")
# Time in which a report and the broadcast after it reach all entries.
EXCHANGE_MS = 600


def make_table(*names):
    return workspace_module.WorkspaceTable(
        workspace_module.Workspace(name, frozenset()) for name in names
    )


def make_configuration(*names):
    holder = configuration_holder.ConfigurationHolder()
    holder.offer(
        gateway_harness.make_configuration(1, workspaces=make_table(*names))
    )
    return holder


class ExchangeTest(unittest.TestCase):
    """Load pattern: workspace b waits at entry 1 while a is served."""

    def setUp(self):
        self.fleet = fleet_harness.FleetHarness(
            3, servers=0, model=MODEL, workspaces=make_table("a", "b")
        )
        self.clock = self.fleet.clock
        self.wait()

    def room(self, entry):
        return self.fleet.entries[entry].harness.dependencies.room

    def waiter(self, entry, workspace, **changes):
        return fake_waiter.FakeWaiter(
            self.room(entry),
            fake_waiter.FakeServers(),
            target=TARGET,
            workspace_name=workspace,
            **changes,
        )

    def wait(self):
        """Let a request wait at entry 1 until the others know of it."""
        self.room(1).add(self.waiter(1, "b"))
        self.clock.advance(EXCHANGE_MS)

    def charge(self, entry, tokens, workspace="a"):
        self.room(entry).on_sent(self.waiter(entry, workspace, cost=tokens))

    def use(self, workspace="a"):
        """Return what each entry counts for a workspace."""
        found = []
        for entry in range(3):
            counters = self.room(entry)._fair._counters.get("app")
            served = counters.served if counters else {}
            found.append(served.get(workspace, 0))
        return found

    def advance_until_reported(self, entry):
        report = self.fleet.entries[entry].client._use
        while report._charges:
            self.clock.advance(1)

    def test_each_charge_counts_once_at_each_entry(self):
        """Guards against counters of the own sends only."""
        self.charge(0, 100)
        self.charge(1, 300)
        self.charge(2, 500)
        self.clock.advance(5_000)
        self.assertEqual(self.use(), [900, 900, 900])
        text = self.fleet.entries[2].harness.metrics.render().decode()
        name = "balsamwall_gateway_workspace_charged_tokens_total"
        self.assertIn(f'{name}{{workspace="a"}} 900.0', text)

    def test_sends_while_nobody_waits_are_free(self):
        """Guards against a penalty for use that took nothing from others."""
        for waiter in list(self.room(1)._fair._entries):
            self.room(1).remove(waiter)
        self.clock.advance(EXCHANGE_MS + workspace_use.CHARGE_MAX_AGE_MS)
        for entry in range(3):
            self.charge(entry, 300)
        self.clock.advance(EXCHANGE_MS)
        self.assertEqual(self.use(), [0, 0, 0])

    def test_own_waiting_requests_are_not_those_of_others(self):
        """Guards against charges after the only queue, here, is empty."""
        for waiter in list(self.room(1)._fair._entries):
            self.room(1).remove(waiter)
        self.charge(1, 300)
        self.assertEqual(self.use(), [0, 0, 0])

    def test_coordinator_killed_in_the_middle_of_a_report(self):
        """Guards against a report that is sent again to the next one."""
        self.charge(1, 300)
        self.advance_until_reported(1)
        self.fleet.stop_entry(0)
        self.charge(1, 50)
        self.assertEqual(self.use(), [0, 350, 0])
        self.clock.advance(1_500)
        self.fleet.elect(2)
        self.clock.advance(EXCHANGE_MS)
        self.charge(1, 100)
        self.clock.advance(EXCHANGE_MS)
        self.assertEqual(self.use()[1:], [450, 100])

    def test_report_read_by_a_former_coordinator(self):
        """Guards against a late report that counts in a later term."""
        coordinator = self.fleet.entries[0]
        coordinator.clock.pause()
        self.charge(1, 300)
        self.clock.advance(2_000)
        self.fleet.elect(2)
        self.clock.advance(EXCHANGE_MS)
        coordinator.clock.resume()
        self.clock.advance(EXCHANGE_MS)
        self.charge(1, 100)
        self.clock.advance(EXCHANGE_MS)
        self.assertEqual(self.use(), [100, 400, 100])
        self.fleet.elect(0)
        self.clock.advance(2_000)
        self.assertEqual(self.use(), [100, 400, 100])

    def test_entry_frozen_and_resumed(self):
        """Guards against charges for a competition that is over."""
        self.charge(1, 300)
        entry = self.fleet.entries[1]
        entry.clock.pause()
        self.clock.advance(5_000)
        entry.clock.resume()
        self.charge(1, 20)
        self.clock.advance(EXCHANGE_MS)
        self.assertEqual(self.use(), [20, 320, 20])

    def test_entry_partitioned_from_the_coordinator(self):
        """Guards against an entry alone that counts nothing, or too late."""
        self.fleet.silence_entry(1)
        self.charge(1, 300)
        self.charge(2, 500)
        self.clock.advance(3_000)
        self.assertEqual(self.use(), [500, 300, 500])
        # The others know of no waiting request any more.
        self.charge(2, 40)
        for stream in self.fleet.entries[1].streams:
            stream.is_silent = stream.peer.is_silent = False
        self.clock.advance(EXCHANGE_MS)
        self.charge(2, 70)
        self.clock.advance(EXCHANGE_MS)
        self.assertEqual(self.use(), [570, 370, 570])

    def test_all_entries_restarted(self):
        """Guards against counters that are kept at some entries only."""
        self.charge(1, 300)
        self.clock.advance(EXCHANGE_MS)
        for entry in range(3):
            self.fleet.restart_entry(entry)
        self.fleet.elect(0)
        self.clock.advance(fleet_harness.SETTLE_MS)
        self.assertEqual(self.use(), [0, 0, 0])
        self.wait()
        self.charge(2, 40)
        self.clock.advance(EXCHANGE_MS)
        self.assertEqual(self.use(), [40, 40, 40])

    def test_two_configurations_in_quick_succession(self):
        """Guards against counters of a workspace that was removed."""
        self.fleet.configure(make_table("a", "b", "c"))
        self.charge(1, 300, "c")
        self.advance_until_reported(1)
        self.fleet.configure(make_table("a", "b"))
        self.charge(1, 100, "a")
        self.clock.advance(EXCHANGE_MS)
        self.assertEqual(self.use("c"), [0, 300, 0])
        self.assertEqual(self.use("a"), [100, 100, 100])

    def test_added_workspace_is_counted(self):
        """Guards against names of the configuration at the start only."""
        self.fleet.configure(make_table("a", "b", "c"))
        self.charge(1, 300, "c")
        self.clock.advance(EXCHANGE_MS)
        self.assertEqual(self.use("c"), [300, 300, 300])

    def test_entry_that_reconnects(self):
        """Guards against a charge that counts twice after a reconnect."""
        self.charge(1, 300)
        self.advance_until_reported(1)
        self.clock.advance(fleet_harness.LINK_DELAY_MS)
        for stream in list(self.fleet.entries[1].streams):
            stream.close()
        self.clock.advance(2_000)
        self.assertEqual(self.use(), [300, 300, 300])

    def test_earlier_build_gets_no_unknown_message(self):
        """Guards against streams closed in a fleet of two builds."""
        self.fleet.entries[2].client._features = types.SimpleNamespace(
            is_accepted=False,
            on_loads=lambda loads: None,
            restart=lambda: None,
        )
        for stream in list(self.fleet.entries[2].streams):
            stream.close()
        self.clock.advance(2_000)
        numbers = []
        for stream in self.fleet.entries[2].streams:
            for end in (stream, stream.peer):
                end.send = lambda item: numbers.append(item.NUMBER)
        self.charge(1, 300)
        self.charge(2, 300)
        self.clock.advance(EXCHANGE_MS)
        self.assertIn(messages_fleet.FleetState.NUMBER, numbers)
        self.assertNotIn(messages_fleet.WorkspaceUse.NUMBER, numbers)
        self.assertNotIn(messages_fleet.FleetWorkspaceUse.NUMBER, numbers)


class UseMergerTest(unittest.TestCase):
    """The coordinator tells each entry what the others have charged."""

    def setUp(self):
        self.names = [f"w{number}" for number in range(300)]
        clock = virtual_clock.VirtualClock()
        self.merger = workspace_use.UseMerger(
            make_configuration(*self.names), decision_log.DecisionLog(clock)
        )

    def report(self, vm, *rows):
        item = messages_fleet.WorkspaceUse([["app", *row] for row in rows])
        self.merger.on_report(vm, item)

    def share(self, *vms):
        sent = {}
        self.merger.share(vms, lambda vm, item: sent.update({vm: item.rows}))
        return sent

    def test_rows_are_limited_and_the_rest_follows(self):
        """Guards against long messages, and against small uses left out."""
        self.report("f1", *([name, n] for n, name in enumerate(self.names, 1)))
        first = self.share("f1", "f2")
        self.assertEqual(list(first), ["f2"])
        self.assertEqual(len(first["f2"]), workspace_use.MAX_ROWS)
        self.assertEqual(first["f2"][0], ["app", "w299", 300])
        rest = self.share("f2")["f2"]
        self.assertEqual([row[2] for row in rest], list(range(44, 0, -1)))
        self.assertEqual(self.share("f2"), {})

    def test_entry_that_was_away_is_not_told_its_own_use(self):
        """Guards against a use that counts twice after a reconnect."""
        self.report("f1", ["w1", 5])
        self.merger.remove_entry("f1")
        self.assertEqual(self.share("f1"), {})

    def test_new_term_begins_without_reports(self):
        """Guards against reports of an earlier term."""
        self.report("f1", ["w1", 5])
        self.merger.restart()
        self.assertEqual(self.share("f2"), {})

    def test_invalid_rows_are_ignored(self):
        """Guards against a report that breaks the coordinator."""
        for row in (["w1"], ["w1", "5"], ["w1", -1], ["w1", 1.5], [7, 1]):
            self.report("f1", row, ["w2", 1])
        self.report("f1", ["unknown", 1])
        self.merger.on_report("f1", messages_fleet.WorkspaceUse(["x"]))
        other = messages_fleet.WorkspaceUse([["unknown", "w1", 5]])
        self.merger.on_report("f1", other)
        self.assertEqual(self.share("f2"), {})
