"""Run the formatter, the linter and the tests, and print one verdict.

The tests are those of the README's test command.  Tests listed in KNOWN-RED.txt
may fail without failing the run; they are printed every time.
"""

import subprocess
import sys
import tempfile
from pathlib import Path
from typing import NamedTuple
from xml.etree import ElementTree

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
TIMEOUT_S = 3600
PACKAGES = ("ci", "dogwoodtack", "dogwoodtack_standins", "lab", "soak", "tests")


class Verdict(NamedTuple):
    """What one run of the tests showed."""

    ran: int
    failed: list[str]


def known_red() -> set[str]:
    """Read the tests that may fail; each entry starts with `test: `."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {
        line.removeprefix("test: ").strip()
        for line in lines
        if line.startswith("test: ")
    }


def run_step(name: str, *args: str) -> bool:
    """Run one tool as a module and return whether it was content."""
    print(f"== {name}", flush=True)
    cmd = [sys.executable, "-m", *args]
    return subprocess.run(cmd, cwd=ROOT, timeout=TIMEOUT_S).returncode == 0


def run_tests() -> Verdict:
    """Run nose2 over the tree and return what ran and what failed."""
    print("== tests", flush=True)
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.xml"
        junit = ["--junit-xml", "--junit-xml-path", str(report)]
        cmd = [sys.executable, "-m", "nose2", "-v", *junit]
        code = subprocess.run(cmd, cwd=ROOT, timeout=TIMEOUT_S).returncode
        cases = list(ElementTree.parse(report).iter("testcase"))
    failed = [
        # The name of a table's row goes on with its values on further lines.
        f"{case.get('classname')}.{case.get('name').splitlines()[0]}"
        for case in cases
        if case.find("failure") is not None or case.find("error") is not None
    ]
    if code and not failed:
        failed.append("nose2 itself")
    return Verdict(len(cases), failed)


def main() -> int:
    """Run every step and return the exit code for CI."""
    steps = [
        run_step("black", "black", "--check", "-q", *PACKAGES),
        run_step("isort", "isort", "--check-only", "-q", *PACKAGES),
        run_step("flake8", "flake8", *PACKAGES),
    ]
    verdict = run_tests()
    red = known_red()
    passed_over = [test for test in verdict.failed if test in red]
    counted = [test for test in verdict.failed if test not in red]
    for test in passed_over:
        print(f"known red, passed over: {test}")
    for test in red.difference(verdict.failed):
        print(f"known red, but it passed this time: {test}")
    failed = len(counted) + steps.count(False)
    passed = max(0, verdict.ran - len(verdict.failed)) + steps.count(True)
    if verdict.ran == 0:
        print("no test ran")
        failed += 1
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
