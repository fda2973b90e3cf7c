"""Test runner that knows the failures listed in KNOWN-RED.txt."""

from __future__ import annotations

import pathlib
import subprocess
import sys
import tempfile
from xml.etree import ElementTree

from tools import known_red


def run_unit_tests(arguments: list[str]) -> tuple[int, list[str]]:
    """Run nose2 and return the number passed and the names that failed."""
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder, "report.xml")
        command = [sys.executable, "-m", "nose2", "--start-dir", "tests"]
        command += ["--top-level-directory", "."]
        command += ["--plugin", "nose2.plugins.junitxml", "--junit-xml"]
        command += ["--junit-xml-path", str(report), *arguments]
        status = subprocess.run(command, check=False).returncode
        if not report.exists():
            return 0, [f"nose2 exited with {status} and without a report"]
        passed, failed = _read_report(report)
    if status and not failed:
        failed.append(f"nose2 exited with {status}")
    return passed, failed


def _read_report(report: pathlib.Path) -> tuple[int, list[str]]:
    passed = 0
    failed: list[str] = []
    for case in ElementTree.parse(report).getroot().iter("testcase"):
        name = f"{case.get('classname')}.{case.get('name')}"
        if case.find("failure") is not None or case.find("error") is not None:
            failed.append(name)
        elif case.find("skipped") is None:
            passed += 1
    return passed, failed


def judge(passed: int, failed: list[str]) -> tuple[int, list[str]]:
    """Take listed failures out; a listed test that passes is a failure."""
    listed = {name for name in known_red.read_known_red() if "." in name}
    unexpected = [name for name in failed if name not in listed]
    for name in sorted(listed & set(failed)):
        print(f"known red: {name}")
    for name in sorted(listed - set(failed)):
        unexpected.append(f"{name} is listed in KNOWN-RED.txt but passes")
    return passed, unexpected


def main() -> int:
    """Run all tests and print the totals."""
    passed, failed = judge(*run_unit_tests(sys.argv[1:]))
    for name in failed:
        print(f"FAILED {name}")
    print(f"{passed} passed, {len(failed)} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
