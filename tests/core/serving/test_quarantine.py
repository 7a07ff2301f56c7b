"""Tests of quarantine for requests that crash the upstreams that run them."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING, Any

from attrs import evolve

from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import (
    CloseAttempt,
    RefuseCaller,
    SendAttempt,
    SendNotice,
    WriteQuarantine,
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
    Clearance,
    CrashReport,
    QuarantineRecord,
    find_suspects,
)
from magnoliahold.core.serving.systems.crashes import (
    add_clearance,
    add_report,
    list_clearances,
    list_crash_reports,
)
from magnoliahold.core.serving.systems.quarantine import quarantine_suspects
from tests.core.serving.harness import (
    CALLS,
    ENGINES,
    ServingHarness,
    make_configuration,
    make_upstream,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

POISON = "fingerprint-1"
DEADLY = "deadly-part"
IDEMPOTENT = RouteKind.IDEMPOTENT
STREAM = RouteKind.STREAM
ENGINE_RECORDS = tuple(make_upstream(number, ENGINES) for number in range(1, 13))
SERVERS = tuple(make_upstream(number, CALLS) for number in range(1, 9))


def make_prompt(*parts: str) -> tuple[PromptPart, ...]:
    """Makes a prompt of shared parts and one of its own."""
    own = PromptPart("-".join(("own", *parts)), 8000)
    return (*(PromptPart(part, 200) for part in parts), own)


def name_part(part: str) -> str:
    """Names the suspect that a part of a prompt is."""
    caller = CallerRequest(1, "r", "POST", "h", "/", None, prompt=make_prompt(part))
    (suspect,) = find_suspects(caller)
    return suspect


SHARED_SUSPECT = name_part("shared")


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

    def test_upstreams_that_are_lost_together_convict_nothing(self) -> None:
        quarantines = self.harness.world.suspicions.quarantines
        for lost, quarantined in ((5, 0), (1, 1)):
            requests = [self.send_request(f"{POISON}-{n}") for n in range(lost)]
            sent = [attempt for _, attempt in requests]
            for item in sent[1:]:
                self.harness.interrupt(item)
            self.crash_upstream(sent[0], tuple(item.upstream for item in sent[1:]))
            for caller, _ in requests:
                self.harness.post(CallerDisconnected(caller.handle))
            self.harness.pop_effects(SendAttempt)
            self.assertEqual(len(quarantines), quarantined)

    def test_upstream_that_answers_its_probe_has_not_crashed(self) -> None:
        _, first = self.send_request()
        self.harness.interrupt(first)
        record = first.upstream
        self.harness.post(UpstreamAnsweredProbe(record.id, record.born_ms))
        self.harness.advance(0.6)
        self.assertEqual(self.harness.world.suspicions.reports, {})

    def test_upstream_that_falls_silent_has_not_crashed(self) -> None:
        # As when a data centre loses power: its connections end at different times.
        for silent, reported in ((True, 0), (False, 1)):
            with self.subTest(silent=silent):
                self.setUp()
                _, first = self.send_request()
                self.harness.interrupt(first)
                record = first.upstream
                failed = UpstreamFailedProbe(
                    record.id, record.born_ms, "no answer", silent
                )
                self.harness.post(failed)
                self.harness.advance(3.2)
                reports = self.harness.world.suspicions.reports
                self.assertEqual(len(reports), reported)

    def test_upstream_that_was_leaving_has_not_crashed(self) -> None:
        _, first = self.send_request()
        leaving = evolve(first.upstream, leaving=True)
        self.harness.change(Feed.UPSTREAMS, {leaving.id: leaving})
        self.crash_upstream(first)
        self.assertEqual(self.harness.world.suspicions.reports, {})

    def test_answer_clears_the_request_of_earlier_crashes(self) -> None:
        caller, first = self.send_request()
        self.crash_upstream(first)
        self.assertEqual(len(self.harness.world.suspicions.reports), 1)
        self.harness.answer(self.harness.send(), caller, 200)
        reports = tuple(self.make_report(number, -1.0 - number) for number in range(3))
        self.post_notice(crash_reports=reports)
        self.harness.advance(0.2)
        self.send_request()

    def test_failure_answer_clears_no_request_of_earlier_crashes(self) -> None:
        # An upstream that fails requests with its health check good may not run them.
        for status, quarantined in ((200, 0), (404, 0), (500, 1), (503, 1)):
            with self.subTest(status=status):
                self.setUp()
                _, first = self.send_request()
                self.crash_upstream(first)
                self.crash_upstream(self.harness.send())
                caller, failed = self.send_request()
                self.harness.answer(failed, caller, status)
                for again in self.harness.pop_effects(SendAttempt):
                    self.harness.post(AttemptSent(again.attempt))
                    self.harness.answer(again, caller, status)
                self.harness.advance(0.6)
                _, third = self.send_request()
                self.crash_upstream(third)
                quarantines = self.harness.world.suspicions.quarantines
                self.assertEqual(len(quarantines), quarantined)

    def make_report(self, number: int, age_s: float) -> CrashReport:
        """Makes another entry's report of a crash; negative ages are in the past."""
        at = self.harness.now + age_s
        return CrashReport(f"u-{number}", 0, f"r-{number}", (POISON,), at)

    def post_notice(self, serial: int = 1, **values: Any) -> None:
        """Posts a notice of another entry."""
        peer = PeerRecord("entry-2", "entry-2.a", "10.9.0.1", 7000)
        if "entry-2" not in self.harness.world.other_entries.by_name:
            self.harness.read(Feed.PEERS, {"entry-2": peer})
        notice = LoadNotice("entry-2", "entry-2.a", serial, **values)
        self.harness.post(NoticeReceived(notice))

    def test_crashes_reported_by_other_entries_count(self) -> None:
        reports = (self.make_report(1, -2.0), self.make_report(2, -1.0))
        self.post_notice(crash_reports=reports)
        _, first = self.send_request()
        self.crash_upstream(first)
        self.harness.pop_effects(RefuseCaller)
        self.harness.request(IDEMPOTENT, fingerprint=POISON)
        self.harness.pop_effect(RefuseCaller)

    def test_own_crashes_and_quarantines_are_reported(self) -> None:
        self.post_notice()
        self.crash_three_upstreams()
        notice = self.harness.pop_effects(SendNotice)[-1].notice
        suspects = {item.suspects for item in notice.crash_reports}
        self.assertEqual(suspects, {(POISON, SHARED_SUSPECT)})
        self.assertEqual(len(notice.crash_reports), 3)
        names = [item.fingerprint for item in notice.quarantines]
        self.assertEqual(names, [f"{POISON}+{SHARED_SUSPECT}"])

    def test_crash_that_settles_late_is_reported_as_long_as_others(self) -> None:
        for settled_after_s in (0.1, 1.5, 2.8):
            with self.subTest(settled_after_s=settled_after_s):
                self.setUp()
                _, sent = self.send_request()
                record = sent.upstream
                self.harness.interrupt(sent)
                self.harness.advance(settled_after_s)
                failed = UpstreamFailedProbe(record.id, record.born_ms, "refused")
                self.harness.post(failed)
                self.harness.advance(0.1)
                self.assertEqual(len(list_crash_reports(self.harness.world)), 1)
                self.harness.advance(2.6)
                self.assertEqual(len(list_crash_reports(self.harness.world)), 1)
                self.harness.advance(0.6)
                self.assertEqual(list_crash_reports(self.harness.world), ())

    def test_suspect_is_cleared_once_upstreams_have_crashed_twice(self) -> None:
        table = (
            ("one crash that is noticed late", 0, (80.0, 82.5), 0),
            ("crashes of an upstream of unknown starts", 0, (80.0, 84.0, 88.0), 1),
            ("one crash of a known start", 1000, (80.0, 84.0, 88.0), 0),
        )
        for name, born_ms, times, cleared in table:
            with self.subTest(name):
                self.setUp()
                world = self.harness.world
                for number, at in enumerate(times):
                    request_id = f"request-{number}"
                    report = CrashReport("u-1", born_ms, request_id, (POISON,), at)
                    add_report(world, report, self.harness.now)
                add_clearance(world, Clearance(POISON, 75.0), self.harness.now)
                self.assertEqual(len(list_clearances(world)), cleared)

    def test_quarantines_of_other_entries_apply_until_cleared(self) -> None:
        record = QuarantineRecord(POISON, self.harness.now)
        self.post_notice(quarantines=(record,))
        self.harness.request(IDEMPOTENT, fingerprint=POISON)
        self.harness.pop_effect(RefuseCaller)
        clearance = Clearance(POISON, self.harness.now + 0.1)
        self.post_notice(serial=2, clearances=(clearance,))
        self.harness.advance(0.3)
        self.send_request()

    def test_quarantine_that_another_entry_found_first_is_written(self) -> None:
        # All entries restarted, and nobody had written it.
        _, first = self.send_request()
        self.crash_upstream(first)
        name = f"{POISON}+{SHARED_SUSPECT}"
        self.post_notice(quarantines=(QuarantineRecord(name, self.harness.now, 45.0),))
        written = self.harness.pop_effect(WriteQuarantine)
        self.assertEqual(written.record.fingerprint, name)

    def test_quarantine_in_the_store_applies_until_it_expires(self) -> None:
        for age_s, refused in ((44.0, 1), (91.0, 0)):
            with self.subTest(age_s=age_s):
                self.setUp()
                record = QuarantineRecord(POISON, self.harness.now - age_s, 45.0)
                self.harness.read(Feed.QUARANTINE, {POISON: record})
                self.harness.request(IDEMPOTENT, fingerprint=POISON)
                self.assertEqual(len(self.harness.pop_effects(RefuseCaller)), refused)

    def test_crashes_expire(self) -> None:
        _, first = self.send_request()
        self.crash_upstream(first)
        self.harness.advance(91.0, 0.5)
        self.assertFalse(self.harness.world.suspicions.reports)
        self.assertFalse(self.harness.world.suspicions.own_reports)


