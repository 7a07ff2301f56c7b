"""Callers that write HTTP by themselves, as fast as it allows.

They send the next request with the last byte of an answer, several in one write, and
heads and bodies in pieces. Some close their writing side behind a whole request, and
wait for the answer.
"""

from __future__ import annotations

import math
import re
from typing import TYPE_CHECKING, Any

from attrs import define, field, frozen
from twisted.internet.endpoints import HostnameEndpoint, connectProtocol
from twisted.internet.protocol import Protocol
from twisted.internet.task import deferLater

from magnoliahold.soak.callers import (
    NOT_RUN_STATUSES,
    OK,
    Outcome,
    ReceivedStream,
)
from magnoliahold.soak.guarantees import ONCE_PREFIX
from magnoliahold.soak.losses import Loss
from magnoliahold.soak.proxies import LOOPBACK
from magnoliahold.standins.users.callers import CallerHeaders
from magnoliahold.standins.users.upstreams import (
    STREAM_PREFIX,
    make_call_body,
    sign,
)

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from magnoliahold.soak.guarantees import GuaranteeChecker
    from magnoliahold.soak.losses import LossJudge

BODY = b"xx"
HEAD_END = b"\r\n\r\n"
LINE_END = b"\r\n"
LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.I)
SIGNATURE = re.compile(rb"\r\nresponse-signature: *(\S+)", re.I)
CLOSING = re.compile(rb"\r\nconnection: *close", re.I)
TIMEOUT_S = 8.0
# How long after its deadline a request may still have no answer.
LATE_S = 2.0
LOOK_S = 0.1
MAX_WORK_S = 1.0
MAX_PIECES = 30
MAX_TOGETHER = 4
STREAM_SHARE = 0.2
SPLIT_SHARE = 0.4
MAX_PARTS = 5
MAX_PAUSE_S = 0.5


@frozen
class Answer:
    """A complete answer; `closing` tells whether it announces a close."""

    status: int
    signature: str
    body: bytes
    closing: bool


@define(eq=False)
class SentRequest:
    """A request of which a part was sent.

    `end` is the offset of its end in what is written together. `sent_at` is when that
    was written, infinite before; `first_at` when the answer before it was complete.
    """

    id: str
    path: str
    pieces: int
    content: bytes
    end: int = 0
    sent_at: float = math.inf
    first_at: float = -math.inf


@define
class AnswerSplitter:
    """Splits the bytes of a connection into answers."""

    _buffer: bytearray = field(factory=bytearray)

    def add_bytes(self, data: bytes) -> list[Answer]:
        """Adds bytes and returns the answers that are complete now."""
        self._buffer += data
        answers = []
        while (answer := self._take()) is not None:
            answers.append(answer)
        return answers

    @property
    def has_begun(self) -> bool:
        """Whether a part of an answer was received."""
        return bool(self._buffer)

    def _take(self) -> Answer | None:
        head_end = self._buffer.find(HEAD_END)
        if head_end < 0:
            return None
        head = bytes(self._buffer[:head_end])
        start = head_end + len(HEAD_END)
        length = LENGTH.search(head)
        found = (
            join_chunks(self._buffer, start)
            if length is None
            else take_bytes(self._buffer, start, int(length.group(1)))
        )
        if found is None:
            return None
        body, end = found
        del self._buffer[:end]
        signature = SIGNATURE.search(head)
        return Answer(
            int(head.split()[1]),
            signature.group(1).decode() if signature else "",
            body,
            CLOSING.search(head) is not None,
        )


def take_bytes(buffer: bytearray, start: int, length: int) -> tuple[bytes, int] | None:
    """Reads so many bytes; returns them and where they end, None if some miss."""
    end = start + length
    return None if len(buffer) < end else (bytes(buffer[start:end]), end)


