"""Tests that no stored row ends an entry, which would end each start of it anew."""

from __future__ import annotations

import json
import unittest
from copy import deepcopy
from typing import TYPE_CHECKING, Any

from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import SendAttempt
from magnoliahold.core.serving.feeds import Feed
from magnoliahold.platform.documents import (
    DocumentError,
    read_configuration,
    read_move_order,
    read_move_record,
    read_peer,
    read_quarantine,
    read_upstream,
)
from tests.core.serving.harness import ServingHarness, make_configuration, make_upstream

if TYPE_CHECKING:
    from collections.abc import Iterator

ODD_VALUES = (0, -1, -0.5, 1e-300, 1e300, 10**18, -(10**18), "", "+", "x" * 300, [])
LEFT_OUT = object()
# Stands for what json.dumps can't encode.
PLACE = "place-of-an-odd-value"
LEVELS = 100_000
NESTED = (b"[" * LEVELS + b"]" * LEVELS, b'{"a":' * LEVELS + b"1" + b"}" * LEVELS)
ROUTE = {
    "name": "r-1",
    "hostname": "host.example",
    "prefix": "/stream/",
    "kind": "streaming",
    "timeout_ms": 25_000,
    "goal_ms": 4500,
    "gap_goal_ms": 700,
    "priority": 1,
    "max_attempts": 3,
    "resumable": True,
    "traffic_split": [{"service": "engines", "weight": 1}],
}
CONFIGURATION = {
    "version": 11,
    "routes": [ROUTE, {**ROUTE, "name": "r-2", "prefix": "/other/", "priority": 2}],
    "services": [
        {
            "name": "engines",
            "engine": {"backups": True, "kv_capacity": 88_000, "slots": 96},
        }
    ],
    "limits": {"max_body_bytes": 1000, "idle_timeout_ms": 15_000},
    "tenants": [{"name": "workspace-1", "api_keys": ["credential-1"], "priority": 1}],
}
SERVER = {
    "service": "engines",
    "address": "10.0.1.9:8000",
    "zone": "z-1",
    "state": "ready",
    "born": 1009,
    "version": "v2",
}
PEER = {
    "name": "entry-2",
    "incarnation": "entry-2.a",
    "address": "10.9.0.1",
    "port": 7000,
}
MOVE = {
    "service": "engines",
    "order": "engines@12",
    "to_version": "v2",
    "state": "canary",
    "began_at": 90.0,
    "epoch": 1,
}
ORDER = {"service": "engines", "to": "v2", "over_s": 30.0}
QUARANTINE = {"fingerprint": "p1+p2", "convicted_at": 90.0, "term_s": 45.0}
# The feed of a row, its key, a valid document and how it is read.
ROWS: tuple[tuple[Feed, str, dict[str, Any], Any], ...] = (
    (Feed.CONFIGURATION, "config", CONFIGURATION, read_configuration),
    (
        Feed.UPSTREAMS,
        "engines-9",
        SERVER,
        lambda text: read_upstream("engines-9", text),
    ),
    (Feed.PEERS, "entry-2", PEER, read_peer),
    (
        Feed.CONFIGURATION,
        "rollout/engines",
        ORDER,
        lambda text: read_move_order(12, text),
    ),
    (Feed.MOVES, "engines", MOVE, read_move_record),
    (Feed.QUARANTINE, "p1+p2", QUARANTINE, read_quarantine),
)


def list_paths(document: Any, path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    """Lists the places of all values in a document."""
    if path:
        yield path
    pairs: Any = ()
    if isinstance(document, dict):
        pairs = document.items()
    elif isinstance(document, list):
        pairs = enumerate(document)
    for key, value in pairs:
        yield from list_paths(value, (*path, key))


def replace_value(document: Any, path: tuple[Any, ...], value: object) -> Any:
    """Copies a document with another value at one place."""
    copied = deepcopy(document)
    holder = copied
    for key in path[:-1]:
        holder = holder[key]
    if value is LEFT_OUT:
        del holder[path[-1]]
    else:
        holder[path[-1]] = value
    return copied


class OddRowTests(unittest.TestCase):
    # Failure: what an entry read in the store ended it, and each of its starts anew.
    def test_entry_starts_and_works_with_each_odd_row(self) -> None:
        for feed, key, document, read in ROWS:
            for path in list_paths(document):
                for value in (*ODD_VALUES, LEFT_OUT):
                    odd = replace_value(document, path, value)
                    try:
                        row = read(json.dumps(odd).encode())
                    except DocumentError:
                        continue
                    with self.subTest(feed=feed.value, path=path, value=str(value)):
                        self.run_entry(feed, key, row)

    # Failure: a document that nests deeply raised an error that no reader told, and
    # entries followed no further change of its table.
    def test_each_reader_rejects_what_nests_deeply(self) -> None:
        for feed, key, document, read in ROWS:
            unknown = {**document, "unknown": None}
            for path in list_paths(unknown):
                odd = json.dumps(replace_value(unknown, path, PLACE)).encode()
                for nested in NESTED:
                    content = odd.replace(f'"{PLACE}"'.encode(), nested)
                    with (
                        self.subTest(feed=feed.value, key=key, path=path),
                        self.assertRaises(DocumentError),
                    ):
                        read(content)

    def run_entry(self, feed: Feed, key: str, row: object) -> None:
        """Starts an entry that reads a row, and lets it work for a while."""
        upstreams = tuple(make_upstream(n, "engines", version="v1") for n in (1, 2))
        rows: dict[Feed, dict[str, object]] = {
            Feed.PEERS: {},
            Feed.CONFIGURATION: {"config": make_configuration()},
            Feed.UPSTREAMS: {item.id: item for item in upstreams},
            Feed.QUARANTINE: {},
        }
        if feed is Feed.MOVES:
            order = read_move_order(12, json.dumps(ORDER).encode())
            rows[Feed.CONFIGURATION]["rollout/engines"] = order
        rows.setdefault(feed, {})[key] = row
        harness = ServingHarness()
        harness.world.checks_all_rows = False
        harness.world.store_offset_s = 0.0
        for name, values in rows.items():
            harness.read(name, values, 20)
        self.work(harness)

    def work(self, harness: ServingHarness) -> None:
        """Serves streams, of which some break."""
        for number in range(3):
            caller = harness.request(RouteKind.STREAM)
            harness.report_no_prompts()
            for sent in harness.pop_effects(SendAttempt):
                harness.open(sent, caller)
                harness.produce(sent, 1)
                if number:
                    harness.interrupt(sent)
                else:
                    harness.finish(sent)
            harness.advance(1.0, 0.25)


if __name__ == "__main__":
    unittest.main()
