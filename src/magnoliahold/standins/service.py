"""A simulated plain service that counts how often each call ran."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any, cast

from attrs import frozen
from twisted.web.server import NOT_DONE_YET

from magnoliahold.standins.replies import parse_body, reply, reply_error
from magnoliahold.standins.server import FaultyResource, TreeResource

if TYPE_CHECKING:
    from random import Random

    from twisted.web.resource import Resource
    from twisted.web.server import Request

    from magnoliahold.runtime import Reactor

FAULT_DELAY_S = 0.01
NONCE_HEADER = "x-call-nonce"
KINDS = frozenset({"clear", "die", "fail", "lose_answers", "silence_calls", "slow"})


@frozen
class ServiceSettings:
    """Name and speed of a stand-in service."""

    name: str = "service"
    work_s: float = 0.005


@frozen
class ServiceFault:
    """A fault to inject.

    Kinds: "die" (restarts after `revive_after_s` if given), "silence_calls" (silences
    open connections), "slow" (adds `delay_s`), "fail" (answers 500 without running the
    call), "lose_answers" (runs the call, then resets the connection) and "clear" (ends
    the faults). `share` is the share of calls affected.
    """

    kind: str
    share: float = 1.0
    delay_s: float = 1.0
    revive_after_s: float | None = None


@frozen
class CallEcho:
    """The body of an answer, which echoes the call."""

    service: str
    method: str
    path: str
    body: str
    serial: int


class Service:
    """A plain service with a ledger that counts the runs of each call by nonce."""

    def __init__(
        self, reactor: Reactor, random: Random, settings: ServiceSettings
    ) -> None:
        self.settings = settings
        self.ledger: Counter[str] = Counter()
        self.live = True
        self._reactor = reactor
        self._random = random
        self._incarnation = 0
        self._serial = 0
        self._faults: dict[str, ServiceFault] = {}
        self.resource: FaultyResource = _ServiceRoot(self)

    def start(self, request: Request) -> None:
        """Runs a call after its processing time, unless the service crashes before.

        The call runs even if its caller disconnects meanwhile.
        """
        if not self.live:
            _reset(request)
            return
        delay_s = self.settings.work_s
        slow = self._draw("slow")
        if slow is not None:
            delay_s += slow.delay_s
        body = cast("Any", request.content).read()
        self._reactor.callLater(delay_s, self._run, request, body, self._incarnation)

    def inject(self, fault: ServiceFault) -> None:
        """Injects a fault of a known kind."""
        match fault.kind:
            case "clear":
                self._faults.clear()
            case "die":
                self.crash(fault.revive_after_s)
            case "silence_calls":
                self.silence_connections()
            case _:
                self._faults[fault.kind] = fault

    def inject_later(self, fault: ServiceFault, delay_s: float) -> None:
        """Injects a fault after a delay, so that its request is answered first."""
        self._reactor.callLater(delay_s, self.inject, fault)

    def crash(self, revive_after_s: float | None = None) -> None:
        """Crashes: discards calls in progress and refuses connections until restart."""
        if not self.live:
            return
        self.live = False
        self._incarnation += 1
        if self.resource.listener is not None:
            self.resource.listener.refuse_connections()
        if revive_after_s is not None:
            self._reactor.callLater(revive_after_s, self.restart)

    def restart(self) -> None:
        """Restarts; the ledger is kept, because it is a record for tests."""
        if self.live:
            return
        self.live = True
        if self.resource.listener is not None:
            self.resource.listener.accept_connections()

    def silence_connections(self) -> None:
        """Silences the open connections permanently; new ones work."""
        if self.resource.listener is not None:
            self.resource.listener.silence_connections()

    def _run(self, request: Request, body: bytes, incarnation: int) -> None:
        if incarnation != self._incarnation:
            return
        if self._draw("fail") is not None:
            reply_error(request, 500, "asked to fail; the call did not run")
            return
        self._record(request)
        if self._draw("lose_answers") is not None:
            _reset(request)
            return
        reply(request, self._echo(request, body))

    def _record(self, request: Request) -> None:
        self._serial += 1
        nonce = request.getHeader(NONCE_HEADER)
        if nonce:
            self.ledger[nonce] += 1

    def _echo(self, request: Request, body: bytes) -> CallEcho:
        return CallEcho(
            self.settings.name,
            request.method.decode("latin-1"),
            request.uri.decode("latin-1"),
            body.decode("utf-8", "replace"),
            self._serial,
        )

    def _draw(self, kind: str) -> ServiceFault | None:
        fault = self._faults.get(kind)
        if fault is None or self._random.random() >= fault.share:
            return None
        return fault


class _ServiceRoot(FaultyResource):
    def __init__(self, service: Service) -> None:
        super().__init__()
        self._service = service
        control = TreeResource()
        control.add_child("ledger", _Ledger(service))
        control.add_child("faults", _Faults(service))
        control.add_child("health", _Health())
        self.add_child("-", control)

    def getChild(self, path: bytes, request: Request) -> Resource:  # noqa: N802
        return _Call(self._service)

    def render(self, request: Request) -> Any:
        self._service.start(request)
        return NOT_DONE_YET


class _Call(TreeResource):
    isLeaf = True  # noqa: N815

    def __init__(self, service: Service) -> None:
        super().__init__()
        self._service = service

    def render(self, request: Request) -> Any:
        self._service.start(request)
        return NOT_DONE_YET


class _Ledger(TreeResource):
    def __init__(self, service: Service) -> None:
        super().__init__()
        self._service = service

    def render(self, request: Request) -> Any:
        reply(request, {"runs": dict(self._service.ledger)})
        return NOT_DONE_YET


class _Health(TreeResource):
    def render(self, request: Request) -> Any:
        reply(request, {"healthy": True})
        return NOT_DONE_YET


class _Faults(TreeResource):
    def __init__(self, service: Service) -> None:
        super().__init__()
        self._service = service

    def render(self, request: Request) -> Any:
        fault = parse_body(request, ServiceFault)
        if fault is None:
            return NOT_DONE_YET
        if fault.kind not in KINDS:
            reply_error(request, 400, f"unknown fault {fault.kind!r}")
            return NOT_DONE_YET
        reply(request, {"injected": fault.kind})
        self._service.inject_later(fault, FAULT_DELAY_S)
        return NOT_DONE_YET


def _reset(request: Request) -> None:
    cast("Any", request.transport).abortConnection()


def make_service(
    reactor: Reactor, random: Random, settings: ServiceSettings | None = None
) -> Service:
    """Creates a stand-in service, whose `resource` `serve_resource` can serve."""
    return Service(reactor, random, settings or ServiceSettings())
