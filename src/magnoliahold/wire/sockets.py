"""Reads ZeroMQ sockets in the Twisted reactor."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import zmq
from twisted.internet.interfaces import IReadDescriptor
from zope.interface import implementer

if TYPE_CHECKING:
    from collections.abc import Callable

MESSAGES_PER_READ = 200
RECEIVE_FLAGS = int(zmq.NOBLOCK)
MORE_FRAMES = int(zmq.RCVMORE)

read_option = zmq.backend.Socket.get


@implementer(IReadDescriptor)
class SocketReader:
    """Calls `on_frames` for each multipart message of a socket.

    The file descriptor of a ZeroMQ socket is edge-triggered: each read must continue
    until no message is left, and another read must be scheduled after each send.
    """

    def __init__(
        self,
        reactor: Any,
        socket: zmq.Socket[bytes],
        on_frames: Callable[[list[bytes]], None],
    ) -> None:
        self._reactor = reactor
        self._socket = socket
        self._on_frames = on_frames
        self._scheduled_read: Any = None
        self._descriptor = socket.getsockopt(zmq.FD)
        reactor.addReader(self)
        self.schedule_read()

    def fileno(self) -> int:
        """Returns the file descriptor that the reactor watches."""
        return int(self._descriptor)

    def logPrefix(self) -> str:  # noqa: N802
        """Returns the name of this reader in the reactor's logs."""
        return "links"

    def connectionLost(self, reason: object) -> None:  # noqa: N802
        """Does nothing: the owner of the socket closes it."""

    def doRead(self) -> None:  # noqa: N802
        """Reads messages until none is left, up to MESSAGES_PER_READ at a time."""
        for _ in range(MESSAGES_PER_READ):
            if self._socket.closed:
                return
            try:
                frames = receive_frames(self._socket)
            except zmq.Again:
                return
            except zmq.ZMQError:
                return
            self._on_frames(frames)
        self.schedule_read()

    def schedule_read(self) -> None:
        """Schedules a read in the next reactor iteration."""
        if self._scheduled_read is None:
            self._scheduled_read = self._reactor.callLater(0, self._run_scheduled_read)

    def stop_reading(self) -> None:
        """Stops watching the socket and cancels the scheduled read."""
        self._reactor.removeReader(self)
        if self._scheduled_read is not None:
            self._scheduled_read.cancel()
            self._scheduled_read = None

    def _run_scheduled_read(self) -> None:
        self._scheduled_read = None
        self.doRead()


def receive_frames(socket: zmq.Socket[bytes]) -> list[bytes]:
    """Receives one multipart message, or raises zmq.Again when there is none.

    It reads RCVMORE through the backend: pyzmq's own method converts each option to
    an enum member, which costs a third of the time for messages as small as one token.
    """
    frames = [socket.recv(RECEIVE_FLAGS)]
    while read_option(socket, MORE_FRAMES):
        frames.append(socket.recv(RECEIVE_FLAGS))
    return frames
