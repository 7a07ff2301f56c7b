"""HTTP client connections that read a bounded number of bytes for an answer."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING, Any

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure
from twisted.web._newclient import HTTP11ClientProtocol

from magnoliahold.httpanswers import AnswerTooLongError, replace_parser
from magnoliahold.logs import make_part_logger

if TYPE_CHECKING:
    from collections.abc import Callable

# Interim heads count as part of the head that follows them.
MAX_HEAD_BYTES = 64 * 1024
# How long a connection that is being closed may wait for the rest of its request.
CLOSE_TIMEOUT_S = 0.5

# The state of a connection whose request isn't written whole.
TRANSMITTING = "TRANSMITTING"

logger = make_part_logger("http")


class BoundedClientProtocol(HTTP11ClientProtocol):
    """A connection that is reset when an answer on it goes beyond its bounds.

    The bounds count the bytes on the wire, so that they hold for what is no content,
    too: `max_body_bytes` in a body, unless `allow_bytes` sets another bound for what is
    left of it. `rejection` is set when this end gave up an answer, which was too long
    or malformed. `dirty` is set when bytes arrived that belong to no answer; such a
    connection is not reused.
    """

    def __init__(
        self, on_quiescent: Callable[[Any], None], max_body_bytes: float = math.inf
    ) -> None:
        super().__init__(self._handle_quiescent)  # type: ignore[no-untyped-call]
        self.dirty = False
        self._on_quiescent = on_quiescent
        self.rejection: Failure | None = None
        self._max_body_bytes = max_body_bytes
        self._allowed_bytes: float = 0

    def request(self, request: Any) -> Any:
        """Sends a request; bounds the head of its answer."""
        is_free = self.state == "QUIESCENT"
        self.allow_bytes(MAX_HEAD_BYTES)
        answer: Any = super().request(request)
        if is_free and self._parser is not None:
            replace_parser(self, request)
        if self.state == TRANSMITTING and self._responseDeferred is not None:
            self._responseDeferred.addCallback(self._begin_early_answer)
        return answer.addCallback(self._begin_body)

    def _begin_early_answer(self, response: Any) -> Any:
        """Passes on an answer that begins before its request is written whole.

        Nothing else may follow that request on the connection.
        """
        if self.state == TRANSMITTING:
            self.dirty = True
            self._state = "WAITING"
            finished: Any = self._finishedRequest
            finished.callback(response)
        return response

    def allow_bytes(self, count: float) -> None:
        """Sets how many more bytes of the current answer may arrive."""
        self._allowed_bytes = count

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Reads bytes of an answer; gives up one that is too long or not expected."""
        if self.state == "QUIESCENT":
            self.dirty = True
            self._reset_dirty()
            return
        self._allowed_bytes -= len(data)
        super().dataReceived(data)  # type: ignore[no-untyped-call]
        transport: Any = self.transport
        if self._parser is None:
            return
        # A parser that finds a line too long only asks for the connection's end.
        if self._allowed_bytes < 0 or transport.disconnecting:
            self._giveUp(Failure(AnswerTooLongError("the answer is too long")))

    def reset_now(self) -> None:
        """Resets the connection, so that the server notices at once."""
        transport: Any = self.transport
        if transport is not None:
            transport.abortConnection()

    def _finishResponse(self, rest: bytes) -> None:  # noqa: N802
        """Marks the connection as dirty if bytes follow the end of an answer.

        It isn't kept either if the server closes it.
        """
        self.dirty = self.dirty or bool(rest)
        parser: Any = self._parser
        request: Any = self._currentRequest
        if parser is not None and not parser.keeps_connection:
            request.persistent = False
        super()._finishResponse(rest)

    def _handle_quiescent(self, _: Any) -> None:
        if self.dirty:
            self._reset_dirty()
        else:
            self._on_quiescent(self)

    def _reset_dirty(self) -> None:
        transport: Any = self.transport
        peer = transport.getPeer()
        logger.gather(
            "Connection reset, bytes belong to no answer.",
            level=logging.INFO,
            address=f"{peer.host}:{peer.port}",
        )
        self.reset_now()

    def _begin_body(self, response: Any) -> Any:
        self.allow_bytes(self._max_body_bytes)
        return response

    def _giveUp(self, reason: Failure) -> None:  # noqa: N802
        """Closes the connection after a complete answer, else resets it."""
        if reason.check(ConnectionDone):
            super()._giveUp(reason)  # type: ignore[no-untyped-call]
            transport: Any = self.transport
            transport.reactor.callLater(CLOSE_TIMEOUT_S, self.reset_now)
            return
        self.rejection = reason
        self.reset_now()
        # A request that is still being written fails with its connection.
        if self.state != TRANSMITTING:
            self._disconnectParser(reason)  # type: ignore[no-untyped-call]


class BoundedClientFactory(Factory):
    """Makes the connections of a pool."""

    noisy = False

    def __init__(
        self, max_body_bytes: float, on_quiescent: Callable[[Any], None], _: str
    ) -> None:
        self._max_body_bytes = max_body_bytes
        self._on_quiescent = on_quiescent

    def buildProtocol(self, addr: Any) -> BoundedClientProtocol:  # noqa: N802
        """Makes a connection."""
        return BoundedClientProtocol(self._on_quiescent, self._max_body_bytes)
