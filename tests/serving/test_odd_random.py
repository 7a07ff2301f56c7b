"""Random rows and datagrams among good ones, which hold all the same.

`ODD_EXAMPLES=20000 python -m unittest tests.serving.test_odd_random` draws others.
"""

from __future__ import annotations

import json
import os
import unittest
from copy import deepcopy
from math import inf, nan
from typing import Any

import msgspec
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import DeliverAnswer, SendAttempt, SendNotice
from magnoliahold.core.serving.events import NoticeReceived
from magnoliahold.core.serving.feeds import Feed
from magnoliahold.platform.rows import RowReader, decode_page
from magnoliahold.serving.notices import PROOF_TAG, NoticePort, encode_notice
from tests.core.serving.harness import ServingHarness
from tests.core.serving.test_odd_rows import (
    MOVE,
    ORDER,
    PEER,
    QUARANTINE,
    ROWS,
    SERVER,
    list_paths,
)
from tests.platform.test_store import make_row
from tests.serving.test_odd_notices import GOOD, NOTICE, PEERS, PROOF
from tests.serving.test_odd_notices import ORDER as NOTICE_ORDER
from tests.serving.test_odd_notices import RECORD as NOTICE_RECORD

EXAMPLES = int(os.environ.get("ODD_EXAMPLES", "120"))
DRAWN = settings(
    derandomize="ODD_EXAMPLES" not in os.environ,
    database=None,
    deadline=None,
    max_examples=EXAMPLES,
    suppress_health_check=list(HealthCheck),
)
# Values that mean something to an entry.
KNOWN = (
    *("engines", "engines-1", "engines-9", "engines@12", "calls", "v1", "v2", "2"),
    *("entry-1", "entry-1.a", "entry-2", "entry-2.a", "p1", "p2", "p1+p2", "+", ""),
    *("ready", "draining", "canary", "done", "10.0.7.1:8000", "10.0.1.9:65535"),
    *("streaming", "idempotent", "credential-1", "/", "/streaming/", "host.example"),
    NOTICE_ORDER.id,
)
NUMBERS = (0, -1, 1, 0.5, 1e-300, 1e300, -1e300, 2**53, 2**63 - 1, -(2**63), 10**30)
LEAVES = st.one_of(
    st.none(),
    st.booleans(),
    st.sampled_from(KNOWN),
    st.sampled_from(NUMBERS),
    st.integers(),
    st.floats(),
    st.text(max_size=20),
    st.sampled_from((inf, -inf, nan)),
)
VALUES = st.recursive(
    LEAVES,
    lambda inner: st.one_of(
        st.lists(inner, max_size=4),
        st.dictionaries(
            st.sampled_from(KNOWN) | st.text(max_size=5), inner, max_size=4
        ),
    ),
    max_leaves=8,
)
# What is done to a document, drawn by place: another value, none, or a list repeated.
CHANGES = st.lists(
    st.tuples(st.integers(0, 10**6), st.sampled_from("ssssdr"), VALUES),
    min_size=1,
    max_size=4,
)


def change_document(document: Any, changes: Any) -> Any:
    """Copies a document and changes it at some places."""
    changed = deepcopy(document)
    for place, action, value in changes:
        paths = list(list_paths(changed))
        if not paths:
            return value
        path = paths[place % len(paths)]
        holder = changed
        for key in path[:-1]:
            holder = holder[key]
        old = holder[path[-1]]
        if action == "d":
            del holder[path[-1]]
        elif action == "r" and isinstance(old, list):
            holder[path[-1]] = old * 50
        else:
            holder[path[-1]] = value
    return changed


ODD_ROWS = st.one_of(
    CHANGES.map(lambda changes: ("document", changes)),
    CHANGES.map(lambda changes: ("form", changes)),
    st.binary(max_size=60).map(lambda content: ("content", content)),
    VALUES.map(lambda value: ("content", value)),
    VALUES.map(lambda value: ("whole row", value)),
)


def encode_odd_row(key: str, document: Any, odd: tuple[str, Any]) -> Any:
    """Makes a row of which a part is odd, in the form of the store's answers."""
    kind, content = odd
    row = make_row(key, 12, document)
    if kind == "document":
        return make_row(key, 12, change_document(document, content))
    if kind == "content":
        return make_row(key, 12, content)
    if kind == "form":
        content = change_document(row, content)
    try:
        json.dumps(content, allow_nan=False)
    except ValueError:
        # No answer of the store has a number that isn't finite.
        return None
    return content


def encode_odd_datagram(document: Any, changes: Any, tag: bytes) -> bytes:
    """Encodes a changed notice or proof; numbers beyond 64 bits have no encoding."""
    try:
        return tag + msgspec.msgpack.encode(change_document(document, changes))
    except OverflowError:
        return tag