class GivenUpRequestTests(unittest.TestCase):
    """Requests that are given up after a failed probe, their connections unbroken."""

    def setUp(self) -> None:
        self.harness = ServingHarness()
        self.harness.start()

    def give_up_when_probe_fails(self) -> SendAttempt:
        """Lets a probe be reset, so that the request there is sent elsewhere."""
        sent = self.harness.send()
        self.harness.advance(0.5)
        self.fail_probe(sent)
        self.harness.advance(0.3)
        return sent

    def fail_probe(self, sent: SendAttempt) -> None:
        record = sent.upstream
        reason = "connection reset"
        failed = UpstreamFailedProbe(record.id, record.born_ms, reason, silent=False)
        self.harness.post(failed)

    def test_upstream_that_answers_after_a_failed_probe_has_not_crashed(self) -> None:
        self.harness.request(STREAM, fingerprint=POISON)
        for _ in range(3):
            record = self.give_up_when_probe_fails().upstream
            self.harness.post(UpstreamAnsweredProbe(record.id, record.born_ms))
            self.harness.advance(0.4)
        self.assertEqual(self.harness.world.suspicions.reports, {})
        self.assertEqual(self.harness.world.suspicions.quarantines, {})

    def test_upstream_that_fails_another_probe_has_crashed(self) -> None:
        self.harness.request(STREAM, fingerprint=POISON)
        self.fail_probe(self.give_up_when_probe_fails())
        self.harness.advance(0.1)
        self.assertEqual(len(self.harness.world.suspicions.reports), 1)

    def test_upstream_that_is_replaced_after_a_failed_probe_has_crashed(self) -> None:
        self.harness.request(STREAM, fingerprint=POISON)
        record = self.give_up_when_probe_fails().upstream
        restarted = evolve(record, born_ms=record.born_ms + 1)
        self.harness.change(Feed.UPSTREAMS, {record.id: restarted})
        self.harness.advance(0.1)
        self.assertEqual(len(self.harness.world.suspicions.reports), 1)


