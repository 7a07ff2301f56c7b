"""The HTTP API of the stand-in engine."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, cast

import msgspec
from attrs import frozen
from twisted.web.server import NOT_DONE_YET

from magnoliahold.standins.batch import Generation
from magnoliahold.standins.engine_faults import KINDS as FAULT_KINDS
from magnoliahold.standins.engine_faults import EngineFault
from magnoliahold.standins.replies import is_open, parse_body, reply, reply_error
from magnoliahold.standins.server import FaultyResource, TreeResource
from magnoliahold.standins.serving_state import KINDS as ORDER_KINDS
from magnoliahold.standins.serving_state import OrderRequest

if TYPE_CHECKING:
    from twisted.web.resource import Resource
    from twisted.web.server import Request

    from magnoliahold.standins.engine import Engine


FAULT_DELAY_S = 0.01


@frozen
class GenerateRequest:
    """The body of `POST /generate`.

    `max_tokens` limits the whole output, including the tokens in `prefix`.
    """

    id: str
    prompt: str
    max_tokens: int
    prefix: tuple[str, ...] = ()
    priority: int = 0
    version: str = ""
    workspace: str = ""


@frozen
class TokenLine:
    """A line of the answer: tokens, and the offset of the first one."""

    offset: int
    tokens: tuple[str, ...]


@frozen
class FinishLine:
    """The last line of the answer.

    `finished` is "length", "stop", "cancelled" or "error".
    """

    finished: str


class _EngineResource(TreeResource):
    def __init__(self, engine: Engine) -> None:
        super().__init__()
        self._engine = engine

    def render(self, request: Request) -> Any:
        if not self._engine.live:
            cast("Any", request.transport).abortConnection()
            return NOT_DONE_YET
        self._engine.run_when_thawed(lambda: self._answer(request))
        return NOT_DONE_YET

    def _answer(self, request: Request) -> None:
        if is_open(request):
            self.answer(request)

    def answer(self, request: Request) -> None:
        raise NotImplementedError


class _Generate(_EngineResource):
    def getChild(self, path: bytes, request: Request) -> Resource:  # noqa: N802
        return _CancelGeneration(self._engine, path.decode("latin-1"))

    def answer(self, request: Request) -> None:
        body = parse_body(request, GenerateRequest)
        if body is None:
            return
        if body.version not in self._engine.serving_state.versions:
            reply_error(request, 409, f"version {body.version!r} is not loaded")
            return
        if self._engine.batch.contains(body.id):
            reply_error(request, 400, f"generation {body.id!r} runs already")
            return
        stream = _Stream(request)
        generation = Generation(
            body.id,
            body.prompt,
            body.prefix,
            body.max_tokens,
            body.priority,
            body.version,
            body.workspace,
            stream.write_token,
            stream.write_finish,
        )
        stream.start()
        if not self._engine.submit(generation):
            stream.refuse("the queue is full")
            return
        batch = self._engine.batch
        request.notifyFinish().addErrback(
            lambda _failure: batch.cancel_generation(generation)
        )


class _Stream:
    """Writes the lines of one answer for as long as its connection is open."""

    def __init__(self, request: Request) -> None:
        self._request = request
        self._open = True

    def start(self) -> None:
        self._request.setHeader(b"content-type", b"application/x-ndjson")
        self._request.notifyFinish().addBoth(self._close)

    def write_token(self, offset: int, token: str) -> None:
        if self._open:
            self._write(TokenLine(offset, (token,)))

    def write_finish(self, reason: str) -> None:
        if self._open:
            self._write(FinishLine(reason))
            self._request.finish()

    def refuse(self, reason: str) -> None:
        reply_error(self._request, 503, reason)

    def _write(self, line: TokenLine | FinishLine) -> None:
        self._request.write(msgspec.json.encode(line) + b"\n")

    def _close(self, _result: object) -> None:
        self._open = False


class _CancelGeneration(_EngineResource):
    def __init__(self, engine: Engine, generation_id: str) -> None:
        super().__init__(engine)
        self._generation_id = generation_id

    def answer(self, request: Request) -> None:
        if request.method != b"DELETE":
            reply_error(request, 405, "use DELETE")
            return
        if self._engine.batch.cancel(self._generation_id):
            reply(request, {"cancelled": self._generation_id})
        else:
            reply_error(request, 404, "no such generation")


class _State(_EngineResource):
    def answer(self, request: Request) -> None:
        reply(request, self._engine.report())


class _CacheEvents(_EngineResource):
    def answer(self, request: Request) -> None:
        after = request.args.get(b"after", [b"0"])[0]
        if not after.isdigit():
            reply_error(request, 400, "after must be a number")
            return
        reply(request, self._engine.events.read(int(after)))


class _Orders(_EngineResource):
    def answer(self, request: Request) -> None:
        order = parse_body(request, OrderRequest)
        if order is None:
            return
        if order.kind not in ORDER_KINDS:
            reply_error(request, 400, f"unknown order {order.kind!r}")
        elif self._engine.serving_state.apply(order):
            reply(request, {"accepted": True})
        else:
            reply_error(request, 409, "the fencing number is stale")


class _Faults(TreeResource):
    def __init__(self, engine: Engine) -> None:
        super().__init__()
        self._engine = engine

    def render(self, request: Request) -> Any:
        fault = parse_body(request, EngineFault)
        if fault is None:
            return NOT_DONE_YET
        if fault.kind not in FAULT_KINDS:
            reply_error(request, 400, f"unknown fault {fault.kind!r}")
            return NOT_DONE_YET
        reply(request, {"injected": fault.kind})
        self._engine.inject_later(fault, FAULT_DELAY_S)
        return NOT_DONE_YET


def make_engine_resource(engine: Engine) -> FaultyResource:
    """Creates the root resource of an engine."""
    root = FaultyResource()
    root.add_child("generate", _Generate(engine))
    root.add_child("state", _State(engine))
    root.add_child("cache-events", _CacheEvents(engine))
    root.add_child("orders", _Orders(engine))
    root.add_child("faults", _Faults(engine))
    return root