NOTICE_DOCUMENT = msgspec.msgpack.decode(encode_notice(NOTICE))
PROOF_DOCUMENT = msgspec.msgpack.decode(msgspec.msgpack.encode(PROOF))
ODD_DATAGRAMS = st.one_of(
    CHANGES.map(lambda changes: encode_odd_datagram(NOTICE_DOCUMENT, changes, b"")),
    CHANGES.map(
        lambda changes: encode_odd_datagram(PROOF_DOCUMENT, changes, PROOF_TAG)
    ),
    st.binary(max_size=100),
    st.binary(max_size=100).map(lambda content: PROOF_TAG + content),
    st.binary(max_size=9).map(lambda content: encode_notice(NOTICE) + content),
    st.integers(0, 400).map(lambda size: encode_notice(NOTICE)[:size]),
)

# A row of each feed that has to hold.
GOOD_ROWS: dict[Feed, tuple[str, dict[str, Any]]] = {
    Feed.PEERS: ("entry-7", {**PEER, "name": "entry-7"}),
    Feed.CONFIGURATION: ("rollout/calls", {**ORDER, "service": "calls"}),
    Feed.UPSTREAMS: ("engines-7", {**SERVER, "address": "10.0.7.7:7777"}),
    Feed.MOVES: ("calls", {**MOVE, "service": "calls"}),
    Feed.QUARANTINE: ("p8+p9", {**QUARANTINE, "fingerprint": "p8+p9"}),
}


class OddRandomTests(unittest.TestCase):
    def start(self) -> ServingHarness:
        """Starts an entry with other entries and a move."""
        harness = ServingHarness()
        harness.world.checks_all_rows = False
        harness.start()
        harness.world.store_offset_s = 0.0
        harness.read(Feed.QUARANTINE, {})
        harness.change(Feed.PEERS, PEERS, 12)
        harness.change(Feed.CONFIGURATION, {"rollout/engines": NOTICE_ORDER}, 13)
        harness.read(Feed.MOVES, {"engines": NOTICE_RECORD}, 14)
        return harness

    def read_rows(self, feed: Feed, rows: list[Any]) -> dict[str, Any]:
        """Reads rows as they come from the store."""
        body = json.dumps({"rows": rows, "ver": 20}).encode()
        read = RowReader().read_rows(feed, decode_page(body).rows)
        return {row.key: row.value for row in read}

    def work(self, harness: ServingHarness) -> None:
        """Serves streams, of which one breaks; its own notices can be sent."""
        for number in range(2):
            caller = harness.request(RouteKind.STREAM)
            harness.report_no_prompts()
            for sent in harness.pop_effects(SendAttempt):
                harness.open(sent, caller)
                harness.produce(sent, 1)
                harness.interrupt(sent) if number else harness.finish(sent)
            harness.advance(1.0, 0.25)
        for effect in harness.pop_effects(SendNotice):
            encode_notice(effect.notice)

    def check_serves_calls(self, harness: ServingHarness) -> None:
        """Checks that a call is answered."""
        harness.pop_effects(SendAttempt)
        caller = harness.request(RouteKind.IDEMPOTENT)
        harness.answer(harness.send(), caller, 200)
        self.assertEqual(len(harness.pop_effects(DeliverAnswer)), 1)

    @DRAWN
    @given(st.sampled_from(ROWS), st.lists(ODD_ROWS, min_size=1, max_size=3))
    def test_good_rows_hold_beside_random_ones(
        self, kind: Any, odd: list[tuple[str, Any]]
    ) -> None:
        feed, key, document, _ = kind
        good_key, good = GOOD_ROWS[feed]
        rows = [encode_odd_row(key, document, item) for item in odd]
        rows.insert(1, make_row(good_key, 11, good))
        found = self.read_rows(feed, rows)
        self.assertIsNotNone(found[good_key])
        harness = self.start()
        if feed is Feed.QUARANTINE:
            harness = ServingHarness()
            harness.world.checks_all_rows = False
            harness.start()
            harness.world.store_offset_s = 0.0
            harness.read(feed, found, 20)
        else:
            harness.change(feed, found, 20)
        self.work(harness)
        if feed is not Feed.CONFIGURATION:
            self.check_serves_calls(harness)
        if feed is Feed.UPSTREAMS:
            self.assertIn(good_key, harness.world.upstreams.by_id)
        if feed is Feed.PEERS:
            self.assertIn(good_key, harness.world.other_entries.by_name)

    @DRAWN
    @given(st.lists(ODD_DATAGRAMS, min_size=1, max_size=3))
    def test_good_notice_holds_after_random_datagrams(
        self, datagrams: list[bytes]
    ) -> None:
        posted: list[Any] = []
        port = NoticePort(posted.append)
        for datagram in datagrams:
            port.handle_datagram(datagram)
        port.handle_datagram(encode_notice(GOOD))
        self.assertEqual(posted[-1], NoticeReceived(GOOD))
        harness = self.start()
        for event in posted:
            harness.post(event)
        known = harness.world.other_entries.by_name[GOOD.sender]
        self.assertIsNotNone(known.notice)
        self.work(harness)
        self.check_serves_calls(harness)


if __name__ == "__main__":
    unittest.main()
