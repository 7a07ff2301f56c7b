"""HTTP connections that count what is held for them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.main import CONNECTION_DONE
from twisted.python.failure import Failure

from magnoliahold.inbound.readings import PacedChannel
from magnoliahold.sockets import count_unwritten, count_write_buffer

if TYPE_CHECKING:
    from magnoliahold.inbound.connections import Closability, ConnectionTable
    from magnoliahold.inbound.intake import Intake

# What a header field takes beside its bytes.
FIELD_BYTES = 400


class BoundedChannel(PacedChannel):
    """A connection that counts what is held for it.

    Subclasses decide what is given up, and how.
    """

    _lost_bytes = 0

    def __init__(self, intake: Intake, table: ConnectionTable) -> None:
        super().__init__(intake)
        self.table = table
        self._counted_unwritten = 0

    @property
    def unwritten_bytes(self) -> int:
        """How much of answers still waits to be written, or was lost by a reset."""
        return self._lost_bytes + count_unwritten(self.transport)

    @property
    def closability(self) -> Closability:
        """What the connection would lose if it were closed to make room."""
        raise NotImplementedError

    def close_for_room(self) -> None:
        """Closes the connection at once."""
        raise NotImplementedError

    def give_up(self) -> str:
        """Frees what can be freed of what is held; names what was given up."""
        raise NotImplementedError

    def count_buffered(self) -> int:
        """Counts the bytes that came behind what was read."""
        return len(self._buffer) + sum(map(len, self._dataBuffer))

    def count_head(self) -> int:
        """Counts what the head takes that is being read."""
        return int(self._receivedHeaderSize + FIELD_BYTES * self._receivedHeaderCount)

    def count_bodies(self) -> int:
        """Counts what the bodies and heads of its requests take."""
        return sum(item.count_held() for item in self.requests)

    def count_whole(self) -> int:
        """Counts the bytes of its requests that were read whole and run."""
        return self.count_bodies() if self._handlingRequest else 0

    def count_held(self) -> int:
        """Counts the bytes held for the connection."""
        if self.transport is None or self._lost_bytes:
            return 0
        unwritten = self.unwritten_bytes
        if unwritten < self._counted_unwritten:
            self.note_progress()
        self._counted_unwritten = unwritten
        incoming = self.count_buffered() + self.count_head() + self.count_bodies()
        outgoing = count_write_buffer(self.transport)
        return incoming + outgoing + self.intake.policy.connection_bytes

    def count_unfinished(self) -> int:
        """Counts the bytes that were read of what isn't a whole request yet."""
        bodies = 0 if self._handlingRequest else self.count_bodies()
        return self.count_buffered() + self.count_head() + bodies

    @property
    def holds_mostly_answers(self) -> bool:
        """Whether more is held of answers than of requests that aren't whole."""
        return count_write_buffer(self.transport) > self.count_unfinished()

    def count_releasable(self) -> int:
        """Counts the bytes that would be free if the connection were given up.

        A request that was read whole may run already; it is never given up. Nor is the
        short answer of a connection that is being closed.
        """
        if self.transport is None or self._lost_bytes:
            return 0
        outgoing = count_write_buffer(self.transport)
        if not self.is_ending:
            return outgoing + self.count_unfinished()
        return outgoing if outgoing > self.intake.policy.connection_bytes else 0

    def update_held(self) -> None:
        """Counts anew what is held."""
        if self in self.table.channels:
            self.intake.memory.update(self)

    def _update_unwritten(self) -> None:
        """Counts anew once much more waits to be written than was counted."""
        grown = self.unwritten_bytes - self._counted_unwritten
        if grown > self.intake.policy.connection_bytes:
            self.update_held()

    def writeHeaders(  # noqa: N802
        self, version: bytes, code: bytes, reason: bytes, headers: Any
    ) -> None:
        """Writes the head of an answer."""
        self.note_progress()
        super().writeHeaders(version, code, reason, headers)  # type: ignore[no-untyped-call]

    def write(self, data: bytes) -> None:
        """Writes a part of an answer."""
        super().write(data)  # type: ignore[no-untyped-call]
        self._update_unwritten()

    def writeSequence(self, iovec: Any) -> None:  # noqa: N802
        """Writes parts of an answer."""
        super().writeSequence(iovec)  # type: ignore[no-untyped-call]
        self._update_unwritten()

    def connectionMade(self) -> None:  # noqa: N802
        """Registers the connection."""
        super().connectionMade()  # type: ignore[no-untyped-call]
        self.table.add(self)
        self.update_held()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Frees all that was held."""
        self.is_ending = True
        self.table.discard(self)
        self.intake.turns.leave(self)
        super().connectionLost(reason)  # type: ignore[no-untyped-call]
        self.intake.memory.release(self)
        self._dataBuffer.clear()
        self._free_unwritten()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Reads what came, and counts what is held then."""
        super().dataReceived(data)
        if not self._busyReceiving:
            self.update_held()

    def resumeProducing(self) -> None:  # noqa: N802
        """Reads on, once answers have been written."""
        super().resumeProducing()
        self.update_held()

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Lets the request, whose body comes now, count for its head."""
        head_bytes = self.count_head()
        self._receivedHeaderSize = self._receivedHeaderCount = 0
        self.requests[-1].head_bytes = head_bytes
        super().allHeadersReceived()  # type: ignore[no-untyped-call]

    def end_now(self) -> None:
        """Closes the connection, and frees at once what it held.

        With answers on it that weren't written, it is reset.
        """
        self.is_ending = True
        transport: Any = self.transport
        transport.unregisterProducer()
        if self.unwritten_bytes:
            transport.abortConnection()
            self._free_unwritten()
        else:
            transport.connectionLost(Failure(CONNECTION_DONE))

    def _free_unwritten(self) -> None:
        """Frees what can't be written any more; the collector may take long for that.

        It still counts as unwritten.
        """
        self._lost_bytes = self.unwritten_bytes
        transport: Any = self.transport
        transport.dataBuffer = b""
        transport.offset = 0
        transport._tempDataBuffer = []
        transport._tempDataLen = 0

    def drop_bodies(self) -> None:
        """Frees what was read of requests that are rejected, and came behind them."""
        self._dataBuffer.clear()
        self._buffer = b""
        for request in self.requests:
            request.drop_body()
