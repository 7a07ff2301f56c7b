"""Tests of which connections are closed to make room for others."""

from __future__ import annotations

import unittest

from attrs import define, field

from magnoliahold.inbound.connections import Closability, ConnectionTable

MOST = 4
# Connections as (what they lose, since when quiet) in the order in which they come, and
# which of them is closed for the last.
CASES = (
    (
        "unused before idle",
        [
            (Closability.IDLE, 1),
            (Closability.UNUSED, 9),
            (Closability.BUSY, 0),
            (Closability.READING, 0),
        ],
        1,
    ),
    (
        "the longest quiet",
        [
            (Closability.UNUSED, 3),
            (Closability.UNUSED, 1),
            (Closability.UNUSED, 2),
            (Closability.BUSY, 0),
        ],
        1,
    ),
    (
        "rejected before all",
        [
            (Closability.UNUSED, 0),
            (Closability.ENDING, 9),
            (Closability.IDLE, 0),
            (Closability.READING, 0),
        ],
        1,
    ),
    ("reading where others are busy", [(Closability.BUSY, 0)] * 3 + [(3, 5)], 3),
    ("the newest where all are busy", [(Closability.BUSY, 0)] * 4, 4),
)


@define(eq=False)
class FakeChannel:
    """A connection of which only the order matters."""

    table: ConnectionTable
    closability: Closability
    quiet_since: float
    closed: bool = field(default=False)

    def close_for_room(self) -> None:
        self.closed = True
        self.table.discard(self)


class ConnectionTableTests(unittest.TestCase):
    def test_those_that_lose_least_are_closed_first(self) -> None:
        for name, connections, expected in CASES:
            with self.subTest(name):
                table = ConnectionTable("callers", MOST)
                made = [
                    FakeChannel(table, Closability(lost), since)
                    for lost, since in (*connections, (Closability.UNUSED, 10))
                ]
                for channel in made:
                    table.add(channel)
                closed = [n for n, item in enumerate(made) if item.closed]
                self.assertEqual(closed, [expected])
                self.assertEqual(len(table.channels), MOST)
                self.assertEqual(table.closed.total(), 1)


if __name__ == "__main__":
    unittest.main()
