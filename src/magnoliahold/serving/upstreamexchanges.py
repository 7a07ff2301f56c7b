"""Sends attempts to upstreams and reports their results."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import define, field
from twisted.internet.protocol import Protocol
from twisted.web.client import ResponseDone
from twisted.web.http import PotentialDataLoss

from magnoliahold.core.serving.events import (
    AnswerReceived,
    AttemptInterrupted,
    AttemptNotSent,
    AttemptSent,
    PiecesReceived,
    StreamEnded,
    StreamOpened,
)
from magnoliahold.decoding import describe_error
from magnoliahold.httpconnections import describe_failure, is_timeout
from magnoliahold.platform.upstreams import (
    is_event_stream,
    list_answer_headers,
    read_answer_head,
    read_signal,
)
from magnoliahold.serving.bodies import BodyReader, PieceReader
from magnoliahold.serving.connections import (
    MAX_IDLE_S,
    ConnectionFactory,
    UpstreamConnection,
)
from magnoliahold.serving.exchanges import (
    Exchange,
    make_pool_key,
    make_request,
    measure_pieces,
)
from magnoliahold.serving.memory import AnswerMemory
from magnoliahold.serving.pieces import MAX_PIECE_BYTES
from magnoliahold.serving.probes import Probe

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.python.failure import Failure

    from magnoliahold.core.serving.effects import SendAttempt
    from magnoliahold.core.serving.events import AnswerHead
    from magnoliahold.core.serving.upstreams import UpstreamRecord
    from magnoliahold.runtime import Reactor
    from magnoliahold.serving.connections import ConnectionPool, PoolKey
    from magnoliahold.serving.exchanges import RequestContent
    from magnoliahold.serving.pieces import Piece

# Longest idle time of a connection for attempts that need a fresh one.
FRESH_MAX_IDLE_S = 1.0
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Of a body that can't be passed on so much is read, so that the connection can be kept.
MAX_DISCARDED_BYTES = 64 * 1024
# The framing of a body may take as many bytes as its content.
MAX_BODY_WIRE_BYTES = 2 * MAX_ANSWER_BYTES
# Pieces are taken when they arrive; this bounds those that nobody takes.
MAX_WAITING_BYTES = MAX_BODY_WIRE_BYTES
# What frames a piece is less than a quarter of it, unless chunks are tiny.
MAX_PIECE_WIRE_BYTES = MAX_PIECE_BYTES + MAX_PIECE_BYTES // 4


@define(eq=False)
class UpstreamExchanges:
    """The exchanges of an entry with its upstreams, by number of the attempt."""

    reactor: Reactor
    post: Callable[[object], None]
    pool: ConnectionPool
    memory: AnswerMemory = field(factory=AnswerMemory)
    _exchanges: dict[int, Exchange] = field(factory=dict)

    def send(self, effect: SendAttempt, content: RequestContent) -> None:
        """Sends a request on a pooled connection, or on a new one."""
        record = effect.upstream
        exchange = Exchange(
            effect.attempt,
            record,
            effect.request_id,
            last_piece=effect.resume_after,
            takes_stream=effect.takes_stream,
        )
        pool_key = exchange.pool_key
        self._exchanges[effect.attempt] = exchange
        pooled = self._acquire(pool_key, effect)
        if pooled is not None:
            self._send_on(exchange, pooled, effect, content)
            return
        factory = ConnectionFactory(
            UpstreamConnection(self.pool, pool_key),
            lambda reason: self._report_not_sent(exchange, reason),
            lambda opened: self._send_on(exchange, opened, effect, content),
        )
        exchange.connector = factory.connect(
            self.reactor, record, effect.connect_timeout_s
        )

    def _acquire(
        self, pool_key: PoolKey, effect: SendAttempt
    ) -> UpstreamConnection | None:
        """Takes a connection that suits the attempt out of the pool, if any does."""
        if effect.new_connection:
            return None
        max_idle_s = FRESH_MAX_IDLE_S if effect.fresh_connection else MAX_IDLE_S
        return self.pool.acquire(pool_key, max_idle_s)

    def _report_not_sent(self, exchange: Exchange, reason: Failure) -> None:
        if exchange.aborted:
            return
        message = f"no connection: {describe_failure(reason)}"
        self.post(AttemptNotSent(exchange.attempt, message, is_timeout(reason)))

    def _send_on(
        self,
        exchange: Exchange,
        connection: UpstreamConnection,
        effect: SendAttempt,
        content: RequestContent,
    ) -> None:
        if exchange.aborted:
            connection.reset_now()
            return
        exchange.connection = connection
        try:
            request = make_request(effect, content)
        except Exception as error:
            reason = f"the request can't be made: {describe_error(error)}"
            self._interrupt(exchange, reason, False)
            return
        self.post(AttemptSent(exchange.attempt))
        answer: Any = connection.request(request)
        answer.addCallbacks(
            lambda response: self._handle_head(exchange, response),
            lambda failure: self._report_interrupted(exchange, failure),
        )
        # What handles the head may fail, too.
        answer.addErrback(lambda failure: self._report_interrupted(exchange, failure))

    def _handle_head(self, exchange: Exchange, response: Any) -> None:
        try:
            exchange.head = head = self._read_head(exchange, response)
        except Exception as error:
            response.deliverBody(Protocol())
            reason = f"the head can't be read: {describe_error(error)}"
            self._interrupt(exchange, reason, False)
            return
        if exchange.aborted:
            return
        if head.request_id != exchange.request_id:
            self._end_with_foreign_answer(exchange, head, response)
            return
        self.memory.count(exchange, exchange.held_bytes)
        if exchange.is_stream:
            exchange.allow_bytes(MAX_PIECE_WIRE_BYTES)
            self.post(StreamOpened(exchange.attempt, head))
            exchange.reader = PieceReader(self, exchange)
            response.deliverBody(exchange.reader)
        else:
            exchange.allow_bytes(MAX_BODY_WIRE_BYTES)
            exchange.discards_body = head.not_run or not head.signed
            exchange.reader = BodyReader(self, exchange)
            response.deliverBody(exchange.reader)

    def _end_with_foreign_answer(
        self, exchange: Exchange, head: AnswerHead, response: Any
    ) -> None:
        """Reports an answer to another request without reading its body.

        The connection is reset: the attempt's own answer may still come on it.
        """
        exchange.finished = True
        response.deliverBody(Protocol())
        if exchange.connection is not None:
            exchange.connection.reset_now()
        self.post(AnswerReceived(exchange.attempt, head))

    def _read_head(self, exchange: Exchange, response: Any) -> AnswerHead:
        """Reads the head of an answer, which needn't be text."""
        self.report_signal(exchange.upstream, response)
        connection = exchange.connection
        if connection is not None:
            connection.update_idle_limit()
        exchange.status = response.code
        exchange.keep_headers(list_answer_headers(response.headers))
        exchange.is_stream = exchange.takes_stream and is_event_stream(
            response.code, response.headers
        )
        return read_answer_head(response.code, response.headers)

    def report_signal(self, record: UpstreamRecord, response: Any) -> None:
        """Reports what the headers of an answer say about their upstream."""
        signal = read_signal(record, response.code, response.headers)
        if signal is not None:
            self.post(signal)

    def add_body_bytes(self, exchange: Exchange, data: bytes) -> None:
        """Adds bytes to the body of an answer; one that is too long is a failure.

        What can't be passed on isn't kept.
        """
        if exchange.aborted or exchange.interrupted:
            return
        exchange.size += len(data)
        limit = MAX_DISCARDED_BYTES if exchange.discards_body else MAX_ANSWER_BYTES
        if exchange.size > limit:
            self._interrupt(exchange, "the answer is too long", False)
        elif not exchange.discards_body:
            exchange.body.add(data)
            self.memory.hold(exchange, exchange.held_bytes)

    def add_pieces(self, exchange: Exchange, pieces: list[Piece]) -> None:
        """Adds complete pieces of a stream and reports those that are new."""
        if exchange.aborted or exchange.interrupted:
            return
        new = exchange.drop_repeated(pieces)
        if not new:
            return
        size = measure_pieces(new)
        if exchange.size + size > MAX_WAITING_BYTES:
            self._interrupt(exchange, "too much of the stream waits", False)
            return
        exchange.allow_bytes(MAX_PIECE_WIRE_BYTES)
        exchange.pieces.extend(new)
        exchange.size += size
        self.memory.hold(exchange, exchange.held_bytes)
        self.post(PiecesReceived(exchange.attempt, new[-1].number, len(new)))

    def hold_part_of_piece(self, exchange: Exchange, size: int) -> None:
        """Sets how much is held of a piece that isn't complete yet."""
        if not exchange.aborted and not exchange.interrupted:
            exchange.part_bytes = size
            self.memory.hold(exchange, exchange.held_bytes)

    def take_pieces(self, exchange: Exchange) -> list[Piece]:
        """Removes and returns the pieces of a stream that were not yet delivered."""
        pieces = exchange.take_pieces()
        if pieces and not (exchange.interrupted or exchange.finished):
            self.memory.hold(exchange, exchange.held_bytes)
        return pieces

    def interrupt(self, exchange: Exchange, reason: str) -> None:
        """Reports an attempt as failed by what its upstream sent."""
        self._interrupt(exchange, reason, False)

    def finish_body(
        self, exchange: Exchange, reason: Failure, at_piece_boundary: bool
    ) -> None:
        """Reports the end of an answer, complete or interrupted."""
        if exchange.aborted or exchange.interrupted:
            return
        rejection = exchange.rejection
        if rejection is not None:
            self._interrupt(exchange, describe_failure(rejection), False)
        elif not at_piece_boundary:
            self._interrupt(exchange, "the stream ended within a piece", True)
        elif not self._is_complete(exchange, reason):
            self._report_interrupted(exchange, reason)
        else:
            exchange.finished = True
            if exchange.is_stream:
                self.memory.release(exchange)
                self.post(StreamEnded(exchange.attempt, bool(exchange.rest)))
            elif exchange.head is not None:
                self.memory.complete(exchange)
                self.post(AnswerReceived(exchange.attempt, exchange.head))

    def _is_complete(self, exchange: Exchange, reason: Failure) -> bool:
        """Returns whether a body is complete.

        A body without a length is complete if the upstream closed the connection
        rather than resetting it; a stream has a piece, too.
        """
        if reason.check(ResponseDone):
            return True
        if exchange.is_stream and exchange.last_piece is None:
            return False
        connection = exchange.connection
        closed = connection is not None and connection.closed_cleanly
        return reason.check(PotentialDataLoss) is not None and closed

    def _report_interrupted(self, exchange: Exchange, failure: Failure) -> None:
        if exchange.aborted:
            return
        connection = exchange.connection
        lost = connection is not None and connection.close_reason is not None
        lost = lost and exchange.rejection is None
        self._interrupt(exchange, describe_failure(failure), lost)

    def _interrupt(self, exchange: Exchange, reason: str, reset: bool) -> None:
        """Reports an attempt as failed, once, and reads no more of its answer."""
        if exchange.aborted or exchange.finished or exchange.interrupted:
            return
        exchange.interrupted = True
        self._free_body(exchange)
        if exchange.connection is not None:
            exchange.connection.reset_now()
        self.post(AttemptInterrupted(exchange.attempt, reason, reset))

    def abort(self, attempt: int) -> None:
        """Resets the connection of an attempt, unless its answer is complete."""
        exchange = self._exchanges.pop(attempt, None)
        if exchange is None or exchange.aborted:
            return
        exchange.aborted = True
        self._free_body(exchange)
        if exchange.finished:
            return
        if exchange.connection is not None:
            exchange.connection.reset_now()
            self.pool.close_idle(exchange.pool_key)
        elif exchange.connector is not None:
            exchange.connector.disconnect()

    def find(self, attempt: int) -> Exchange | None:
        """Returns the exchange of an attempt that was neither aborted nor removed."""
        return self._exchanges.get(attempt)

    def remove(self, attempt: int) -> Exchange | None:
        """Removes and returns an exchange whose answer is complete.

        Until then the answer is held.
        """
        exchange = self._exchanges.pop(attempt, None)
        if exchange is not None:
            self.memory.release(exchange)
        return exchange

    def _free_body(self, exchange: Exchange) -> None:
        """Frees what was held of an answer that isn't passed on."""
        exchange.body.clear()
        self.memory.release(exchange)

    def probe(self, record: UpstreamRecord, timeout_s: float) -> None:
        """Probes an upstream on a new connection.

        Any answer counts as a success, unless another upstream has the address. Its
        body is read only so that the connection can be reused.
        """
        connection = UpstreamConnection(self.pool, make_pool_key(record))
        Probe(self, record, connection, timeout_s).start()
