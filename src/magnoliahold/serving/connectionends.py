"""Causes for which connections of callers end, and what becomes of their requests."""

from __future__ import annotations

import logging
import re
from enum import Enum
from typing import TYPE_CHECKING, Any

from attrs import define, field
from twisted.internet.error import ConnectionDone, ConnectionLost

from magnoliahold.logs import make_part_logger

if TYPE_CHECKING:
    from twisted.python.failure import Failure

    from magnoliahold.serving.callerconnections import CallerChannel

BY_CALLER = "caller"
BY_ENTRY = "entry"
# How much of what is discarded is kept, to find out whether a request was among it.
KEPT_BYTES = 32 * 1024
REQUEST_LINE = re.compile(rb"\s*[A-Z]+ \S+ HTTP/1\.[01]\r\n")
HEAD_END = b"\r\n\r\n"
CONTENT_LENGTH = re.compile(rb"^content-length:[ \t]*(\d{1,15})[ \t]*\r$", re.I | re.M)
CHUNKED = re.compile(rb"^transfer-encoding:[ \t]*chunked[ \t]*\r$", re.I | re.M)
LAST_CHUNK = b"0\r\n\r\n"

logger = make_part_logger("callers")


class EndCause(Enum):
    """What ended a caller's connection."""

    ANSWERED = "its last answer announced the close"
    REFUSED = "a refusal announced the close"
    FAILED_TICK = "its answer was cut after a failed tick"
    MALFORMED = "its request can't be parsed"
    HEADERS_TOO_LARGE = "the headers of its request are too large"
    HEADERS_LATE = "the headers of its request came too late"
    BODY_LATE = "the body of its request came too late"
    UNFINISHED_AT_STOP = "its request wasn't read to the end before the stop"
    ANSWER_CUT = "its answer was cut"
    NOT_TAKEN = "the caller takes nothing"
    DISCARDED = "a whole request came behind the close and was discarded"
    IDLE = "it was idle for too long"
    IDLE_AT_STOP = "it was idle when the entry stopped"
    PROCESS_STOPPED = "the process stopped"
    UNHANDLED_ERROR = "an unhandled error"
    BODY_TOO_LARGE = "the body of its request is too large"
    REFUSED_BY_HEAD = "the head of its request was refused"
    MEMORY_FULL = "all requests together hold too much"
    NO_ROOM = "it was closed to make room for other connections"
    CALLER_LEFT_IDLE = "the caller closed it idle"
    CALLER_LEFT_READING = "the caller left before its request was read"
    CALLER_LEFT_WAITING = "the caller left before its answer began"
    CALLER_LEFT_ANSWER = "the caller left during its answer"
    CALLER_HALF_CLOSED = "the caller closed its writing side and took its answers"


CALLER_CAUSES = frozenset(
    {
        EndCause.CALLER_LEFT_IDLE,
        EndCause.CALLER_LEFT_READING,
        EndCause.CALLER_LEFT_WAITING,
        EndCause.CALLER_LEFT_ANSWER,
        EndCause.CALLER_HALF_CLOSED,
    }
)
# Ends behind an answer that announced them; they are complete once it was written.
ANNOUNCED_CAUSES = frozenset({EndCause.ANSWERED, EndCause.REFUSED})
# Ends that leave a request without its answer, whatever the connection shows.
LOST_CAUSES = frozenset({EndCause.DISCARDED, EndCause.NOT_TAKEN})
# Rejections of what was read behind another request.
REJECTION_CAUSES = frozenset(
    {
        EndCause.MALFORMED,
        EndCause.HEADERS_TOO_LARGE,
        EndCause.BODY_TOO_LARGE,
        EndCause.REFUSED_BY_HEAD,
    }
)
# Ends that may follow from a caller that had closed its writing side.
HALF_CLOSED_CAUSES = ANNOUNCED_CAUSES | REJECTION_CAUSES | {EndCause.ANSWER_CUT}
# How far requests had come whose callers had closed their writing side.
OPEN_CAUSES = frozenset({EndCause.CALLER_LEFT_WAITING, EndCause.CALLER_LEFT_ANSWER})
# Ends whose reason the line of the request tells.
CUT_CAUSES = frozenset({EndCause.ANSWER_CUT, EndCause.FAILED_TICK})
# The answers that this entry writes to requests which it doesn't read to their end.
REJECTION_STATUS = {
    EndCause.MALFORMED: 400,
    EndCause.HEADERS_TOO_LARGE: 431,
    EndCause.HEADERS_LATE: 408,
    EndCause.BODY_LATE: 408,
    EndCause.UNFINISHED_AT_STOP: 408,
    EndCause.UNHANDLED_ERROR: 500,
    EndCause.BODY_TOO_LARGE: 413,
    EndCause.MEMORY_FULL: 503,
}


