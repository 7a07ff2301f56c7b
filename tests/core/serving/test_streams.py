"""Tests of streams that continue after their upstream failed."""

from __future__ import annotations

import unittest

from magnoliahold.core.evidence import ResultCounts, find_bucket
from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import (
    AbortAnswer,
    CloseAttempt,
    DeliverPieces,
    FinishAnswer,
    OpenAnswer,
    ProbeServingUpstream,
    RefuseCaller,
    SendAttempt,
)
from magnoliahold.core.serving.events import (
    AnswerHead,
    AttemptNotSent,
    ReadingChanged,
    StreamOpened,
    UpstreamAnsweredProbe,
    UpstreamFailedProbe,
)
from magnoliahold.core.serving.loads import UpstreamLoad
from magnoliahold.core.serving.openings import OpeningModel
from magnoliahold.core.serving.requests import PromptPart
from magnoliahold.core.serving.systems.canary_analysis import _count_piece_gaps
from tests.core.serving.harness import (
    ENGINES,
    ServingHarness,
    make_configuration,
    make_route,
    make_upstream,
)


def wait_for_move(harness: ServingHarness) -> float:
    """Returns the seconds until a stream is sent elsewhere, 4.4 or more if it isn't.

    All probes are answered meanwhile.
    """
    waited_s = 0.0
    while waited_s < 4.4 and not harness.pop_effects(SendAttempt):
        harness.advance(0.02)
        waited_s += 0.02
        for probe in harness.pop_effects(ProbeServingUpstream):
            record = probe.upstream
            harness.post(UpstreamAnsweredProbe(record.id, record.born_ms))
    return waited_s


