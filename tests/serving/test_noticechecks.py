"""Tests of received notices whose numbers are out of range."""

from __future__ import annotations

import unittest
from math import inf, nan
from typing import Any

from magnoliahold.core.evidence import BUCKET_COUNT
from magnoliahold.core.moves import MoveState
from magnoliahold.core.serving.events import NoticeReceived
from magnoliahold.core.serving.feeds import Feed
from magnoliahold.core.serving.limits import LimitReport
from magnoliahold.core.serving.moves import MoveOrder, MoveRecord
from magnoliahold.core.serving.peers import LoadNotice
from magnoliahold.core.serving.suspicions import (
    Clearance,
    CrashReport,
    QuarantineRecord,
)
from magnoliahold.serving.notices import NoticePort, encode_notice
from magnoliahold.wire.messages import EvidenceCount
from tests.core.serving.harness import ENGINES, ServingHarness

ORDER = MoveOrder(ENGINES, "2", 30.0, 11)
RECORD = MoveRecord(ENGINES, ORDER.id, "2", MoveState.CANARY, 100.0)
HIGH = ((BUCKET_COUNT - 1, 1000),)


def make_count(version: str, answered: int, failed: int, **more: Any) -> EvidenceCount:
    """Makes the result counts of a version on one route."""
    return EvidenceCount(ORDER.id, version, "route", False, answered, failed, **more)


NEW = make_count("2", 300, 1, latencies=((5, 300),))


def make_notice(serial: int = 1, **content: Any) -> LoadNotice:
    """Makes a notice of another entry."""
    return LoadNotice("entry-2", "entry-2.a", serial, **content)


OUT_OF_RANGE: tuple[tuple[str, dict[str, Any]], ...] = (
    ("failures", {"evidence": (make_count("1", 1000, -20), NEW)}),
    ("answers", {"evidence": (make_count("1", -20, 1000), NEW)}),
    *(
        (name, {"evidence": (make_count("1", 9, 0, **{name: ((bucket, 9),)}), NEW)})
        for name in ("latencies", "gaps")
        for bucket in (-1, BUCKET_COUNT, 10**9)
    ),
    ("results", {"evidence": (make_count("1", 9, 0, gaps=((5, -9),)), NEW)}),
    *(
        (f"{name} {time}", {name: (item,)})
        for time in (nan, inf, -inf)
        for name, item in (
            ("crash_reports", CrashReport("u", 1, "r", ("p1",), time)),
            ("crash_reports", CrashReport("u", 1, "r", ("p1",), 1.0, time)),
            ("limits", LimitReport("u", 1, 1.0, time)),
            ("limits", LimitReport("u", 1, time, 1.0)),
            ("clearances", Clearance("p1", time)),
            ("quarantines", QuarantineRecord("p1", time, 45.0)),
            ("quarantines", QuarantineRecord("p1", 100.0, time)),
        )
    ),
)

IN_RANGE: tuple[dict[str, Any], ...] = (
    {"evidence": (make_count("1", 1000, 0, latencies=HIGH, gaps=((0, 0),)), NEW)},
    {"crash_reports": (CrashReport("u", 0, "r", (), -1.5),)},
    {"clearances": (Clearance("p1", 0.0),)},
    {"quarantines": (QuarantineRecord("p1", 100.0, 45.0),)},
)


class NoticeCheckTests(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = ServingHarness()
        self.posted: list[Any] = []
        self.port = NoticePort(self.posted.append)
        self.harness.start()
        self.harness.change(Feed.CONFIGURATION, {"rollout/engines": ORDER}, 13)
        self.harness.read(Feed.MOVES, {ENGINES: RECORD})

    def receive(self, notice: LoadNotice) -> None:
        """Receives a notice as a datagram."""
        self.port.handle_datagram(encode_notice(notice))
        for event in self.posted:
            self.harness.post(event)
        self.harness.advance(6.0)

    def test_notices_out_of_range_are_logged_and_dropped(self) -> None:
        for name, content in OUT_OF_RANGE:
            with self.subTest(name, content=content):
                self.posted.clear()
                with self.assertLogs("magnoliahold.peers"):
                    self.receive(make_notice(**content))
                self.assertEqual(self.posted, [])

    def test_notices_in_range_are_posted(self) -> None:
        for content in IN_RANGE:
            with self.subTest(content=content):
                self.posted.clear()
                notice = make_notice(**content)
                self.receive(notice)
                self.assertEqual(self.posted, [NoticeReceived(notice)])


if __name__ == "__main__":
    unittest.main()
