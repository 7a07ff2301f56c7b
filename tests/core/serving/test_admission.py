"""Tests of what is let in: routes, credentials and how fresh their proof is."""

from __future__ import annotations

import unittest
from typing import Any

from attrs import evolve

from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import RefuseCaller, SendAttempt
from magnoliahold.core.serving.events import FeedFailed, FeedHistoryGone
from magnoliahold.core.serving.feeds import Feed
from magnoliahold.core.serving.systems.leaving import find_unready_reason
from tests.core.serving.rig import CALLS, ServingHarness, make_configuration, make_route

CALL = RouteKind.IDEMPOTENT

REQUESTS: tuple[tuple[str, dict[str, Any], int | None], ...] = (
    ("a known credential", {}, None),
    ("an unknown credential", {"credential": "other"}, 401),
    ("no credential", {"credential": None}, 401),
    ("an unknown path", {"path": "/elsewhere/"}, 404),
    ("an unknown host", {"host": "other.example"}, 404),
)


class AdmissionTests(unittest.TestCase):
    def setUp(self) -> None:
        self.rig = ServingHarness()

    def find_status(self, **changes: Any) -> int | None:
        """Finds with which status a request is refused; None when it is sent."""
        self.rig.take(SendAttempt)
        self.rig.request(CALL, **changes)
        refusals = self.rig.take(RefuseCaller)
        return refusals[0].status if refusals else None

    def test_requests(self) -> None:
        self.rig.start()
        for name, changes, status in REQUESTS:
            with self.subTest(name):
                self.assertEqual(self.find_status(**changes), status)

    def test_nothing_is_denied_before_a_configuration_is_known(self) -> None:
        self.assertEqual(self.find_status(), 503)
        self.assertTrue(find_unready_reason(self.rig.world))

    def test_longest_prefix_wins(self) -> None:
        inner = make_route(CALL, "inner", prefix="/idempotent/x/")
        configuration = make_configuration()
        routes = (*configuration.routes, inner)
        found = evolve(configuration, routes=routes).find_route(
            "host.example", "/idempotent/x/y"
        )
        self.assertEqual(found, inner)

    def test_credentials_need_a_fresh_proof(self) -> None:
        self.rig.start()
        limit_s = self.rig.world.serving_policy.feeds.proof_max_age_s
        self.rig.advance(limit_s - 0.1)
        self.assertIsNone(self.find_status())
        self.rig.advance(0.2)
        self.assertEqual(self.find_status(), 503)
        self.assertTrue(find_unready_reason(self.rig.world))
        self.rig.change(Feed.CONFIGURATION, {})
        self.assertIsNone(self.find_status())

    def test_proof_ages_while_the_instance_is_suspended(self) -> None:
        self.rig.start()
        self.rig.suspended_s += 60.0
        self.assertEqual(self.find_status(), 503)

    def test_public_routes_need_no_proof(self) -> None:
        route = make_route(CALL, CALLS, public=True)
        self.rig.start(make_configuration(routes=(route,)))
        self.rig.advance(60.0)
        self.assertIsNone(self.find_status(credential=None))

    def test_credential_that_was_taken_back_is_refused(self) -> None:
        self.rig.start()
        configuration = make_configuration(version=2, workspaces=())
        changed = evolve(configuration, workspaces=make_configuration().workspaces)
        empty = evolve(changed.workspaces[0], credentials=("other",))
        changed = evolve(changed, workspaces=(empty,))
        self.rig.change(Feed.CONFIGURATION, {"config": changed})
        self.assertEqual(self.find_status(), 401)

    def test_configuration_never_goes_back(self) -> None:
        self.rig.start(make_configuration(version=5))
        old = make_configuration(version=4, routes=())
        self.rig.change(Feed.CONFIGURATION, {"config": old})
        self.assertIsNone(self.find_status())

    def test_removed_or_unreadable_configuration_changes_nothing(self) -> None:
        self.rig.start()
        self.rig.change(Feed.CONFIGURATION, {"config": None})
        self.assertIsNone(self.find_status())

    def test_store_whose_version_goes_back_is_read_anew(self) -> None:
        self.rig.start()
        self.rig.change(Feed.UPSTREAMS, {"calls-1": None}, version=5)
        self.assertIn("calls-1", self.rig.world.upstreams.by_id)
        self.assertIsNone(self.rig.world.feeds[Feed.UPSTREAMS].version)

    def test_results_of_calls_that_were_given_up_are_ignored(self) -> None:
        self.rig.start()
        call = self.rig.find_call(Feed.UPSTREAMS)
        self.rig.post(FeedFailed(Feed.UPSTREAMS, call, "timeout"))
        self.rig.post(FeedHistoryGone(Feed.UPSTREAMS, call))
        self.assertIsNotNone(self.rig.world.feeds[Feed.UPSTREAMS].version)


if __name__ == "__main__":
    unittest.main()
