"""Parses HTTP answers as clients get them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.web._newclient import HTTPClientParser
from twisted.web.http import _DataLoss

from magnoliahold.httpchunks import ChunkDecoder, ChunkState

if TYPE_CHECKING:
    from collections.abc import Callable


class AnswerChunkDecoder:
    """Decodes a chunked body; what came in one read is delivered at once.

    Chunks may be as small as a byte, and each delivery costs time and objects.
    """

    def __init__(
        self,
        on_content: Callable[[bytes], None],
        on_finished: Callable[[bytes], None],
    ) -> None:
        self._decoder = ChunkDecoder(on_content, on_finished)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Decodes what came in one read; raises an error if it is malformed."""
        # Each chunk and each line of trailers takes a byte at least.
        self._decoder.decode(data, len(data))

    def noMoreData(self) -> None:  # noqa: N802
        """Raises _DataLoss unless the body has ended."""
        if self._decoder.state is not ChunkState.FINISHED:
            raise _DataLoss("the connection ended within a chunked body")


class AnswerParser(HTTPClientParser):
    """Parses one answer."""

    _transferDecoders = {b"chunked": AnswerChunkDecoder}  # type: ignore[dict-item]  # noqa: N815


def replace_parser(connection: Any, request: Any) -> None:
    """Lets a connection read the answer to a request that it just sent strictly.

    The library chooses the class of its parser itself.
    """
    parser = AnswerParser(request, connection._finishResponse)  # type: ignore[no-untyped-call]
    parser.makeConnection(connection._transportProxy)  # type: ignore[no-untyped-call]
    parser._responseDeferred = connection._responseDeferred
    connection._parser = parser
