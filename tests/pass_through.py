"""A plain HTTP proxy to the stand-in engines, as a baseline for the entry."""

from __future__ import annotations

import sys
from itertools import cycle
from typing import TYPE_CHECKING, Any

from twisted.internet.protocol import Protocol
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from magnoliahold.httpconnections import DirectConnector, build_agent, start_request

if TYPE_CHECKING:
    from collections.abc import Iterator


class BodyForwarder(Protocol):
    """Writes the bytes of an answer to a request as they arrive."""

    def __init__(self, request: Any) -> None:
        self._request = request
        self._disconnected = False
        request.notifyFinish().addErrback(self._stop)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if not self._disconnected:
            self._request.write(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        if not self._disconnected:
            self._request.finish()

    def _stop(self, failure: object) -> None:
        self._disconnected = True
        transport: Any = self.transport
        if transport is not None:
            transport.loseConnection()


class PassThrough(Resource):
    """Forwards each request to the next engine in turn, and the answer back."""

    isLeaf = True  # noqa: N815

    def __init__(self, reactor: Any, urls: Iterator[str]) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._reactor = reactor
        self._urls = urls

    def render_POST(self, request: Any) -> int:  # noqa: N802
        """Forwards one generation."""
        agent = build_agent(self._reactor, DirectConnector(self._reactor))
        url = f"{next(self._urls)}/generate"
        answer = start_request(agent, "POST", url, request.content.read(), ())
        answer.addCallback(lambda got: got.deliverBody(BodyForwarder(request)))
        return NOT_DONE_YET


def main() -> None:
    """Serves on a loopback port until killed."""
    from twisted.internet import reactor

    port, *urls = sys.argv[1:]
    site: Any = Site(PassThrough(reactor, cycle(urls)))
    running: Any = reactor
    running.listenTCP(int(port), site, interface="127.0.0.1")
    running.run()


if __name__ == "__main__":
    main()
