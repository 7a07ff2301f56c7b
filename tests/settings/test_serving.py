"""Tests of the settings of serving entries and of their deployment template."""

from __future__ import annotations

import re
import unittest
from pathlib import Path
from typing import Any

from magnoliahold.serving.daemon import TICK_S
from magnoliahold.settings.documents import parse_document
from magnoliahold.settings.loading import parse_serving_settings
from magnoliahold.settings.serving import make_serving_policy

ROOT = Path(__file__).resolve().parents[2]
TEMPLATE = ROOT / "deploy" / "entry.yaml.template"
FIELDS = {
    "node": "edge-1",
    "zone": "data-centre-1",
    "ip": "10.1.0.40",
    "listen.front": "10.1.0.40:8227",
    "listen.ready": "10.1.0.40:8220",
    "port_range.0": "7340",
    "provider.address": "10.200.1.7:8223",
    "bounds.revoke_ms": "5000",
    "bounds.grace_s": "8",
    "bounds.exposure_share": "0.1",
    "bounds.exposure_extra": "50",
    "bounds.budget_ratio": "0.8",
    "bounds.budget_extra": "150",
    "bounds.budget_window_s": "10",
    "bounds.drain_ms": "2000",
    "limits.link_mbps": "10.0",
}
# Time from the last log line of a process to its exit, on a small core.
EXIT_TIME_S = 0.5
# Requests may be cut in this last share of the grace.
CUT_SHARE = 1 / 6
GRACES_S = (1.0, 1.2, 1.5, 1.9, 2.0, 2.5, 3.0, 3.5, 3.6, 3.7, 4.0, 5.0, 6.0, 7.0, 8.0)
GRACES_S += tuple(range(9, 61))
VALID = {
    "name": "entry-1",
    "data_centre": "data-centre-1",
    "callers": "10.0.0.1:80",
    "store": "10.0.0.2:81",
}
FAULTS: tuple[tuple[str, Any, str], ...] = (
    ("callers", "10.0.0.1", "IP:PORT"),
    ("callers", "10.0.0.1:0", "not a port"),
    ("store", None, "store"),
    ("peers", 5, "peers"),
    ("bounds", {"revocation_ms": 10}, "revocation_ms"),
    ("policy", {"watch": {"gap_s": 0}}, "gap_s"),
    ("colour", "red", "colour"),
)


def list_faults(group: BaseException) -> list[str]:
    """Returns the messages of a group of faults."""
    if isinstance(group, BaseExceptionGroup):
        return [text for each in group.exceptions for text in list_faults(each)]
    return [str(group)]


class ServingSettingsTests(unittest.TestCase):
    def test_template_gives_valid_settings(self) -> None:
        text = TEMPLATE.read_text(encoding="utf-8")
        filled = re.sub(r"{{([a-z_.0-9]+)}}", lambda name: FIELDS[name[1]], text)
        settings = parse_serving_settings(parse_document(filled))
        self.assertEqual(settings.callers, FIELDS["listen.front"])
        self.assertEqual(settings.peers, "10.1.0.40:7340")
        self.assertEqual(settings.bounds.stop_grace_s, 8)

    def test_faults_include_the_setting(self) -> None:
        for name, value, expected in FAULTS:
            with self.subTest(name, value=value):
                with self.assertRaises(ExceptionGroup) as caught:
                    parse_serving_settings({**VALID, name: value})
                self.assertIn(expected, " ".join(list_faults(caught.exception)))

    def test_changes_of_registrations_are_gathered_well_within_the_drain_time(
        self,
    ) -> None:
        for drain_ms in (500, 2000, 4000):
            with self.subTest(drain_ms=drain_ms):
                settings = parse_serving_settings(
                    {**VALID, "bounds": {"drain_ms": drain_ms}}
                )
                policy = make_serving_policy(settings)
                self.assertLess(policy.feeds.gather_max_s, drain_ms / 1000 / 2)

    def test_limits_follow_the_bounds_of_the_deployment(self) -> None:
        for revocation_ms, grace_s in ((5000, 8), (2000, 3), (60_000, 60)):
            with self.subTest(revocation_ms=revocation_ms, grace_s=grace_s):
                bounds = {"revocation_ms": revocation_ms, "stop_grace_s": grace_s}
                settings = parse_serving_settings({**VALID, "bounds": bounds})
                policy = make_serving_policy(settings)
                proof_s = policy.feeds.proof_max_age_s
                self.assertLess(proof_s, revocation_ms / 1000)
                self.assertLess(policy.feeds.ready_age_s, revocation_ms / 1000)
                self.assertLess(policy.relay.max_age_s, policy.feeds.ready_age_s)
                self.assertLessEqual(policy.leave.limit_s, grace_s - EXIT_TIME_S)
                self.assertLess(policy.leave.accept_s, policy.leave.limit_s)

    def test_parts_of_a_stop_fit_each_grace(self) -> None:
        for grace_s in GRACES_S:
            with self.subTest(grace_s=grace_s):
                bounds = {"stop_grace_s": grace_s}
                settings = parse_serving_settings({**VALID, "bounds": bounds})
                leave = make_serving_policy(settings).leave
                self.assertGreaterEqual(leave.limit_s, grace_s * (1 - CUT_SHARE))
                exit_s = grace_s - leave.limit_s - leave.flush_s
                self.assertGreaterEqual(exit_s, min(0.25, grace_s / 8))
                self.assertGreaterEqual(leave.flush_s, 2 * TICK_S)
                self.assertGreaterEqual(leave.farewell_s, 2 * TICK_S)
                ready_s = leave.accept_s + leave.settle_s + leave.farewell_s
                self.assertLess(ready_s, leave.limit_s / 2)
                self.assertLess(leave.accept_s + leave.sweep_s, leave.limit_s / 2)


if __name__ == "__main__":
    unittest.main()
