"""HTTP client of the platform's table service."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote, urlencode

import msgspec

from magnoliahold.decoding import decode_or_none, explain_error, translate_errors
from magnoliahold.jsonmembers import pick_member, split_members
from magnoliahold.logs import make_part_logger
from magnoliahold.storage.exchange import (
    DEFAULT_TIMEOUT_S,
    PlatformExchange,
    decode_answer,
    make_malformed_error,
)
from magnoliahold.storage.interfaces import Row, TransactionOutcome

if TYPE_CHECKING:
    from collections.abc import Sequence

    from twisted.internet.defer import Deferred

    from magnoliahold.httpclient import HttpAnswer
    from magnoliahold.runtime import Reactor
    from magnoliahold.storage.interfaces import Condition, Write

# No stored row has this version.
UNKNOWN_VERSION = 0

logger = make_part_logger("store")


class _RowKey(msgspec.Struct):
    key: str


_rows_decoder = msgspec.json.Decoder(tuple[Row, ...])
_row_decoder = msgspec.json.Decoder(Row)
_key_decoder = msgspec.json.Decoder(_RowKey)


class TableClient:
    """Reads and writes rows over HTTP; a failed write may have taken effect."""

    def __init__(self, exchange: PlatformExchange) -> None:
        self._exchange = exchange

    def read_row(self, table: str, key: str) -> Deferred[Row | None]:
        """Reads one row, or None when it does not exist."""
        path = f"/tables/{quote(table, safe='')}/{quote(key, safe='')}"
        answer = self._exchange.call("GET", path, accepted=(200, 404))
        return answer.addCallback(_decode_row)

    def scan_rows(
        self, table: str, after: str = "", limit: int = 1000
    ) -> Deferred[tuple[Row, ...]]:
        """Reads rows in key order whose key is greater than `after`."""
        query = urlencode({"after": after, "limit": limit})
        answer = self._exchange.call("GET", f"/tables/{quote(table, safe='')}?{query}")
        return answer.addCallback(_decode_rows, table)

    def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> Deferred[TransactionOutcome]:
        """Commits all writes if every condition holds, else none of them."""
        body = msgspec.json.encode(
            {"conditions": list(conditions), "writes": list(writes)}
        )
        answer = self._exchange.call("POST", "/transactions", body)
        return answer.addCallback(decode_answer, TransactionOutcome)


def _decode_rows(answer: HttpAnswer, table: str) -> tuple[Row, ...]:
    """Decodes rows, each by itself if not all can be read."""
    rows = decode_or_none(_rows_decoder.decode, answer.body)
    if rows is not None:
        return rows
    with translate_errors(make_malformed_error):
        return tuple(_decode_item(item, table) for item in split_members(answer.body))


def _decode_item(item: bytes, table: str) -> Row:
    """Decodes one row; one that can't be read is returned as damaged.

    A damaged row has no value and UNKNOWN_VERSION. Whoever scans goes on behind its
    key, without which the whole answer can't be read.
    """
    row = decode_or_none(_row_decoder.decode, item)
    if row is not None:
        return row
    key = _key_decoder.decode(pick_member(item, "key")).key
    reason = explain_error(_row_decoder.decode, item)
    logger.gather("Row can't be read.", table=table, key=key, reason=reason)
    return Row(table, key, UNKNOWN_VERSION, b"")


def _decode_row(answer: HttpAnswer) -> Row | None:
    if answer.status == 404:
        return None
    row: Row = decode_answer(answer, Row)
    return row


def make_table_client(
    reactor: Reactor, base_url: str, timeout_s: float = DEFAULT_TIMEOUT_S
) -> TableClient:
    """Makes the client of the table service at `base_url`."""
    return TableClient(PlatformExchange(reactor, base_url, timeout_s))
