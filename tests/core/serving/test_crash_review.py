"""Cases of crashing requests that a review of their quarantine has found."""

from __future__ import annotations

import time
import unittest
from typing import TYPE_CHECKING, Any

from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.convictions import CrashEvidence, find_convictions
from magnoliahold.core.serving.effects import (
    RefuseCaller,
    SendAttempt,
    SendNotice,
)
from magnoliahold.core.serving.events import (
    AttemptSent,
    CallerDisconnected,
    NoticeReceived,
    UpstreamAnsweredProbe,
    UpstreamFailedProbe,
)
from magnoliahold.core.serving.feeds import Feed
from magnoliahold.core.serving.peers import LoadNotice, PeerRecord
from magnoliahold.core.serving.requests import CallerRequest, PromptPart
from magnoliahold.core.serving.suspicions import (
    CrashReport,
    QuarantineRecord,
    find_suspects,
    name_suspects,
)
from magnoliahold.core.serving.systems.crashes import add_report
from tests.core.serving.crashing_day import Day, DeadlyPart, Span
from tests.core.serving.crashing_parts import CrashingFleet
from tests.core.serving.crashing_scores import score
from tests.core.serving.harness import (
    ENGINES,
    ServingHarness,
    make_configuration,
    make_upstream,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

DEADLY = "deadly-part"
STREAM = RouteKind.STREAM
ENGINE_RECORDS = tuple(
    make_upstream(number, ENGINES, data_centre=f"data-centre-{number}", born_ms=0)
    for number in range(1, 25)
)


def name_part(part: str) -> str:
    """Names the suspect that a part of a prompt is."""
    prompt = (PromptPart(part, 1), PromptPart("own", 1))
    caller = CallerRequest(1, "r", "POST", "h", "/", None, prompt=prompt)
    (suspect,) = find_suspects(caller)
    return suspect


class CrashReviewTests(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = ServingHarness()
        self.harness.start(make_configuration(workspaces=None), ENGINE_RECORDS)
        self.harness.world.store_offset_s = 0.0

    def make_prompt(self, parts: Iterable[str]) -> tuple[PromptPart, ...]:
        """Makes a prompt of parts and one of its own."""
        own = f"own-{self.harness.next_handle}"
        return tuple(PromptPart(part, 200) for part in (*parts, own))

    def request(self, parts: Iterable[str]) -> CallerRequest:
        prompt = self.make_prompt(parts)
        fingerprint = f"f-{prompt[-1].id}"
        return self.harness.request(STREAM, fingerprint=fingerprint, prompt=prompt)

    def crash(self, sent: SendAttempt) -> None:
        record = sent.upstream
        self.harness.interrupt(sent)
        self.harness.post(UpstreamFailedProbe(record.id, record.born_ms, "refused"))
        self.harness.advance(0.6)

    def cancel(self, caller: CallerRequest) -> None:
        self.harness.post(CallerDisconnected(caller.handle))
        self.harness.pop_effects(SendAttempt)
        self.harness.pop_effects(RefuseCaller)

    def crash_all(self, count: int, parts: Iterable[str]) -> None:
        for _ in range(count):
            caller = self.request(parts)
            self.crash(self.harness.send())
            self.cancel(caller)

    def begin(self, parts: Iterable[str]) -> None:
        caller = self.request(parts)
        sent = self.harness.send()
        self.harness.open(sent, caller)
        for piece in range(1, 30):
            self.harness.produce(sent, piece)
            self.harness.advance(0.02)

    def revive(self) -> None:
        for record in ENGINE_RECORDS:
            self.harness.post(UpstreamAnsweredProbe(record.id, record.born_ms))
        self.harness.pop_effects(SendAttempt)

    def is_refused(self, parts: Iterable[str]) -> bool:
        self.harness.pop_effects(RefuseCaller)
        self.harness.pop_effects(SendAttempt)
        caller = self.request(parts)
        refusals = self.harness.pop_effects(RefuseCaller)
        sent = self.harness.pop_effects(SendAttempt)
        self.assertEqual(len(refusals) + len(sent), 1)
        self.cancel(caller)
        return bool(refusals)

    def notice(self, serial: int, **values: Any) -> None:
        peer = PeerRecord("entry-2", "entry-2.a", "10.9.0.1", 7000)
        if "entry-2" not in self.harness.world.other_entries.by_name:
            self.harness.read(Feed.PEERS, {"entry-2": peer})
        notice = LoadNotice("entry-2", "entry-2.a", serial, **values)
        self.harness.post(NoticeReceived(notice))

    def test_trial_that_crashes_is_not_sent_to_the_next_engine(self) -> None:
        self.crash_all(3, ("subject", DEADLY))
        self.harness.advance(46.0, 0.5)
        self.revive()
        self.request(("subject", DEADLY))
        sent = self.harness.send()
        self.harness.advance(1.0)
        self.harness.interrupt(sent)
        record = sent.upstream
        self.harness.advance(0.02)
        self.harness.post(UpstreamFailedProbe(record.id, record.born_ms, "refused"))
        self.harness.advance(0.6)
        self.assertEqual(self.harness.pop_effects(SendAttempt), [])

    def test_trials_of_a_part_that_stays_deadly_reach_few_engines(self) -> None:
        requested = Span(4.0, 415.0)
        for entries, seed in ((1, 1), (4, 2)):
            with self.subTest(entries=entries, seed=seed):
                part = DeadlyPart(DEADLY, 0.8, requested=requested)
                day = Day(deadly=(part,), length_s=420.0, entries=entries)
                late = score(CrashingFleet(day, seed).run()).late
                self.assertLessEqual(late[DEADLY], 3)

    def test_watched_request_is_not_sent_on_before_its_crash_is_settled(self) -> None:
        self.crash_all(2, ("subject", DEADLY))
        self.request(("subject", DEADLY))
        sent = self.harness.send()
        self.harness.advance(1.0)
        self.harness.interrupt(sent)
        record = sent.upstream
        self.harness.advance(0.02)
        self.harness.post(UpstreamFailedProbe(record.id, record.born_ms, "refused"))
        self.harness.advance(0.6)
        self.assertEqual(self.harness.pop_effects(SendAttempt), [])

    def test_failure_of_an_engine_clears_no_part(self) -> None:
        for status in (500, 400):
            with self.subTest(status=status):
                self.setUp()
                for _ in range(3):
                    self.crash_all(1, ("subject", DEADLY))
                    caller = self.request(("subject", DEADLY))
                    for sent in self.harness.pop_effects(SendAttempt):
                        self.harness.post(AttemptSent(sent.attempt))
                        self.harness.advance(0.1)
                        self.harness.world.requests.by_handle[
                            caller.handle
                        ].send_count = 5
                        self.harness.answer(sent, caller, status)
                    self.cancel(caller)
                self.harness.advance(0.3)
                self.assertTrue(self.is_refused(("subject", DEADLY)))

    def test_engine_that_crashes_right_after_its_first_piece(self) -> None:
        for _ in range(3):
            caller = self.request(("subject", DEADLY))
            sent = self.harness.send()
            self.harness.open(sent, caller)
            self.harness.produce(sent, 1)
            self.harness.advance(0.02)
            self.crash(sent)
            self.cancel(caller)
        self.assertTrue(self.is_refused(("subject", DEADLY)))

    def test_clearance_after_a_renewed_term_is_told(self) -> None:
        self.notice(1)
        self.crash_all(3, ("subject", DEADLY))
        self.harness.advance(52.0, 0.5)
        self.revive()
        caller = self.request(("subject", DEADLY))
        self.crash(self.harness.send())
        self.cancel(caller)
        self.assertTrue(self.is_refused(("subject", DEADLY)))
        self.harness.advance(100.0, 0.5)
        self.revive()
        self.harness.pop_effects(SendNotice)
        self.begin(("subject", DEADLY))
        self.harness.advance(1.0)
        notices = [item.notice for item in self.harness.pop_effects(SendNotice)]
        told = {item.suspect for notice in notices for item in notice.clearances}
        self.assertIn(name_part(DEADLY), told)

    def test_quarantine_with_a_cleared_companion_applies_to_the_rest(self) -> None:
        at = self.harness.now
        self.harness.advance(1.0)
        self.begin(("popular",))
        group = frozenset((name_part("popular"), name_part(DEADLY)))
        record = QuarantineRecord(name_suspects(group), at, 45.0)
        self.notice(1, quarantines=(record,))
        self.assertTrue(self.is_refused(("popular", DEADLY)))

    def test_crash_of_an_engine_that_backs_off_counts(self) -> None:
        for _ in range(3):
            caller = self.request(("subject", DEADLY))
            sent = self.harness.send()
            upstream = self.harness.world.upstreams.by_id[sent.upstream.id]
            upstream.signals.backoff_until = self.harness.now + 8.0
            self.harness.interrupt(sent)
            for _ in range(40):
                self.harness.advance(0.1, 0.1)
                if upstream.probe_sent_at is not None:
                    record = sent.upstream
                    failed = UpstreamFailedProbe(record.id, record.born_ms, "refused")
                    self.harness.post(failed)
            self.cancel(caller)
        self.assertTrue(self.is_refused(("subject", DEADLY)))

    def test_session_beside_a_part_that_turns_deadly_is_not_blamed(self) -> None:
        deadly, session = name_part(DEADLY), name_part("session")
        crashes = []
        for number in range(6):
            requests = [frozenset((deadly, f"f-{number}"))]
            if number % 2:
                requests.append(frozenset((session, f"g-{number}")))
            crashes.append(CrashEvidence(200.0 + number, requests))
        policy = self.harness.world.serving_policy.suspicion
        found = find_convictions(crashes, {deadly: 100.0}, policy)
        self.assertEqual(found, [frozenset((deadly,))])

    def crash_beside(self, parts: Iterable[str], beside: Iterable[str]) -> None:
        """Lets a request crash its upstream while another entry's is beside it."""
        caller = self.request(parts)
        sent = self.harness.send()
        self.report(sent.upstream.id, sent.upstream.born_ms, beside)
        self.crash(sent)
        self.cancel(caller)

    def report(self, upstream_id: str, born_ms: int, parts: Iterable[str]) -> None:
        """Adds another entry's report of a crash under a request with some parts."""
        prompt = self.make_prompt(parts)
        caller = CallerRequest(1, "r", "POST", "h", "/", None, prompt=prompt)
        suspects = tuple(sorted(find_suspects(caller)))
        now = self.harness.now
        report = CrashReport(upstream_id, born_ms, "-".join(parts), suspects, now)
        add_report(self.harness.world, report, now)

    def test_part_that_turns_deadly_is_refused_after_five_crashes(self) -> None:
        self.begin((DEADLY,))
        self.crash_all(1, (DEADLY,))
        for _ in range(3):
            self.crash_beside((DEADLY,), ("session",))
        self.crash_all(1, (DEADLY,))
        self.assertTrue(self.is_refused((DEADLY,)))
        self.assertFalse(self.is_refused(("session",)))

    def test_part_stays_quarantined_that_shares_a_crash_with_another(self) -> None:
        self.report("u-0", 0, ("second",))
        for number in range(3):
            self.report(f"u-{number}", 0, (DEADLY,))
            self.harness.advance(0.6)
        self.assertTrue(self.is_refused((DEADLY,)))
        for number in range(3, 7):
            self.report(f"u-{number}", 0, ("second",))
            self.harness.advance(0.6)
        self.assertTrue(self.is_refused(("second",)))
        self.assertTrue(self.is_refused((DEADLY,)))

    def test_evaluation_of_full_tables_blocks_no_entry(self) -> None:
        now = self.harness.now
        for number in range(256):
            parts = [name_part(f"{number // 4}-{place}") for place in range(30)]
            report = CrashReport(
                f"u-{number}", 0, f"r-{number}", tuple(sorted(parts)), now - number / 3
            )
            add_report(self.harness.world, report, now)
        started = time.perf_counter()
        self.harness.advance(0.2)
        self.assertLess(time.perf_counter() - started, 1.0)


if __name__ == "__main__":
    unittest.main()
