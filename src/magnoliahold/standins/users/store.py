"""A simulated users' store with rows, transactions, long polls and faults."""

from __future__ import annotations

import json
from base64 import b64decode, b64encode
from enum import Enum
from typing import TYPE_CHECKING, Any

from attrs import define, field, frozen
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

if TYPE_CHECKING:
    from magnoliahold.runtime import Clock

MS_PER_S = 1000.0
NORMAL_DELAY_S = 0.004
EPOCH_HEADER = b"Store-Era"


class StoreState(Enum):
    """How the store answers.

    UNAVAILABLE answers 503, SILENT never answers, and RESETTING resets the connection.
    SLOW answers after a delay. LOSING executes transactions without answering them.
    """

    UP = "up"
    UNAVAILABLE = "unavailable"
    SILENT = "silent"
    RESETTING = "resetting"
    SLOW = "slow"
    LOSING = "losing"


@frozen
class RowKey:
    """The table and key of a row."""

    table: str
    key: str


@frozen
class StoredRow:
    """A value, or None if the row was removed, and the version of its last change."""

    version: int
    value: bytes | None


@frozen
class StoreCopy:
    """The rows and the version of a store at one time."""

    version: int
    rows: dict[RowKey, StoredRow]


@define(eq=False)
class _Poll:
    """A long poll that waits for a change to a table."""

    table: str
    after: int
    request: Any
    timer: Any = None


@define(eq=False)
class UsersStore(Resource):
    """Rows that share one version counter; `slow_s` is the delay of slow answers.

    `epoch` rises by one with each restore from a copy, and all answers name it.
    """

    clock: Clock
    epoch: int = 1
    state: StoreState = StoreState.UP
    slow_s: float = 0.3
    version: int = 1
    oldest: int = 0
    rows: dict[RowKey, StoredRow] = field(factory=dict)
    _polls: list[_Poll] = field(factory=list)

    isLeaf = True  # noqa: N815

    def __attrs_post_init__(self) -> None:
        super().__init__()  # type: ignore[no-untyped-call]

    def put(self, table: str, key: str, document: Any) -> int:
        """Writes a row as an operator or an upstream would; returns its version."""
        content = document if isinstance(document, bytes) else json.dumps(document)
        value = content if isinstance(content, bytes) else content.encode()
        return self._apply({RowKey(table, key): value})

    def remove(self, table: str, key: str) -> None:
        """Removes a row."""
        self._apply({RowKey(table, key): None})

    def read(self, table: str, key: str) -> Any:
        """Returns a document, or None if there is none."""
        row = self.rows.get(RowKey(table, key))
        return json.loads(row.value) if row and row.value is not None else None

    def discard_history(self) -> None:
        """Discards the change history, so that feeds have to read all rows again."""
        self.oldest = self.version
        self._refuse_polls()

    def copy_rows(self) -> StoreCopy:
        """Copies all rows, to restore them later."""
        return StoreCopy(self.version, dict(self.rows))

    def restore(self, copy: StoreCopy) -> None:
        """Replaces all rows by those of a copy; later versions are given out again."""
        self.epoch += 1
        self.version = copy.version
        self.rows = dict(copy.rows)
        self.oldest = min(self.oldest, copy.version)
        self._refuse_polls()

    def _refuse_polls(self) -> None:
        """Tells all waiting polls that their history is gone."""
        for poll in list(self._polls):
            self._finish(poll, 410, {})

    def _apply(self, changes: dict[RowKey, bytes | None]) -> int:
        self.version += 1
        for key, value in changes.items():
            self.rows[key] = StoredRow(self.version, value)
        tables = {key.table for key in changes}
        for poll in [item for item in self._polls if item.table in tables]:
            self._answer_poll(poll)
        return self.version

    def render(self, request: Any) -> Any:
        """Answers a request as the state requires."""
        state = self.state
        request.notifyFinish().addErrback(lambda _: None)
        if state is StoreState.RESETTING:
            request.channel.transport.abortConnection()
        elif state is StoreState.UNAVAILABLE:
            self._reply(request, 503, {})
        elif state is not StoreState.SILENT:
            delay_s = self.slow_s if state is StoreState.SLOW else NORMAL_DELAY_S
            lose_answer = state is StoreState.LOSING and request.method == b"POST"
            self.clock.callLater(delay_s, self._serve, request, lose_answer)
        return NOT_DONE_YET

    def _serve(self, request: Any, lose_answer: bool) -> None:
        path = request.path.decode()
        if path == "/-/rows-tx":
            status, body = self._transact(json.loads(request.content.read()))
            if not lose_answer:
                self._reply(request, status, body)
        elif path == "/-/rows-feed":
            self._start_poll(request)
        else:
            table = request.args[b"table"][0].decode()
            self._reply(
                request, 200, self._make_body(self._list_rows(table, -1, False))
            )

    def _transact(self, body: Any) -> tuple[int, Any]:
        for row in body["expect_rev"]:
            stored = self.rows.get(_read_key(row))
            version = stored.version if stored and stored.value is not None else 0
            if version != row["ver"]:
                return 412, self._make_body([])
        changes: dict[RowKey, bytes | None] = {
            _read_key(row): b64decode(row["value"]) for row in body["puts"]
        }
        changes.update({_read_key(row): None for row in body["remove"]})
        self._apply(changes)
        return 200, self._make_body([])

    def _start_poll(self, request: Any) -> None:
        after = int(request.args[b"after"][0])
        wait_s = int(request.args[b"wait_ms"][0]) / MS_PER_S
        poll = _Poll(request.args[b"table"][0].decode(), after, request)
        self._polls.append(poll)
        if not self.oldest <= after <= self.version:
            self._finish(poll, 410, {})
        elif self._list_rows(poll.table, after, True):
            self._answer_poll(poll)
        else:
            poll.timer = self.clock.callLater(wait_s, self._answer_poll, poll)

    def _answer_poll(self, poll: _Poll) -> None:
        rows = self._list_rows(poll.table, poll.after, True)
        self._finish(poll, 200, self._make_body(rows))

    def _finish(self, poll: _Poll, status: int, body: Any) -> None:
        self._polls.remove(poll)
        if poll.timer is not None and poll.timer.active():
            poll.timer.cancel()
        if self.state in (StoreState.UP, StoreState.SLOW, StoreState.LOSING):
            self._reply(poll.request, status, body)

    def _list_rows(self, table: str, after: int, include_removed: bool) -> list[Any]:
        documents = []
        for key, row in sorted(self.rows.items(), key=lambda item: item[0].key):
            if key.table != table or row.version <= after:
                continue
            if row.value is None:
                if include_removed:
                    documents.append(
                        {"key": key.key, "ver": row.version, "removed": True}
                    )
                continue
            value = b64encode(row.value).decode()
            documents.append({"key": key.key, "ver": row.version, "value": value})
        return documents

    def _make_body(self, rows: list[Any]) -> Any:
        now_ms = self.clock.seconds() * MS_PER_S
        return {"rows": rows, "ver": self.version, "now_ms": now_ms, "has_more": False}

    def _reply(self, request: Any, status: int, body: Any) -> None:
        if request._disconnected or request.finished:
            return
        request.setResponseCode(status)
        request.setHeader(b"Content-Type", b"application/json")
        request.setHeader(EPOCH_HEADER, str(self.epoch).encode())
        request.write(json.dumps(body).encode())
        request.finish()


def _read_key(row: Any) -> RowKey:
    return RowKey(row["table"], row["key"])
