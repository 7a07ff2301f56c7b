from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred

from magnoliahold.sidecar.service_client import (
    ServiceOutcomeKind,
    ServiceRequest,
    make_service_client,
)
from magnoliahold.standins.service import ServiceFault, make_service
from tests.loopback import LoopbackTestCase, on_loopback

if TYPE_CHECKING:
    from magnoliahold.sidecar.service_client import ServiceOutcome

BOOKING = ServiceRequest("POST", "/bookings?club=9", (("X-A", "1"),), b"two runs")


class ServiceClientTests(LoopbackTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.service = make_service(self.reactor, self.random)
        self.listener = self.serve(self.service.resource)
        self.client = make_service_client(self.reactor, self.listener.address)

    def call(
        self, nonce: str, request: ServiceRequest = BOOKING
    ) -> Deferred[ServiceOutcome]:
        end: Deferred[Any] = Deferred()
        self.client.start_call(nonce, request, end.callback)
        return end

    @on_loopback
    async def test_call_runs_once(self) -> None:
        outcome = await self.call("n1")
        self.assertEqual(outcome.kind, ServiceOutcomeKind.ANSWERED)
        self.assertEqual(outcome.status, 200)
        self.assertIn(b'"path":"/bookings?club=9"', outcome.body)
        self.assertIn(b'"body":"two runs"', outcome.body)
        self.assertEqual(self.service.ledger, {"n1": 1})

    @on_loopback
    async def test_caller_cannot_choose_the_nonce(self) -> None:
        headers = (("x-call-NONCE", "chosen"),)
        outcome = await self.call("n1", ServiceRequest("POST", "/a", headers, b""))
        self.assertEqual(outcome.kind, ServiceOutcomeKind.ANSWERED)
        self.assertEqual(self.service.ledger, {"n1": 1})

    @on_loopback
    async def test_faults_are_reported_as_lost_or_answered(self) -> None:
        lost, answered = ServiceOutcomeKind.LOST, ServiceOutcomeKind.ANSWERED
        table = (
            (ServiceFault("lose_answers"), lost, 1),
            (ServiceFault("fail"), answered, 0),
            (ServiceFault("clear"), answered, 1),
        )
        for number, (fault, kind, runs) in enumerate(table):
            with self.subTest(fault=fault.kind):
                self.service.inject(ServiceFault("clear"))
                self.service.inject(fault)
                nonce = f"n{number}"
                outcome = await self.call(nonce)
                self.assertEqual(outcome.kind, kind)
                self.assertEqual(self.service.ledger[nonce], runs)

    @on_loopback
    async def test_calls_of_a_crashed_service_are_lost_or_not_sent(self) -> None:
        self.service.inject(ServiceFault("slow", delay_s=5.0))
        running = self.call("running")
        await self.sleep(0.05)
        self.service.crash()
        self.assertEqual((await running).kind, ServiceOutcomeKind.LOST)
        outcome = await self.call("late")
        self.assertEqual(outcome.kind, ServiceOutcomeKind.NOT_SENT)
        self.assertFalse(await self.client.probe(0.5))
        self.service.restart()
        self.assertTrue(await self.client.probe(0.5))
        self.assertEqual(self.service.ledger, {})

    @on_loopback
    async def test_cancel_before_and_after_the_connection(self) -> None:
        self.service.inject(ServiceFault("slow", delay_s=5.0))
        early = self.call("early")
        self.client.cancel_call("early")
        self.assertEqual((await early).kind, ServiceOutcomeKind.NOT_SENT)
        late = self.call("late")
        await self.sleep(0.05)
        self.client.cancel_call("late")
        self.assertEqual((await late).kind, ServiceOutcomeKind.LOST)
        self.client.cancel_call("unknown")

    @on_loopback
    async def test_cancelled_call_may_still_run(self) -> None:
        self.service.inject(ServiceFault("slow", delay_s=0.1))
        lost = self.call("n")
        await self.sleep(0.05)
        self.client.cancel_call("n")
        self.assertEqual((await lost).kind, ServiceOutcomeKind.LOST)
        await self.wait_until(lambda: self.service.ledger["n"] == 1)

    @on_loopback
    async def test_connect_timeout_is_not_sent(self) -> None:
        full = socket.socket()
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        held = [socket.socket() for _ in range(3)]
        for each in held:
            each.setblocking(False)
            each.connect_ex(full.getsockname())
        await self.sleep(0.05)
        address = f"http://127.0.0.1:{full.getsockname()[1]}"
        self.client = make_service_client(self.reactor, address)
        before = self.reactor.seconds()
        outcome = await self.call("n")
        for each in (full, *held):
            each.close()
        self.assertEqual(outcome.kind, ServiceOutcomeKind.NOT_SENT)
        self.assertLess(self.reactor.seconds() - before, 1.5)

    @on_loopback
    async def test_silent_connection_is_lost_when_cancelled(self) -> None:
        self.service.inject(ServiceFault("slow", delay_s=0.1))
        silent = self.call("silent")
        await self.sleep(0.05)
        self.service.silence_connections()
        await self.sleep(0.1)
        self.assertTrue(await self.client.probe(0.5))
        self.client.cancel_call("silent")
        self.assertEqual((await silent).kind, ServiceOutcomeKind.LOST)
        self.assertEqual(self.service.ledger, {"silent": 1})

    @on_loopback
    async def test_invalid_requests_are_not_sent(self) -> None:
        table = (
            ("method", ServiceRequest("GE T", "/", (), b"")),
            ("newline", ServiceRequest("GET", "/a\r\nX: y", (), b"")),
            ("path", ServiceRequest("GET", "/å", (), b"")),
        )
        for name, request in table:
            with self.subTest(name):
                outcome = await self.call(name, request)
                self.assertEqual(outcome.kind, ServiceOutcomeKind.NOT_SENT)
        self.assertEqual(self.service.ledger, {})

    @on_loopback
    async def test_faults_can_be_injected_over_http(self) -> None:
        request = ServiceRequest("POST", "/-/faults", (), b'{"kind":"lose_answers"}')
        self.assertEqual((await self.call("fault", request)).status, 200)
        await self.sleep(0.03)
        self.assertEqual((await self.call("n")).kind, ServiceOutcomeKind.LOST)
        ledger = await self.call("-", ServiceRequest("GET", "/-/ledger", (), b""))
        self.assertEqual(ledger.body, b'{"runs":{"n":1}}')
        unknown = ServiceRequest("POST", "/-/faults", (), b'{"kind":"dance"}')
        self.assertEqual((await self.call("bad", unknown)).status, 400)
