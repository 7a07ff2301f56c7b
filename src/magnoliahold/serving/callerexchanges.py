"""Requests of callers and the answers that are written to them."""

from __future__ import annotations

from io import BytesIO
from typing import TYPE_CHECKING, Any

from twisted.web.http import Request

from magnoliahold.httpconnections import MAX_UNSENT_BYTES
from magnoliahold.serving.connectionends import EndCause

if TYPE_CHECKING:
    from magnoliahold.serving.callers import Callers


class CallerExchange(Request):
    """One request of a caller and its answer.

    `ended` is set once the answer is complete or aborted, or the connection is closed.
    `end_cause` is why the connection ends if it closes after this answer.
    """

    handle = 0
    head_bytes = 0
    body_bytes = 0
    body_limit = 0
    ended = False
    _is_head_checked = False
    end_cause = EndCause.ANSWERED

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Buffers the body in memory: its size is limited, and there is no disk.

        A later limit doesn't apply: it could let a body pass that was cut.
        """
        self.body_limit = self._callers.limits.body_bytes
        self.content = BytesIO()
        if length is not None:
            self._check_length(length)

    @property
    def is_too_large(self) -> bool:
        """Whether the body is larger than a body may be, as far as it was read."""
        return self.body_bytes > self.body_limit

    def _check_length(self, length: int) -> None:
        """Rejects the request if a body of this length isn't to be read to its end.

        Only a caller who may be served can make the entry hold a long one. What is a
        little too large is discarded, so that requests behind it can be answered.
        """
        channel: Any = self.channel
        short_bytes = channel.intake.policy.short_bytes
        if length > self.body_limit + short_bytes:
            channel.reject(EndCause.BODY_TOO_LARGE)
        elif length > short_bytes and not self._is_head_checked:
            self._is_head_checked = True
            self._callers.check_head(self)

    def parseCookies(self) -> None:  # noqa: N802
        """Doesn't parse cookies; the upstream does."""

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Adds to the body, of which nothing is kept once it is too large."""
        if self.ended:
            return
        self.body_bytes += len(data)
        self._check_length(self.body_bytes)
        if self.is_too_large:
            self.content = BytesIO()
        elif not self.ended:
            super().handleContentChunk(data)  # type: ignore[no-untyped-call]

    def count_held(self) -> int:
        """Counts the bytes that the request takes, and its copy on the way upstream."""
        if self.is_too_large:
            return self.head_bytes
        copied_bytes = min(self.body_bytes, MAX_UNSENT_BYTES)
        return self.head_bytes + self.body_bytes + copied_bytes

    def drop_body(self) -> None:
        """Frees the body of a request that is rejected."""
        self.head_bytes = self.body_bytes = 0
        self.content = BytesIO()

    def requestReceived(  # noqa: N802
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Passes on a request that has been read completely."""
        self.method = command
        self.uri = path
        self.clientproto = version
        self._callers.handle_request(self)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Reports a caller that disconnected before its answer was complete."""
        callers = self._callers
        ended = self.ended
        self.ended = True
        super().connectionLost(reason)  # type: ignore[no-untyped-call]
        if not ended:
            callers.handle_disconnect(self)

    @property
    def _callers(self) -> Callers:
        channel: Any = self.channel
        callers: Callers = channel.factory.callers
        return callers

    def find_id(self) -> str:
        """Finds the id that the caller gave the request; it may be empty."""
        ids = self.requestHeaders.getRawHeaders(b"Request-Id") or [b""]
        return str(ids[0].decode("ascii", "replace"))

    @property
    def is_half_closed(self) -> bool:
        """Whether the caller has closed its writing side."""
        channel: Any = self.channel
        return channel is not None and channel.left_cause is not None

    def close_connection_after(self) -> None:
        """Makes the connection close after this answer."""
        channel: Any = self.channel
        channel.persistent = False
        self.responseHeaders.setRawHeaders(b"Connection", [b"close"])

    def close_connection_unless_begun(self) -> None:
        """Does the same, unless the head of this answer was written without it."""
        if not self.startedWriting:
            self.close_connection_after()

    def close_connection_unless_used(self) -> None:
        """Does the same, unless the caller has already sent or may send a next request.

        A close that the headers of this answer didn't announce is no close to a caller.
        The next request is answered too; the connection closes after the last.
        """
        channel: Any = self.channel
        if self.startedWriting:
            channel.expect_request()
        elif not channel.has_next_request:
            self.close_connection_after()

    def start_answer(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Sets status and headers; they are sent with the first bytes of the body."""
        self.setResponseCode(status)
        for name, value in headers:
            self.responseHeaders.addRawHeader(name, value)

    def finish_answer(self) -> None:
        """Ends the answer as complete."""
        self.ended = True
        self.finish()  # type: ignore[no-untyped-call]

    def write_complete_answer(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Writes an answer with a known length and ends it."""
        self.start_answer(status, headers)
        length = str(len(body)).encode()
        self.responseHeaders.setRawHeaders(b"Content-Length", [length])
        self.write(body)  # type: ignore[no-untyped-call]
        self.finish_answer()

    def abort_answer(self, cause: EndCause) -> None:
        """Ends the connection, so that the answer doesn't look complete.

        A reset would destroy an answer before this one that its caller hasn't taken
        yet, and what a half-closed caller would get of this one. Chunks without a last
        one are an incomplete answer as well.
        """
        self.ended = True
        channel: Any = self.channel
        if channel is None:
            return
        channel.end_cause = cause
        has_begun_unseen = self.is_half_closed and channel.unwritten_bytes
        is_owed = has_begun_unseen or channel.owes_answer_before(self.sentLength)
        if self.chunked and is_owed:
            channel.loseConnection()
        else:
            channel.transport.abortConnection()
