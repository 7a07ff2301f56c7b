"""Tests of quarantine for requests that crash the upstreams that run them."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING, Any

from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import (
    RefuseCaller,
    SendAttempt,
    SendNotice,
    WriteQuarantine,
)
from magnoliahold.core.serving.events import (
    NoticeReceived,
    UpstreamAnsweredProbe,
    UpstreamFailedProbe,
)
from magnoliahold.core.serving.feeds import Feed
from magnoliahold.core.serving.peers import LoadNotice, PeerRecord
from magnoliahold.core.serving.suspicions import Crash, QuarantineRecord
from tests.core.serving.harness import CALLS, ServingHarness, make_upstream

if TYPE_CHECKING:
    from magnoliahold.core.serving.requests import CallerRequest

POISON = "fingerprint-1"
IDEMPOTENT = RouteKind.IDEMPOTENT
SERVERS = tuple(make_upstream(number, CALLS) for number in range(1, 9))


class QuarantineTests(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = ServingHarness()
        self.harness.start(upstreams=SERVERS)
        self.harness.world.store_offset_s = 0.0

    def send_request(
        self, fingerprint: str = POISON
    ) -> tuple[CallerRequest, SendAttempt]:
        caller = self.harness.request(IDEMPOTENT, fingerprint=fingerprint)
        return caller, self.harness.send()

    def crash_upstream(self, sent: SendAttempt, others: tuple[Any, ...] = ()) -> None:
        """Lets an upstream crash, and others with it."""
        self.harness.interrupt(sent)
        for record in (sent.upstream, *others):
            failed = UpstreamFailedProbe(record.id, record.born_ms, "refused")
            self.harness.post(failed)
        self.harness.advance(0.6)

    def crash_three_upstreams(self) -> None:
        _, first = self.send_request()
        self.crash_upstream(first)
        self.crash_upstream(self.harness.send())
        _, third = self.send_request()
        self.crash_upstream(third)

    def test_third_crash_quarantines_the_request(self) -> None:
        self.crash_three_upstreams()
        self.harness.pop_effects(RefuseCaller)
        self.harness.pop_effects(SendAttempt)
        self.harness.request(IDEMPOTENT, fingerprint=POISON)
        refused = self.harness.pop_effect(RefuseCaller)
        self.assertEqual((refused.status, refused.not_run), (503, True))
        self.assertEqual(refused.retry_after_s, 10.0)
        self.assertEqual(self.harness.pop_effects(SendAttempt), [])
        self.harness.pop_effect(WriteQuarantine)
        self.send_request("fingerprint-2")

    def test_upstreams_that_are_lost_together_are_no_crashes(self) -> None:
        _, first = self.send_request()
        self.crash_upstream(first, tuple(item for item in SERVERS[:3]))
        self.assertEqual(self.harness.world.suspicions.count_crashes(POISON), 0)

    def test_upstream_that_answers_its_probe_has_not_crashed(self) -> None:
        _, first = self.send_request()
        self.harness.interrupt(first)
        record = first.upstream
        self.harness.post(UpstreamAnsweredProbe(record.id, record.born_ms))
        self.harness.advance(0.6)
        self.assertEqual(self.harness.world.suspicions.count_crashes(POISON), 0)

    def test_answer_clears_the_request(self) -> None:
        caller, first = self.send_request()
        self.crash_upstream(first)
        second = self.harness.send()
        self.assertEqual(self.harness.world.suspicions.count_crashes(POISON), 1)
        self.harness.answer(second, caller, 200)
        self.assertEqual(self.harness.world.suspicions.count_crashes(POISON), 0)
        self.post_notice(crashes=tuple(Crash(POISON, f"u-{n}", 0) for n in range(3)))
        self.send_request()

    def post_notice(self, serial: int = 1, **values: Any) -> None:
        """Posts a notice of another entry."""
        peer = PeerRecord("entry-2", "entry-2.a", "10.9.0.1", 7000)
        if "entry-2" not in self.harness.world.other_entries.by_name:
            self.harness.read(Feed.PEERS, {"entry-2": peer})
        notice = LoadNotice("entry-2", "entry-2.a", serial, **values)
        self.harness.post(NoticeReceived(notice))

    def test_crashes_reported_by_other_entries_count(self) -> None:
        self.post_notice(crashes=(Crash(POISON, "u-1", 0), Crash(POISON, "u-2", 0)))
        _, first = self.send_request()
        self.crash_upstream(first)
        self.harness.pop_effects(RefuseCaller)
        self.harness.request(IDEMPOTENT, fingerprint=POISON)
        self.harness.pop_effect(RefuseCaller)

    def test_own_crashes_and_quarantines_are_reported(self) -> None:
        self.post_notice()
        self.crash_three_upstreams()
        notice = self.harness.pop_effects(SendNotice)[-1].notice
        self.assertEqual({item.fingerprint for item in notice.crashes}, {POISON})
        self.assertEqual(len(notice.crashes), 3)
        self.assertEqual(notice.quarantined, (POISON,))

    def test_quarantines_of_other_entries_apply_until_cleared(self) -> None:
        self.post_notice(quarantined=(POISON,))
        self.harness.request(IDEMPOTENT, fingerprint=POISON)
        self.harness.pop_effect(RefuseCaller)
        self.post_notice(serial=2, acquitted=(POISON,))
        self.send_request()

    def test_quarantine_in_the_store_applies_until_it_expires(self) -> None:
        for age_s, refused in ((100.0, 1), (700.0, 0)):
            with self.subTest(age_s=age_s):
                self.setUp()
                record = QuarantineRecord(POISON, self.harness.now - age_s)
                self.harness.read(Feed.QUARANTINE, {POISON: record})
                self.harness.request(IDEMPOTENT, fingerprint=POISON)
                self.assertEqual(len(self.harness.pop_effects(RefuseCaller)), refused)

    def test_crashes_expire(self) -> None:
        _, first = self.send_request()
        self.crash_upstream(first)
        self.harness.advance(121.0, 0.5)
        self.assertFalse(self.harness.world.suspicions.by_fingerprint)
        self.assertFalse(self.harness.world.suspicions.observed_crashes)


if __name__ == "__main__":
    unittest.main()
