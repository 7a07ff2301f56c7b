"""Tests of requests that crash the upstreams that run them."""

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


class SuspectTests(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = ServingHarness()
        self.harness.start(upstreams=SERVERS)
        self.harness.world.store_offset_s = 0.0

    def ask(self, fingerprint: str = POISON) -> tuple[CallerRequest, SendAttempt]:
        caller = self.harness.request(IDEMPOTENT, fingerprint=fingerprint)
        return caller, self.harness.send()

    def crash(self, sent: SendAttempt, others: tuple[Any, ...] = ()) -> None:
        """Has an upstream crash, and others with it."""
        self.harness.interrupt(sent)
        for record in (sent.upstream, *others):
            failed = UpstreamFailedProbe(record.id, record.born_ms, "refused")
            self.harness.post(failed)
        self.harness.advance(0.6)

    def crash_three(self) -> None:
        _, first = self.ask()
        self.crash(first)
        self.crash(self.harness.send())
        _, third = self.ask()
        self.crash(third)

    def test_third_crash_ends_it_for_all(self) -> None:
        self.crash_three()
        self.harness.pop_effects(RefuseCaller)
        self.harness.pop_effects(SendAttempt)
        self.harness.request(IDEMPOTENT, fingerprint=POISON)
        refused = self.harness.pop_effect(RefuseCaller)
        self.assertEqual((refused.status, refused.not_run), (503, True))
        self.assertEqual(refused.retry_after_s, 10.0)
        self.assertEqual(self.harness.pop_effects(SendAttempt), [])
        self.harness.pop_effect(WriteQuarantine)
        self.ask("fingerprint-2")

    def test_upstreams_that_are_lost_together_convict_nobody(self) -> None:
        _, first = self.ask()
        self.crash(first, tuple(item for item in SERVERS[:3]))
        self.assertEqual(self.harness.world.suspicions.count_crashes(POISON), 0)

    def test_upstream_that_answers_its_probe_has_not_crashed(self) -> None:
        _, first = self.ask()
        self.harness.interrupt(first)
        record = first.upstream
        self.harness.post(UpstreamAnsweredProbe(record.id, record.born_ms))
        self.harness.advance(0.6)
        self.assertEqual(self.harness.world.suspicions.count_crashes(POISON), 0)

    def test_answer_acquits(self) -> None:
        caller, first = self.ask()
        self.crash(first)
        second = self.harness.send()
        self.assertEqual(self.harness.world.suspicions.count_crashes(POISON), 1)
        self.harness.answer(second, caller, 200)
        self.assertEqual(self.harness.world.suspicions.count_crashes(POISON), 0)
        self.tell(crashes=tuple(Crash(POISON, f"u-{n}", 0) for n in range(3)))
        self.ask()

    def tell(self, serial: int = 1, **values: Any) -> None:
        """Has another entry tell something."""
        peer = PeerRecord("entry-2", "entry-2.a", "10.9.0.1", 7000)
        if "entry-2" not in self.harness.world.other_entries.by_name:
            self.harness.read(Feed.PEERS, {"entry-2": peer})
        notice = LoadNotice("entry-2", "entry-2.a", serial, **values)
        self.harness.post(NoticeReceived(notice))

    def test_crashes_that_others_saw_count(self) -> None:
        self.tell(crashes=(Crash(POISON, "u-1", 0), Crash(POISON, "u-2", 0)))
        _, first = self.ask()
        self.crash(first)
        self.harness.pop_effects(RefuseCaller)
        self.harness.request(IDEMPOTENT, fingerprint=POISON)
        self.harness.pop_effect(RefuseCaller)

    def test_own_crashes_and_verdicts_are_told(self) -> None:
        self.tell()
        self.crash_three()
        notice = self.harness.pop_effects(SendNotice)[-1].notice
        self.assertEqual({item.fingerprint for item in notice.crashes}, {POISON})
        self.assertEqual(len(notice.crashes), 3)
        self.assertEqual(notice.quarantined, (POISON,))

    def test_others_verdicts_are_taken_over_and_lifted(self) -> None:
        self.tell(quarantined=(POISON,))
        self.harness.request(IDEMPOTENT, fingerprint=POISON)
        self.harness.pop_effect(RefuseCaller)
        self.tell(serial=2, acquitted=(POISON,))
        self.ask()

    def test_quarantine_in_the_store_holds_for_its_time(self) -> None:
        for age_s, refused in ((100.0, 1), (700.0, 0)):
            with self.subTest(age_s=age_s):
                self.setUp()
                record = QuarantineRecord(POISON, self.harness.now - age_s)
                self.harness.read(Feed.QUARANTINE, {POISON: record})
                self.harness.request(IDEMPOTENT, fingerprint=POISON)
                self.assertEqual(len(self.harness.pop_effects(RefuseCaller)), refused)

    def test_crashes_are_forgotten(self) -> None:
        _, first = self.ask()
        self.crash(first)
        self.harness.advance(121.0, 0.5)
        self.assertFalse(self.harness.world.suspicions.by_fingerprint)
        self.assertFalse(self.harness.world.suspicions.own)


if __name__ == "__main__":
    unittest.main()
