"""Tests that the platform's wire names occur only in the packages that need them."""

from __future__ import annotations

import ast
import re
import unittest
from pathlib import Path

PACKAGE = Path(__file__).resolve().parents[2] / "src" / "magnoliahold"
WIRE_NAMES = (
    "Kv-Backup",
    "Kv-From",
    "Response-Signature",
    "Not-Executed",
    "Expect-Instance",
    "Deadline-Ms",
    "Prompt-Prefix",
    "Token-Usage",
    "Request-Priority",
    "rows-tx",
    "rows-get",
    "rows-feed",
    "hostname",
    "traffic_split",
    "gap_goal_ms",
    "api_keys",
    "MAGNOLIAHOLD_BOOT",
    "/-/re",
    "/-/kv",
    "/-/rows",
)
# The package that translates, and the stand-ins for the users' platform.
TRANSLATORS = ("platform/", "standins/users/")


def list_imports(path: Path) -> set[str]:
    """Lists the modules that a file imports."""
    tree = ast.parse(path.read_text(encoding="utf-8"))
    found = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.ImportFrom) and node.module:
            found.add(node.module)
        elif isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
    return found


class BoundaryTests(unittest.TestCase):
    def test_wire_names_occur_only_in_the_translators(self) -> None:
        pattern = re.compile("|".join(map(re.escape, WIRE_NAMES)))
        for path in sorted(PACKAGE.rglob("*.py")):
            name = path.relative_to(PACKAGE).as_posix()
            if name.startswith(TRANSLATORS):
                continue
            with self.subTest(name):
                self.assertEqual(pattern.findall(path.read_text(encoding="utf-8")), [])

    def test_core_imports_neither_the_platform_nor_twisted(self) -> None:
        for path in sorted((PACKAGE / "core").rglob("*.py")):
            with self.subTest(path.name):
                for module in list_imports(path):
                    self.assertNotRegex(module, r"magnoliahold\.(platform|serving)\b")
                    self.assertNotRegex(module, r"^twisted\b")

    def test_platform_package_stays_small(self) -> None:
        lines = sum(
            len(path.read_text(encoding="utf-8").splitlines())
            for path in (PACKAGE / "platform").glob("*.py")
        )
        self.assertLess(lines, 1200)


if __name__ == "__main__":
    unittest.main()
