"""Tests that no request that a stopping entry has read ends without an answer."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any

from attrs import define

from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.events import RequestArrived
from magnoliahold.node import BROKEN_TABLES
from magnoliahold.serving.callerstates import FRESH_S
from magnoliahold.serving.daemon import reload_settings
from magnoliahold.settings.loading import parse_serving_settings
from tests.loopback import on_loopback
from tests.serving.stopping import StoppingTestCase
from tests.serving.test_exchanges import HEAD as ANSWER_HEAD
from tests.serving.test_lost_requests import CALL
from tests.serving.working import WorkingUpstream

if TYPE_CHECKING:
    from magnoliahold.serving.callers import Callers
    from magnoliahold.serving.daemon import ServingDaemon
    from tests.serving.test_callers import Client

# Times of the stop, in seconds.
TIMES = {"accept_s": 0.4, "limit_s": 2.2, "sweep_s": 0.2}
LAST_MOMENT_S = 2.6
STEP_S = 0.05
DURATIONS_S = (0.01, 0.3, 0.9)
KEPT, UNUSED, IN_HEAD, IN_BODY = "kept", "unused", "in its head", "in its body"
STATES = (KEPT, UNUSED, IN_HEAD, IN_BODY)


@define(eq=False)
class LateCaller:
    """A caller that sends the end of its request some time after the order to stop."""

    name: bytes
    state: str
    after_s: float
    client: Client
    rest: bytes

    @property
    def statuses(self) -> list[bytes]:
        """The statuses of its complete answers."""
        parts = self.client.received.split(b"HTTP/1.1 ")[1:]
        return [part[:3] for part in parts if is_complete(part)]


def is_complete(answer: bytes) -> bool:
    """Tells whether an answer has as many bytes as its head says."""
    head, end, body = answer.partition(b"\r\n\r\n")
    length = head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]
    return bool(end) and len(body) == int(length)


def make_call(name: bytes, duration_s: float) -> bytes:
    """Makes a request for work of some seconds that may not be repeated."""
    path = b"/bookings/%.3f" % duration_s
    return CALL.replace(b"/calls/x", path).replace(b"abc", name)


def record_read(callers: Callers) -> set[bytes]:
    """Collects the ids of the requests that are read completely."""
    read: set[bytes] = set()
    post = callers.post

    def record(event: object) -> None:
        if isinstance(event, RequestArrived):
            read.add(event.caller.request_id.encode())
        post(event)

    callers.post = record
    return read


class LateInAStopTests(StoppingTestCase):
    async def connect_late(self, state: str, number: int) -> LateCaller:
        """Connects a caller and sends what comes before its late bytes."""
        after_s = number * STEP_S
        name = b"%s-%d" % (state.replace(" ", "-").encode(), number)
        call = make_call(name, DURATIONS_S[number % len(DURATIONS_S)])
        cut = {IN_HEAD: 30, IN_BODY: len(call) - 1}.get(state, 0)
        first = make_call(b"first-%d" % number, 0.01) if state == KEPT else call[:cut]
        client = await self.connect(first)
        return LateCaller(name, state, after_s, client, call[cut:])

    def send_rest(self, caller: LateCaller) -> None:
        """Sends what is left of a request, if the connection is still open."""
        transport: Any = caller.client.transport
        if not caller.client.closed:
            transport.write(caller.rest)

    @on_loopback
    async def test_request_is_answered_whenever_its_last_byte_comes(self) -> None:
        upstream = WorkingUpstream(self.reactor)
        daemon = await self.start_leaving(**TIMES)
        address = self.serve(upstream).address.removeprefix("http://")
        record = {"service": "s-1", "address": address, "zone": "z", "state": "ready"}
        self.store.put("servers", "i-1", record)
        await self.wait_until(lambda: bool(daemon.node.world.upstreams.by_id))
        for duration_s in DURATIONS_S * 40:
            durations = daemon.node.world.durations
            durations.add("s-1", RouteKind.NOT_REPEATABLE, duration_s)
        read = record_read(daemon.node.ports.callers)
        numbers = range(round(LAST_MOMENT_S / STEP_S))
        callers = [
            await self.connect_late(state, number)
            for state in STATES
            for number in numbers
        ]
        await self.sleep(0.3)
        daemon.leave("SIGTERM")
        for caller in callers:
            self.reactor.callLater(caller.after_s, self.send_rest, caller)
        await self.wait_until(lambda: bool(self.stopped))
        await self.wait_until(lambda: all(item.client.closed for item in callers))
        statuses = {item.name: item.statuses for item in callers}
        answers = {KEPT: 2}
        for item in callers:
            expected = answers.get(item.state, 1)
            if item.name in upstream.begun:
                self.assertEqual(statuses[item.name], [b"200"] * expected, item)
            elif item.name in read:
                self.assertEqual(len(statuses[item.name]), expected, item)
                self.assertIn(statuses[item.name][-1], (b"503", b"408"), item)
        late = read & statuses.keys()
        self.assertGreater(len(late & upstream.begun), len(numbers))
        self.assertGreater(len(late - upstream.begun), 4, "some are refused")

    @on_loopback
    async def test_connection_that_was_never_used_is_closed_in_the_stop(self) -> None:
        daemon = await self.start_leaving([ANSWER_HEAD], sweep_s=0.2)
        running = await self.connect(CALL)
        await self.wait_until(lambda: bool(self.servers[0].requests))
        daemon.leave("SIGTERM")
        await self.sleep(0.1)
        unused = await self.connect(b"")
        await self.sleep(FRESH_S + 0.5)
        self.assertTrue(unused.closed)
        self.assertFalse(running.closed)

    @on_loopback
    async def test_new_settings_do_not_cut_a_stop_that_has_begun(self) -> None:
        daemon = await self.start_leaving([ANSWER_HEAD + b"Content-Length: 2\r\n\r\n"])
        client = await self.connect(CALL.replace(b"calls", b"bookings"))
        await self.wait_until(lambda: bool(self.servers[0].requests))
        daemon.leave("SIGTERM")
        await self.sleep(0.1)
        self.reload_with_short_grace(daemon)
        await self.sleep(1.0)
        self.servers[0].finish(b"ok")
        await self.wait_until(lambda: client.closed)
        self.assertEqual(client.received.split()[1:2], [b"200"])
        self.assertEqual(daemon.settings.bounds.drain_ms, 1000)

    @on_loopback
    async def test_new_settings_in_the_pass_of_the_order_to_stop_cut_nothing(
        self,
    ) -> None:
        daemon = await self.start_leaving([ANSWER_HEAD + b"Content-Length: 2\r\n\r\n"])
        client = await self.connect(CALL.replace(b"calls", b"bookings"))
        await self.wait_until(lambda: bool(self.servers[0].requests))
        daemon.leave("SIGTERM")
        self.reload_with_short_grace(daemon)
        await self.sleep(1.2)
        self.servers[0].finish(b"ok")
        await self.wait_until(lambda: client.closed)
        self.assertEqual(client.received.split()[1:2], [b"200"])

    def reload_with_short_grace(self, daemon: ServingDaemon) -> None:
        """Applies settings with a grace of 1 s, as SIGHUP does."""
        changed = {**self.settings, "bounds": {"stop_grace_s": 1, "drain_ms": 1000}}
        reload_settings(Path(), lambda _: parse_serving_settings(changed), daemon)

    @on_loopback
    async def test_failed_tick_at_the_end_of_a_stop_is_reported_once(self) -> None:
        daemon = await self.start_leaving([ANSWER_HEAD])
        client = await self.connect(CALL[:-1])
        await self.wait_until(lambda: len(self.channels) == 1)
        daemon.leave("SIGTERM")
        await self.wait_until(lambda: daemon.finishing is not None)

        def fail(world: Any, now: float) -> None:
            raise KeyError("a fault")

        with self.assertLogs("magnoliahold", "ERROR"):
            daemon.node.systems = (*daemon.node.systems, fail)
            await self.wait_until(lambda: not daemon.node.running)
        transport: Any = client.transport
        transport.write(CALL[-1:])
        await self.wait_until(lambda: bool(self.stopped))
        await self.sleep(0.1)
        self.assertEqual(client.received.split()[1:2], [b"503"])
        self.assertEqual(self.stopped, [BROKEN_TABLES])
        self.assertTrue(daemon.broken)
