"""Tests of what planned work excuses among requests without their answer."""

from __future__ import annotations

import math
import unittest

from twisted.internet.task import Clock

from magnoliahold.soak.guarantees import GuaranteeChecker
from magnoliahold.soak.losses import RECORDING_S, Loss, LossJudge, Stop
from magnoliahold.standins.users.upstreams import Run

PORT = 1
STOPPED_AT = 100.0
# Case, whether an upstream got the request, status, when it was sent and ended, and
# what excuses it.
LOSSES: tuple[tuple[str, bool, int, float, float, str], ...] = (
    ("not whole", False, 0, math.inf, 101.0, "ended midway"),
    ("not read in time", False, 0, 101.0, 101.1, "crossed a close"),
    ("not read", False, 0, 101.0, 101.3, ""),
    ("run and cut at once", True, 0, 101.0, 101.1, ""),
    ("a failure of the entry", False, 502, 101.0, 101.1, ""),
    ("the deadline", True, 504, 101.0, 109.1, "deadline reached"),
    ("an early deadline", True, 504, 104.0, 111.9, ""),
    ("cut in the last sixth", True, 502, 102.9, 107.0, "cut at the end of a grace"),
    ("cut earlier", True, 502, 102.9, 106.6, ""),
    ("sent late and cut", True, 0, 103.1, 107.0, ""),
    ("cut unrun", False, 502, 102.9, 107.0, ""),
    ("cut before the stop", True, 0, 90.0, 91.0, ""),
)

# Whether it was sent behind a cut stream, whether an upstream got it, and its status.
BEHIND_CUT: tuple[tuple[bool, bool, int, str], ...] = (
    (True, False, 0, "behind a cut stream"),
    (True, True, 0, ""),
    (True, False, 502, ""),
    (False, False, 0, ""),
)


class LossTests(unittest.TestCase):
    def test_only_planned_ends_are_excused(self) -> None:
        for name, is_run, status, sent_at, ended_at, excuse in LOSSES:
            with self.subTest(name):
                clock = Clock()
                checker = GuaranteeChecker(clock, lambda _: True)
                judge = LossJudge(clock, checker, [Stop(PORT, STOPPED_AT)])
                if is_run:
                    run = Run("r-1", "/once/r-1", "u-1", "v1", "w-1", 0.0)
                    checker.record_run(run)
                judge.examine(Loss("r-1", status, 8.0, sent_at, ended_at, PORT))
                clock.advance(RECORDING_S)
                self.assertEqual(len(checker.broken), 0 if excuse else 1)
                self.assertEqual(checker.checked[excuse], 1 if excuse else 0)

    def test_only_what_was_not_passed_on_is_excused_behind_a_cut_stream(self) -> None:
        for behind_cut, is_run, status, excuse in BEHIND_CUT:
            with self.subTest(behind_cut=behind_cut, is_run=is_run, status=status):
                clock = Clock()
                checker = GuaranteeChecker(clock, lambda _: True)
                judge = LossJudge(clock, checker, [])
                if is_run:
                    run = Run("r-1", "/once/r-1", "u-1", "v1", "w-1", 0.0)
                    checker.record_run(run)
                loss = Loss("r-1", status, 8.0, 101.0, 101.5, PORT, behind_cut)
                judge.examine(loss)
                clock.advance(RECORDING_S)
                self.assertEqual(len(checker.broken), 0 if excuse else 1)
                self.assertEqual(checker.checked[excuse], 1 if excuse else 0)


if __name__ == "__main__":
    unittest.main()
