"""Tests of the commands against an in-process administration API."""

from __future__ import annotations

import contextlib
import io
import json
import pathlib
import random
import tempfile
import unittest
import urllib.parse

from balsamwall.configuration import administration
from balsamwall.configuration import administration_types
from balsamwall.configuration import configuration_replica
from balsamwall.configuration import configuration_store
from balsamwall.configuration import rollout_progress
from balsamwall.console import application
from balsamwall.console import console_settings
from balsamwall.console import http_transport
from balsamwall.console import session
from balsamwall.timing import virtual_clock
from tests.configuration import fakes

FINGERPRINT = b"\x01\x02"


class FakeFleet:
    """Fleet of two VMs, one of which is unreachable."""

    def __init__(self):
        self.unreachable = {"vm-2"}
        self.leaving = set()
        self.fingerprints = {FINGERPRINT}

    def vms(self, tenant):
        return [
            administration_types.VmStatus(
                vm=name,
                availability_zone="z1",
                role="agent",
                state="leaving" if name in self.leaving else "ready",
                incarnation=1,
                config_revision=9,
                running=0,
                waiting=0,
                committed_bytes=1,
                capacity_bytes=2,
                residents=rollout_progress.ResidentSet(
                    models=frozenset(["clause-1"])
                ),
            )
            for name in ("vm-1", "vm-2")
        ]

    def candidates(self, tenant, name, is_urgent):
        return [
            administration_types.RouteCandidate("vm-1", "z1", 40, True, "best")
        ]

    def quarantined(self, tenant):
        return [
            administration_types.QuarantineEntry(item, "two crashes", 5)
            for item in self.fingerprints
        ]

    def clear_quarantine(self, tenant, fingerprint):
        found = fingerprint in self.fingerprints
        self.fingerprints.discard(fingerprint)
        return found

    def mark_leaving(self, tenant, vm):
        if vm in self.unreachable:
            return False
        self.leaving.add(vm)
        return True


