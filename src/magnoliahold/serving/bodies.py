"""Reads the bodies of answers from their connections, and pauses that."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.protocol import Protocol

from magnoliahold.core.serving.events import ReadingChanged
from magnoliahold.decoding import describe_error
from magnoliahold.serving.memory import SHORT_BYTES
from magnoliahold.serving.pieces import PieceSplitter

if TYPE_CHECKING:
    from magnoliahold.serving.exchanges import Exchange
    from magnoliahold.serving.upstreamexchanges import UpstreamExchanges


class AnswerReader(Protocol):
    """Reads an answer from its connection, unless that is paused."""

    def __init__(self, exchanges: UpstreamExchanges, exchange: Exchange) -> None:
        self._exchanges = exchanges
        self._exchange = exchange

    def pause(self) -> None:
        """Stops reading from the connection."""
        transport: Any = self.transport
        transport.pauseProducing()

    def resume(self) -> None:
        """Reads from the connection again."""
        transport: Any = self.transport
        transport.resumeProducing()


class BodyReader(AnswerReader):
    """Reads the body of an answer that is not a stream."""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._exchanges.add_body_bytes(self._exchange, data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self._exchanges.finish_body(self._exchange, reason, True)


class PieceReader(AnswerReader):
    """Splits the body of a stream into pieces."""

    def __init__(self, exchanges: UpstreamExchanges, exchange: Exchange) -> None:
        super().__init__(exchanges, exchange)
        self._splitter = PieceSplitter()

    def pause(self) -> None:
        """Stops reading, and reports that: the upstream isn't silent."""
        super().pause()
        self._exchanges.post(ReadingChanged(self._exchange.attempt, True))

    def resume(self) -> None:
        """Reads on, and reports that."""
        super().resume()
        self._exchanges.post(ReadingChanged(self._exchange.attempt, False))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        try:
            pieces = self._splitter.add_bytes(data)
        except Exception as error:
            # Good pieces and the bad one may have come together.
            self._exchanges.add_pieces(self._exchange, self._splitter.take_complete())
            self._exchanges.interrupt(self._exchange, describe_error(error))
            return
        self._exchanges.add_pieces(self._exchange, pieces)
        self._hold_rest()

    def _hold_rest(self) -> None:
        """Counts the bytes of a piece that isn't complete yet, if they are many."""
        buffered = self._splitter.buffered_bytes
        held = buffered if buffered > SHORT_BYTES else 0
        if held or self._exchange.part_bytes:
            self._exchanges.hold_part_of_piece(self._exchange, held)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self._exchange.rest = self._splitter.rest
        at_piece_boundary = self._splitter.is_at_piece_boundary
        self._exchanges.finish_body(self._exchange, reason, at_piece_boundary)
