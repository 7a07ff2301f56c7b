"""Sites whose connections and requests are bounded."""

from __future__ import annotations

import math
from io import BytesIO
from typing import TYPE_CHECKING, Any

from attrs import frozen
from twisted.web.server import Request, Site

from magnoliahold.inbound.channels import BoundedChannel
from magnoliahold.inbound.connections import Closability
from magnoliahold.logs import make_part_logger

if TYPE_CHECKING:
    from twisted.web.resource import Resource

    from magnoliahold.inbound.connections import ConnectionTable
    from magnoliahold.inbound.intake import Intake

IDLE_TIMEOUT_S = 60.0
# How long a rejected caller has for its answer; what it sends meanwhile is discarded.
LINGER_S = 1.0
HEADER_BYTES = 16 * 1024
UNAVAILABLE = 503

logger = make_part_logger("intake")


@frozen
class Rejection:
    """The answer to a request that isn't read to its end."""

    status: int
    code: str
    sentence: str


MALFORMED = Rejection(400, "malformed_request", "the request is no HTTP")
TOO_LARGE = Rejection(413, "body_too_large", "the body is too large")
MEMORY_FULL = Rejection(UNAVAILABLE, "memory_full", "all requests hold too much")


class SiteChannel(BoundedChannel):
    """A connection to a site.

    A request that isn't read to its end is rejected, and the connection closed.
    """

    totalHeadersSize = HEADER_BYTES  # noqa: N815
    site: Any = None
    _linger_timer: Any = None
    _has_answered = False

    @property
    def closability(self) -> Closability:
        """What the connection would lose if it were closed to make room."""
        if self.is_ending:
            return Closability.ENDING
        if self._handlingRequest:
            return Closability.BUSY
        if self.requests:
            return Closability.READING
        return Closability.IDLE if self._has_answered else Closability.UNUSED

    def close_for_room(self) -> None:
        """Closes the connection at once."""
        self.end_now()

    def requestDone(self, request: Any) -> None:  # noqa: N802
        """Reads the next request, or closes the connection."""
        self._has_answered = True
        super().requestDone(request)  # type: ignore[no-untyped-call]
        self.update_held()

    def give_up(self) -> str:
        """Frees what is held for the connection, but no request that may run."""
        if self.is_ending or self.holds_mostly_answers:
            self.close_for_room()
            return "answer"
        if not self._handlingRequest:
            self.reject(MEMORY_FULL)
            return "request"
        self.drop_next_requests()
        return "next_requests"

    def reject(self, rejection: Rejection) -> None:
        """Answers a request that isn't read to its end, and closes the connection."""
        if self.is_ending:
            return
        self.table.rejected[rejection.code] += 1
        logger.gather(
            "Request rejected.",
            kind=rejection.code,
            address=self.table.address,
            status=rejection.status,
            reason=rejection.sentence,
        )
        body = self.site.make_rejection(rejection)
        head = f"HTTP/1.1 {rejection.status} Rejected\r\nConnection: close\r\n"
        if rejection.status == UNAVAILABLE:
            retry_after_s = math.ceil(self.intake.policy.retry_after_s)
            head += f"Retry-After: {retry_after_s}\r\n"
        head += f"Content-Type: {self.site.rejection_type}\r\n"
        transport: Any = self.transport
        transport.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        self._linger()

    def _linger(self) -> None:
        """Closes the connection once its caller has had the time to read the answer.

        A connection that is closed with unread bytes is reset, which would destroy it.
        """
        self.is_ending = True
        self.drop_bodies()
        self.setTimeout(None)  # type: ignore[no-untyped-call]
        transport: Any = self.transport
        transport.unregisterProducer()
        transport.resumeProducing()
        transport.loseWriteConnection()
        self._linger_timer = self.intake.clock.callLater(LINGER_S, self._end_linger)
        self.update_held()

    def _end_linger(self) -> None:
        transport: Any = self.transport
        transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Reads requests, unless the connection is being closed."""
        if not self.is_ending:
            super().dataReceived(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Frees all that was held."""
        if self._linger_timer is not None and self._linger_timer.active():
            self._linger_timer.cancel()
        super().connectionLost(reason)

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        self.reject(MALFORMED)


class BoundedRequest(Request):
    """A request whose body is kept in memory, and rejected if it is too large."""

    head_bytes = 0
    body_bytes = 0
    _is_head_checked = False
    _parsePOSTFormSubmission = False  # noqa: N815

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Rejects a body that is announced as too large; there is no disk for it."""
        self.content = BytesIO()
        if length is not None:
            self._check_length(length)

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Adds to the body."""
        channel: Any = self.channel
        self.body_bytes += len(data)
        self._check_length(self.body_bytes)
        if not channel.is_ending:
            super().handleContentChunk(data)  # type: ignore[no-untyped-call]

    def _check_length(self, length: int) -> None:
        channel: Any = self.channel
        site: Any = channel.site
        if length > site.max_body_bytes:
            channel.reject(TOO_LARGE)
        elif length > channel.intake.policy.short_bytes and not self._is_head_checked:
            self._is_head_checked = True
            site.check_head(self)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:  # noqa: N802
        """Passes on a request that was read whole, if there is room for it."""
        channel: Any = self.channel
        if channel.intake.memory.admits_whole(channel, self.count_held()):
            super().requestReceived(command, path, version)  # type: ignore[no-untyped-call]
        else:
            channel.reject(MEMORY_FULL)

    def count_held(self) -> int:
        """Counts the bytes of the request, and of what is decoded from its body."""
        return self.head_bytes + 2 * self.body_bytes

    def drop_body(self) -> None:
        """Frees the body of a request that is rejected."""
        self.head_bytes = self.body_bytes = 0
        self.content = BytesIO()


class BoundedSite(Site):
    """A site whose requests have bounded bodies."""

    rejection_type = "text/plain; charset=utf-8"

    def __init__(
        self,
        resource: Resource,
        intake: Intake,
        table: ConnectionTable,
        max_body_bytes: int = 0,
    ) -> None:
        super().__init__(  # type: ignore[no-untyped-call]
            resource,
            requestFactory=BoundedRequest,
            parsePOSTFormSubmission=False,
            timeout=IDLE_TIMEOUT_S,
            reactor=intake.clock,
        )
        self.intake = intake
        self.table = table
        self.max_body_bytes = max_body_bytes
        self.noisy = False
        self.protocol: Any = lambda: SiteChannel(intake, table)

    def make_rejection(self, rejection: Rejection) -> bytes:
        """Makes the body of a rejection."""
        return f"{rejection.sentence}\n".encode()

    def find_rejection(self, request: Request) -> Rejection | None:
        """Tells by the head of a request with a long body whether it is rejected."""
        return None

    def check_head(self, request: BoundedRequest) -> None:
        """Rejects a request that its head alone refuses, before its body is read."""
        rejection = self.find_rejection(request)
        channel: Any = request.channel
        if rejection is not None:
            channel.reject(rejection)