class ApplicationTest(unittest.TestCase):
    """Guard against wrong exit codes and duplicate changes."""

    def setUp(self):
        self.clock = virtual_clock.VirtualClock()
        self.service = fakes.FakeKeyValue(self.clock)
        self.fleet = FakeFleet()
        self.replica = configuration_replica.ConfigurationReplica(
            self.clock, None, random.Random(1)
        )
        store = configuration_store.ConfigurationStore(
            self.service, self.clock
        )
        self.administration = administration.Administration(
            self.clock, store, self.replica, self.fleet
        )
        self.may_write = True
        self.lost_responses = 0
        self.caller_response = (200, {}, [b"{}\n"])
        self.caller_headers = []
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def file(self, text=fakes.BASIC):
        path = self.folder / "operators.ini"
        path.write_text(text)
        return str(path)

    @contextlib.contextmanager
    def transport(self, method, url, headers, body, timeout_s):
        parts = urllib.parse.urlsplit(url)
        if parts.netloc == "c":
            self.caller_headers.append(headers)
            status, response_headers, lines = self.caller_response
            yield http_transport.HttpResponse(
                status, response_headers, iter(lines)
            )
            return
        responses = []
        self.administration.handle(
            administration_types.AdministrationRequest(
                method,
                parts.path,
                dict(urllib.parse.parse_qsl(parts.query)),
                json.loads(body) if body else None,
                administration_types.AdministrationScope(
                    "kovacevic", self.may_write, "ana"
                ),
            ),
            responses.append,
        )
        self.clock.advance(60_000)
        self.assertEqual(1, len(responses))
        if self.lost_responses:
            self.lost_responses -= 1
            raise ConnectionError("lost")
        content = json.dumps(responses[0].body).encode()
        yield http_transport.HttpResponse(
            responses[0].status, {}, iter([content])
        )

    def run_command(self, *line, tenant="kovacevic"):
        """Run a command; return the exit code, standard output and error."""

        def factory(flags):
            settings = console_settings.ConsoleSettings(
                "http://a", "k", tenant, "http://c", "k", 5
            )
            return session.Session(
                settings, flags["json"], self.transport, lambda delay: None
            )

        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = application.main(line, factory)
        return code, out.getvalue(), err.getvalue()

    def test_apply_conflict_and_rollback(self) -> None:
        """Guard against overwriting a concurrent change; exit code 3."""
        path = self.file()
        self.assertEqual(0, self.run_command("apply", path)[0])
        self.file(fakes.BASIC + "rate = 8\n")
        code, out, _ = self.run_command("apply", path, "--json")
        self.assertEqual((0, 2), (code, json.loads(out)["revision"]))
        code, out, _ = self.run_command(
            "apply", path, "--base_revision=1", "--json"
        )
        self.assertEqual(3, code)
        error = json.loads(out)["error"]
        self.assertEqual(2, error["current"]["revision"])
        self.assertIn("rate = 8", error["proposed"]["files"]["operators.ini"])
        code, out, _ = self.run_command("rollback", "1")
        self.assertIn("5.0", out)
        self.assertEqual(3, self.replica.revision("kovacevic"))
        code, out, _ = self.run_command("history")
        self.assertEqual(4, len(out.splitlines()))
        code, out, _ = self.run_command("diff", "1", "2")
        self.assertIn("requests_per_second 5.0 -> 8.0", out)
        self.assertEqual(5, self.run_command("show", "77")[0])

    def test_lost_response_is_retried_with_the_same_change(self) -> None:
        """Guard against a change applied twice after a lost response."""
        self.lost_responses = 2
        code, _, _ = self.run_command(
            "apply", self.file(), "--base_revision=0"
        )
        self.assertEqual(0, code)
        self.assertEqual(1, self.replica.revision("kovacevic"))

    def test_invalid_files_and_scopes(self) -> None:
        """Guard against writes with invalid files or without permission."""
        path = self.file(fakes.BASIC + "bogus = 1\n")
        for command in ("check", "dry-run", "apply"):
            code, _, err = self.run_command(command, path)
            self.assertEqual(5, code)
            self.assertIn("[workspace zagreb] bogus", err)
        path = self.file()
        self.may_write = False
        self.assertEqual(0, self.run_command("dry-run", path)[0])
        self.assertEqual(1, self.run_command("apply", path)[0])
        code, _, err = self.run_command("vms", tenant="tampere")
        self.assertEqual(1, code)
        self.assertIn("1004", err)
        self.assertEqual({}, self.service.entries)

    def test_outage(self) -> None:
        """Guard against reads that fail while the key-value store is down."""
        self.run_command("apply", self.file())
        self.service.is_down = True
        code, out, _ = self.run_command("show")
        self.assertEqual(0, code)
        self.assertIn("memory of the entry", out)
        code, _, err = self.run_command("apply", self.file())
        self.assertEqual(1, code)
        self.assertIn("4004 CONFIGURATION_UNAVAILABLE", err)

    def test_drain_is_cancelled_only_before_an_agent_received_it(self) -> None:
        """Guard against a leaving mark that is removed again (R6)."""
        self.assertIn("permanent", self.run_command("drain", "vm-1")[1])
        self.assertEqual(3, self.run_command("undrain", "vm-1")[0])
        self.run_command("drain", "vm-2")
        self.assertIn("not seen", self.run_command("drains")[1])
        self.assertEqual(0, self.run_command("undrain", "vm-2")[0])
        self.run_command("drain", "vm-2")
        self.fleet.unreachable.clear()
        self.clock.advance(2_000)
        self.assertEqual({"vm-1", "vm-2"}, self.fleet.leaving)
        self.assertEqual(5, self.run_command("drain", "vm-9")[0])

    def test_lists(self) -> None:
        """Guard against lists that fail as text or as JSON."""
        self.run_command("apply", self.file())
        for line in (
            ["models"],
            ["adapters"],
            ["vms"],
            ["replicas"],
            ["replicas", "clause-1"],
            ["drains"],
            ["quarantine"],
            ["explain", "deal-1"],
            ["watch", "--once"],
        ):
            code, out, _ = self.run_command(*line)
            self.assertEqual((0, True), (code, bool(out)), line)
            code, out, _ = self.run_command(*line, "--json")
            self.assertIs(dict, type(json.loads(out)))
        self.assertEqual(5, self.run_command("explain", "nothing")[0])
        self.assertEqual(0, self.run_command("quarantine_clear", "0102")[0])
        self.assertEqual(5, self.run_command("quarantine-clear", "0102")[0])
        self.assertEqual(1, self.run_command("watch", "--limit_s=5")[0])

    def test_surplus_argument_runs_nothing(self) -> None:
        """Guard against a mistyped command that drains the first VM."""
        self.assertEqual(2, self.run_command("drain", "vm-1", "vm-2")[0])
        self.assertEqual(set(), self.fleet.leaving)

    def test_send_needs_the_final_marker(self) -> None:
        """Guard against a truncated stream that looks complete (R3)."""
        chunk = b'data: {"choices": [{"delta": {"content": "hi"}}]}\n'
        self.caller_response = (
            200,
            {},
            [chunk, b"\n", b"data: [DONE]\n", b"\n"],
        )
        self.assertEqual((0, "hi\n"), self.run_command("send", "m", "p")[:2])
        self.caller_response = (200, {}, [chunk, b"\n"])
        self.assertEqual(1, self.run_command("send", "m", "p")[0])
        error = (
            b'data: {"error": {"code": "no_replica", "number": 2005,'
            b' "message": "x", "ran": "not_run", "repeat": "later"}}\n'
        )
        self.caller_response = (200, {}, [b"event: error\n", error, b"\n"])
        code, _, err = self.run_command("send", "m", "p")
        self.assertEqual(1, code)
        self.assertIn("2005 NO_REPLICA: x; ran: not_run", err)

    def test_call_always_sends_a_key(self) -> None:
        """Guard against a call that cannot be retried safely (R5)."""
        code, _, err = self.run_command("call", "settlement", "/x")
        self.assertEqual(0, code)
        key = self.caller_headers[0]["Idempotency-Key"]
        self.assertEqual("7", key[14])
        self.assertIn(key, err)
        self.run_command("call", "s", "/x", "--idempotency=0001")
        self.assertEqual("0001", self.caller_headers[1]["Idempotency-Key"])
