"""Tests of which suspects explain crashes of upstreams."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from attrs import frozen

from magnoliahold.core.serving.convictions import find_convictions, gather_crashes
from magnoliahold.core.serving.policy import SuspicionPolicy
from magnoliahold.core.serving.suspicions import CrashReport

POLICY = SuspicionPolicy()

if TYPE_CHECKING:
    from collections.abc import Sequence


@frozen
class Case:
    """Crashes as (second, upstream, suspects), and what is to blame for them.

    `begun` holds when requests with a suspect began.
    """

    name: str
    crashes: tuple[tuple[float, str, Sequence[str]], ...]
    convicted: tuple[Sequence[str], ...]
    begun: tuple[tuple[str, float], ...] = ()


CASES = (
    Case("too few", ((1.0, "u1", "ab"), (2.0, "u2", "ab")), ()),
    Case(
        "always together",
        ((1.0, "u1", "ab"), (2.0, "u2", "ab"), (3.0, "u3", "ab")),
        ("ab",),
    ),
    Case(
        "apart once",
        ((1.0, "u1", "ab"), (2.0, "u2", "ab"), (3.0, "u3", "cb")),
        ("b",),
    ),
    Case(
        "one begun since",
        ((1.0, "u1", "ab"), (2.0, "u2", "ab"), (3.0, "u3", "ab")),
        ("b",),
        (("a", 2.5),),
    ),
    Case(
        "all begun since",
        ((1.0, "u1", "ab"), (2.0, "u2", "ab"), (3.0, "u3", "ab")),
        (),
        (("a", 2.5), ("b", 2.5)),
    ),
    Case(
        "same moment",
        ((1.0, "u1", "ab"), (1.2, "u2", "ab"), (1.4, "u3", "ab")),
        (),
    ),
    # Waiting for a third moment cost two more upstreams.
    Case(
        "two moments",
        ((12.07, "u1", "ab"), (12.09, "u2", "cb"), (13.13, "u3", "ab")),
        ("b",),
    ),
    Case(
        "two groups",
        tuple((at, f"u{at}", "ab" if at % 2 else "cd") for at in range(1, 7)),
        ("cd", "ab"),
    ),
    Case(
        "beside it each time",
        tuple(
            (float(at), f"u{at}", suspects)
            for at in (1, 2, 3)
            for suspects in ("x", "ab")
        ),
        ("ab",),
    ),
    Case(
        "same start again",
        ((1.0, "u1", "ab"), (9.0, "u1", "ab"), (20.0, "u1", "ab")),
        ("ab",),
    ),
    # A part that has begun before is there by chance once more.
    Case(
        "begun before, and in one crash more",
        (
            (2.0, "u1", ("pm",)),
            (3.0, "u2", ("f", "pd", "pm")),
            (4.0, "u3", ("f", "pd", "pm")),
            (5.0, "u4", ("f", "pd", "pm")),
        ),
        (("f", "pd", "pm"),),
        (("pm", 1.0),),
    ),
    Case(
        "three crashes of a part that has begun before",
        tuple((float(at), f"u{at}", ("pm",)) for at in range(2, 5)),
        (),
        (("pm", 1.0),),
    ),
    Case(
        "five crashes of a part that has begun before",
        tuple((float(at), f"u{at}", ("pm", f"f{at}")) for at in range(2, 7)),
        (("pm",),),
        (("pm", 1.0),),
    ),
    Case(
        "three crashes of a call that has begun before",
        tuple((float(at), f"u{at}", ("f",)) for at in range(2, 5)),
        (("f",),),
        (("f", 1.0),),
    ),
    # Each new request ended three upstreams.
    Case(
        "fingerprints of requests with a part that has begun before",
        tuple((at / 2.0, f"u{at}", ("pm", f"f{at // 3}")) for at in range(6, 12)),
        (("pm",),),
        (("pm", 1.0),),
    ),
    Case(
        "beside a part that has begun before, which explains more",
        (
            (2.0, "u1", ("pd", "f1")),
            *((float(at), f"u{at}", ("pd", f"f{at}")) for at in range(3, 6)),
            *((float(at), f"u{at}", ("ps", f"g{at}")) for at in range(3, 6)),
            (6.0, "u6", ("pd", "f6")),
        ),
        (("pd",),),
        (("pd", 1.0),),
    ),
    # Popular parts are in all requests, also where another one is to blame.
    Case(
        "in the requests of a part that has begun before, which explains more",
        (
            (2.0, "u2", ("pm", "f2")),
            *((float(at), f"u{at}", ("pd", "pm", f"f{at}")) for at in range(3, 6)),
            *((float(at), f"u{at}", ("pm", f"g{at}")) for at in range(3, 6)),
            (6.0, "u6", ("pm", "f6")),
        ),
        (("pd", "pm"),),
        (("pm", 1.0),),
    ),
    # A request that is sent again is not to blame where another one crashed too.
    Case(
        "another request within a moment",
        (
            (12.07, "u1", "fab"),
            (13.16, "u2", "fab"),
            (13.16, "u3", "gab"),
            (14.29, "u4", "fab"),
        ),
        ("ab",),
    ),
)


class ConvictionTests(unittest.TestCase):
    def test_groups_that_explain_the_crashes_are_found(self) -> None:
        for case in CASES:
            with self.subTest(case.name):
                reports = [
                    CrashReport(upstream, 0, str(suspects), tuple(suspects), at)
                    for at, upstream, suspects in case.crashes
                ]
                begun_at = dict(case.begun)
                crashes = gather_crashes(reports, begun_at, POLICY)
                found = find_convictions(crashes, begun_at, POLICY)
                expected = [frozenset(group) for group in case.convicted]
                self.assertEqual(found, expected)

    def test_call_that_crashes_upstreams_within_a_moment_is_convicted(self) -> None:
        # Seconds of the crash, and how long before it the request was sent.
        table = (
            ("one after the other", ((1.0, 0.04), (1.1, 0.04), (1.2, 0.04)), True),
            ("two at once, then one", ((1.0, 0.04), (1.02, 0.04), (1.1, 0.04)), True),
            ("all at once", ((1.0, 0.04), (1.01, 0.04), (1.02, 0.04)), False),
            ("sent before the first", ((1.0, 0.04), (1.2, 0.3), (1.4, 0.5)), False),
            ("not told when sent", ((1.0, None), (1.1, None), (1.2, None)), False),
            ("only two", ((1.0, 0.04), (1.1, 0.04)), False),
        )
        for name, crashes, convicted in table:
            with self.subTest(name):
                reports = [
                    CrashReport(
                        f"u{at}", 0, "r", ("f",), at, None if age is None else at - age
                    )
                    for at, age in crashes
                ]
                evidence = gather_crashes(reports, {}, POLICY)
                found = find_convictions(evidence, {}, POLICY)
                self.assertEqual(found, [frozenset("f")] if convicted else [])


if __name__ == "__main__":
    unittest.main()