def join_chunks(buffer: bytearray, start: int) -> tuple[bytes, int] | None:
    """Joins the chunks of a body; returns it and where it ends, None before that."""
    body = b""
    while (line_end := buffer.find(LINE_END, start)) >= 0:
        size = int(bytes(buffer[start:line_end]), 16)
        start = line_end + len(LINE_END)
        end = start + size + len(LINE_END)
        if len(buffer) < end:
            return None
        if not size:
            return body, end
        body += buffer[start : start + size]
        start = end
    return None


class PipeliningConnection(Protocol):
    """A connection of a caller, with the requests that wait for an answer in order."""

    def __init__(self, caller: PipeliningCaller, port: int) -> None:
        self.port = port
        self.ended = False
        self.waiting: list[SentRequest] = []
        self._caller = caller
        self._answers = AnswerSplitter()
        self._timer: Any = None

    def connectionMade(self) -> None:  # noqa: N802
        """Sends the first requests."""
        self._send_next()

    def _send_next(self) -> None:
        """Sends one request or several, in one write or in pieces with pauses."""
        requests = self._caller.draw_requests(self.port)
        end = 0
        for request in requests:
            end += len(request.content)
            request.end = end
        requests[0].first_at = self._caller.reactor.seconds()
        self.waiting.extend(requests)
        content = b"".join(request.content for request in requests)
        self._write_parts(content, 0, self._caller.draw_cuts(len(content)))

    def _write_parts(self, content: bytes, start: int, cuts: list[int]) -> None:
        end = cuts[0]
        transport: Any = self.transport
        transport.write(content[start:end])
        now = self._caller.reactor.seconds()
        for request in self.waiting:
            if start < request.end <= end:
                request.sent_at = now
        if len(cuts) > 1:
            pause_s = MAX_PAUSE_S * self._caller.random.random()
            self._timer = self._caller.reactor.callLater(
                pause_s, self._write_parts, content, end, cuts[1:]
            )
        elif self._caller.half_closes:
            transport.loseWriteConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Takes the answers; sends the next request with the last byte of the last."""
        for answer in self._answers.add_bytes(data):
            self._take(answer)

    def _take(self, answer: Answer) -> None:
        caller = self._caller
        if not self.waiting:
            caller.checker.record_violation("own answer", f"{answer} without request")
            return
        request = self.waiting.pop(0)
        caller.take_answer(request, answer, self.port)
        if self.waiting:
            self.waiting[0].first_at = caller.reactor.seconds()
        if answer.closing or (not self.waiting and answer.status != OK):
            self.close()
        elif not self.waiting and not caller.half_closes:
            self._send_next()

    def close(self) -> None:
        """Sends no more, and closes the connection."""
        self._stop_sending()
        transport: Any = self.transport
        transport.loseConnection()

    def _stop_sending(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Has the requests judged that got no answer."""
        self.ended = True
        self._stop_sending()
        if not self.waiting:
            return
        first, *others = self.waiting
        has_begun = self._answers.has_begun
        self._caller.judge_unanswered(first, has_begun, self.port)
        behind_cut = self._caller.half_closes and has_begun and first.pieces > 0
        for request in others:
            self._caller.judge_unanswered(request, False, self.port, behind_cut)

    def end_if_overdue(self) -> None:
        """Ends the connection if the next answer is long overdue."""
        if not self.waiting:
            return
        request = self.waiting[0]
        since = max(request.sent_at, request.first_at)
        if self._caller.reactor.seconds() - since > TIMEOUT_S + LATE_S:
            transport: Any = self.transport
            transport.abortConnection()


