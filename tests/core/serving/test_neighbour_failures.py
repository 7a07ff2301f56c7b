"""Tests of upstreams that may have failed together with a neighbour."""

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
FAILED_DATA_CENTRE = "data-centre-1"


def list_data_centres(sent: list[SendAttempt]) -> set[str]:
    """Lists the data centres that attempts were sent to."""
    return {item.upstream.data_centre for item in sent}


class NeighbourFailureTests(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = ServingHarness()
        self.harness.start(upstreams=ENGINES_OF_THREE)
        self.harness.advance(1.0)

    def report_engine_down(self) -> None:
        """Posts a notice of another entry that one engine is down."""
        peer = PeerRecord("entry-2", "entry-2.a", "10.9.0.1", 7000)
        self.harness.read(Feed.PEERS, {"entry-2": peer})
        notice = LoadNotice("entry-2", "entry-2.a", 1, down=("engines-1",))
        self.harness.post(NoticeReceived(notice))

    def find_holder(self, sent: SendAttempt) -> str:
        """Finds the data centre of an attempt's copy."""
        (data_centre,) = (
            item.data_centre
            for item in ENGINES_OF_THREE
            if (item.address, item.port) == sent.copy_to
        )
        return data_centre

    def start_streams(self) -> list[SendAttempt]:
        for _ in range(8):
            self.harness.request(RouteKind.STREAM)
        return self.harness.pop_effects(SendAttempt)

    def test_neighbours_of_a_lost_upstream_get_neither_streams_nor_copies(self) -> None:
        self.report_engine_down()
        self.harness.advance(1.5)
        sent = self.start_streams()
        self.assertEqual(len(sent), 8)
        self.assertNotIn(FAILED_DATA_CENTRE, list_data_centres(sent))
        self.assertNotIn(FAILED_DATA_CENTRE, {self.find_holder(item) for item in sent})

    def test_neighbours_that_answer_are_used_again(self) -> None:
        self.report_engine_down()
        self.harness.advance(0.1)
        for number in (1, 4, 7):
            self.harness.post(UpstreamAnsweredProbe(f"engines-{number}", 1000 + number))
        self.assertIn(FAILED_DATA_CENTRE, list_data_centres(self.start_streams()))

    def test_neighbours_are_used_again_after_a_while(self) -> None:
        self.report_engine_down()
        self.harness.post(UpstreamAnsweredProbe("engines-1", 1001))
        self.harness.advance(2.0)
        self.harness.change(Feed.CONFIGURATION, {})
        self.harness.advance(2.1)
        self.assertIn(FAILED_DATA_CENTRE, list_data_centres(self.start_streams()))

    def test_service_in_one_data_centre_is_still_served(self) -> None:
        harness = self.harness = ServingHarness()
        harness.start(
            upstreams=tuple(
                make_upstream(number, ENGINES, data_centre=FAILED_DATA_CENTRE)
                for number in range(3)
            )
        )
        self.report_engine_down()
        self.assertEqual(len(self.start_streams()), 8)


if __name__ == "__main__":
    unittest.main()
