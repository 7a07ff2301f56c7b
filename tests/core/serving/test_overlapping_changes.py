"""Tests that requests keep their one answer in time while everything changes at once.

`MAGNOLIAHOLD_SEED` and `MAGNOLIAHOLD_EXAMPLES` set other seeds.
"""

from __future__ import annotations

import unittest
from random import Random

from tests.core.serving.breaking import BreakingEnvironment
from tests.core.serving.changing import SoundEnvironment
from tests.core.serving.test_random import EXAMPLES, FIRST_SEED, SETTLE_S, STEP_S

STEPS = 400
# Tables are cleared in some ticks only.
LAST_STEPS = 5


def play(case: unittest.TestCase, kind: type[SoundEnvironment], seed: int) -> None:
    """Plays one seed until all requests have ended."""
    environment = kind(case, Random(seed))
    environment.harness.world.random.seed(seed)
    environment.start()
    for _ in range(STEPS):
        environment.step()
    environment.quiet = True
    for _ in range(round(SETTLE_S / STEP_S)):
        environment.step()
        if not environment.harness.world.requests.by_handle:
            break
    for _ in range(LAST_STEPS):
        environment.step()
    environment.check_end()


class OverlappingChangeTests(unittest.TestCase):
    def test_sound_upstreams_answer_whatever_changes(self) -> None:
        for seed in range(FIRST_SEED, FIRST_SEED + EXAMPLES):
            with self.subTest(seed=seed):
                play(self, SoundEnvironment, seed)

    def test_only_failed_streams_are_cut(self) -> None:
        for seed in range(FIRST_SEED, FIRST_SEED + EXAMPLES):
            with self.subTest(seed=seed):
                play(self, BreakingEnvironment, seed)


if __name__ == "__main__":
    unittest.main()
