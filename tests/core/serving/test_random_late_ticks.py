"""Tests that late ticks end no request while everything changes at once.

`MAGNOLIAHOLD_SEED` and `MAGNOLIAHOLD_EXAMPLES` set other seeds.
"""

from __future__ import annotations

import unittest

from attrs import define

from tests.core.serving.breaking import BreakingEnvironment
from tests.core.serving.changing import SoundEnvironment
from tests.core.serving.test_overlapping_changes import play
from tests.core.serving.test_random import EXAMPLES, FIRST_SEED

LATE_CHANCE = 0.05
LATE_S = (0.05, 3.0)


@define
class LateEnvironment(SoundEnvironment):
    """An entry with late ticks, which run before what arrived meanwhile is read."""

    def step(self) -> None:
        """Runs one tick, sometimes after a late one without events."""
        if self.random.random() < LATE_CHANCE:
            self.harness.now += self.random.uniform(*LATE_S)
            self.harness.post()
            self.check_effects()
        super().step()


@define
class LateBreakingEnvironment(LateEnvironment, BreakingEnvironment):
    """The same with upstreams that break off."""


class RandomLateTickTests(unittest.TestCase):
    def test_sound_upstreams_answer_beside_late_ticks(self) -> None:
        for seed in range(FIRST_SEED, FIRST_SEED + EXAMPLES):
            with self.subTest(seed=seed):
                play(self, LateEnvironment, seed)

    def test_only_failed_streams_are_cut_beside_late_ticks(self) -> None:
        for seed in range(FIRST_SEED, FIRST_SEED + EXAMPLES):
            with self.subTest(seed=seed):
                play(self, LateBreakingEnvironment, seed)


if __name__ == "__main__":
    unittest.main()
