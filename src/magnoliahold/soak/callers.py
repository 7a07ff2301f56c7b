"""Simulated callers that reuse connections, retry, and verify their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import define, field
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError
from twisted.internet.protocol import Protocol
from twisted.internet.task import deferLater
from twisted.web.client import (
    Agent,
    HTTPConnectionPool,
    ResponseDone,
    ResponseFailed,
    ResponseNeverReceived,
)

from magnoliahold.serving.pieces import PieceSplitter
from magnoliahold.soak.guarantees import ONCE_PREFIX
from magnoliahold.soak.proxies import LOOPBACK
from magnoliahold.standins.users.callers import (
    CallerHeaders,
    read_retry_after,
    read_signature,
)
from magnoliahold.standins.users.upstreams import (
    STREAM_PREFIX,
    make_call_body,
    make_piece,
    sign,
)

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from magnoliahold.soak.guarantees import GuaranteeChecker

OK = 200
UNAUTHORIZED = 401
TIMED_OUT = 408
MISDIRECTED = 421
TOO_MANY_REQUESTS = 429
UNAVAILABLE = 503
NOT_RUN_STATUSES = frozenset((TIMED_OUT, MISDIRECTED, TOO_MANY_REQUESTS, UNAVAILABLE))
CALL_TIMEOUT_S = 1.5
STREAM_TIMEOUT_S = 12.0
MIN_PIECES, MAX_PIECES = 10, 60
MAX_PAUSE_S = 0.15
MAX_PAUSE_AFTER_DENIAL_S = 1.0
REPEAT_PREFIX = "/repeat/"


class _Body(Protocol):
    """Passes the data of a response body to a callback.

    `finished` fires when the body ends, with whether it was received completely.
    """

    def __init__(self, on_data: Callable[[bytes], None]) -> None:
        self.finished: Deferred[bool] = Deferred()
        self._on_data = on_data

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._on_data(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        complete = reason is not None and reason.check(ResponseDone) is not None
        self.finished.callback(complete)


@define(eq=False)
class Outcome:
    """How a caller's request ended, and when."""

    kind: str
    ended_at: float
    served: bool
    status: int = 0