@define(eq=False)
class PipeliningCaller:
    """A caller that uses one connection after the other, each until it closes.

    One that `half_closes` does so behind its first requests, and takes any final
    answer, or for a stream that has begun, its cut.
    """

    reactor: Any
    random: Random
    checker: GuaranteeChecker
    choose_entry: Callable[[], int]
    credential: str
    outcomes: list[Outcome]
    judge: LossJudge
    name: str
    half_closes: bool = False
    stopped: bool = False
    serial: int = 0

    async def run(self) -> None:
        """Connects again and again until `stopped` is set."""
        while not self.stopped:
            await deferLater(self.reactor, LOOK_S)
            port = self.choose_entry()
            connection = PipeliningConnection(self, port)
            endpoint = HostnameEndpoint(self.reactor, LOOPBACK, port, timeout=1.0)
            try:
                await connectProtocol(endpoint, connection)
            except Exception:
                self.checker.checked["pipelining: no connection"] += 1
                continue
            while not connection.ended and not self.stopped:
                await deferLater(self.reactor, LOOK_S)
                connection.end_if_overdue()
            connection.close()

    def draw_requests(self, port: int) -> list[SentRequest]:
        """Draws the requests that are written together."""
        count = self.random.choice((1, 1, 2, MAX_TOGETHER))
        return [self._draw_request(port) for _ in range(count)]

    def _draw_request(self, port: int) -> SentRequest:
        self.serial += 1
        request_id = f"{self.name}-{self.serial}"
        if self.random.random() < STREAM_SHARE:
            pieces = self.random.randint(1, MAX_PIECES)
            path = f"{STREAM_PREFIX}{request_id}/{pieces}"
            prompt: str | None = request_id
        else:
            pieces, prompt = 0, None
            path = f"{ONCE_PREFIX}{request_id}/{MAX_WORK_S * self.random.random():.3f}"
        headers = CallerHeaders(request_id, self.credential, TIMEOUT_S, prompt)
        content = make_content(path, port, headers)
        return SentRequest(request_id, path, pieces, content)

    def draw_cuts(self, length: int) -> list[int]:
        """Draws where pieces of that many bytes end."""
        if self.random.random() >= SPLIT_SHARE:
            return [length]
        count = self.random.randint(1, MAX_PARTS)
        cuts = {self.random.randint(1, length) for _ in range(count)}
        return sorted(cuts | {length})

    def take_answer(self, request: SentRequest, answer: Answer, port: int) -> None:
        """Checks an answer."""
        kind = "pipelined stream" if request.pieces else "pipelined call"
        now = self.reactor.seconds()
        self.outcomes.append(Outcome(kind, now, answer.status == OK, answer.status))
        if answer.status == OK:
            self._check_body(request, answer)
        elif answer.status in NOT_RUN_STATUSES and not answer.signature:
            self.checker.record_refusal(request.id, request.path, answer.status)
        elif not self.half_closes:
            self._report(request, answer.status, port)

    def _check_body(self, request: SentRequest, answer: Answer) -> None:
        if answer.signature != sign(request.id):
            self.checker.record_violation("own answer", f"{request.id}")
        elif request.pieces:
            received = ReceivedStream(self.checker, request.id, request.pieces)
            received.add_data(answer.body)
            if not received.complete:
                self.checker.record_violation("whole answer", f"{request.id}")
        elif answer.body != make_call_body(request.id):
            self.checker.record_violation("whole answer", f"{request.id}")

    def judge_unanswered(
        self,
        request: SentRequest,
        has_begun: bool,
        port: int,
        behind_cut: bool = False,
    ) -> None:
        """Has a request judged whose connection ended before its answer did."""
        if self.half_closes and has_begun and request.pieces:
            self.checker.checked["half closed: stream cut"] += 1
        elif not self.stopped:
            self._report(request, 0, port, behind_cut)

    def _report(
        self, request: SentRequest, status: int, port: int, behind_cut: bool = False
    ) -> None:
        now = self.reactor.seconds()
        sent_at = request.sent_at
        loss = Loss(request.id, status, TIMEOUT_S, sent_at, now, port, behind_cut)
        self.judge.examine(loss)


def make_content(path: str, port: int, headers: CallerHeaders) -> bytes:
    """Makes the bytes of a request."""
    lines = [f"POST {path} HTTP/1.1", f"Host: {LOOPBACK}:{port}"]
    for name, values in headers.build().getAllRawHeaders():
        lines += [f"{name.decode()}: {value.decode()}" for value in values]
    lines += [f"Content-Length: {len(BODY)}", "", ""]
    return "\r\n".join(lines).encode() + BODY
