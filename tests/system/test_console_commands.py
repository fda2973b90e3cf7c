"""Tests of the command-line tool against the whole system."""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys
import tempfile
from typing import Any
import unittest

from balsamwall_standins import sample
from balsamwall_standins import sample_operators

from balsamwall.console import application
from balsamwall.console import command_registry
from tests.system import running_sample


class ConsoleCommandTest(unittest.TestCase):
    """Guard against commands that do not match the system's APIs."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.sample = running_sample.shared()

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.used: set[str] = set()

    def _run(
        self, expected: int, *arguments: str, tenant: str = "kovacevic"
    ) -> Any:
        self.used.add(arguments[0])
        callers, port = (
            self.sample.caller_ports[0],
            self.sample.administration_ports[0],
        )
        command = [sys.executable, "-m", "balsamwall.console.application"]
        command += [*arguments, "--json"]
        environment = {
            **running_sample.os.environ,
            "BALSAMWALL_ADDRESS": f"http://{sample.HOST}:{port}",
            "BALSAMWALL_KEY": sample_operators.ADMINISTRATION_KEY,
            "BALSAMWALL_TENANT": tenant,
            "BALSAMWALL_CALLER_ADDRESS": f"http://{sample.HOST}:{callers}",
            "BALSAMWALL_CALLER_KEY": sample_operators.CALLER_KEYS[tenant],
        }
        result = subprocess.run(
            command, env=environment, capture_output=True, check=False
        )
        text = f"{arguments}: {result.stdout!r} {result.stderr!r}"
        self.assertEqual(expected, result.returncode, text)
        self.assertNotIn(b"Traceback", result.stderr)
        return json.loads(result.stdout.splitlines()[-1])

    def test_every_command(self) -> None:
        """Guard against a wrong document or exit code of any command."""
        text = running_sample.operators_files()["kovacevic"]
        path = str(self.folder / "operators.ini")
        pathlib.Path(path).write_text(
            text.replace("burst = 400", "burst = 300")
        )
        self._check_reading(path)
        before = self._run(0, "show")["revision"]
        applied = self._run(0, "apply", path)
        revision = applied["revision"]
        self.assertEqual(before + 1, revision)
        stale = self._run(3, "apply", path, f"--base_revision={before}")
        self.assertEqual(4003, stale["error"]["number"])
        running_sample.wait_until(
            lambda: (
                set(self.sample.revisions("kovacevic").values()) == {revision}
            ),
            "the revision is active",
        )
        self.assertTrue(self._run(0, "watch", "--limit_s=60")["is_done"])
        found = self._run(0, "diff", str(before), str(revision))
        self.assertIn("burst 400 -> 300", found["difference_text"])
        back = self._run(0, "rollback", str(before))
        self.assertEqual(
            (revision + 1, before), (back["revision"], back["rollback_of"])
        )
        kept = self._run(0, "history")["entries"]
        self.assertIn(revision, [row["revision"] for row in kept])
        self._check_callers()
        self._check_fleet()
        self._check_trace()
        application.load_commands()
        self.assertEqual(set(command_registry.registered()), self.used)

    def _check_reading(self, path: str) -> None:
        self.assertEqual(3, self._run(0, "check", path)["models"])
        steps = self._run(0, "dry-run", path)["steps"]
        self.assertEqual(["parameters"], [row["action"] for row in steps])
        invalid = self.folder / "invalid.ini"
        invalid.write_text(pathlib.Path(path).read_text() + "colour = red\n")
        self.assertTrue(self._run(5, "check", str(invalid))["problems"])
        refused = self._run(5, "apply", str(invalid))
        self.assertEqual(4002, refused["error"]["number"])
        models = self._run(0, "models")["models"]
        self.assertEqual(3, len(models))
        self.assertEqual(2, len(self._run(0, "adapters")["adapters"]))
        replicas = self._run(0, "replicas")["replicas"]
        self.assertTrue(all(row["vms"] for row in replicas), replicas)
        found = self._run(0, "explain", "clauses-1")
        self.assertTrue(found["chosen"])

    def _check_callers(self) -> None:
        response = self._run(0, "send", "clauses-1", "Clause 4?")
        self.assertTrue(response["text"])
        self.assertEqual(
            1005, self._run(5, "send", "clauses-99", "?")["error"]["number"]
        )
        first = self._run(0, "call", "settlement", "/meters")
        key = first["idempotency_key"]
        again = self._run(
            0, "call", "settlement", "/meters", f"--idempotency={key}"
        )
        self.assertEqual(first, again)

    def _check_trace(self) -> None:
        log = self.folder / "front-1.log"
        row = {"timestamp": 1.0, "message_type": "order", "request": "q1"}
        log.write_text(json.dumps(row) + "\n")
        found = self._run(0, "trace", "q1", str(log))
        self.assertEqual(1, len(found["lines"]))
        self._run(1, "trace", "q2", str(log))

    def _check_fleet(self) -> None:
        vms = self._run(0, "vms")["vms"]
        expected = {row[1] for row in sample.VMS if row[0] == "kovacevic"}
        self.assertEqual(expected, {row["vm"] for row in vms})
        self.assertEqual([], self._run(0, "quarantine")["quarantine"])
        unknown = self._run(5, "quarantine-clear", "00" * 32)
        self.assertEqual("not_run", unknown["error"]["ran"])
        self.assertEqual(
            4007, self._run(5, "drain", "kovacevic-9")["error"]["number"]
        )
        vm = "kovacevic-settlement-2"
        self.sample.kill(vm)
        running_sample.wait_until(
            lambda: not self._is_up(vm),
            f"{vm} is down",
        )
        self.assertTrue(self._run(0, "drain", vm)["can_be_withdrawn"])
        drains = self._run(0, "drains")["drains"]
        self.assertEqual([vm], [row["vm"] for row in drains])
        self._run(0, "undrain", vm)
        self.assertEqual([], self._run(0, "drains")["drains"])
        self.sample.start_agent(self.sample.row(vm))
        running_sample.wait_until(lambda: self._is_up(vm), f"{vm} is up")

    def _is_up(self, vm: str) -> bool:
        rows = json.loads(self.sample.api("GET", "kovacevic", "vms").body)[
            "vms"
        ]
        return vm in {row["vm"] for row in rows if row["state"] == "ready"}
