"""An upstream for tests that works on a request for as long as its path says."""

from __future__ import annotations

from typing import Any

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

PIECE_S = 0.1


class WorkingUpstream(Resource):
    """Works on each request for the seconds at the end of its path.

    Streams send a piece every `PIECE_S` meanwhile. `begun` has the ids of the requests.
    """

    isLeaf = True  # noqa: N815

    def __init__(self, reactor: Any) -> None:
        super().__init__()
        self.reactor = reactor
        self.begun: set[bytes] = set()

    def render(self, request: Any) -> Any:
        """Begins to work on a request."""
        if request.path.startswith(b"/-/"):
            return b""
        request_id = request.getHeader(b"Request-Id")
        self.begun.add(request_id)
        request.notifyFinish().addErrback(lambda _: None)
        request.setHeader(b"Request-Id", request_id)
        request.setHeader(b"Response-Signature", b"s")
        duration_s = float(request.path.rpartition(b"/")[2])
        if request.path.startswith(b"/streams/"):
            request.setHeader(b"Content-Type", b"text/event-stream")
            self.write_piece(request, 1, round(duration_s / PIECE_S))
        else:
            self.reactor.callLater(duration_s, self.answer, request)
        return NOT_DONE_YET

    def answer(self, request: Any) -> None:
        """Answers a call whose connection is still open."""
        if not request._disconnected:
            request.setHeader(b"Content-Length", b"2")
            request.write(b"ok")
            request.finish()

    def write_piece(self, request: Any, number: int, last: int) -> None:
        """Writes a piece of a stream, and ends it after the last."""
        if request._disconnected:
            return
        request.write(b"id: %d\ndata: x\n\n" % number)
        if number >= last:
            request.finish()
        else:
            self.reactor.callLater(PIECE_S, self.write_piece, request, number + 1, last)
