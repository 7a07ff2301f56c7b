"""The client of the platform's store."""

from __future__ import annotations

from base64 import b64encode
from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

import msgspec
from attrs import define, field

from magnoliahold.core.serving.configuration import MAX_NUMBER
from magnoliahold.core.serving.events import (
    EntryRegistered,
    FeedChanged,
    FeedFailed,
    FeedHistoryGone,
    FeedRead,
    MoveWritten,
)
from magnoliahold.core.serving.feeds import Feed
from magnoliahold.httpclient import HttpClient, HttpExchangeError
from magnoliahold.logs import make_part_logger
from magnoliahold.platform.documents import (
    BoundedInteger,  # noqa: TC001
    write_move_record,
    write_move_status,
    write_peer,
    write_quarantine,
)
from magnoliahold.platform.rows import (
    MS_PER_S,
    ORDER_PREFIX,
    RowReader,
    StoreAnswerError,
    decode_page,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.defer import Deferred

    from magnoliahold.core.serving.moves import MoveRecord
    from magnoliahold.core.serving.peers import PeerRecord
    from magnoliahold.core.serving.suspicions import QuarantineRecord
    from magnoliahold.httpclient import HttpAnswer
    from magnoliahold.platform.rows import Page
    from magnoliahold.runtime import Reactor

TABLES = {
    Feed.CONFIGURATION: "op",
    Feed.UPSTREAMS: "servers",
    Feed.PEERS: "magnoliahold-entries",
    Feed.MOVES: "magnoliahold-moves",
    Feed.QUARANTINE: "magnoliahold-quarantine",
}
STATUS_TABLE = "status"
PAGE_ROWS = 500
OK = 200
GONE = 410
EPOCH_HEADER = "store-era"

logger = make_part_logger("store")


class _Written(msgspec.Struct):
    ver: BoundedInteger


_written_decoder = msgspec.json.Decoder(_Written)


@define(eq=False)
class StoreClient:
    """Reads the tables that an entry follows and writes the entry's own rows.

    Each followed table has a persistent connection of its own.
    """

    reactor: Reactor
    base_url: str
    post: Callable[[object], None]
    boot_clock: Callable[[], float]
    _clients: dict[Feed, HttpClient] = field(factory=dict)
    _epoch: int | None = None
    _reader: RowReader = field(factory=RowReader)

    def set_base_url(self, base_url: str) -> None:
        """Changes the address of the store for later calls."""
        if base_url != self.base_url:
            self.base_url = base_url
            self._clients.clear()

    def _read_epoch(self, answer: HttpAnswer) -> int | None:
        """Reads the epoch that an answer names, and remembers the newest one."""
        epoch = _read_epoch(answer)
        if epoch is not None:
            self._epoch = max(epoch, self._epoch or epoch)
        return epoch

    def _is_current(self, epoch: int | None) -> bool:
        """Tells whether a version that was read in an epoch may be expected now."""
        return epoch is None or self._epoch is None or epoch == self._epoch

    def read_feed(self, feed: Feed, call: int, timeout_s: float) -> None:
        """Reads a whole table; posts FeedRead or FeedFailed."""
        self._read_page(_TableRead(feed, call, timeout_s, self.boot_clock()), None)

    def long_poll_feed(
        self, feed: Feed, call: int, after: int, wait_s: float, timeout_s: float
    ) -> None:
        """Waits for changes after the version `after`.

        Posts FeedChanged, FeedHistoryGone or FeedFailed.
        """
        sent_at = self.boot_clock()
        query = {"after": after, "wait_ms": round(wait_s * MS_PER_S)}
        path = _make_path("rows-feed", feed, query)

        def handle_answer(answer: HttpAnswer, epoch: int | None) -> None:
            if answer.status == GONE:
                self.post(FeedHistoryGone(feed, call, epoch))
                return
            page = _read_page(answer)
            rows = self._reader.read_rows(feed, page.rows)
            event = FeedChanged(feed, call, rows, page.ver, sent_at, page.time_s, epoch)
            self.post(event)

        self._send(feed, call, path, timeout_s, handle_answer)

    def register_entry(self, record: PeerRecord, timeout_s: float) -> None:
        """Writes an entry's registration; posts EntryRegistered."""
        value = _encode_value(write_peer(record))
        row = {**_make_row_key(Feed.PEERS, record.name), "value": value}
        sending = self._transact({"puts": [row]}, timeout_s)

        def handle_answer(answer: HttpAnswer) -> None:
            done = answer.status == OK
            epoch = self._read_epoch(answer)
            self.post(EntryRegistered(done, f"answered {answer.status}", epoch))

        def handle_failure(failure: Any) -> None:
            self.post(EntryRegistered(False, str(failure.value)))

        sending.addCallback(handle_answer).addErrback(handle_failure)

    def remove_entry(
        self,
        name: str,
        row_version: int | None,
        timeout_s: float,
        epoch: int | None = None,
    ) -> None:
        """Removes a registration; if `row_version` is given, only at that version.

        Nothing is sent if the version was read in another epoch of the store.
        """
        if row_version is not None and not self._is_current(epoch):
            logger.info("Registration is not removed, the store was restored.")
            return
        row = _make_row_key(Feed.PEERS, name)
        expected = [] if row_version is None else [{**row, "ver": row_version}]
        changes = {"expect_rev": expected, "remove": [row]}

        def log_failure(failure: Any) -> None:
            logger.warning(
                "Removing registration failed.", entry=name, reason=str(failure.value)
            )

        def log_answer(answer: HttpAnswer) -> None:
            self._read_epoch(answer)
            if answer.status != OK:
                logger.warning(
                    "Registration is not removed.", entry=name, status=answer.status
                )

        sending = self._transact(changes, timeout_s)
        sending.addCallback(log_answer).addErrback(log_failure)

    def write_move(
        self,
        record: MoveRecord,
        expected_version: int,
        timeout_s: float,
        epoch: int | None = None,
    ) -> None:
        """Writes a step of a move and its status in one transaction.

        Nothing is written unless the row has `expected_version`, which was read in
        `epoch` of the store. Posts MoveWritten.
        """
        if not self._is_current(epoch):
            reason = "the store was restored since its row was read"
            self.post(MoveWritten(record, 0, reason, self._epoch))
            return
        move_row = _make_row_key(Feed.MOVES, record.service)
        status_row = {
            "table": STATUS_TABLE,
            "part": "",
            "key": ORDER_PREFIX + record.service,
        }
        changes = {
            "expect_rev": [{**move_row, "ver": expected_version}],
            "puts": [
                {**move_row, "value": _encode_value(write_move_record(record))},
                {**status_row, "value": _encode_value(write_move_status(record))},
            ],
        }

        def handle_answer(answer: HttpAnswer) -> None:
            answered_in = self._read_epoch(answer)
            if answer.status != OK:
                reason = f"answered {answer.status}"
                self.post(MoveWritten(record, 0, reason, answered_in))
                return
            version = _written_decoder.decode(answer.body).ver
            self.post(MoveWritten(record, version, "", answered_in))

        def handle_failure(failure: Any) -> None:
            self.post(MoveWritten(record, 0, str(failure.value)))

        self._transact(changes, timeout_s).addCallback(handle_answer).addErrback(
            handle_failure
        )

    def write_quarantine(self, record: QuarantineRecord, timeout_s: float) -> None:
        """Writes a quarantine; if that fails, only the entries' notices carry it."""
        value = _encode_value(write_quarantine(record))
        row = {**_make_row_key(Feed.QUARANTINE, record.fingerprint), "value": value}

        def log_failure(failure: Any) -> None:
            logger.warning(
                "Writing quarantine failed.",
                fingerprint=record.fingerprint,
                reason=str(failure.value),
            )

        def log_answer(answer: HttpAnswer) -> None:
            self._read_epoch(answer)
            if answer.status != OK:
                logger.warning(
                    "Quarantine is not written.",
                    fingerprint=record.fingerprint,
                    status=answer.status,
                )

        sending = self._transact({"puts": [row]}, timeout_s)
        sending.addCallback(log_answer).addErrback(log_failure)

    def _transact(
        self, changes: dict[str, Any], timeout_s: float
    ) -> Deferred[HttpAnswer]:
        body = {"expect_rev": [], "puts": [], "remove": [], **changes}
        return HttpClient(self.reactor, self.base_url).send(
            "POST",
            "/-/rows-tx",
            msgspec.json.encode(body),
            (("Content-Type", "application/json"),),
            timeout_s,
        )

    def _read_page(self, table_read: _TableRead, start: str | None) -> None:
        query: dict[str, Any] = {"part": "", "limit": PAGE_ROWS}
        if start is not None:
            query["from"] = start
        path = _make_path("rows-get", table_read.feed, query)

        def handle_answer(answer: HttpAnswer, epoch: int | None) -> None:
            page = _read_page(answer)
            table_read.add_page(page, epoch)
            if page.has_more and page.rows:
                # The smallest key above the last one read.
                self._read_page(table_read, table_read.keys[-1] + "\0")
                return
            rows = self._reader.read_rows(table_read.feed, table_read.rows)
            version = table_read.version or 0
            sent_at = table_read.sent_at
            event = FeedRead(
                table_read.feed,
                table_read.call,
                rows,
                version,
                sent_at,
                page.time_s,
                epoch,
                frozenset(table_read.keys) - {row.key for row in rows},
            )
            self.post(event)

        self._send(
            table_read.feed, table_read.call, path, table_read.timeout_s, handle_answer
        )

    def _send(
        self,
        feed: Feed,
        call: int,
        path: str,
        timeout_s: float,
        handle_answer: Callable[[HttpAnswer, int | None], None],
    ) -> None:
        epoch: int | None = None
        client = self._clients.get(feed)
        if client is None:
            client = HttpClient(self.reactor, self.base_url, persistent=True)
            self._clients[feed] = client

        def handle_any_answer(answer: HttpAnswer) -> None:
            nonlocal epoch
            epoch = self._read_epoch(answer)
            handle_answer(answer, epoch)

        def handle_failure(failure: Any) -> None:
            error = failure.value
            expected = (HttpExchangeError, StoreAnswerError)
            reason = str(error) if isinstance(error, expected) else repr(error)
            self.post(FeedFailed(feed, call, reason, epoch))

        sending = client.send("GET", path, timeout_s=timeout_s)
        sending.addCallback(handle_any_answer).addErrback(handle_failure)


@define(eq=False)
class _TableRead:
    """A table that is read page by page.

    `version` is the lowest one of all pages: a page may be newer than an earlier one,
    and changes between them must be read again. Pages of different epochs don't belong
    together.
    """

    feed: Feed
    call: int
    timeout_s: float
    sent_at: float
    rows: list[msgspec.Raw] = field(factory=list)
    keys: list[str] = field(factory=list)
    version: int | None = None
    epoch: int | None = None

    def add_page(self, page: Page, epoch: int | None) -> None:
        """Adds the rows of a page; raises StoreAnswerError if it doesn't follow."""
        if self.version is not None and epoch != self.epoch:
            raise StoreAnswerError("the store was restored between two pages")
        keys = page.list_keys()
        if page.has_more and page.rows and not keys:
            raise StoreAnswerError("no row of a page names its key")
        if self.keys and keys and keys[0] <= self.keys[-1]:
            raise StoreAnswerError("a page doesn't begin behind the one before")
        self.epoch = epoch
        self.rows.extend(page.rows)
        self.keys.extend(keys)
        if self.version is None or page.ver < self.version:
            self.version = page.ver


def _encode_value(document: bytes) -> str:
    return b64encode(document).decode("ascii")


def _make_row_key(feed: Feed, key: str) -> dict[str, Any]:
    return {"table": TABLES[feed], "part": "", "key": key}


def _make_path(call: str, feed: Feed, query: dict[str, Any]) -> str:
    return f"/-/{call}?{urlencode({'table': TABLES[feed], **query})}"


def _read_epoch(answer: HttpAnswer) -> int | None:
    """Reads the store's epoch; a malformed one is logged and counts as absent."""
    values = [value for name, value in answer.headers if name.lower() == EPOCH_HEADER]
    if not values:
        return None
    try:
        epoch: int | None = int(values[0])
    except ValueError:
        epoch = None
    if epoch is not None and abs(epoch) <= MAX_NUMBER:
        return epoch
    logger.gather("The store's epoch can't be read.", value=values[0])
    return None


def _read_page(answer: HttpAnswer) -> Page:
    if answer.status != OK:
        raise StoreAnswerError(f"the store answered {answer.status}")
    return decode_page(answer.body)