@define(eq=False)
class Caller:
    """One simulated caller.

    `choose_entry` returns the port of an entry that is in rotation. `was_connected` is
    false if there was no connection for the last request, so that it wasn't sent.
    """

    reactor: Any
    random: Random
    checker: GuaranteeChecker
    choose_entry: Callable[[], int]
    credential: str
    outcomes: list[Outcome]
    stopped: bool = False
    serial: int = 0
    name: str = ""
    was_connected: bool = True
    _agents: dict[int, Agent] = field(factory=dict)

    def _get_agent(self, port: int) -> Agent:
        """Returns the agent that pools this caller's connections to an entry."""
        agent = self._agents.get(port)
        if agent is None:
            pool: Any = HTTPConnectionPool(self.reactor, persistent=True)
            pool.retryAutomatically = False
            agent = Agent(self.reactor, connectTimeout=1.0, pool=pool)
            self._agents[port] = agent
        return agent

    async def run(self) -> None:
        """Sends one request after the other until `stopped` is set."""
        while not self.stopped:
            kind = self.random.choices(("call", "once", "stream"), (4, 4, 3))[0]
            if kind == "stream":
                await self._request_stream()
            else:
                prefix = REPEAT_PREFIX if kind == "call" else ONCE_PREFIX
                await self._make_call(kind, prefix)
            denied = bool(self.outcomes) and self.outcomes[-1].status == UNAUTHORIZED
            pause_s = MAX_PAUSE_AFTER_DENIAL_S if denied else MAX_PAUSE_S
            await deferLater(self.reactor, pause_s * self.random.random())

    def _choose_port(self) -> int:
        """Chooses the entry for the next request."""
        return self.choose_entry()

    def _make_id(self) -> str:
        self.serial += 1
        return f"{self.name}-{self.serial}"

    async def _make_call(self, kind: str, prefix: str) -> None:
        """Makes a call and retries it once if it was refused without being run."""
        for _ in range(2):
            status, retry_after_s = await self._try_call(prefix)
            if status not in NOT_RUN_STATUSES:
                break
            await deferLater(self.reactor, min(retry_after_s or 0.0, 0.5))
        served = status == OK
        now = self.reactor.seconds()
        self.outcomes.append(Outcome(kind, now, served, status))

    async def _try_call(self, prefix: str) -> tuple[int, float | None]:
        request_id = self._make_id()
        path = f"{prefix}{request_id}"
        headers = CallerHeaders(request_id, self.credential, CALL_TIMEOUT_S)
        content: list[bytes] = []
        response = await self._send(path, headers, CALL_TIMEOUT_S)
        if response is None:
            return 0, None
        complete = await self._read(response, content.append, CALL_TIMEOUT_S)
        status = int(response.code)
        signature = read_signature(response.headers)
        if not complete:
            return 0, None
        if status in NOT_RUN_STATUSES and signature is None:
            self.checker.record_refusal(request_id, path, status)
            return status, read_retry_after(response.headers)
        self._check_call(request_id, status, signature, b"".join(content))
        return status, None

    def _check_call(
        self, request_id: str, status: int, signature: str | None, body: bytes
    ) -> None:
        self.checker.checked["answers"] += 1
        if signature is not None and signature != sign(request_id):
            self.checker.record_violation(
                "own answer", f"{request_id} got the answer to another request"
            )
        if status == OK and (signature is None or body != make_call_body(request_id)):
            self.checker.record_violation("whole answer", f"{request_id} got {body!r}")

    async def _request_stream(self) -> None:
        """Requests a stream, and retries or resumes it up to twice."""
        pieces = self.random.randint(MIN_PIECES, MAX_PIECES)
        subject = self._make_id()
        received = ReceivedStream(self.checker, subject, pieces)
        deadline = self.reactor.seconds() + STREAM_TIMEOUT_S
        status = 0
        for _ in range(3):
            remaining_s = deadline - self.reactor.seconds()
            if remaining_s <= 0 or received.complete:
                break
            status, pause_s = await self._try_stream(received, remaining_s)
            await deferLater(self.reactor, pause_s)
        now = self.reactor.seconds()
        self.outcomes.append(Outcome("stream", now, received.complete, status))

    async def _try_stream(
        self, received: ReceivedStream, remaining_s: float
    ) -> tuple[int, float]:
        request_id = self._make_id()
        path = f"{STREAM_PREFIX}{received.subject}/{received.pieces}"
        resume_after = received.last or None
        headers = CallerHeaders(
            request_id, self.credential, remaining_s, received.subject, resume_after
        )
        response = await self._send(path, headers, remaining_s)
        if response is None:
            return 0, 0.0
        status = int(response.code)
        signature = read_signature(response.headers)
        if status != OK:
            await self._read(response, lambda _: None, remaining_s)
            if status in NOT_RUN_STATUSES and signature is None:
                self.checker.record_refusal(request_id, path, status)
            return status, min(read_retry_after(response.headers) or 0.0, 0.5)
        if signature != sign(request_id):
            self.checker.record_violation(
                "own answer", f"{request_id} has signature {signature}"
            )
        received.start()
        ended = await self._read(response, received.add_data, remaining_s)
        if ended and not received.complete:
            text = f"{request_id} ended after {received.last} of {received.pieces}"
            self.checker.record_violation("whole answer", text)
        return status, 0.0

    async def _send(
        self, path: str, headers: CallerHeaders, timeout_s: float, body: Any = None
    ) -> Any | None:
        port = self._choose_port()
        url = f"http://{LOOPBACK}:{port}{path}".encode()
        pending: Any = self._get_agent(port).request(
            b"POST", url, headers.build(), body
        )
        timer = self.reactor.callLater(timeout_s, pending.cancel)
        self.was_connected = True
        try:
            return await pending
        except ConnectError:
            self.was_connected = False
            return None
        except (ResponseFailed, ResponseNeverReceived):
            return None
        except Exception as error:
            self.checker.checked[f"caller: {type(error).__name__}"] += 1
            return None
        finally:
            if timer.active():
                timer.cancel()

    async def _read(
        self, response: Any, on_data: Callable[[bytes], None], timeout_s: float
    ) -> bool:
        """Reads a body; returns whether it was complete within the timeout."""
        body = _Body(on_data)
        response.deliverBody(body)
        transport = response._transport
        timer = self.reactor.callLater(timeout_s, transport.loseConnection)
        try:
            return await body.finished
        finally:
            if timer.active():
                timer.cancel()


@define(eq=False)
class ReceivedStream:
    """The pieces of a stream received so far; each must follow the one before."""

    checker: GuaranteeChecker
    subject: str
    pieces: int
    last: int = 0
    _splitter: PieceSplitter = field(factory=PieceSplitter)

    @property
    def complete(self) -> bool:
        """Whether all pieces have been received."""
        return self.last == self.pieces

    def start(self) -> None:
        """Starts to read another answer, which continues at the next piece."""
        self._splitter = PieceSplitter()

    def add_data(self, data: bytes) -> None:
        """Checks the pieces in newly received data."""
        for piece in self._splitter.add_bytes(data):
            self.checker.checked["pieces"] += 1
            expected = self.last + 1
            matches = piece.content == make_piece(self.subject, piece.number)
            if piece.number != expected or not matches:
                text = f"{self.subject}: piece {piece.number}, expected {expected}"
                self.checker.record_violation("order", text)
            self.last = piece.number
