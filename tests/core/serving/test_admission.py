"""Tests of admission: routes, credentials and the age of the configuration."""

from __future__ import annotations

import unittest
from typing import Any

from attrs import evolve

from magnoliahold.core.serving.configuration import RouteKind, Workspace
from magnoliahold.core.serving.effects import RefuseCaller, SendAttempt
from magnoliahold.core.serving.events import FeedFailed, FeedHistoryGone
from magnoliahold.core.serving.feeds import Feed
from magnoliahold.core.serving.systems.admission import find_head_refusal
from magnoliahold.core.serving.systems.leaving import find_unready_reason
from tests.core.serving.harness import (
    CALLS,
    CREDENTIAL,
    ServingHarness,
    make_configuration,
    make_route,
)

CALL = RouteKind.IDEMPOTENT

REQUESTS: tuple[tuple[str, dict[str, Any], int | None], ...] = (
    ("a known credential", {}, None),
    ("an unknown credential", {"credential": "other"}, 401),
    ("no credential", {"credential": None}, 401),
    ("an unknown path", {"path": "/elsewhere/"}, 404),
    ("an unknown host", {"host": "other.example"}, 404),
)

CREDENTIALS = (
    ("the key that was taken away", CREDENTIAL),
    ("a key of no configuration", "other"),
    ("an empty key", ""),
    ("no key", None),
)


class AdmissionTests(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = ServingHarness()

    def find_status(self, **changes: Any) -> int | None:
        """Returns the status with which a request is refused; None if it is sent."""
        self.harness.pop_effects(SendAttempt)
        self.harness.request(CALL, **changes)
        refusals = self.harness.pop_effects(RefuseCaller)
        return refusals[0].status if refusals else None

    def find_head_status(self, **changes: Any) -> int | None:
        """Returns the status with which a request is refused by its head alone."""
        caller = self.harness.request(CALL, **changes)
        refusal = find_head_refusal(self.harness.world, caller)
        return refusal.status if refusal else None

    def test_each_request_is_sent_or_refused(self) -> None:
        self.harness.start()
        for name, changes, status in REQUESTS:
            with self.subTest(name):
                self.assertEqual(self.find_status(**changes), status)

    def test_requests_before_the_first_configuration_get_503(self) -> None:
        self.assertEqual(self.find_status(), 503)
        self.assertTrue(find_unready_reason(self.harness.world))

    def test_longest_prefix_wins(self) -> None:
        inner = make_route(CALL, "inner", prefix="/idempotent/x/")
        configuration = make_configuration()
        routes = (*configuration.routes, inner)
        found = evolve(configuration, routes=routes).find_route(
            "host.example", "/idempotent/x/y"
        )
        self.assertEqual(found, inner)

    def test_credentials_need_a_recently_confirmed_configuration(self) -> None:
        self.harness.start()
        limit_s = self.harness.world.serving_policy.feeds.proof_max_age_s
        self.harness.advance(limit_s - 0.1)
        self.assertIsNone(self.find_status())
        self.harness.advance(0.2)
        self.assertEqual(self.find_status(), 503)
        self.assertTrue(find_unready_reason(self.harness.world))
        self.harness.change(Feed.CONFIGURATION, {})
        self.assertIsNone(self.find_status())

    def test_configuration_ages_while_the_instance_is_suspended(self) -> None:
        self.harness.start()
        self.harness.suspended_s += 60.0
        self.assertEqual(self.find_status(), 503)

    def test_public_routes_work_with_an_old_configuration(self) -> None:
        route = make_route(CALL, CALLS, public=True)
        self.harness.start(make_configuration(routes=(route,)))
        self.harness.advance(60.0)
        self.assertIsNone(self.find_status(credential=None))

    def test_revoked_credential_is_refused(self) -> None:
        self.harness.start()
        configuration = make_configuration(version=2, workspaces=())
        changed = evolve(configuration, workspaces=make_configuration().workspaces)
        empty = evolve(changed.workspaces[0], credentials=("other",))
        changed = evolve(changed, workspaces=(empty,))
        self.harness.change(Feed.CONFIGURATION, {"config": changed})
        self.assertEqual(self.find_status(), 401)

    # Failure: when the last workspace was removed, all routes were open to any key and
    # to none (review case 7).
    def test_empty_list_of_workspaces_opens_no_route(self) -> None:
        self.harness.start()
        self.assertIsNone(self.find_status())
        empty = make_configuration(version=2, workspaces=())
        self.harness.change(Feed.CONFIGURATION, {"config": empty})
        for name, credential in CREDENTIALS:
            with self.subTest(name):
                changes = {"credential": credential}
                self.assertEqual(self.find_status(**changes), 401)
                self.assertEqual(self.find_head_status(**changes), 401)

    def test_configuration_without_workspaces_needs_no_credential(self) -> None:
        self.harness.start(make_configuration(workspaces=None))
        for name, credential in CREDENTIALS:
            with self.subTest(name):
                self.assertIsNone(self.find_status(credential=credential))
                self.assertIsNone(self.find_head_status(credential=credential))

    def test_empty_credential_of_a_workspace_admits_nobody(self) -> None:
        blank = (Workspace("workspace-1", ("",)),)
        self.harness.start(make_configuration(workspaces=blank))
        for credential in (None, ""):
            with self.subTest(credential=credential):
                self.assertEqual(self.find_status(credential=credential), 401)

    def test_public_route_is_open_beside_an_empty_list_of_workspaces(self) -> None:
        route = make_route(CALL, CALLS, public=True)
        self.harness.start(make_configuration(routes=(route,), workspaces=()))
        self.assertIsNone(self.find_status(credential=None))

    def test_older_configuration_is_ignored(self) -> None:
        self.harness.start(make_configuration(version=5))
        old = make_configuration(version=4, routes=())
        self.harness.change(Feed.CONFIGURATION, {"config": old})
        self.assertIsNone(self.find_status())

    def test_removed_or_unreadable_configuration_changes_nothing(self) -> None:
        self.harness.start()
        self.harness.change(Feed.CONFIGURATION, {"config": None})
        self.assertIsNone(self.find_status())

    def test_feed_is_read_in_full_after_the_store_version_decreases(self) -> None:
        self.harness.start()
        self.harness.change(Feed.UPSTREAMS, {"calls-1": None}, version=5)
        self.assertIn("calls-1", self.harness.world.upstreams.by_id)
        self.assertIsNone(self.harness.world.feeds[Feed.UPSTREAMS].version)

    def test_results_of_abandoned_calls_are_ignored(self) -> None:
        self.harness.start()
        call = self.harness.find_call(Feed.UPSTREAMS)
        self.harness.post(FeedFailed(Feed.UPSTREAMS, call, "timeout"))
        self.harness.post(FeedHistoryGone(Feed.UPSTREAMS, call))
        self.assertIsNotNone(self.harness.world.feeds[Feed.UPSTREAMS].version)


if __name__ == "__main__":
    unittest.main()
