"""Runs every test, passes over those in KNOWN-RED.txt and prints the totals."""

from __future__ import annotations

import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def read_known_red(path: Path) -> set[str]:
    """Reads test ids: the first word of each line that begins with `tests.`."""
    if not path.exists():
        return set()
    lines = path.read_text(encoding="utf-8").splitlines()
    return {line.split()[0] for line in lines if line.startswith("tests.")}


def name_test(test: unittest.TestCase) -> str:
    """Names a test or the test that a subtest belongs to."""
    return getattr(test, "test_case", test).id()


def run_tests(pattern: str) -> int:
    """Runs the tests whose file matches `pattern` and returns the exit code."""
    loader = unittest.TestLoader()
    suite = loader.discover(str(ROOT / "tests"), pattern, top_level_dir=str(ROOT))
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    red = {name_test(test) for test, _ in result.failures + result.errors}
    red |= {test.id() for test in result.unexpectedSuccesses}
    known = red & read_known_red(KNOWN_RED)
    for name in sorted(known):
        print(f"known red: {name}")
    failed = red - known
    passed = result.testsRun - len(red)
    print(f"{passed} passed, {len(failed)} failed")
    return 1 if failed or passed <= 0 else 0


if __name__ == "__main__":
    sys.exit(run_tests(sys.argv[1] if len(sys.argv) > 1 else "test_*.py"))
