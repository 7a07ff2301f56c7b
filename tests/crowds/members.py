"""Callers of a crowd: each sends its bytes, keeps its connection and takes little."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import define, field, frozen
from twisted.internet.protocol import ClientFactory, Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator

BLOCK_BYTES = 64 * 1024
# What is kept of an answer: enough to see its status.
KEPT_BYTES = 1024


@frozen
class Content:
    """What each member sends: `start`, then `filler` as many times as `fillers` says.

    The filler is cut after `filler_bytes`, if that is given.
    """

    start: bytes = b""
    filler: bytes = b""
    fillers: int = 0
    filler_bytes: int | None = None

    def make_blocks(self) -> Iterator[bytes]:
        """Makes the blocks to send; none is much longer than a block or a filler."""
        if self.start:
            yield self.start
        if not self.fillers:
            return
        left = len(self.filler) * self.fillers
        if self.filler_bytes is not None:
            left = self.filler_bytes
        block = self.filler * max(1, BLOCK_BYTES // len(self.filler))
        while left > 0:
            yield block[:left]
            left -= len(block)


@define(eq=False)
class Member(Protocol):
    """One connection of a crowd, a pull producer of its own transport.

    `sent` is set once all is handed to the kernel, and `ended` once the connection is
    closed. Without `reads` nothing is read of what the other side sends.
    """

    content: Content
    reads: bool = True
    sent: bool = False
    ended: bool = False
    received: bytes = b""
    transport: Any = None
    _blocks: Any = None

    def connectionMade(self) -> None:  # noqa: N802
        """Begins to send."""
        self._blocks = self.content.make_blocks()
        if not self.reads:
            self.transport.pauseProducing()
        self.transport.registerProducer(self, False)

    def resumeProducing(self) -> None:  # noqa: N802
        """Sends the next block."""
        block = next(self._blocks, None)
        if block is not None:
            self.transport.write(block)
            return
        self.sent = True
        self.transport.unregisterProducer()

    def stopProducing(self) -> None:  # noqa: N802
        """Does nothing: the connection is lost."""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Keeps the start of an answer."""
        self.received += data[: KEPT_BYTES - len(self.received)]

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Notes the end."""
        self.ended = True

    def close(self) -> None:
        """Resets the connection."""
        if self.transport is not None and not self.ended:
            self.transport.abortConnection()

    @property
    def status(self) -> bytes:
        """The status of the last answer that begins in what was kept."""
        parts = self.received.rpartition(b"HTTP/1.1 ")[2].split(maxsplit=1)
        return parts[0] if parts else b""


@define(eq=False)
class Crowd:
    """Members that connect to one port of loopback, all at once."""

    reactor: Any
    port: int
    members: list[Member] = field(factory=list)

    def add(self, count: int, content: Content, reads: bool = True) -> None:
        """Connects members that send the same bytes."""
        for _ in range(count):
            member = Member(content, reads)
            factory = ClientFactory()
            factory.noisy = False
            factory.buildProtocol = lambda _, member=member: member  # type: ignore
            factory.clientConnectionFailed = (  # type: ignore[method-assign]
                lambda _, reason, member=member: member.connectionLost(reason)
            )
            self.reactor.connectTCP("127.0.0.1", self.port, factory)
            self.members.append(member)

    @property
    def is_done(self) -> bool:
        """Whether each member has sent all, was answered or was closed."""
        return all(item.sent or item.ended or item.status for item in self.members)

    @property
    def is_refused(self) -> bool:
        """Whether each member was answered or closed."""
        return all(item.ended or item.status for item in self.members)

    def close(self) -> None:
        """Resets all connections."""
        for member in self.members:
            member.close()
