from __future__ import annotations

import unittest
from random import Random

from twisted.internet.task import Clock

from magnoliahold.standins.batch import Batch, BatchLimits, Generation
from magnoliahold.standins.chain import find_chain_break
from magnoliahold.standins.engine_faults import ActiveFaults, EngineFault
from magnoliahold.standins.prefix_cache import CacheEventLog, PrefixCache

PROMPT = "list the whippets of show ring two"
INTERVAL_S = 0.02
PREFILL_S_PER_TOKEN = 0.001


class GenerationRecorder:
    """Submits a generation and records its output."""

    def __init__(self, batch: Batch, name: str, **fields: object) -> None:
        self.tokens: list[str] = []
        self.offsets: list[int] = []
        self.finish = ""
        values = {
            "prompt": PROMPT,
            "prefix": (),
            "max_tokens": 5,
            "priority": 0,
            "version": "v1",
            "workspace": "",
            **fields,
        }
        self.generation = Generation(
            id=name, on_token=self._add_token, on_finish=self._finish, **values
        )
        self.accepted = batch.submit(self.generation)

    def _add_token(self, offset: int, token: str) -> None:
        self.offsets.append(offset)
        self.tokens.append(token)

    def _finish(self, reason: str) -> None:
        self.finish = reason


class BatchTests(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = Clock()
        self.faults = ActiveFaults(Random(2))
        log = CacheEventLog(self.clock, Random(3), 0.5, 0.0)
        self.batch = Batch(
            self.clock,
            Random(1),
            BatchLimits(INTERVAL_S, PREFILL_S_PER_TOKEN, max_running=2, max_waiting=3),
            PrefixCache(1000, log),
            self.faults,
            lambda: None,
        )

    def advance(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.001)):
            self.clock.advance(0.001)

    def test_generations_run_side_by_side(self) -> None:
        recorders = [GenerationRecorder(self.batch, name) for name in "ab"]
        self.advance(0.2)
        for recorder in recorders:
            self.assertEqual(recorder.offsets, [0, 1, 2, 3, 4])
            self.assertEqual(recorder.finish, "length")
            self.assertIsNone(find_chain_break(PROMPT, recorder.tokens))
        self.assertNotEqual(recorders[0].tokens, recorders[1].tokens)

    def test_urgent_generations_start_first_and_a_full_queue_refuses(self) -> None:
        running = [GenerationRecorder(self.batch, name) for name in "ab"]
        late, urgent, early = (
            GenerationRecorder(self.batch, name, priority=priority)
            for name, priority in (("late", 9), ("urgent", 1), ("early", 5))
        )
        self.assertFalse(GenerationRecorder(self.batch, "over").accepted)
        self.advance(0.115)
        self.assertTrue(all(recorder.finish for recorder in running))
        self.assertTrue(urgent.generation.next_token_at)
        self.assertTrue(early.generation.next_token_at)
        self.assertFalse(late.generation.next_token_at)

    def test_continuation_gives_the_same_chain(self) -> None:
        whole = GenerationRecorder(self.batch, "whole", max_tokens=8)
        self.advance(0.3)
        for length in (1, 4, 7, 8):
            with self.subTest(length=length):
                prefix = tuple(whole.tokens[:length])
                rest = GenerationRecorder(
                    self.batch, f"r{length}", prefix=prefix, max_tokens=8
                )
                self.advance(0.3)
                self.assertEqual([*prefix, *rest.tokens], whole.tokens)
                self.assertEqual(rest.offsets, list(range(length, 8)))
                self.assertEqual(rest.finish, "length")

    def test_running_and_queued_generations_can_be_cancelled(self) -> None:
        first, second, queued = (GenerationRecorder(self.batch, name) for name in "abc")
        self.assertTrue(self.batch.cancel("c"))
        self.assertTrue(self.batch.cancel("a"))
        self.assertFalse(self.batch.cancel("a"))
        self.advance(0.2)
        finishes = [first.finish, second.finish, queued.finish]
        self.assertEqual(finishes, ["cancelled", "length", "cancelled"])
        self.assertEqual(first.tokens, [])

    def test_cached_prompt_is_not_prefilled_again(self) -> None:
        prompt = " ".join(f"word{number}" for number in range(160))
        first_token_s = []
        for name in ("cold", "warm"):
            start = self.clock.seconds()
            recorder = GenerationRecorder(self.batch, name, prompt=prompt, max_tokens=1)
            while not recorder.finish:
                self.clock.advance(0.001)
            first_token_s.append(self.clock.seconds() - start)
        self.assertAlmostEqual(first_token_s[0], 0.18, delta=0.002)
        self.assertAlmostEqual(first_token_s[1], 0.02, delta=0.002)

    def test_freeze_stops_and_thaw_resumes(self) -> None:
        recorder = GenerationRecorder(self.batch, "a")
        self.advance(0.05)
        self.batch.freeze()
        before = len(recorder.tokens)
        self.advance(1.0)
        self.assertEqual(len(recorder.tokens), before)
        self.batch.thaw()
        self.advance(0.2)
        self.assertEqual(recorder.finish, "length")
        self.assertIsNone(find_chain_break(PROMPT, recorder.tokens))

    def test_faults_affect_only_matching_generations(self) -> None:
        table = (
            (EngineFault("fail", version="v1"), "error", 0),
            (EngineFault("fail", version="v1", after_tokens=2), "error", 2),
            (EngineFault("fail", version="v2"), "length", 5),
            (EngineFault("fail", workspace="desk"), "error", 0),
            (EngineFault("fail", workspace="other"), "length", 5),
            (EngineFault("fail", text="whippets"), "error", 0),
            (EngineFault("fail", text="poodles"), "length", 5),
            (EngineFault("fail", minimum_running=1), "length", 5),
            (EngineFault("fail", share=0.0), "length", 5),
            (EngineFault("slow", factor=10.0), "", 0),
            (EngineFault("slow", factor=10.0, version="v2"), "length", 5),
        )
        for number, (fault, finish, count) in enumerate(table):
            with self.subTest(fault=fault):
                self.faults.clear()
                self.faults.add(fault)
                recorder = GenerationRecorder(
                    self.batch, f"g{number}", workspace="desk"
                )
                self.advance(0.15)
                self.assertEqual(
                    (recorder.finish, len(recorder.tokens)), (finish, count)
                )
                self.batch.discard_all()

    def test_fault_applies_only_under_load(self) -> None:
        self.faults.add(EngineFault("fail", minimum_running=1))
        alone, under_load = (
            GenerationRecorder(self.batch, "a"),
            GenerationRecorder(self.batch, "b"),
        )
        self.advance(0.2)
        self.assertEqual((alone.finish, under_load.finish), ("length", "error"))


if __name__ == "__main__":
    unittest.main()