class CrashingPartTests(unittest.TestCase):
    """Regression tests: one part of a prompt crashed engine after engine."""

    def setUp(self) -> None:
        self.harness = ServingHarness()
        configuration = make_configuration(workspaces=None)
        self.harness.start(configuration, ENGINE_RECORDS)
        self.harness.world.store_offset_s = 0.0
        self.requests = 0

    def request(self, parts: Iterable[str]) -> CallerRequest:
        self.requests += 1
        return self.harness.request(
            STREAM,
            fingerprint=f"fingerprint-{self.requests}",
            prompt=make_prompt(*parts),
        )

    def crash(self, sent: SendAttempt) -> None:
        """Lets the upstream of an attempt crash before its first piece."""
        record = sent.upstream
        self.harness.interrupt(sent)
        self.harness.post(UpstreamFailedProbe(record.id, record.born_ms, "refused"))
        self.harness.advance(0.6)

    def crash_all(self, count: int, parts: Iterable[str]) -> None:
        """Sends different requests with the same parts; each crashes its upstream."""
        for _ in range(count):
            caller = self.request(parts)
            self.crash(self.harness.send())
            self.cancel(caller)

    def cancel(self, caller: CallerRequest) -> None:
        self.harness.post(CallerDisconnected(caller.handle))
        self.harness.pop_effects(SendAttempt)
        self.harness.pop_effects(RefuseCaller)

    def begin(self, parts: Iterable[str]) -> tuple[CallerRequest, SendAttempt]:
        """Lets a request begin, and its upstream live on."""
        caller = self.request(parts)
        sent = self.harness.send()
        self.harness.open(sent, caller)
        for piece in range(1, 30):
            self.harness.produce(sent, piece)
            self.harness.advance(0.02)
        return caller, sent

    def is_refused(self, parts: Iterable[str]) -> bool:
        """Tells whether a new request is refused as not run, without an attempt."""
        self.harness.pop_effects(RefuseCaller)
        caller = self.request(parts)
        refusals = self.harness.pop_effects(RefuseCaller)
        sent = self.harness.pop_effects(SendAttempt)
        self.assertEqual(len(refusals) + len(sent), 1)
        self.cancel(caller)
        return [(item.status, item.not_run) for item in refusals] == [(503, True)]

    def test_part_that_crashed_three_upstreams_is_refused_in_any_request(self) -> None:
        self.crash_all(2, ("subject", DEADLY))
        self.assertFalse(self.is_refused(("subject", DEADLY)))
        self.crash_all(1, ("subject", DEADLY))
        self.assertTrue(self.is_refused(("subject", DEADLY)))

    def test_sound_requests_with_the_other_parts_are_served(self) -> None:
        self.crash_all(3, ("subject", DEADLY))
        for parts in (("subject",), ("subject", "other"), ("other",), ()):
            with self.subTest(parts=parts):
                self.assertFalse(self.is_refused(parts))

    def test_part_is_refused_alone_once_its_companion_has_begun(self) -> None:
        self.crash_all(3, ("subject", DEADLY))
        self.assertFalse(self.is_refused(("other", DEADLY)))
        self.begin(("subject",))
        self.assertTrue(self.is_refused(("other", DEADLY)))

    def test_part_is_refused_alone_once_it_crashed_with_another(self) -> None:
        self.crash_all(3, ("subject", DEADLY))
        self.crash_all(1, ("other", DEADLY))
        self.assertTrue(self.is_refused(("third", DEADLY)))
        self.assertFalse(self.is_refused(("other",)))

    def test_several_parts_are_found_at_once(self) -> None:
        for _ in range(3):
            self.crash_all(1, ("subject", DEADLY))
            self.crash_all(1, ("other", "second"))
        self.assertTrue(self.is_refused(("subject", DEADLY)))
        self.assertTrue(self.is_refused(("other", "second")))
        self.assertFalse(self.is_refused(("subject", "other")))

    def test_request_that_was_beside_it_each_time_is_not_refused(self) -> None:
        for _ in range(3):
            bystander = self.request(("bystander",))
            beside = self.harness.send()
            caller = self.request(("subject", DEADLY))
            sent = self.harness.send()
            self.harness.interrupt(beside)
            record = beside.upstream
            self.harness.post(UpstreamAnsweredProbe(record.id, record.born_ms))
            self.cancel(bystander)
            report = CrashReport(
                sent.upstream.id,
                sent.upstream.born_ms,
                bystander.request_id,
                tuple(sorted(find_suspects(bystander))),
                self.harness.now,
            )
            add_report(self.harness.world, report, self.harness.now)
            self.crash(sent)
            self.cancel(caller)
        self.assertFalse(self.is_refused(("bystander",)))
        self.assertTrue(self.is_refused(("subject", DEADLY)))

    def test_request_that_had_begun_is_no_suspect(self) -> None:
        for _ in range(3):
            _, sent = self.begin(("popular",))
            self.crash(sent)
            self.harness.pop_effects(SendAttempt)
        self.assertEqual(self.harness.world.suspicions.reports, {})

    def test_open_request_is_ended_before_it_begins(self) -> None:
        self.crash_all(2, ("subject", DEADLY))
        running = self.request(("subject", DEADLY))
        sent = self.harness.send()
        report = evolve(
            next(iter(self.harness.world.suspicions.reports.values())),
            upstream_id="u-9",
            at=self.harness.now,
        )
        add_report(self.harness.world, report, self.harness.now)
        self.harness.advance(0.3)
        closed = [item.attempt for item in self.harness.pop_effects(CloseAttempt)]
        self.assertIn(sent.attempt, closed)
        refused = self.harness.pop_effect(RefuseCaller)
        self.assertEqual(refused.handle, running.handle)
        self.assertEqual((refused.status, refused.not_run), (502, False))

    def test_only_one_request_decides_about_a_watched_part(self) -> None:
        self.crash_all(2, ("subject", DEADLY))
        self.request(("subject", DEADLY))
        self.request(("subject", DEADLY))
        self.assertEqual(len(self.harness.pop_effects(SendAttempt)), 1)
        self.request(("other",))
        self.assertEqual(len(self.harness.pop_effects(SendAttempt)), 1)

    def test_popular_part_is_not_held_back_where_engines_crash(self) -> None:
        self.begin(("popular",))
        self.crash_all(2, ("popular",))
        self.request(("popular",))
        self.request(("popular",))
        self.assertEqual(len(self.harness.pop_effects(SendAttempt)), 2)

    def test_part_is_tried_again_by_one_request_after_its_term(self) -> None:
        for deadly, refused in ((True, True), (False, False)):
            with self.subTest(deadly=deadly):
                self.setUp()
                self.crash_all(3, ("subject", DEADLY))
                self.harness.advance(40.0, 0.5)
                self.assertTrue(self.is_refused(("subject", DEADLY)))
                self.harness.advance(6.0, 0.5)
                for record in ENGINE_RECORDS:
                    alive = UpstreamAnsweredProbe(record.id, record.born_ms)
                    self.harness.post(alive)
                self.harness.pop_effects(SendAttempt)
                if deadly:
                    caller = self.request(("subject", DEADLY))
                    sent = self.harness.send()
                    self.assertTrue(self.is_refused(("subject", DEADLY)))
                    self.crash(sent)
                    self.cancel(caller)
                else:
                    self.begin(("subject", DEADLY))
                    self.harness.advance(0.2)
                self.assertEqual(self.is_refused(("subject", DEADLY)), refused)

    def test_tables_are_bounded(self) -> None:
        policy = self.harness.world.serving_policy.suspicion
        table = self.harness.world.suspicions
        for number in range(max(policy.max_reports, policy.max_begun) + 10):
            now = self.harness.now
            suspects = (f"p{number}",)
            report = CrashReport(f"u-{number}", 0, "r", suspects, now)
            add_report(self.harness.world, report, now)
            add_clearance(self.harness.world, Clearance(f"p{number}", now), now)
            quarantine_suspects(self.harness.world, frozenset(suspects), now)
        self.assertEqual(len(table.reports), policy.max_reports)
        self.assertEqual(len(table.begun_at), policy.max_begun)
        self.assertEqual(len(table.quarantines), policy.max_quarantines)


if __name__ == "__main__":
    unittest.main()