@define
class DiscardedBytes:
    """The bytes that came behind the close of a connection.

    The first of them are kept if it `keeps` any, to find out what they were.
    """

    count: int = 0
    keeps: bool = True
    _kept: bytearray = field(factory=bytearray)

    def add(self, data: bytes) -> None:
        """Counts bytes, and may keep the first of them."""
        self.count += len(data)
        if self.keeps:
            self._kept += data[: KEPT_BYTES - len(self._kept)]

    @property
    def kept_bytes(self) -> int:
        """How many of them are kept."""
        return len(self._kept)

    @property
    def hold_request(self) -> bool:
        """Whether they begin with a whole request."""
        if REQUEST_LINE.match(self._kept) is None:
            return False
        head_end = self._kept.find(HEAD_END)
        if head_end < 0:
            return False
        body_start = head_end + len(HEAD_END)
        head = bytes(self._kept[:body_start])
        if CHUNKED.search(head):
            return LAST_CHUNK in self._kept[body_start:]
        length = CONTENT_LENGTH.search(head)
        return length is None or self.count - body_start >= int(length.group(1))


def find_end_cause(
    channel: CallerChannel, reason: Failure, is_stopping: bool
) -> EndCause:
    """Finds what ended a connection: this entry's own cause, or that of the caller.

    The close that an answer announced comes once the caller has taken that answer.
    """
    own = channel.end_cause
    if own in ANNOUNCED_CAUSES and channel.discarded.hold_request:
        return EndCause.DISCARDED
    if own in HALF_CLOSED_CAUSES and channel.left_cause is not None:
        return find_half_closed_cause(channel, channel.left_cause)
    if own is not None and not (own in ANNOUNCED_CAUSES and channel.unwritten_bytes):
        return own
    if reason.check(ConnectionDone, ConnectionLost) is None:
        return EndCause.UNHANDLED_ERROR
    if is_stopping:
        return find_stop_cause(channel)
    if channel.left_cause is not None:
        return find_half_closed_cause(channel, channel.left_cause)
    return find_caller_cause(channel)


def find_left_cause(channel: CallerChannel) -> EndCause:
    """Finds how far a request had come when its caller closed its writing side."""
    cause = find_caller_cause(channel)
    if cause is EndCause.CALLER_LEFT_IDLE and channel.untaken_bytes:
        return EndCause.CALLER_LEFT_ANSWER
    return cause


def find_half_closed_cause(channel: CallerChannel, left_cause: EndCause) -> EndCause:
    """Finds what became of a caller that had closed its writing side."""
    if not channel.has_taken_all:
        return left_cause
    if channel.end_cause in REJECTION_CAUSES:
        return channel.end_cause
    return EndCause.CALLER_HALF_CLOSED if left_cause in OPEN_CAUSES else left_cause


def find_stop_cause(channel: CallerChannel) -> EndCause:
    """Finds what the end of the process did to a connection."""
    if channel.requests or channel.unwritten_bytes:
        return EndCause.PROCESS_STOPPED
    return EndCause.IDLE_AT_STOP


def find_caller_cause(channel: CallerChannel) -> EndCause:
    """Finds how far a request had come when its caller left."""
    if channel.is_answering or channel.unwritten_bytes:
        return EndCause.CALLER_LEFT_ANSWER
    if channel.is_reading:
        return EndCause.CALLER_LEFT_READING
    if channel.requests:
        return EndCause.CALLER_LEFT_WAITING
    return EndCause.CALLER_LEFT_IDLE


def find_ender(cause: EndCause) -> str:
    """Tells whether the caller or this entry ended a connection."""
    return BY_CALLER if cause in CALLER_CAUSES else BY_ENTRY


def log_end(channel: CallerChannel, cause: EndCause, reason: Failure) -> None:
    """Logs the end of a connection."""
    fields: dict[str, Any] = {
        "request": channel.find_request_id(),
        "read": channel.has_read_request,
        "ended_by": find_ender(cause),
        "cause": cause.name.lower(),
        "reason": cause.value,
        "error": reason.getErrorMessage(),
        "unwritten_bytes": channel.unwritten_bytes,
        "discarded_bytes": channel.discarded.count,
    }
    if channel.is_unanswered or cause in LOST_CAUSES | CUT_CAUSES:
        _log_unanswered(cause, fields)
    elif cause is EndCause.UNHANDLED_ERROR:
        logger.error("Connection ended by an error.", **fields)
    else:
        logger.debug("Connection ended.", **fields)


def _log_unanswered(cause: EndCause, fields: dict[str, Any]) -> None:
    sentence = "Connection ended before the answer."
    if cause is EndCause.CALLER_LEFT_READING:
        # Anybody may begin requests in any number.
        logger.gather(sentence, level=logging.INFO, **fields)
    else:
        logger.info(sentence, **fields)
