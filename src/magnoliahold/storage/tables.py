"""HTTP client of the platform's table service."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote, urlencode

import msgspec

from magnoliahold.storage.exchange import (
    DEFAULT_TIMEOUT_S,
    PlatformExchange,
    decode_answer,
)
from magnoliahold.storage.interfaces import Row, TransactionOutcome

if TYPE_CHECKING:
    from collections.abc import Sequence

    from twisted.internet.defer import Deferred

    from magnoliahold.httpclient import HttpAnswer
    from magnoliahold.runtime import Reactor
    from magnoliahold.storage.interfaces import Condition, Write


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
        return answer.addCallback(decode_answer, tuple[Row, ...])

    def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> Deferred[TransactionOutcome]:
        """Commits all writes if every condition holds, else none of them."""
        body = msgspec.json.encode(
            {"conditions": list(conditions), "writes": list(writes)}
        )
        answer = self._exchange.call("POST", "/transactions", body)
        return answer.addCallback(decode_answer, TransactionOutcome)


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
