"""Tests of upstreams that say that they are leaving, or ask to back off."""

from __future__ import annotations

import unittest

from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import (
    ListPrompts,
    ProbeServingUpstream,
    RefuseCaller,
    SendAttempt,
    SendNotice,
)
from magnoliahold.core.serving.events import NoticeReceived, UpstreamSignalled
from magnoliahold.core.serving.feeds import Feed
from magnoliahold.core.serving.peers import LoadNotice, PeerRecord
from magnoliahold.core.serving.upstreams import UpstreamHealth, UpstreamStart
from tests.core.serving.harness import CALLS, ENGINES, ServingHarness, make_upstream

CALL = RouteKind.IDEMPOTENT
STREAM = RouteKind.STREAM
CALL_IDS = tuple(f"calls-{number}" for number in range(1, 5))


class SignalTests(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = ServingHarness()
        self.harness.start()
        self.harness.read(Feed.PEERS, {})

    def signal(self, number: int, service: str = CALLS, **values: object) -> None:
        """Posts what the current start of an upstream says about itself."""
        record = self.harness.world.upstreams.by_id[f"{service}-{number}"].record
        values = {"leaving": False, "backoff_s": None, **values}
        event = UpstreamSignalled(record.id, record.born_ms, **values)  # type: ignore[arg-type]
        self.harness.post(event)

    def choose_many(self) -> set[str]:
        """Returns the upstreams that get 40 calls."""
        chosen = set()
        for _ in range(40):
            self.harness.change(Feed.CONFIGURATION, {})
            caller = self.harness.request(CALL)
            attempt = self.harness.send()
            self.harness.answer(attempt, caller, 200)
            chosen.add(attempt.upstream.id)
        return chosen

    def test_leaving_upstream_gets_nothing_until_its_next_start(self) -> None:
        self.signal(1, leaving=True)
        ready = make_upstream(1, CALLS)
        again = make_upstream(1, CALLS, born_ms=99)
        for name, changes, expected in (
            ("the list still says ready", {}, False),
            ("the registration is written again", {"calls-1": ready}, False),
            ("the registration is removed", {"calls-1": None}, False),
            ("the registration is back", {"calls-1": ready}, False),
            ("it has started anew", {"calls-1": again}, True),
        ):
            with self.subTest(name):
                self.harness.change(Feed.UPSTREAMS, changes)
                self.assertEqual("calls-1" in self.choose_many(), expected)

    def test_registration_that_said_leaving_does_not_become_ready(self) -> None:
        leaving = make_upstream(1, CALLS, leaving=True)
        self.harness.change(Feed.UPSTREAMS, {"calls-1": leaving})
        self.harness.change(Feed.UPSTREAMS, {"calls-1": make_upstream(1, CALLS)})
        self.assertNotIn("calls-1", self.choose_many())

    def test_running_stream_stays_at_an_upstream_that_is_leaving(self) -> None:
        caller = self.harness.request(STREAM)
        attempt = self.harness.send()
        self.harness.open(attempt, caller)
        self.harness.produce(attempt, 1)
        number = int(attempt.upstream.id.split("-")[1])
        self.signal(number, ENGINES, leaving=True)
        self.harness.advance(0.2)
        self.assertFalse(self.harness.pop_effects(SendAttempt))

    def test_other_entries_are_told_and_prefer_other_upstreams(self) -> None:
        peer = PeerRecord("entry-2", "entry-2.a", "10.9.0.2", 7)
        self.harness.change(Feed.PEERS, {peer.name: peer})
        self.signal(1, leaving=True)
        self.harness.advance(0.1)
        start = UpstreamStart("calls-1", 1001)
        notices = self.harness.pop_effects(SendNotice)
        self.assertEqual(notices[-1].notice.leaving, (start,))

        other = ServingHarness(name="entry-2")
        other.start()
        sender = PeerRecord("entry-1", "entry-1.a", "10.9.0.1", 7)
        other.read(Feed.PEERS, {sender.name: sender})
        for reported in (CALL_IDS[:1], CALL_IDS):
            with self.subTest(reported=reported):
                starts = tuple(
                    other.world.upstreams.by_id[name].start for name in reported
                )
                notice = LoadNotice("entry-1", "entry-1.a", 1, leaving=starts)
                other.post(NoticeReceived(notice))
                self.harness = other
                expected = set(CALL_IDS) - set(reported) or set(CALL_IDS)
                self.assertEqual(self.choose_many(), expected)

    def test_backoff_lasts_for_the_longest_time_asked(self) -> None:
        self.signal(1, backoff_s=1.5)
        self.signal(1, backoff_s=0.2)
        self.harness.advance(1.4)
        self.assertNotIn("calls-1", self.choose_many())
        self.harness.advance(0.14)
        self.assertIn("calls-1", self.choose_many())

    def test_upstream_that_backs_off_is_neither_probed_nor_asked_for_lists(
        self,
    ) -> None:
        upstream = self.harness.world.upstreams.by_id["engines-1"]
        self.signal(1, ENGINES, backoff_s=3.0)
        upstream.health = UpstreamHealth.DOWN
        self.harness.advance(2.8)
        self.harness.request(STREAM, resume_after=3)
        asked = [
            item.upstream.id
            for kind in (ProbeServingUpstream, ListPrompts)
            for item in self.harness.pop_effects(kind)
        ]
        self.assertNotIn("engines-1", asked)
        self.harness.advance(0.6)
        probed = self.harness.pop_effects(ProbeServingUpstream)
        self.assertIn("engines-1", [item.upstream.id for item in probed])

    def test_callers_are_refused_at_once_while_all_upstreams_back_off(self) -> None:
        for number in range(1, 5):
            self.signal(number, backoff_s=1.0 + number)
        returns = []
        for _ in range(20):
            self.harness.request(CALL)
            refusal = self.harness.pop_effect(RefuseCaller)
            self.assertEqual((refusal.status, refusal.not_run), (503, True))
            returns.append(refusal.retry_after_s or 0.0)
        self.assertGreaterEqual(min(returns), 2.0)
        self.assertLessEqual(max(returns), 3.0)
        self.assertGreater(max(returns) - min(returns), 0.3, "they return together")
        self.harness.advance(2.02)
        self.assertEqual(self.choose_many(), {"calls-1"})

    def test_caller_waits_for_a_backoff_that_ends_soon(self) -> None:
        for number in range(1, 5):
            self.signal(number, backoff_s=0.02)
        self.harness.request(CALL)
        self.assertFalse(self.harness.pop_effects(RefuseCaller))
        self.harness.advance(0.04)
        self.assertTrue(self.harness.pop_effects(SendAttempt))

    def test_upstream_that_was_unlisted_meanwhile_still_backs_off(self) -> None:
        self.signal(1, backoff_s=3.0)
        record = make_upstream(1, CALLS)
        self.harness.change(Feed.UPSTREAMS, {"calls-1": None})
        self.harness.change(Feed.UPSTREAMS, {"calls-1": record})
        self.assertNotIn("calls-1", self.choose_many())
        again = make_upstream(1, CALLS, born_ms=99)
        self.harness.change(Feed.UPSTREAMS, {"calls-1": again})
        self.assertIn("calls-1", self.choose_many())

    def test_stream_waits_for_its_copy_while_the_holder_backs_off(self) -> None:
        caller = self.harness.request(STREAM)
        attempt = self.harness.send()
        self.harness.open(attempt, caller)
        self.harness.produce(attempt, 1)
        holder = next(iter(self.harness.world.requests.attempts.values())).copy_holder
        assert holder is not None
        self.signal(int(holder.id.split("-")[1]), ENGINES, backoff_s=0.3)
        self.harness.interrupt(attempt)
        self.assertFalse(self.harness.pop_effects(SendAttempt))
        self.harness.advance(0.32)
        resumed = self.harness.pop_effect(SendAttempt)
        self.assertEqual(resumed.upstream.id, holder.id)
        self.assertIsNotNone(resumed.copy_source)

    def test_signals_are_forgotten_long_after_the_upstream_is_gone(self) -> None:
        self.signal(1, leaving=True)
        self.harness.change(Feed.UPSTREAMS, {"calls-1": None})
        table = self.harness.world.upstreams.signals
        start = UpstreamStart("calls-1", 1001)
        self.harness.advance(590, step_s=10)
        self.assertIn(start, table)
        self.harness.advance(20, step_s=10)
        self.assertNotIn(start, table)


if __name__ == "__main__":
    unittest.main()
