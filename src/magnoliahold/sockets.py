"""What the kernel knows of a connection: bytes unread, and bytes not yet delivered."""

from __future__ import annotations

import struct
from fcntl import ioctl
from socket import MSG_PEEK, SO_ERROR, SOL_SOCKET
from termios import TIOCOUTQ
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from socket import socket

COUNT = struct.Struct("i")


def has_unread_bytes(connection: socket) -> bool:
    """Tells whether received bytes wait to be read."""
    try:
        return bool(connection.recv(1, MSG_PEEK))
    except OSError:
        return False


def has_ended(connection: socket) -> bool:
    """Tells whether the peer's FIN came, with all bytes before it read."""
    try:
        return not connection.recv(1, MSG_PEEK)
    except OSError:
        return False


def count_unwritten(transport: Any) -> int:
    """Counts the bytes that a connection still has to write to its socket."""
    in_buffer = len(transport.dataBuffer) - transport.offset
    return int(in_buffer + transport._tempDataLen)


def count_write_buffer(transport: Any) -> int:
    """Counts the bytes that a connection holds until the last of them is written."""
    return int(len(transport.dataBuffer) + transport._tempDataLen)


def count_undelivered(connection: socket) -> int:
    """Counts the bytes in the send queue that the peer hasn't acknowledged."""
    found = ioctl(connection, TIOCOUTQ, bytes(COUNT.size))
    return int(COUNT.unpack(found)[0])


def is_reset(connection: socket) -> bool:
    """Tells whether the peer has reset a connection; it tells so only once.

    Behind a peer's FIN reads don't show a reset.
    """
    return connection.getsockopt(SOL_SOCKET, SO_ERROR) != 0
