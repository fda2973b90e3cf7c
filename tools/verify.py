"""Full verification: tests, linters, scenarios and benchmark bounds."""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys
import tempfile

from tools import known_red
from tools import run_tests

LINT_COMMANDS = (
    ("ruff", "format", "--check", "."),
    ("ruff", "check", "."),
    (
        "flake8",
        "src",
        "standins",
        "tests",
        "scenarios",
        "bench",
        "tools",
        "soak",
    ),
    ("mypy",),
)


def run_lint() -> tuple[int, list[str]]:
    """Run each linter; return the number passed and the failed names."""
    passed = 0
    failed: list[str] = []
    for command in LINT_COMMANDS:
        name = " ".join(command[:2])
        full_command = [sys.executable, "-m", *command]
        if subprocess.run(full_command, check=False).returncode:
            failed.append(f"lint: {name}")
        else:
            passed += 1
    return passed, failed


def run_scenarios() -> tuple[int, list[str]]:
    """Run behave; return the number passed and the failed names."""
    if not list(pathlib.Path("scenarios").glob("**/*.feature")):
        return 0, []
    with tempfile.TemporaryDirectory() as directory:
        report = pathlib.Path(directory, "report.json")
        command = [sys.executable, "-m", "behave", "scenarios"]
        # Writing the report to /dev/stdout would truncate a log file to which
        # standard output is redirected.
        command += ["--format", "json", "--outfile", str(report)]
        subprocess.run(command, check=False)
        if not report.exists():
            return 0, ["behave ended without a report"]
        features = json.loads(report.read_text() or "[]")
    passed = 0
    failed: list[str] = []
    for feature in features:
        for element in feature.get("elements", []):
            if element.get("type") == "background":
                continue
            if element.get("status") == "passed":
                passed += 1
            else:
                failed.append(f"scenario: {element['name']}")
    return passed, failed


def run_bench() -> tuple[int, list[str]]:
    """Check the benchmark bounds; return the number met and the others."""
    if not pathlib.Path("bench/__main__.py").exists():
        return 0, []
    command = [sys.executable, "-m", "bench", "--check"]
    result = subprocess.run(
        command, check=False, stdout=subprocess.PIPE, text=True
    )
    print(result.stdout, end="")
    passed = 0
    failed: list[str] = []
    for line in result.stdout.splitlines():
        if line.startswith("bound ok "):
            passed += 1
        elif line.startswith("bound broken "):
            failed.append(f"bench: {line.removeprefix('bound broken ')}")
    if result.returncode and not failed:
        failed.append(f"bench: exited with {result.returncode}")
    return passed, failed


def main() -> int:
    """Run all checks and print the totals last; return the exit code."""
    parts = (
        run_tests.exclude_known_failures(
            *run_tests.run_unit_tests([]), is_whole_run=True
        ),
        run_lint(),
        exclude_known_by_prefix("scenario:", *run_scenarios()),
        exclude_known_by_prefix("bench:", *run_bench()),
    )
    passed = sum(part[0] for part in parts)
    failed = [name for part in parts for name in part[1]]
    for name in failed:
        print(f"FAILED {name}")
    print(f"{passed} passed, {len(failed)} failed")
    return 1 if failed else 0


def exclude_known_by_prefix(
    prefix: str, passed: int, failed: list[str]
) -> tuple[int, list[str]]:
    """Remove listed failures of one kind, and add listed ones that passed."""
    listed = {
        name
        for name in known_red.read_known_failures()
        if name.startswith(prefix)
    }
    intermittent = {
        name
        for name in known_red.read_intermittent()
        if name.startswith(prefix)
    }
    known = listed | intermittent
    unexpected = [name for name in failed if name not in known]
    for name in sorted(intermittent):
        outcome = "failed" if name in failed else "passed"
        print(f"known intermittent: {name} {outcome} this time")
    for name in sorted(listed & set(failed)):
        print(f"known red: {name}")
    for name in sorted(listed - set(failed)):
        unexpected.append(f"{name} is listed in KNOWN-RED.txt but passes")
    return passed, unexpected


if __name__ == "__main__":
    sys.exit(main())