class StreamTests(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = ServingHarness()
        self.harness.start()
        self.caller = self.harness.request(RouteKind.STREAM)
        self.first = self.harness.send()

    def test_copies_go_to_another_data_centre(self) -> None:
        assert self.first.copy_to is not None
        holders = {
            (item.record.address, item.record.port): item.record
            for item in self.harness.world.upstreams.by_id.values()
        }
        holder = holders[self.first.copy_to]
        self.assertNotEqual(holder.data_centre, self.first.upstream.data_centre)
        self.assertEqual(holder.service, self.first.upstream.service)

    def test_whole_stream_is_passed_on(self) -> None:
        self.harness.open(self.first, self.caller)
        self.assertEqual(
            self.harness.pop_effect(OpenAnswer).attempt, self.first.attempt
        )
        self.harness.produce(self.first, 3, count=3)
        self.assertIsNone(self.harness.pop_effect(DeliverPieces).after)
        self.harness.produce(self.first, 4)
        self.assertEqual(self.harness.pop_effect(DeliverPieces).after, 3)
        self.harness.finish(self.first)
        self.harness.pop_effect(FinishAnswer)
        self.assertFalse(self.harness.world.requests.by_handle)

    def test_reset_stream_resumes_from_its_copy(self) -> None:
        self.harness.open(self.first, self.caller)
        self.harness.produce(self.first, 7)
        self.harness.interrupt(self.first)
        second = self.harness.pop_effect(SendAttempt)
        assert second.copy_source is not None
        source = (second.copy_source.address, second.copy_source.port)
        self.assertEqual(source, self.first.copy_to)
        self.assertEqual(second.copy_source.key, self.caller.request_id)
        self.assertEqual(second.resume_after, 7)
        self.assertEqual(second.upstream.address, source[0])
        self.harness.open(second, self.caller)
        self.assertEqual(
            len(self.harness.pop_effects(OpenAnswer)), 1, "the head is sent once"
        )

    def test_first_attempt_is_closed_before_the_second_starts(self) -> None:
        self.harness.open(self.first, self.caller)
        self.harness.produce(self.first, 7)
        self.harness.interrupt(self.first)
        kinds = [type(item) for item in self.harness.emitted]
        self.assertLess(kinds.index(CloseAttempt), kinds.index(SendAttempt))

    def test_pieces_that_were_delivered_are_not_delivered_again(self) -> None:
        self.harness.open(self.first, self.caller)
        self.harness.produce(self.first, 7)
        self.harness.pop_effects(DeliverPieces)
        self.harness.interrupt(self.first)
        second = self.harness.send()
        self.harness.open(second, self.caller)
        self.harness.produce(second, 6)
        self.assertFalse(self.harness.pop_effects(DeliverPieces))
        self.harness.produce(second, 9, count=2)
        self.assertEqual(self.harness.pop_effect(DeliverPieces).after, 7)

    def test_late_pieces_of_an_ended_attempt_are_ignored(self) -> None:
        self.harness.open(self.first, self.caller)
        self.harness.produce(self.first, 7)
        self.harness.interrupt(self.first)
        self.harness.pop_effects(DeliverPieces)
        self.harness.produce(self.first, 8)
        self.harness.finish(self.first)
        self.assertFalse(self.harness.pop_effects(DeliverPieces))
        self.assertFalse(self.harness.pop_effects(FinishAnswer))

    def test_silent_stream_with_a_copy_moves_soon(self) -> None:
        self.harness.open(self.first, self.caller)
        self.harness.produce(self.first, 7)
        self.harness.advance(0.2)
        self.assertFalse(self.harness.pop_effects(SendAttempt))
        self.harness.advance(0.1)
        self.assertIsNotNone(self.harness.pop_effect(SendAttempt).copy_source)

    def test_silence_limit_follows_the_goal_and_the_mean_gap(self) -> None:
        for goal_s, mean_gap_s, limit_s in (
            (0.7, 0.03, 0.252),
            (2.0, 0.03, 0.72),
            (0.7, 0.2, 0.8),
            (0.0, 0.03, 0.25),
        ):
            with self.subTest(goal_s=goal_s, mean_gap_s=mean_gap_s):
                harness = ServingHarness()
                route = make_route(RouteKind.STREAM, ENGINES, gap_goal_s=goal_s)
                harness.start(make_configuration(routes=(route,)))
                caller = harness.request(RouteKind.STREAM)
                attempt = harness.send()
                harness.open(attempt, caller)
                harness.produce(attempt, 1)
                upstream = harness.world.upstreams.by_id[attempt.upstream.id]
                upstream.gap_s = mean_gap_s
                harness.advance(limit_s - 0.04)
                self.assertFalse(harness.pop_effects(SendAttempt))
                harness.advance(0.08)
                harness.pop_effect(SendAttempt)

    def test_pause_of_this_process_does_not_count_as_silence(self) -> None:
        self.harness.open(self.first, self.caller)
        self.harness.produce(self.first, 7)
        self.harness.now += 3.0
        self.harness.post()
        self.harness.advance(0.2)
        self.assertFalse(self.harness.pop_effects(SendAttempt))

    def test_pause_of_reading_does_not_count_as_silence(self) -> None:
        for has_copy in (True, False):
            with self.subTest(has_copy=has_copy):
                harness = ServingHarness()
                harness.start()
                caller = harness.request(RouteKind.STREAM)
                attempt = harness.send()
                harness.open(attempt, caller)
                harness.produce(attempt, 7)
                running = harness.world.requests.attempts[attempt.attempt]
                if not has_copy:
                    running.copy_holder = None
                harness.post(ReadingChanged(attempt.attempt, True))
                harness.advance(5.0)
                self.assertFalse(harness.pop_effects(SendAttempt))
                harness.post(ReadingChanged(attempt.attempt, False))
                harness.advance(0.2)
                self.assertFalse(harness.pop_effects(SendAttempt))
                harness.produce(attempt, 17, count=10)
                self.assertLess(running.upstream.gap_s or 0.0, 0.03)
                self.assertAlmostEqual(running.paused_s, 5.0)
                counts = ResultCounts()
                _count_piece_gaps(counts, running)
                self.assertEqual(counts.gaps, {find_bucket(0.02): 1})
                harness.advance(2.0)
                harness.pop_effect(SendAttempt)

    def test_pauses_of_a_caller_do_not_lengthen_streams(self) -> None:
        harness = self.harness
        harness.open(self.first, self.caller)
        harness.produce(self.first, 1)
        harness.post(ReadingChanged(self.first.attempt, True))
        harness.advance(2.0)
        harness.post(ReadingChanged(self.first.attempt, False))
        harness.produce(self.first, 2)
        harness.finish(self.first)
        durations = harness.world.durations.find(ENGINES, RouteKind.STREAM)
        assert durations is not None
        self.assertLess(durations.mean_s, 1.0)

    def test_stream_without_its_copy_falls_back_to_another_upstream(self) -> None:
        self.harness.open(self.first, self.caller)
        self.harness.produce(self.first, 7)
        self.harness.interrupt(self.first)
        second = self.harness.send()
        self.harness.answer(second, self.caller, 503, not_run=True)
        third = self.harness.pop_effect(SendAttempt)
        self.assertIsNone(third.copy_source)
        self.assertEqual(third.resume_after, 7)
        previous = {self.first.upstream.id, second.upstream.id}
        self.assertNotIn(third.upstream.id, previous)

    def test_attempt_without_a_piece_has_no_copy(self) -> None:
        """Asking for a copy would use up one of the few attempts."""
        self.harness.open(self.first, self.caller)
        self.harness.interrupt(self.first)
        self.assertIsNone(self.harness.pop_effect(SendAttempt).copy_source)

    def test_stream_outlives_many_upstreams_that_restarted(self) -> None:
        """Upstreams of a data centre that restart at once have other ids afterwards."""
        upstreams = tuple(make_upstream(number, ENGINES) for number in range(1, 21))
        for restarted, expected in (
            (5, SendAttempt),
            (9, SendAttempt),
            (10, RefuseCaller),
        ):
            with self.subTest(restarted=restarted):
                harness = ServingHarness()
                harness.start(upstreams=upstreams)
                caller = harness.request(RouteKind.STREAM)
                for _ in range(restarted):
                    rejected = {"not_run": True, "misdirected": True}
                    harness.answer(harness.send(), caller, 421, **rejected)
                self.assertEqual(len(harness.pop_effects(expected)), 1)

    def test_rejected_first_attempt_has_no_copy(self) -> None:
        self.harness.answer(self.first, self.caller, 503, not_run=True)
        self.assertIsNone(self.harness.pop_effect(SendAttempt).copy_source)

    def test_stream_of_another_request_is_never_passed_on(self) -> None:
        head = AnswerHead(200, "request-other", signed=True)
        self.harness.post(StreamOpened(self.first.attempt, head))
        self.harness.produce(self.first, 1)
        self.assertFalse(self.harness.pop_effects(OpenAnswer))
        self.assertFalse(self.harness.pop_effects(DeliverPieces))
        self.assertNotEqual(
            self.harness.pop_effect(SendAttempt).upstream.id, self.first.upstream.id
        )

    def test_stream_without_attempts_left_is_aborted(self) -> None:
        self.harness.open(self.first, self.caller)
        self.harness.produce(self.first, 7)
        attempt = self.first
        for _ in range(4):
            self.harness.interrupt(attempt)
            attempt = self.harness.send()
        self.harness.interrupt(attempt)
        self.harness.pop_effect(AbortAnswer)
        self.assertFalse(self.harness.pop_effects(FinishAnswer))
        self.assertFalse(self.harness.pop_effects(RefuseCaller))

    def test_waiting_stream_moves_when_its_upstream_fails_a_probe(self) -> None:
        self.harness.advance(0.5)
        probe = self.harness.pop_effect(ProbeServingUpstream).upstream
        self.assertEqual(probe.id, self.first.upstream.id)
        self.assertFalse(
            self.harness.pop_effects(SendAttempt), "it may still be reading"
        )
        self.harness.post(UpstreamFailedProbe(probe.id, probe.born_ms, "no answer"))
        self.harness.advance(0.04)
        self.assertNotEqual(self.harness.pop_effect(SendAttempt).upstream.id, probe.id)

    def test_waiting_stream_stays_when_its_upstream_answers_probes(self) -> None:
        for _ in range(5):
            self.harness.advance(0.4)
            for probe in self.harness.pop_effects(ProbeServingUpstream):
                record = probe.upstream
                self.harness.post(UpstreamAnsweredProbe(record.id, record.born_ms))
        self.assertFalse(self.harness.pop_effects(SendAttempt))

    def test_late_stream_moves_only_to_an_upstream_with_less_load(
        self,
    ) -> None:
        for reading, moved in ((0, 1), (3, 0)):
            with self.subTest(reading=reading):
                harness = ServingHarness()
                harness.start()
                harness.request(RouteKind.STREAM)
                first = harness.send().upstream.id
                loads = tuple(
                    UpstreamLoad(upstream.id, reading=reading)
                    for upstream in harness.world.upstreams.by_id.values()
                    if upstream.id != first
                )
                harness.world.other_entries.loads = {
                    load.upstream_id: load for load in loads
                }
                for _ in range(20):
                    harness.advance(0.2)
                    for probe in harness.pop_effects(ProbeServingUpstream):
                        record = probe.upstream
                        answered = UpstreamAnsweredProbe(record.id, record.born_ms)
                        harness.post(answered)
                self.assertEqual(len(harness.pop_effects(SendAttempt)), moved)

    def test_late_stream_moves_while_another_upstream_can_meet_the_goal(
        self,
    ) -> None:
        """The goal for the first piece is 4.5 s after the arrival.

        If that takes 2 s on average, the stream may move between 2.0 and 2.5 s.
        """
        for opening_s, moved_at in (
            (2.0, 2.0),
            (1.0, 3.25),
            (6.0, None),
        ):
            with self.subTest(opening_s=opening_s):
                harness = ServingHarness()
                harness.start()
                harness.world.openings[ENGINES] = OpeningModel(opening_s)
                harness.request(RouteKind.STREAM)
                harness.send()
                waited_s = wait_for_move(harness)
                if moved_at is None:
                    self.assertGreaterEqual(waited_s, 4.4)
                else:
                    self.assertAlmostEqual(waited_s, moved_at, delta=0.07)

    def test_stream_with_a_long_prompt_does_not_move_while_it_is_being_read(
        self,
    ) -> None:
        """Reading takes 0.5 s and 0.25 s for each 1,000 tokens; 1.7 s on average.

        A prompt of 12,000 tokens needs 3.5 s, and could not begin in time elsewhere;
        one of 2,000 needs 1 s, and moves when that is 1.25 times what is left.
        """
        for tokens, moved_at in ((12_000, None), (2_000, 3.25)):
            with self.subTest(tokens=tokens):
                harness = ServingHarness()
                harness.start()
                model = harness.world.openings[ENGINES] = OpeningModel(1.7)
                for size in (200, 9_000, 1_000, 12_000, 400, 8_000, 200, 7_000) * 3:
                    model.add(size, 0.5 + size / 4_000)
                harness.request(RouteKind.STREAM, prompt=(PromptPart("own", tokens),))
                harness.send()
                waited_s = wait_for_move(harness)
                if moved_at is None:
                    self.assertGreaterEqual(waited_s, 4.4)
                else:
                    self.assertAlmostEqual(waited_s, moved_at, delta=0.1)

    def test_unsent_attempt_does_not_count(self) -> None:
        harness = ServingHarness()
        harness.start()
        harness.request(RouteKind.STREAM)
        for _ in range(3):
            attempt = harness.pop_effect(SendAttempt)
            harness.post(AttemptNotSent(attempt.attempt, "refused"))
        (request,) = harness.world.requests.by_handle.values()
        self.assertEqual(request.send_count, 1)
        self.assertFalse(request.may_have_run)

    def test_time_spent_at_a_lost_upstream_counts_towards_the_goal(self) -> None:
        """The stream moves 3.25 s after its arrival, 2 s of them at the lost upstream.

        Counted from the second attempt alone, 3.25 s would end after the goal of 4.5 s,
        and no upstream could meet it.
        """
        harness = ServingHarness()
        harness.start()
        harness.world.openings[ENGINES] = OpeningModel(1.0)
        harness.request(RouteKind.STREAM)
        first = harness.send()
        harness.advance(2.0)
        harness.interrupt(first)
        harness.send()
        moved_after = []
        for step in range(200):
            harness.advance(0.02)
            for probe in harness.pop_effects(ProbeServingUpstream):
                record = probe.upstream
                harness.post(UpstreamAnsweredProbe(record.id, record.born_ms))
            if harness.pop_effects(SendAttempt):
                moved_after.append(2.0 + 0.02 * (step + 1))
        self.assertEqual(len(moved_after), 1)
        self.assertAlmostEqual(moved_after[0], 3.25, delta=0.07)

    def test_failed_connections_use_no_retry_budget(self) -> None:
        """A stream gets past unreachable upstreams with a nearly used-up budget."""
        harness = ServingHarness()
        harness.start(upstreams=tuple(make_upstream(n, ENGINES) for n in range(1, 12)))
        caller = harness.request(RouteKind.STREAM)
        first = harness.send()
        harness.open(first, caller)
        harness.produce(first, 7)
        budget = harness.world.find_budget(ENGINES)
        while budget.count_remaining(harness.now, 1) >= 2:
            budget.try_take_retry(harness.now, 1)
        harness.interrupt(first)
        for _ in range(8):
            attempt = harness.pop_effect(SendAttempt)
            harness.post(AttemptNotSent(attempt.attempt, "refused"))
        self.assertEqual(harness.send().resume_after, 7)

    def test_returning_caller_resumes_after_its_last_piece(self) -> None:
        self.harness.request(RouteKind.STREAM, resume_after=12)
        self.harness.report_no_prompts()
        attempt = self.harness.pop_effect(SendAttempt)
        self.assertEqual(attempt.resume_after, 12)
        self.assertIsNone(attempt.copy_source)


if __name__ == "__main__":
    unittest.main()
