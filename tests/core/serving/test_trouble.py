"""Tests of upstreams that may have gone together with a neighbour."""

from __future__ import annotations

import unittest

from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import SendAttempt
from magnoliahold.core.serving.events import NoticeReceived, UpstreamAnsweredProbe
from magnoliahold.core.serving.feeds import Feed
from magnoliahold.core.serving.peers import LoadNotice, PeerRecord
from tests.core.serving.harness import ENGINES, ServingHarness, make_upstream

# Three data centres with three engines each.
ENGINES_OF_THREE = tuple(
    make_upstream(number, ENGINES, data_centre=f"data-centre-{number % 3}")
    for number in range(9)
)
LOST = "data-centre-1"


def list_places(sent: list[SendAttempt]) -> set[str]:
    """Lists the data centres that attempts were sent to."""
    return {item.upstream.data_centre for item in sent}


class TroubleTests(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = ServingHarness()
        self.harness.start(upstreams=ENGINES_OF_THREE)
        self.harness.advance(1.0)

    def hear_of_trouble(self) -> None:
        """Has another entry take one engine of a data centre for lost."""
        peer = PeerRecord("entry-2", "entry-2.a", "10.9.0.1", 7000)
        self.harness.read(Feed.PEERS, {"entry-2": peer})
        notice = LoadNotice("entry-2", "entry-2.a", 1, down=("engines-1",))
        self.harness.post(NoticeReceived(notice))

    def find_holder(self, sent: SendAttempt) -> str:
        """Finds the data centre of an attempt's copy."""
        (place,) = (
            item.data_centre
            for item in ENGINES_OF_THREE
            if (item.address, item.port) == sent.copy_to
        )
        return place

    def start_streams(self) -> list[SendAttempt]:
        for _ in range(8):
            self.harness.request(RouteKind.STREAM)
        return self.harness.pop_effects(SendAttempt)

    def test_neighbours_of_a_lost_upstream_get_neither_work_nor_copies(self) -> None:
        self.hear_of_trouble()
        self.harness.advance(1.5)
        sent = self.start_streams()
        self.assertEqual(len(sent), 8)
        self.assertNotIn(LOST, list_places(sent))
        self.assertNotIn(LOST, {self.find_holder(item) for item in sent})

    def test_neighbours_that_answer_are_used_again(self) -> None:
        self.hear_of_trouble()
        self.harness.advance(0.1)
        for number in (1, 4, 7):
            self.harness.post(UpstreamAnsweredProbe(f"engines-{number}", 1000 + number))
        self.assertIn(LOST, list_places(self.start_streams()))

    def test_suspicion_ends(self) -> None:
        self.hear_of_trouble()
        self.harness.post(UpstreamAnsweredProbe("engines-1", 1001))
        self.harness.advance(2.0)
        self.harness.change(Feed.CONFIGURATION, {})
        self.harness.advance(2.1)
        self.assertIn(LOST, list_places(self.start_streams()))

    def test_service_of_one_data_centre_goes_on(self) -> None:
        harness = self.harness = ServingHarness()
        harness.start(
            upstreams=tuple(
                make_upstream(number, ENGINES, data_centre=LOST) for number in range(3)
            )
        )
        self.hear_of_trouble()
        self.assertEqual(len(self.start_streams()), 8)


if __name__ == "__main__":
    unittest.main()
