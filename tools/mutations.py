"""Mutation testing of the safety rules.

Each mutation breaks one rule in a scratch copy of the source. The scenarios
and the tests that guard the rule run on the copy, and at least one must fail.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import dataclasses
import json
import os
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).parent.parent
COPIED_PATHS = (
    "src",
    "standins",
    "tests",
    "scenarios",
    "tools",
    "pyproject.toml",
)
RUN_TIMEOUT_S = 600
_FAILED_TEST = re.compile(r"^(?:FAIL|ERROR): \S+ \((\S+)\)", re.MULTILINE)


@dataclasses.dataclass(slots=True, frozen=True)
class Mutation:
    """Replacement of source text that breaks one rule.

    `old` must occur exactly once in the file; `tests` names the test packages
    that guard the rule.
    """

    name: str
    path: str
    old: str
    new: str
    tests: tuple[str, ...] = ()


MUTATIONS = (
    Mutation(
        "charge memory after the order",
        "src/balsamwall/residency/task_runner.py",
        """\
        if not self._ledger.charge_up_to(spec.ledger_key, spec.memory_bytes):
            return self._wait(task, _Code.INSUFFICIENT_MEMORY)
        self._permits.mark_started(task)
        self._table.begin_load(spec)
        self._issue(task, "load", spec)
        return False
""",
        """\
        self._permits.mark_started(task)
        self._table.begin_load(spec)
        self._issue(task, "load", spec)
        self._ledger.charge_up_to(spec.ledger_key, spec.memory_bytes)
        return False
""",
        ("tests.order_schedules", "tests.residency"),
    ),
    Mutation(
        "retry without a certificate",
        "src/balsamwall/dispatch/active_request.py",
        "        return self.request.is_repeatable"
        " or not self.uncertified_attempts\n",
        "        return True\n",
        ("tests.request_path", "tests.dispatch"),
    ),
    Mutation(
        "evict without a retention grant",
        "src/balsamwall/residency/unload_check.py",
        "        needs_grant = not has_other and self._is_configured(name)\n",
        "        needs_grant = False\n",
        ("tests.order_schedules", "tests.residency"),
    ),
    Mutation(
        "accept a lower configuration revision",
        "src/balsamwall/configuration/configuration_replica.py",
        "        return revision > self.revision(tenant)\n",
        "        return revision != self.revision(tenant)\n",
        ("tests.configuration",),
    ),
    Mutation(
        "accept frames of another attempt",
        "src/balsamwall/dispatch/dispatcher.py",
        "        if attempt.number != number or attempt.peer != peer:\n",
        "        if False:\n",
        ("tests.request_path", "tests.dispatch"),
    ),
    Mutation(
        "accept frames at any offset",
        "src/balsamwall/dispatch/answer_assembler.py",
        "        if item.offset != self._offset or not item.data:\n",
        "        if not item.data:\n",
        ("tests.request_path", "tests.dispatch"),
    ),
    Mutation(
        "run keys that a lost home may have run",
        "src/balsamwall/idempotency/key_home.py",
        "if limit_ms and created_ms <= limit_ms + 3 * CLOCK_SKEW_MS:",
        "if False:",
        ("tests.idempotency",),
    ),
    Mutation(
        "ignore tombstones of key homes",
        "src/balsamwall/idempotency/home_map.py",
        "        for tombstone in self.tombstones:\n            peers = {",
        "        for tombstone in self.tombstones[:0]:\n            peers = {",
        ("tests.idempotency",),
    ),
    Mutation(
        "route to leaving agents",
        "src/balsamwall/routing/replica.py",
        """\
            and not self.is_leaving
            and self.report is not None
            and self.report.state == "ready"
""",
        """\
            and self.report is not None
            and self.report.state in ("ready", "leaving")
""",
        ("tests.request_path", "tests.routing"),
    ),
    Mutation(
        "run suspects beside other requests",
        "src/balsamwall/execution/run_scheduler.py",
        """\
            if status is crash_attribution.FingerprintStatus.SUSPECT:
                self._suspects.append(run)
            elif not self._charge_and_start(run):
""",
        """\
            if not self._charge_and_start(run):
""",
        ("tests.request_path", "tests.execution"),
    ),
)


@dataclasses.dataclass(slots=True)
class Outcome:
    """Scenarios and tests that failed under a mutation."""

    mutation: Mutation
    scenarios: list[str]
    tests: list[str]
    is_applied: bool = True

    @property
    def is_detected(self) -> bool:
        """Whether any scenario or test failed."""
        return bool(self.scenarios or self.tests)


def run(mutation: Mutation) -> Outcome:
    """Apply a mutation to a scratch copy and run the scenarios and tests."""
    with tempfile.TemporaryDirectory(prefix="mutation-") as directory:
        copy = pathlib.Path(directory)
        for name in COPIED_PATHS:
            source = ROOT / name
            if source.is_dir():
                ignored = shutil.ignore_patterns("__pycache__")
                shutil.copytree(source, copy / name, ignore=ignored)
            else:
                shutil.copy(source, copy / name)
        path = copy / mutation.path
        text = path.read_text()
        if text.count(mutation.old) != 1:
            return Outcome(mutation, [], [], is_applied=False)
        path.write_text(text.replace(mutation.old, mutation.new))
        return Outcome(
            mutation,
            _failed_scenarios(copy),
            _failed_tests(copy, mutation.tests),
        )


def _run_module(copy: pathlib.Path, *arguments: str) -> str:
    environment = dict(os.environ)
    environment["PYTHONPATH"] = f"{copy}/src{os.pathsep}{copy}/standins"
    result = subprocess.run(
        [sys.executable, "-m", *arguments],
        check=False,
        cwd=copy,
        env=environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        timeout=RUN_TIMEOUT_S,
    )
    return result.stdout


def _failed_scenarios(copy: pathlib.Path) -> list[str]:
    report = copy / "report.json"
    _run_module(
        copy, "behave", "scenarios", "--format", "json", "-o", str(report)
    )
    if not report.exists():
        return ["no report"]
    return [
        element["name"].strip()
        for feature in json.loads(report.read_text() or "[]")
        for element in feature.get("elements", [])
        if element.get("type") != "background"
        and element.get("status") != "passed"
    ]


def _failed_tests(copy: pathlib.Path, tests: tuple[str, ...]) -> list[str]:
    known = [
        name for name in tests if (copy / name.replace(".", "/")).is_dir()
    ]
    found: list[str] = []
    for name in known:
        directory = copy / name.replace(".", "/")
        modules = [
            f"{name}.{item.stem}" for item in directory.glob("test_*.py")
        ]
        if modules:
            output = _run_module(
                copy, "nose2", "-s", "tests", "-t", ".", *sorted(modules)
            )
            found += _FAILED_TEST.findall(output)
    return sorted(set(found))


def main() -> int:
    """Run the mutations and print the failures that detect each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--only", default="", help="part of a name")
    options = parser.parse_args()
    chosen = [item for item in MUTATIONS if options.only in item.name]
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        outcomes = list(pool.map(run, chosen))
    for outcome in outcomes:
        verdict = "noticed" if outcome.is_detected else "NOT NOTICED"
        if not outcome.is_applied:
            verdict = "NOT APPLIED"
        print(f"{verdict}: {outcome.mutation.name}")
        print(f"  scenarios failed: {len(outcome.scenarios)}")
        for name in [*outcome.scenarios[:3], *outcome.tests[:3]]:
            print(f"    {name}")
        print(f"  tests failed: {len(outcome.tests)}")
    return 0 if all(item.is_detected for item in outcomes) else 1


if __name__ == "__main__":
    sys.exit(main())
