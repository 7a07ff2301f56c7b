"""A short soak with real processes, for the seed of CI and seeds that once failed.

To run longer soaks: `magnoliahold soak --seed N --seconds S`.
"""

from __future__ import annotations

import subprocess
import sys
import unittest
from pathlib import Path

from tests.process_fleet import wait_until

SECONDS = 8
LIMIT_S = 90.0
SEED = 1
RESTORE_SEED = 21
ODD_ROWS_SEED = 31
SEEDS_FILE = Path(__file__).with_name("seeds.txt")


def list_seeds() -> list[int]:
    """Lists the seed of CI and the seeds that once failed."""
    lines = SEEDS_FILE.read_text(encoding="utf-8").splitlines()
    failed = [int(line.split()[0]) for line in lines if line[:1].isdigit()]
    return [SEED, *failed]


def list_children(process_id: int) -> list[int]:
    """Lists the child processes of a process."""
    path = Path(f"/proc/{process_id}/task/{process_id}/children")
    return [int(word) for word in path.read_text(encoding="ascii").split()]


class SoakTests(unittest.TestCase):
    def run_soak(self, seed: int, restores: int, odd_rows: int = 0) -> str:
        """Runs a soak that violates no guarantee, and returns its report."""
        soak = subprocess.run(
            [
                *(sys.executable, "-m", "magnoliahold", "soak"),
                *("--seed", str(seed), "--seconds", str(SECONDS)),
                *("--restores", str(restores)),
                *("--odd-rows", str(odd_rows)),
            ],
            capture_output=True,
            text=True,
            timeout=LIMIT_S,
        )
        self.assertEqual(soak.returncode, 0, soak.stdout + soak.stderr)
        self.assertIn("0 guarantees violated", soak.stdout)
        self.assertIn("recovery 1", soak.stdout)
        return soak.stdout

    def test_no_guarantee_is_violated(self) -> None:
        for seed in list_seeds():
            with self.subTest(seed=seed):
                self.run_soak(seed, 0)

    def test_no_guarantee_is_violated_by_a_restored_store(self) -> None:
        report = self.run_soak(RESTORE_SEED, 2)
        self.assertIn("RestoreStore 2", report)

    # Failure: entries stopped following the upstreams beside a row that nests deeply.
    def test_no_guarantee_is_violated_by_odd_rows(self) -> None:
        report = self.run_soak(ODD_ROWS_SEED, 0, 8)
        self.assertIn("LeaveOddRow 8", report)

    def test_no_request_is_lost_in_planned_work(self) -> None:
        soak = subprocess.run(
            [
                *(sys.executable, "-m", "magnoliahold", "soak", "--planned"),
                *("--seed", str(SEED), "--seconds", str(SECONDS)),
            ],
            capture_output=True,
            text=True,
            timeout=LIMIT_S,
        )
        self.assertEqual(soak.returncode, 0, soak.stdout + soak.stderr)
        self.assertIn("0 guarantees violated", soak.stdout)
        self.assertIn("planned stops", soak.stdout)

    def test_interrupted_soak_leaves_no_process(self) -> None:
        soak = subprocess.Popen(
            [sys.executable, "-m", "magnoliahold", "soak", "--seconds", "60"],
            stdout=subprocess.PIPE,
            text=True,
        )
        try:
            self.assertTrue(wait_until(lambda: len(list_children(soak.pid)) == 3))
            children = list_children(soak.pid)
            soak.terminate()
            output, _ = soak.communicate(timeout=LIMIT_S)
        finally:
            soak.kill()
        self.assertIn("interrupted", output)
        self.assertEqual(soak.returncode, 130)
        for child in children:
            self.assertFalse(Path(f"/proc/{child}").exists())


if __name__ == "__main__":
    unittest.main()
