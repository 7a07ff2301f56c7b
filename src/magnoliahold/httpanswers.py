"""Parses HTTP answers as clients get them."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

from twisted.web._newclient import BODY, HTTPClientParser
from twisted.web.http import _DataLoss, _IdentityTransferDecoder

from magnoliahold.decoding import describe_error
from magnoliahold.headernames import read_connection_options
from magnoliahold.httpchunks import ChunkDecoder, ChunkState

if TYPE_CHECKING:
    from collections.abc import Callable

# A status is one of three digits from 100 to 599; the library reads any number.
STATUS_LINE = re.compile(rb"HTTP/1\.[0-9] [1-5][0-9]{2}(?: [\t\x20-\x7e\x80-\xff]*)?")
# Each line takes some hundred bytes beside its content. Those of interim heads count.
MAX_HEAD_LINES = 256
# So many bytes more than their content may frame chunks.
MAX_FRAMING_BYTES = 1024 * 1024
SWITCHING_PROTOCOLS = 101
FIRST_FINAL_STATUS = 200
# The first version with chunks, and with connections that stay open by default.
VERSION_1_1 = (b"HTTP", 1, 1)


class AnswerTooLongError(Exception):
    """A server sent more bytes for an answer, or a part of one, than are allowed."""


class MalformedAnswerError(Exception):
    """A server sent bytes that are no answer in the protocol."""


class AnswerChunkDecoder:
    """Decodes a chunked body; what came in one read is delivered at once.

    Chunks may be as small as a byte, and each delivery costs time and objects. Raises
    AnswerTooLongError if there is much more framing than content.
    """

    def __init__(
        self,
        on_content: Callable[[bytes], None],
        on_finished: Callable[[bytes], None],
    ) -> None:
        self._decoder = ChunkDecoder(self._add, on_finished)
        self._on_content = on_content
        self._content_bytes = 0
        self._framing_bytes = 0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Decodes what came in one read; raises an error if it is malformed."""
        self._framing_bytes += len(data)
        # Each chunk and each line of trailers takes a byte at least.
        self._decoder.decode(data, len(data))
        if self._framing_bytes > self._content_bytes + MAX_FRAMING_BYTES:
            raise AnswerTooLongError("the chunks are too small")

    def _add(self, content: bytes) -> None:
        self._framing_bytes -= len(content)
        self._content_bytes += len(content)
        self._on_content(content)

    def noMoreData(self) -> None:  # noqa: N802
        """Raises _DataLoss unless the body has ended."""
        if self._decoder.state is not ChunkState.FINISHED:
            raise _DataLoss("the connection ended within a chunked body")


class AnswerParser(HTTPClientParser):
    """Parses one answer; raises MalformedAnswerError if it is none."""

    _transferDecoders = {b"chunked": AnswerChunkDecoder}  # type: ignore[dict-item]  # noqa: N815

    _head_lines = 0

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Reads a line of a head."""
        self._head_lines += 1
        if self._head_lines > MAX_HEAD_LINES:
            raise AnswerTooLongError("the head has too many lines")
        try:
            super().lineReceived(line)  # type: ignore[no-untyped-call]
        except MalformedAnswerError:
            raise
        except Exception as error:
            # The library's errors quote what the server sent.
            raise MalformedAnswerError(describe_error(error)) from error

    @property
    def keeps_connection(self) -> bool:
        """Whether the server takes further requests on the connection."""
        options = read_connection_options(self.connHeaders)
        if self.response.version < VERSION_1_1:
            return "keep-alive" in options
        return "close" not in options

    @property
    def ends_with_connection(self) -> bool:
        """Whether a body is read that has neither a length nor chunks."""
        decoder = self.bodyDecoder
        return (
            self.state == BODY
            and isinstance(decoder, _IdentityTransferDecoder)
            and decoder.contentLength is None
        )

    def statusReceived(self, status: bytes) -> None:  # noqa: N802
        """Reads the status line."""
        if STATUS_LINE.fullmatch(status) is None:
            raise MalformedAnswerError("the status line can't be read")
        super().statusReceived(status)  # type: ignore[no-untyped-call]

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Begins the body; ignores an interim answer, of which many may come."""
        status = self.response.code
        if status == SWITCHING_PROTOCOLS:
            raise MalformedAnswerError("nobody asked for another protocol")
        if status < FIRST_FINAL_STATUS:
            self.connectionMade()  # type: ignore[no-untyped-call]
            del self.response
            return
        self._check_framing()
        super().allHeadersReceived()  # type: ignore[no-untyped-call]

    def _check_framing(self) -> None:
        """Checks that there is one way to find the end of the body."""
        codings = self.connHeaders.getRawHeaders(b"Transfer-Encoding")
        if codings is None:
            return
        if [coding.lower() for coding in codings] != [b"chunked"]:
            raise MalformedAnswerError("the transfer encoding is unknown")
        if self.connHeaders.hasHeader(b"Content-Length"):
            raise MalformedAnswerError("the body has both a length and chunks")
        if self.response.version < VERSION_1_1:
            raise MalformedAnswerError("the version has no chunks")


def replace_parser(connection: Any, request: Any) -> None:
    """Lets a connection read the answer to a request that it just sent strictly.

    The library chooses the class of its parser itself.
    """
    parser = AnswerParser(request, connection._finishResponse)  # type: ignore[no-untyped-call]
    parser.makeConnection(connection._transportProxy)  # type: ignore[no-untyped-call]
    parser._responseDeferred = connection._responseDeferred
    connection._parser = parser
