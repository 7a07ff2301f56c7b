"""HTTP connections whose reading and holding is bounded."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Any

from twisted.internet.main import CONNECTION_DONE
from twisted.python.failure import Failure
from twisted.web.http import (
    HTTPChannel,
    _ChunkedTransferDecoder,
    _MalformedChunkedDataError,
)

from magnoliahold.inbound.chunks import ChunkDecoder
from magnoliahold.inbound.sockets import count_unwritten, count_write_buffer

if TYPE_CHECKING:
    from magnoliahold.inbound.connections import Closability, ConnectionTable
    from magnoliahold.inbound.intake import Intake

# What reading a header line, and beginning a request, cost beside reading a chunk.
LINE_PARTS = 4
REQUEST_PARTS = 16
# What a header field takes beside its bytes.
FIELD_BYTES = 400
# More digits than any limit on bodies has.
MAX_LENGTH_DIGITS = 15
# Segments behind a request are joined, so that small ones take no more than they say.
MAX_SEGMENTS = 16


class HoldReason(Enum):
    """Why a connection isn't read on: TURN of others, or earlier ANSWERS that wait."""

    TURN = "turn"
    ANSWERS = "answers"


class BoundedChannel(HTTPChannel):
    """A connection that counts what is held for it, and reads in turns.

    `is_ending` is set once it has been rejected or closed: what still comes is not
    read. Subclasses decide what is given up, and how.
    """

    is_ending = False
    _drops_next = False
    _lost_bytes = 0

    def __init__(self, intake: Intake, table: ConnectionTable) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self.intake = intake
        self.table = table
        self.quiet_since = intake.clock.seconds()
        self._parts_left = 0
        self._counted_unwritten = 0
        self._held_for: set[HoldReason] = set()

    @property
    def waits_for_turn(self) -> bool:
        """Whether bytes that came wait for the turns of other connections."""
        return HoldReason.TURN in self._held_for

    @property
    def unwritten_bytes(self) -> int:
        """How much of answers still waits to be written, or was lost by a reset."""
        return self._lost_bytes + count_unwritten(self.transport)

    @property
    def closability(self) -> Closability:
        """What the connection would lose if it were closed to make room."""
        raise NotImplementedError

    def close_for_room(self) -> None:
        """Closes the connection at once."""
        raise NotImplementedError

    def give_up(self) -> str:
        """Frees what can be freed of what is held; names what was given up."""
        raise NotImplementedError

    def count_buffered(self) -> int:
        """Counts the bytes that came behind what was read."""
        return len(self._buffer) + sum(map(len, self._dataBuffer))

    def count_head(self) -> int:
        """Counts what the head takes that is being read."""
        return int(self._receivedHeaderSize + FIELD_BYTES * self._receivedHeaderCount)

    def count_bodies(self) -> int:
        """Counts what the bodies and heads of its requests take."""
        return sum(item.count_held() for item in self.requests)

    def count_whole(self) -> int:
        """Counts the bytes of its requests that were read whole and run."""
        return self.count_bodies() if self._handlingRequest else 0

    def count_held(self) -> int:
        """Counts the bytes held for the connection."""
        if self.transport is None or self._lost_bytes:
            return 0
        unwritten = self.unwritten_bytes
        if unwritten < self._counted_unwritten:
            self.note_progress()
        self._counted_unwritten = unwritten
        incoming = self.count_buffered() + self.count_head() + self.count_bodies()
        outgoing = count_write_buffer(self.transport)
        return incoming + outgoing + self.intake.policy.connection_bytes

    def count_unfinished(self) -> int:
        """Counts the bytes that were read of what isn't a whole request yet."""
        bodies = 0 if self._handlingRequest else self.count_bodies()
        return self.count_buffered() + self.count_head() + bodies

    @property
    def holds_mostly_answers(self) -> bool:
        """Whether more is held of answers than of requests that aren't whole."""
        return count_write_buffer(self.transport) > self.count_unfinished()

    def count_releasable(self) -> int:
        """Counts the bytes that would be free if the connection were given up.

        A request that was read whole may run already; it is never given up. Nor is the
        short answer of a connection that is being closed.
        """
        if self.transport is None or self._lost_bytes:
            return 0
        outgoing = count_write_buffer(self.transport)
        if not self.is_ending:
            return outgoing + self.count_unfinished()
        return outgoing if outgoing > self.intake.policy.connection_bytes else 0

    def note_progress(self) -> None:
        """Notes that the caller has sent or taken something, or may take an answer."""
        self.quiet_since = self.intake.clock.seconds()

    def update_held(self) -> None:
        """Counts anew what is held."""
        if self in self.table.channels:
            self.intake.memory.update(self)

    def _update_unwritten(self) -> None:
        """Counts anew once much more waits to be written than was counted."""
        grown = self.unwritten_bytes - self._counted_unwritten
        if grown > self.intake.policy.connection_bytes:
            self.update_held()

    def writeHeaders(  # noqa: N802
        self, version: bytes, code: bytes, reason: bytes, headers: Any
    ) -> None:
        """Writes the head of an answer."""
        self.note_progress()
        super().writeHeaders(version, code, reason, headers)  # type: ignore[no-untyped-call]

    def write(self, data: bytes) -> None:
        """Writes a part of an answer."""
        super().write(data)  # type: ignore[no-untyped-call]
        self._update_unwritten()

    def writeSequence(self, iovec: Any) -> None:  # noqa: N802
        """Writes parts of an answer."""
        super().writeSequence(iovec)  # type: ignore[no-untyped-call]
        self._update_unwritten()

    def connectionMade(self) -> None:  # noqa: N802
        """Registers the connection."""
        super().connectionMade()  # type: ignore[no-untyped-call]
        self.table.add(self)
        self.update_held()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Frees all that was held."""
        self.is_ending = True
        self.table.discard(self)
        self.intake.turns.leave(self)
        super().connectionLost(reason)  # type: ignore[no-untyped-call]
        self.intake.memory.release(self)
        self._dataBuffer.clear()
        self._free_unwritten()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Reads what came, as far as the turn of this connection goes."""
        if self._busyReceiving:
            super().dataReceived(data)  # type: ignore[no-untyped-call]
            return
        if data:
            self.note_progress()
        if not self._held_for:
            self._parts_left = self.intake.turns.take_parts()
            if not self._parts_left:
                self._wait_for_turn()
        super().dataReceived(data)  # type: ignore[no-untyped-call]
        self.intake.turns.return_parts(max(0, self._parts_left))
        self._parts_left = 0
        self.update_held()

    def _use_parts(self, count: int) -> None:
        self._parts_left -= count
        if self._parts_left <= 0 and not self.is_ending:
            self._wait_for_turn()

    def _wait_for_turn(self) -> None:
        if self.waits_for_turn:
            return
        self.hold_reading(HoldReason.TURN)
        self.intake.turns.wait(self)

    def take_turn(self) -> None:
        """Reads on what waited for this connection's turn."""
        self.intake.turns.leave(self)
        self._parts_left = 0
        self.release_reading(HoldReason.TURN)
        if not self.is_ending:
            self.dataReceived(b"")

    def hold_reading(self, reason: HoldReason) -> None:
        """Reads no further."""
        self._held_for.add(reason)
        self.paused = True
        transport: Any = self.transport
        transport.pauseProducing()

    def release_reading(self, reason: HoldReason) -> None:
        """Lets reading go on, unless there is another reason against it."""
        self._held_for.discard(reason)
        self.paused = bool(self._held_for)
        if not self.paused and not self._waitingForTransport:
            transport: Any = self.transport
            transport.resumeProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Reads on, once answers have been written, unless the turn has to come."""
        super().resumeProducing()  # type: ignore[no-untyped-call]
        if self._held_for:
            transport: Any = self.transport
            transport.pauseProducing()
        self.update_held()

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Lets the request, whose body comes now, count for its head."""
        head_bytes = self.count_head()
        self._receivedHeaderSize = self._receivedHeaderCount = 0
        self.requests[-1].head_bytes = head_bytes
        super().allHeadersReceived()  # type: ignore[no-untyped-call]

    def _send100Continue(self) -> None:  # noqa: N802
        """Asks for the body, unless the request was rejected by its head."""
        if not self.is_ending:
            super()._send100Continue()  # type: ignore[no-untyped-call]

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Reads a header line."""
        if self.is_ending:
            return
        begun = len(self.requests)
        super().lineReceived(line)  # type: ignore[no-untyped-call]
        begins = len(self.requests) > begun
        self._use_parts(LINE_PARTS + (REQUEST_PARTS if begins else 0))

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Reads a body, or keeps what comes behind a request that is answered."""
        if self.is_ending or (self._handlingRequest and self._drops_next):
            return
        decoder: Any = self._transferDecoder
        if not self._handlingRequest and isinstance(decoder, ChunkDecoder):
            self._decode_chunks(decoder, data)
            return
        super().rawDataReceived(data)
        if len(self._dataBuffer) > MAX_SEGMENTS:
            self._dataBuffer[:] = [b"".join(self._dataBuffer)]

    def _decode_chunks(self, decoder: ChunkDecoder, data: bytes) -> None:
        try:
            used, rest = decoder.decode(data, self._parts_left)
        except _MalformedChunkedDataError:
            self._respondToBadRequestAndDisconnect()  # type: ignore[no-untyped-call]
            return
        if rest and not self.is_ending:
            self._buffer = rest + self._buffer
        self._use_parts(used)

    def _maybeChooseTransferDecoder(self, header: bytes, data: bytes) -> bool:  # noqa: N802
        """Chooses how the body is read; chunks are decoded in turns."""
        if header == b"Content-Length" and len(data) > MAX_LENGTH_DIGITS:
            return bool(self._failChooseTransferDecoder())
        chosen = super()._maybeChooseTransferDecoder(header, data)  # type: ignore[no-untyped-call]
        if isinstance(self._transferDecoder, _ChunkedTransferDecoder):
            self._transferDecoder = ChunkDecoder(
                self.requests[-1].handleContentChunk, self._finishRequestBody
            )
        return bool(chosen)

    def drop_next_requests(self) -> None:
        """Reads none of what came behind the request that is being answered.

        The connection ends behind that answer.
        """
        self._dataBuffer.clear()
        self._drops_next = True
        self.persistent = False

    def end_now(self) -> None:
        """Closes the connection, and frees at once what it held.

        With answers on it that weren't written, it is reset.
        """
        self.is_ending = True
        transport: Any = self.transport
        transport.unregisterProducer()
        if self.unwritten_bytes:
            transport.abortConnection()
            self._free_unwritten()
        else:
            transport.connectionLost(Failure(CONNECTION_DONE))

    def _free_unwritten(self) -> None:
        """Frees what can't be written any more; the collector may take long for that.

        It still counts as unwritten.
        """
        self._lost_bytes = self.unwritten_bytes
        transport: Any = self.transport
        transport.dataBuffer = b""
        transport.offset = 0
        transport._tempDataBuffer = []
        transport._tempDataLen = 0

    def drop_bodies(self) -> None:
        """Frees what was read of requests that are rejected, and came behind them."""
        self._dataBuffer.clear()
        self._buffer = b""
        for request in self.requests:
            request.drop_body()
