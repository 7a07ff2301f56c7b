"""Tests that each check of the soak detects the fault it is meant to detect."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from twisted.internet.task import Clock

from magnoliahold.soak.guarantees import GuaranteeChecker
from magnoliahold.standins.users.upstreams import Run

if TYPE_CHECKING:
    from collections.abc import Callable

ONCE, REPEAT, STREAM = "/once/r-1", "/repeat/r-1", "/stream/s/9"


class GuaranteeCheckerTests(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = Clock()
        self.reachable = True
        self.checker = GuaranteeChecker(self.clock, lambda _: self.reachable)

    def start_run(self, upstream: str, path: str = ONCE, version: str = "v1") -> Run:
        run = Run("r-1", path, upstream, version, "w-1", self.clock.seconds())
        self.checker.record_run(run)
        return run

    def run_twice(self, path: str) -> None:
        self.checker.record_run_end(self.start_run("u-1", path))
        self.start_run("u-2", path)

    def refuse_after_run(self, path: str) -> None:
        self.start_run("u-1", path)
        self.checker.record_refusal("r-1", path, 503)

    def run_after_refusal(self) -> None:
        self.checker.record_refusal("r-1", ONCE, 503)
        self.start_run("u-1")

    def run_concurrently(self, first_ends: bool, reachable: bool = True) -> None:
        self.reachable = reachable
        first = self.start_run("u-1", STREAM)
        self.start_run("u-2", STREAM)
        if first_ends:
            self.checker.record_run_end(first)
        self.clock.advance(0.6)

    def run_after_revocation(self, seconds: float) -> None:
        self.checker.revoked["w-1"] = 0.0
        self.clock.advance(seconds)
        self.start_run("u-1")

    def run_after_drain(self, seconds: float, late_updates_s: float = 0.0) -> None:
        self.checker.leaving["u-1"] = 0.0
        self.checker.allow_late_updates(late_updates_s)
        self.clock.advance(seconds)
        self.start_run("u-1")

    def expose(self, new: int) -> None:
        for number in range(200):
            version = "v2" if number < new else "v1"
            run = Run(f"r-{number}", REPEAT, "u-1", version, "w-1", 0.0)
            self.checker.record_run(run)
        self.checker.check_exposure("v2", 0.0, 1.0)

    def test_each_guarantee(self) -> None:
        cases: tuple[tuple[str, Callable[[], None], str], ...] = (
            ("a call runs twice", lambda: self.run_twice(ONCE), "at most once"),
            ("a repeatable call runs twice", lambda: self.run_twice(REPEAT), ""),
            ("refused though it ran", lambda: self.refuse_after_run(ONCE), "not run"),
            ("a stream that ran", lambda: self.refuse_after_run(STREAM), ""),
            ("runs after it was refused", self.run_after_refusal, "not run"),
            (
                "two run at once",
                lambda: self.run_concurrently(False),
                "never two at work",
            ),
            ("the first was released", lambda: self.run_concurrently(True), ""),
            (
                "the first is unreachable",
                lambda: self.run_concurrently(False, False),
                "",
            ),
            ("revoked", lambda: self.run_after_revocation(5.1), "credentials"),
            ("just revoked", lambda: self.run_after_revocation(4.9), ""),
            ("drained", lambda: self.run_after_drain(2.6), "drain"),
            ("just drained", lambda: self.run_after_drain(2.4), ""),
            ("late updates allowed", lambda: self.run_after_drain(2.6, 3.0), ""),
            ("exposed", lambda: self.expose(71), "exposure"),
            ("exposed within the limit", lambda: self.expose(70), ""),
        )
        for name, act, expected in cases:
            with self.subTest(name):
                self.setUp()
                act()
                found = [text.split(" ", 1)[1] for text in self.checker.broken]
                if expected:
                    self.assertEqual(len(found), 1, found)
                    self.assertTrue(found[0].startswith(f"{expected}:"), found)
                else:
                    self.assertEqual(found, [])


if __name__ == "__main__":
    unittest.main()
