"""A simulated upstream with plain calls, streams, and copies of their KV cache.

Every answer can be verified: the body of a call and each piece of a stream are derived
from the request, and the signature from the request's id.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, Protocol

from attrs import define, field, frozen
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET
from xxhash import xxh64_hexdigest

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from magnoliahold.runtime import Clock

PREFILL_S = 0.25
CACHED_PREFILL_S = 0.01
PIECE_INTERVAL_S = 0.03
CALL_DURATION_S = 0.03
COPY_DELAY_S = 0.1
MAX_CACHED_PROMPTS = 40
STREAM_PREFIX = "/stream/"


@frozen
class Run:
    """A request that an upstream has started to process."""

    request_id: str
    path: str
    upstream: str
    version: str
    workspace: str
    started_at: float


class RunObserver(Protocol):
    """Is notified when upstreams start and stop processing requests."""

    def record_run(self, run: Run) -> None:
        """Records that an upstream has started to process a request."""

    def record_run_end(self, run: Run) -> None:
        """Records that an upstream has stopped processing a request."""


def sign(request_id: str) -> str:
    """Returns the signature of answers to a request."""
    return xxh64_hexdigest(f"signed {request_id}".encode())


def make_call_body(request_id: str) -> bytes:
    """Returns the body of the answer to a call."""
    return f"answer to {request_id}\n".encode() * 20


def make_piece(subject: str, number: int) -> bytes:
    """Returns a piece of the stream for a subject."""
    content = xxh64_hexdigest(f"{subject} {number}".encode())
    return f"id: {number}\ndata: {content}\n\n".encode()


@define(eq=False)
class Behaviour:
    """The shares of failed and of lost answers to calls; may be changed at any time."""

    failures: float = 0.0
    lost_answers: float = 0.0


@define(eq=False)
class UsersUpstream(Resource):
    """One process of an upstream, from its start to its end.

    `find_other` finds another upstream by its address, to create copies there. `copies`
    has the keys of the copies stored here, and `prompts` the cached prompt parts with
    their token counts.
    """

    id: str
    address: str
    version: str
    clock: Clock
    random: Random
    observer: RunObserver
    find_other: Callable[[str], UsersUpstream | None]
    behaviour: Behaviour = field(factory=Behaviour)
    copies: set[str] = field(factory=set)
    prompts: dict[str, int] = field(factory=dict)
    running: dict[str, _ActiveRequest] = field(factory=dict)
    stopped: bool = False

    isLeaf = True  # noqa: N815

    def __attrs_post_init__(self) -> None:
        super().__init__()  # type: ignore[no-untyped-call]

    def stop(self) -> None:
        """Ends all requests, as if the process had crashed."""
        self.stopped = True
        for active in list(self.running.values()):
            active.end()

    def render(self, request: Any) -> Any:
        """Handles a request."""
        path = request.path.decode()
        expected = request.getHeader("Expect-Instance")
        if expected is not None and expected != self.id:
            self._reply(request, 421, b"", {"Instance-Id": self.id})
        elif path.startswith("/-/"):
            self._handle_control_request(request, path)
        elif path.startswith(STREAM_PREFIX):
            self._start_stream(request, path)
        else:
            self._start_call(request, path)
        return NOT_DONE_YET

    def _handle_control_request(self, request: Any, path: str) -> None:
        body: Any = {}
        if path == "/-/kv-list":
            held = [["", part, tokens, "m"] for part, tokens in self.prompts.items()]
            body = {"epoch": 1, "next": 1, "held": held}
        elif path == "/-/kv-move":
            order = json.loads(request.content.read())
            active = self.running.get(order["id"])
            other = self.find_other(order["to"])
            if active is None or other is None or other.stopped:
                self._reply(request, 404, b"{}")
                return
            handle = f"handle-{order['id']}"
            other.copies.add(handle)
            body = {"handle": handle, "created": active.next_piece - 1}
        self._reply(request, 200, json.dumps(body).encode())

    def _start_call(self, request: Any, path: str) -> None:
        active = self._start_request(request, path)
        duration_s = read_duration(path)
        active.timer = self.clock.callLater(duration_s, self._finish_call, active)

    def _finish_call(self, active: _ActiveRequest) -> None:
        active.end()
        chance = self.random.random()
        request_id = active.run.request_id
        if chance < self.behaviour.lost_answers:
            active.request.channel.transport.abortConnection()
        elif chance < self.behaviour.lost_answers + self.behaviour.failures:
            self._reply_signed(active.request, 500, b"failed", request_id)
        else:
            body = make_call_body(request_id)
            self._reply_signed(active.request, 200, body, request_id)

    def _start_stream(self, request: Any, path: str) -> None:
        source = request.getHeader("Kv-From")
        key = source.partition("/")[2] if source else None
        if key is not None and key not in self.copies:
            self._reply(request, 503, b"", {"Not-Executed": "1"})
            return
        active = self._start_request(request, path)
        active.next_piece = int(request.getHeader("Last-Event-Id") or 0) + 1
        active.backup = request.getHeader("Kv-Backup")
        prompt = request.getHeader("Prompt-Prefix") or ""
        part = prompt.rpartition(",")[2].partition(":")[0]
        cached = key is not None or part in self.prompts
        self.prompts[part] = 8000
        while len(self.prompts) > MAX_CACHED_PROMPTS:
            del self.prompts[next(iter(self.prompts))]
        delay_s = CACHED_PREFILL_S if cached else PREFILL_S
        active.timer = self.clock.callLater(delay_s, self._open_stream, active)

    def _open_stream(self, active: _ActiveRequest) -> None:
        request = active.request
        request.setHeader("Content-Type", "text/event-stream")
        request.setHeader("Request-Id", active.run.request_id)
        request.setHeader("Response-Signature", sign(active.run.request_id))
        self.clock.callLater(COPY_DELAY_S, self._create_copy, active)
        self._write_piece(active)

    def _create_copy(self, active: _ActiveRequest) -> None:
        other = (
            self.find_other(active.backup)
            if active.backup and not active.ended
            else None
        )
        if other is not None and not other.stopped:
            other.copies.add(active.run.request_id)

    def _write_piece(self, active: _ActiveRequest) -> None:
        subject, pieces = read_subject(active.run.path)
        if active.next_piece <= pieces:
            active.request.write(make_piece(subject, active.next_piece))
            active.next_piece += 1
            active.timer = self.clock.callLater(
                PIECE_INTERVAL_S, self._write_piece, active
            )
            return
        active.end()
        active.request.finish()

    def _start_request(self, request: Any, path: str) -> _ActiveRequest:
        run = Run(
            request_id=request.getHeader("Request-Id") or "",
            path=path,
            upstream=self.id,
            version=self.version,
            workspace=request.getHeader("Tenant") or "",
            started_at=self.clock.seconds(),
        )
        active = _ActiveRequest(self, request, run)
        self.running[run.request_id] = active
        request.notifyFinish().addErrback(lambda _: active.end())
        self.observer.record_run(run)
        return active

    def _reply_signed(
        self, request: Any, status: int, body: bytes, request_id: str
    ) -> None:
        headers = {"Response-Signature": sign(request_id)}
        self._reply(request, status, body, headers)

    def _reply(
        self,
        request: Any,
        status: int,
        body: bytes,
        headers: dict[str, str] | None = None,
    ) -> None:
        if request._disconnected or request.finished:
            return
        request.setResponseCode(status)
        request_id = request.getHeader("Request-Id")
        for name, value in (headers or {}).items():
            request.setHeader(name, value)
        if request_id:
            request.setHeader("Request-Id", request_id)
        request.setHeader("Content-Length", str(len(body)))
        request.write(body)
        request.finish()


def read_duration(path: str) -> float:
    """Parses how long a call takes, behind the request id in its path."""
    parts = path.strip("/").split("/")
    return float(parts[2]) if len(parts) > 2 else CALL_DURATION_S


def read_subject(path: str) -> tuple[str, int]:
    """Parses the subject of a stream and its number of pieces from a path."""
    subject, _, pieces = path.removeprefix(STREAM_PREFIX).partition("/")
    return subject, int(pieces)


@define(eq=False)
class _ActiveRequest:
    """A request in progress and its connection."""

    upstream: UsersUpstream
    request: Any
    run: Run
    next_piece: int = 1
    backup: str | None = None
    timer: Any = None
    ended: bool = False

    def end(self) -> None:
        """Stops processing the request."""
        if self.ended:
            return
        self.ended = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if self.upstream.running.get(self.run.request_id) is self:
            del self.upstream.running[self.run.request_id]
        self.upstream.observer.record_run_end(self.run)
