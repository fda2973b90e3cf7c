"""Check that scenarios and schedule tests notice broken safety rules.

Each mutation changes one rule in a scratch copy of the source. Then the
scenarios and the schedule tests run there, and at least one must fail.
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
COPIED = ("src", "standins", "tests", "scenarios", "tools", "pyproject.toml")
RUN_LIMIT_S = 600
_FAILED_TEST = re.compile(r"^(?:FAIL|ERROR): \S+ \((\S+)\)", re.MULTILINE)


@dataclasses.dataclass(slots=True, frozen=True)
class Mutation:
    """Textual change that breaks one rule, and the tests that guard it."""

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
    """What noticed a mutation."""

    mutation: Mutation
    scenarios: list[str]
    tests: list[str]
    is_applied: bool = True

    @property
    def is_noticed(self) -> bool:
        """Tell whether anything failed."""
        return bool(self.scenarios or self.tests)


def run(mutation: Mutation) -> Outcome:
    """Apply a mutation to a scratch copy and run what guards the rule."""
    with tempfile.TemporaryDirectory(prefix="mutation-") as folder:
        copy = pathlib.Path(folder)
        for name in COPIED:
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


def _start(copy: pathlib.Path, *arguments: str) -> str:
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
        timeout=RUN_LIMIT_S,
    )
    return result.stdout


def _failed_scenarios(copy: pathlib.Path) -> list[str]:
    report = copy / "report.json"
    _start(copy, "behave", "scenarios", "--format", "json", "-o", str(report))
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
        folder = copy / name.replace(".", "/")
        modules = [f"{name}.{item.stem}" for item in folder.glob("test_*.py")]
        if modules:
            output = _start(
                copy, "nose2", "-s", "tests", "-t", ".", *sorted(modules)
            )
            found += _FAILED_TEST.findall(output)
    return sorted(set(found))


def main() -> int:
    """Run the mutations and print what noticed each."""
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--jobs", type=int, default=2)
    options.add_argument("--only", default="", help="part of a name")
    found = options.parse_args()
    chosen = [item for item in MUTATIONS if found.only in item.name]
    with concurrent.futures.ThreadPoolExecutor(found.jobs) as pool:
        outcomes = list(pool.map(run, chosen))
    for outcome in outcomes:
        word = "noticed" if outcome.is_noticed else "NOT NOTICED"
        if not outcome.is_applied:
            word = "NOT APPLIED"
        print(f"{word}: {outcome.mutation.name}")
        print(f"  scenarios failed: {len(outcome.scenarios)}")
        for name in [*outcome.scenarios[:3], *outcome.tests[:3]]:
            print(f"    {name}")
        print(f"  tests failed: {len(outcome.tests)}")
    return 0 if all(item.is_noticed for item in outcomes) else 1


if __name__ == "__main__":
    sys.exit(main())
