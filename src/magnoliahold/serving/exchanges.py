"""One attempt at an upstream: its connection and the answer received so far."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import define, field, frozen
from twisted.web._newclient import Request

from magnoliahold.bodybuffers import BodyBuffer
from magnoliahold.httpconnections import BytesProducer
from magnoliahold.platform.upstreams import make_upstream_headers

if TYPE_CHECKING:
    from twisted.python.failure import Failure
    from twisted.web.http_headers import Headers

    from magnoliahold.core.serving.effects import SendAttempt
    from magnoliahold.core.serving.events import AnswerHead
    from magnoliahold.core.serving.upstreams import UpstreamRecord
    from magnoliahold.serving.bodies import AnswerReader
    from magnoliahold.serving.connections import PoolKey, UpstreamConnection
    from magnoliahold.serving.memory import PauseReason
    from magnoliahold.serving.pieces import Piece

# What a header takes beside its name and value: a list and the library's table have it.
HEADER_OBJECT_BYTES = 300
# What a piece takes beside its content.
PIECE_OBJECT_BYTES = 150


@frozen
class RequestContent:
    """A caller's request as received; upstreams get it with changed headers."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes


@define(eq=False)
class Exchange:
    """One attempt, its connection, and the part of its answer received so far.

    If it `is_stream`, `pieces` are the complete pieces not yet delivered to the caller,
    and `last_piece` is the highest number so far, `rest` what came behind it when the
    stream has ended. Else `body` is what came of the body, unless it `discards_body`.
    Only an attempt that `takes_stream` gets a stream. `size` counts the bytes of
    either, those of pieces with their objects, `part_bytes` those of a piece that isn't
    complete, and `head_bytes` those of the headers. `aborted` is set when its result is
    no longer wanted, `finished` when its answer is complete, and `interrupted` when it
    was reported as a failure. `reader` reads the body, unless it is `paused_by`
    something.
    """

    attempt: int
    upstream: UpstreamRecord
    request_id: str = ""
    connection: UpstreamConnection | None = None
    connector: Any = None
    aborted: bool = False
    finished: bool = False
    interrupted: bool = False
    is_stream: bool = False
    status: int = 0
    head: AnswerHead | None = None
    headers: list[tuple[bytes, bytes]] = field(factory=list)
    body: BodyBuffer = field(factory=BodyBuffer)
    discards_body: bool = False
    size: int = 0
    part_bytes: int = 0
    head_bytes: int = 0
    pieces: list[Piece] = field(factory=list)
    last_piece: int | None = None
    takes_stream: bool = True
    rest: bytes = b""
    reader: AnswerReader | None = None
    paused_by: set[PauseReason] = field(factory=set)

    @property
    def pool_key(self) -> PoolKey:
        """The key of the upstream's connections in the pool."""
        return make_pool_key(self.upstream)

    @property
    def rejection(self) -> Failure | None:
        """Why its connection gave up the answer, if it did."""
        return self.connection.rejection if self.connection is not None else None

    @property
    def held_bytes(self) -> int:
        """What the answer takes in memory, with its objects."""
        content_bytes = self.size if self.is_stream else len(self.body)
        return self.head_bytes + content_bytes + self.part_bytes

    def keep_headers(self, headers: list[tuple[bytes, bytes]]) -> None:
        """Keeps the headers that are passed on."""
        self.headers = headers
        self.head_bytes = sum(
            len(name) + len(value) + HEADER_OBJECT_BYTES for name, value in headers
        )

    def allow_bytes(self, count: int) -> None:
        """Bounds what may arrive on the connection until this is called again."""
        if self.connection is not None:
            self.connection.allow_bytes(count)

    def take_pieces(self) -> list[Piece]:
        """Removes and returns the pieces that were not yet delivered."""
        pieces = self.pieces
        self.pieces = []
        self.size = 0
        return pieces

    def pause_reading(self, reason: PauseReason) -> None:
        """Reads no more of a body, so that its upstream has to wait."""
        if self.reader is None or self.finished:
            return
        if not self.paused_by:
            self.reader.pause()
        self.paused_by.add(reason)

    def resume_reading(self, reason: PauseReason) -> None:
        """Reads a body on, unless it is paused for another reason, too."""
        if self.reader is None or reason not in self.paused_by:
            return
        self.paused_by.remove(reason)
        if not self.paused_by:
            self.reader.resume()

    def drop_repeated(self, pieces: list[Piece]) -> list[Piece]:
        """Returns the pieces whose number is higher than all before it."""
        new = []
        for piece in pieces:
            if self.last_piece is None or piece.number > self.last_piece:
                self.last_piece = piece.number
                new.append(piece)
        return new


def measure_pieces(pieces: list[Piece]) -> int:
    """Measures the bytes that pieces take with their objects."""
    return sum(len(piece.content) + PIECE_OBJECT_BYTES for piece in pieces)


def make_request(effect: SendAttempt, content: RequestContent) -> Any:
    """Makes the request that an upstream gets for a caller's."""
    headers = make_upstream_headers(content.headers, effect)
    body = BytesProducer(content.body) if content.body else None
    return Request._construct(
        content.method, content.target, headers, body, persistent=True
    )


def make_pool_key(record: UpstreamRecord) -> PoolKey:
    """Makes the key of an upstream's connections in the pool."""
    return (record.id, record.address, record.port)
