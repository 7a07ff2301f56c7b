"""Reads the rows in the answers of the platform's store, each by itself."""

from __future__ import annotations

from base64 import b64decode
from typing import TYPE_CHECKING

import msgspec
from attrs import define, field

from magnoliahold.core.serving.feeds import Feed, FeedRow
from magnoliahold.decoding import describe_error, translate_errors
from magnoliahold.jsonmembers import decode_member, decode_with_items
from magnoliahold.logs import make_part_logger
from magnoliahold.platform.documents import (
    BoundedInteger,  # noqa: TC001
    read_configuration,
    read_move_order,
    read_move_record,
    read_peer,
    read_quarantine,
    read_upstream,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliahold.core.serving.feeds import FeedValue

CONFIGURATION_KEY = "config"
ORDER_PREFIX = "rollout/"
MS_PER_S = 1000.0
MAX_REPORTED_ROWS = 1000
UNKNOWN_VERSION = 0

logger = make_part_logger("store")


class StoreAnswerError(Exception):
    """The store answered with an error or a malformed body."""


class _Row(msgspec.Struct):
    key: str
    ver: BoundedInteger
    value: str | None = None
    removed: bool = False


class _RowKey(msgspec.Struct):
    key: str


class Page(msgspec.Struct):
    """The body of an answer that holds rows, each of them not decoded yet."""

    rows: list[msgspec.Raw]
    ver: BoundedInteger
    # The store's monotonic clock.
    now_ms: float | None = None
    has_more: bool = False

    @property
    def time_s(self) -> float | None:
        """The store's clock in seconds."""
        return None if self.now_ms is None else self.now_ms / MS_PER_S

    def list_keys(self) -> list[str]:
        """Lists the keys of the rows that name one."""
        keys = map(_find_key, self.rows)
        return [key for key in keys if key is not None]


_page_decoder = msgspec.json.Decoder(Page)
_row_decoder = msgspec.json.Decoder(_Row)
_key_decoder = msgspec.json.Decoder(_RowKey)


def decode_page(body: bytes) -> Page:
    """Decodes an answer; raises StoreAnswerError if it holds no rows."""
    with translate_errors(_make_answer_error):
        return decode_with_items(_page_decoder.decode, body, "rows")


def _make_answer_error(reason: str) -> StoreAnswerError:
    return StoreAnswerError(f"the store's answer can't be read: {reason}")


def _find_key(raw: msgspec.Raw) -> str | None:
    """Returns the key of a row; None if not even that can be read."""
    found = decode_member(_key_decoder.decode, bytes(raw), "key")
    return found.key if found is not None else None


@define(eq=False)
class RowReader:
    """Decodes rows, of which none decides over the others.

    Invalid ones are left out and logged, once until their reason changes: a row that is
    invalid may be written or read again any number of times. `_reported` holds the
    reasons by feed and key.
    """

    _reported: dict[tuple[Feed, str | None], str] = field(factory=dict)

    def read_rows(self, feed: Feed, rows: Iterable[msgspec.Raw]) -> tuple[FeedRow, ...]:
        """Decodes rows.

        A row that changes to an invalid value keeps its previous value in use. An
        invalid registration of an upstream counts as removed.
        """
        found = (self._read_row(feed, raw) for raw in rows)
        return tuple(row for row in found if row is not None)

    def _read_row(self, feed: Feed, raw: msgspec.Raw) -> FeedRow | None:
        row: _Row | None = None
        try:
            row = _row_decoder.decode(raw)
            read = FeedRow(row.key, row.ver, _read_value(feed, row))
        except Exception as error:
            key = row.key if row is not None else _find_key(raw)
            version = row.ver if row is not None else UNKNOWN_VERSION
            self._report(feed, key, version, describe_error(error))
            if feed is not Feed.UPSTREAMS or key is None:
                return None
            return FeedRow(key, version, None)
        self._reported.pop((feed, read.key), None)
        return read

    def _report(self, feed: Feed, key: str | None, version: int, reason: str) -> None:
        if self._reported.get((feed, key)) == reason:
            return
        if len(self._reported) >= MAX_REPORTED_ROWS:
            self._reported.clear()
        self._reported[feed, key] = reason
        logger.gather(
            "Row is invalid and is left out.",
            feed=feed.value,
            key=key,
            version=version,
            reason=reason,
        )


def _read_value(feed: Feed, row: _Row) -> FeedValue | None:
    if row.removed or row.value is None:
        return None
    document = b64decode(row.value, validate=True)
    if feed is Feed.UPSTREAMS:
        return read_upstream(row.key, document)
    if feed is Feed.PEERS:
        return read_peer(document)
    if feed is Feed.MOVES:
        return read_move_record(document)
    if feed is Feed.QUARANTINE:
        return read_quarantine(document)
    if row.key == CONFIGURATION_KEY:
        return read_configuration(document)
    if row.key.startswith(ORDER_PREFIX):
        return read_move_order(row.ver, document)
    return None
