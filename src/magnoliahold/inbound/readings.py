"""HTTP connections that are read in turns."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Any

from twisted.web.http import (
    HTTPChannel,
    _ChunkedTransferDecoder,
    _MalformedChunkedDataError,
)

from magnoliahold.httpchunks import ChunkDecoder

if TYPE_CHECKING:
    from magnoliahold.inbound.intake import Intake

# What reading a header line, and beginning a request, cost beside reading a chunk.
LINE_PARTS = 4
REQUEST_PARTS = 16
# More digits than any limit on bodies has.
MAX_LENGTH_DIGITS = 15
# Segments behind a request are joined, so that small ones take no more than they say.
MAX_SEGMENTS = 16


class HoldReason(Enum):
    """Why a connection isn't read on: TURN of others, or earlier ANSWERS that wait."""

    TURN = "turn"
    ANSWERS = "answers"


class PacedChannel(HTTPChannel):
    """A connection that reads in turns, and some parts of requests in each.

    `is_ending` is set once it has been rejected or closed: what still comes is not
    read. It has been quiet since `quiet_since`, on the process clock.
    """

    is_ending = False
    _drops_next = False

    def __init__(self, intake: Intake) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self.intake = intake
        self.quiet_since = intake.clock.seconds()
        self._parts_left = 0
        self._held_for: set[HoldReason] = set()

    @property
    def waits_for_turn(self) -> bool:
        """Whether bytes that came wait for the turns of other connections."""
        return HoldReason.TURN in self._held_for

    def note_progress(self) -> None:
        """Notes that the caller has sent or taken something, or may take an answer."""
        self.quiet_since = self.intake.clock.seconds()

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
