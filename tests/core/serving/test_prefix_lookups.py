"""Tests of finding the upstream that has cached the prompt of a stream.

An entry asks the upstreams for their prompts if a stream resumes, or is short of time,
and the entry has no location for its prompt.
"""

from __future__ import annotations

import unittest

from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import ListPrompts, RefuseCaller, SendAttempt
from magnoliahold.core.serving.events import PromptListFailed, PromptsListed
from magnoliahold.core.serving.openings import OpeningModel
from tests.core.serving.harness import ServingHarness

OWN_PART = "own-1"


class PrefixLookupTests(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = ServingHarness()
        self.harness.start()

    def resume_stream(self, timeout_s: float = 10.0) -> list[str]:
        """Resumes a stream after piece 36; returns the upstreams asked for prompts."""
        self.harness.request(RouteKind.STREAM, resume_after=36, timeout_s=timeout_s)
        return [item.upstream.id for item in self.harness.pop_effects(ListPrompts)]

    def list_other_prompts(self, upstream_ids: list[str]) -> None:
        for upstream_id in upstream_ids:
            self.harness.post(PromptsListed(upstream_id, ("other",)))

    def test_stream_is_sent_to_the_upstream_with_its_prompt(self) -> None:
        asked = self.resume_stream()
        self.assertEqual(len(asked), 4)
        self.assertEqual(self.harness.pop_effects(SendAttempt), [])
        self.list_other_prompts(asked[:2])
        self.harness.post(PromptsListed(asked[2], (OWN_PART, "shared")))
        sent = self.harness.pop_effect(SendAttempt)
        self.assertEqual(sent.upstream.id, asked[2])
        self.assertEqual(sent.resume_after, 36)

    def test_stream_is_sent_anywhere_if_no_upstream_has_its_prompt(self) -> None:
        asked = self.resume_stream()
        self.list_other_prompts(asked[:3])
        self.assertEqual(self.harness.pop_effects(SendAttempt), [])
        self.harness.post(PromptListFailed(asked[3], "no answer"))
        self.harness.pop_effect(SendAttempt)

    def test_short_deadline_needs_an_upstream_with_the_prompt(self) -> None:
        for name, kept, expected in (
            ("kept", OWN_PART, SendAttempt),
            ("not kept", "other", RefuseCaller),
        ):
            with self.subTest(name):
                harness = self.harness = ServingHarness()
                harness.start()
                harness.world.openings["engines"] = OpeningModel(1.0)
                asked = self.resume_stream(timeout_s=0.5)
                for upstream_id in asked:
                    harness.post(PromptsListed(upstream_id, (kept,)))
                effect = harness.pop_effect(expected)
                if isinstance(effect, RefuseCaller):
                    self.assertTrue(effect.not_run)
                    self.assertIsNotNone(effect.retry_after_s)

    def test_first_requests_and_calls_need_no_lookup(self) -> None:
        self.harness.request(RouteKind.STREAM)
        self.harness.request(RouteKind.IDEMPOTENT)
        self.assertEqual(self.harness.pop_effects(ListPrompts), [])

    def test_first_request_with_too_little_time_needs_a_lookup(self) -> None:
        self.harness.world.openings["engines"] = OpeningModel(1.0)
        self.harness.request(RouteKind.STREAM, timeout_s=0.5)
        asked = self.harness.pop_effects(ListPrompts)
        self.assertEqual(len(asked), 4)
        self.harness.post(PromptsListed(asked[0].upstream.id, (OWN_PART,)))
        self.assertEqual(
            self.harness.pop_effect(SendAttempt).upstream.id, asked[0].upstream.id
        )

    def test_known_prompt_location_needs_no_lookup(self) -> None:
        self.resume_stream()
        self.harness.post(PromptsListed("engines-2", (OWN_PART,)))
        self.harness.pop_effects(SendAttempt)
        prompt = self.harness.world.requests.by_handle[1].caller.prompt
        self.harness.advance(1.5)
        self.harness.request(RouteKind.STREAM, resume_after=40, prompt=prompt)
        self.assertEqual(self.harness.pop_effects(ListPrompts), [])

    def test_streams_that_arrive_together_share_one_lookup(self) -> None:
        self.assertEqual(len(self.resume_stream()), 4)
        self.harness.request(RouteKind.STREAM, resume_after=3)
        self.assertEqual(self.harness.pop_effects(ListPrompts), [])
        for number in range(1, 5):
            self.harness.post(PromptsListed(f"engines-{number}", (f"own-{number}",)))
        upstream_ids = {
            item.handle: item.upstream.id
            for item in self.harness.pop_effects(SendAttempt)
        }
        self.assertEqual(upstream_ids, {1: "engines-1", 2: "engines-2"})

    def test_request_refused_during_a_lookup_is_not_sent(self) -> None:
        asked = self.resume_stream(timeout_s=0.1)
        self.harness.advance(0.2)
        refused = self.harness.pop_effect(RefuseCaller)
        self.assertTrue(refused.not_run)
        self.list_other_prompts(asked)
        self.assertEqual(self.harness.pop_effects(SendAttempt), [])


if __name__ == "__main__":
    unittest.main()
