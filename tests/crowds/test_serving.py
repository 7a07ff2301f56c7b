"""Tests that crowds of odd callers end no entry of the users' platform."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Any

from attrs import frozen
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from magnoliahold.httpclient import HttpClient
from tests.crowds.cases import ANSWER_S, CrowdTestCase
from tests.crowds.members import Content
from tests.crowds.meters import MIB
from tests.flooding import make_chunk
from tests.loopback import on_loopback
from tests.serving.test_daemon import DaemonTestCase, FakeStore, make_document
from tests.serving.working import WorkingUpstream

if TYPE_CHECKING:
    from subprocess import Popen

BODY_BYTES = 4 * MIB
KIB = 1024
FAR_BYTES = 8 * MIB
# Limits on heads that let one hold as much as a body does elsewhere.
HEADER_BYTES = 256 * KIB
# Descriptors of a process, and those that callers must leave to everything else.
DESCRIPTORS = 512
SPARE_DESCRIPTORS = 128

HEAD = (
    b"POST /calls/%s HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: crowd\r\n"
    b"Authorization: Token key-1\r\nDeadline-Ms: 60000\r\n"
)
SHORT_CALL = HEAD % b"0.1" + b"Content-Length: 2\r\n\r\nhi"
CHUNKED = HEAD % b"0.1" + b"Transfer-Encoding: chunked\r\n\r\n"
ORDINARY = (("Authorization", "Token key-1"), ("Request-Id", "ordinary"))
LARGE_ANSWER_BYTES = 4 * MIB


def announce(length: int, work: bytes = b"0.1") -> bytes:
    """Makes the head of a request with a body of so many bytes."""
    return HEAD % work + b"Content-Length: %d\r\n\r\n" % length


def make_body(length: int, short_by: int = 0, start: bytes = b"") -> Content:
    """Makes a request whose body stops some bytes short of its end."""
    fillers = length // KIB
    sent = length - short_by
    return Content(start + announce(length), b"x" * KIB, fillers, sent)


def make_wide_head(work: bytes = b"0.1") -> bytes:
    """Makes a head of many short fields, without its end."""
    fields = b"".join(b"name-%d: %s\r\n" % (n, b"v" * 450) for n in range(480))
    return HEAD % work + fields


@frozen
class CrowdCase:
    """One kind of crowd: how many callers, and what each of them sends."""

    name: str
    count: int
    content: Content


UNFINISHED = (
    CrowdCase("bodies without their last byte", 40, make_body(BODY_BYTES, 1)),
    CrowdCase(
        "large chunks without the last one",
        40,
        Content(CHUNKED, make_chunk(b"x" * MIB), 4),
    ),
    CrowdCase(
        "chunks of one byte without the last one",
        10,
        Content(CHUNKED, b"1\r\nx\r\n", 40_000),
    ),
    CrowdCase(
        "an unfinished body behind a short request",
        40,
        make_body(BODY_BYTES, 1, SHORT_CALL),
    ),
    CrowdCase(
        "the same behind a request that takes long",
        40,
        Content(
            announce(2, b"9.0") + b"hi" + announce(BODY_BYTES),
            b"x" * KIB,
            BODY_BYTES // KIB,
            BODY_BYTES - 1,
        ),
    ),
)
FAR_TOO_LONG = (
    CrowdCase(
        "announced bodies",
        40,
        Content(announce(1024 * MIB), b"x" * KIB, FAR_BYTES // KIB),
    ),
    CrowdCase(
        "chunks without an end",
        40,
        Content(CHUNKED, make_chunk(b"x" * 64 * KIB), FAR_BYTES // (64 * KIB)),
    ),
)
WHOLE = CrowdCase(
    "whole bodies at once",
    40,
    Content(announce(BODY_BYTES, b"2.0"), b"x" * KIB, BODY_BYTES // KIB),
)
HEADS = CrowdCase("heads without their end", 400, Content(make_wide_head()))
WHOLE_HEADS = CrowdCase(
    "whole heads at once", 400, Content(make_wide_head(b"9.0") + b"\r\n")
)
SILENT = CrowdCase("connections that send nothing", 700, Content())
UNTAKEN = CrowdCase(
    "large answers that nobody takes",
    40,
    Content(
        b"GET /calls/large HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: crowd\r\n"
        b"Authorization: Token key-1\r\n\r\n"
    ),
)
CLOSED_ADDRESSES = ("readiness", "metrics")


class LargeAnswer(Resource):
    """Answers with a large body where the path asks for it; else works as asked."""

    isLeaf = True  # noqa: N815

    def __init__(self, reactor: Any) -> None:
        super().__init__()
        self.working = WorkingUpstream(reactor)

    def render(self, request: Any) -> Any:
        """Answers a request."""
        if not request.path.endswith(b"/large"):
            return self.working.render(request)
        request.setHeader(b"Request-Id", request.getHeader(b"Request-Id"))
        request.setHeader(b"Response-Signature", b"s")
        return b"x" * LARGE_ANSWER_BYTES


class PolledStore(FakeStore):
    """Ends a long poll once its time is up, so that what it proves stays fresh."""

    def __init__(self, reactor: Any) -> None:
        super().__init__()
        self.reactor = reactor

    def render_GET(self, request: Any) -> Any:  # noqa: N802
        """Answers reads and polls."""
        answer = super().render_GET(request)
        if answer is NOT_DONE_YET:
            wait_s = int(request.args[b"wait_ms"][0]) / 1000
            self.reactor.callLater(wait_s, self.end_in_time, self.polls[-1])
        return answer

    def end_in_time(self, poll: tuple[str, Any]) -> None:
        """Answers a poll that is still open: nothing has changed."""
        if poll in self.polls:
            self.polls.remove(poll)
            poll[1].write(self.describe([]))
            poll[1].finish()


class EntryTestCase(CrowdTestCase, DaemonTestCase):
    """A test case with the process of an entry, its store and one upstream."""

    def setUp(self) -> None:
        super().setUp()
        self.store = PolledStore(self.reactor)
        address = self.serve(self.store).address
        self.settings["store"] = address.removeprefix("http://")

    async def start_entry(self, descriptors: int = 0, **limits: int) -> Popen[bytes]:
        """Starts an entry with one upstream and waits until it is ready."""
        address = self.serve(LargeAnswer(self.reactor)).address
        record = {"service": "s-1", "address": address.removeprefix("http://")}
        self.store.put("servers", "i-1", {**record, "zone": "z", "state": "ready"})
        document = make_document(1, timeout_ms=60_000)
        self.store.put("op", "config", {**document, "limits": limits})
        process = self.start_process("serve", self.settings, descriptors)
        await self.wait_for_status(self.settings["readiness"], "/-/readyz")
        return process

    async def ask(self) -> Any:
        """Sends an ordinary caller's request."""
        client = HttpClient(self.reactor, f"http://{self.settings['callers']}")
        return await client.send("POST", "/calls/0", b"body", ORDINARY, ANSWER_S)

    async def check_afterwards(self, process: Popen[bytes], **bounds: int) -> None:
        """Checks the process beside the crowd, and once that has left."""
        await self.sleep(1.0)
        await self.count_attempts(self.ask)
        self.check_process(process, **bounds)
        self.close_crowds()
        await self.count_attempts(self.ask)
        self.check_process(process, **bounds)

    async def check_crowd(self, case: CrowdCase, address: str = "callers") -> None:
        """Checks that a process outlives a crowd within its memory."""
        process = await self.start_entry()
        crowd = self.make_crowd(self.settings[address])
        crowd.add(case.count, case.content)
        await self.wait_until(lambda: crowd.is_done)
        await self.check_afterwards(process)
        process.kill()


class ServingCrowdTests(EntryTestCase):
    @on_loopback
    async def test_bodies_without_their_last_byte(self) -> None:
        await self.check_crowd(UNFINISHED[0])

    @on_loopback
    async def test_large_chunks_without_the_last_one(self) -> None:
        await self.check_crowd(UNFINISHED[1])

    @on_loopback
    async def test_chunks_of_one_byte_without_the_last_one(self) -> None:
        await self.check_crowd(UNFINISHED[2])

    @on_loopback
    async def test_unfinished_bodies_behind_short_requests(self) -> None:
        await self.check_crowd(UNFINISHED[3])

    @on_loopback
    async def test_unfinished_bodies_behind_requests_that_take_long(self) -> None:
        await self.check_crowd(UNFINISHED[4])

    @on_loopback
    async def test_whole_bodies_at_once(self) -> None:
        await self.check_crowd(WHOLE)

    @on_loopback
    async def test_bodies_far_over_the_limit_are_refused(self) -> None:
        for case in FAR_TOO_LONG:
            with self.subTest(case.name):
                process = await self.start_entry()
                crowd = self.make_crowd(self.settings["callers"])
                crowd.add(case.count, case.content)
                await self.wait_until(lambda crowd=crowd: crowd.is_done)
                await self.sleep(2.0)
                self.assertTrue(crowd.is_refused, "a connection stays open")
                await self.check_afterwards(process)
                process.kill()

    @on_loopback
    async def test_heads_without_their_end(self) -> None:
        process = await self.start_entry(max_header_bytes=HEADER_BYTES)
        crowd = self.make_crowd(self.settings["callers"])
        crowd.add(HEADS.count, HEADS.content)
        await self.wait_until(lambda: crowd.is_done)
        await self.check_afterwards(process)

    @on_loopback
    async def test_whole_heads_at_once(self) -> None:
        process = await self.start_entry(max_header_bytes=HEADER_BYTES)
        crowd = self.make_crowd(self.settings["callers"])
        crowd.add(WHOLE_HEADS.count, WHOLE_HEADS.content)
        await self.wait_until(lambda: crowd.is_done)
        await self.check_afterwards(process)

    @on_loopback
    async def test_connections_that_send_nothing(self) -> None:
        for address in ("callers", *CLOSED_ADDRESSES):
            with self.subTest(address):
                process = await self.start_entry(DESCRIPTORS)
                crowd = self.make_crowd(self.settings[address])
                crowd.add(SILENT.count, SILENT.content)
                await self.wait_until(lambda crowd=crowd: crowd.is_done)
                await self.check_afterwards(
                    process, descriptors=DESCRIPTORS - SPARE_DESCRIPTORS
                )
                process.kill()

    @on_loopback
    async def test_large_answers_that_nobody_takes(self) -> None:
        process = await self.start_entry()
        crowd = self.make_crowd(self.settings["callers"])
        crowd.add(UNTAKEN.count, UNTAKEN.content, reads=False)
        await self.wait_until(lambda: crowd.is_done)
        await self.sleep(2.0)
        await self.check_afterwards(process)

    @on_loopback
    async def test_bodies_at_addresses_that_take_none(self) -> None:
        for address in CLOSED_ADDRESSES:
            with self.subTest(address):
                await self.check_crowd(UNFINISHED[0], address)

    @on_loopback
    async def test_one_request_of_exactly_the_limit_is_served(self) -> None:
        await self.start_entry()
        crowd = self.make_crowd(self.settings["callers"])
        for content in (
            Content(announce(BODY_BYTES), b"x" * KIB, BODY_BYTES // KIB),
            Content(CHUNKED + make_chunk(b"x" * BODY_BYTES) + b"0\r\n\r\n"),
            Content(announce(BODY_BYTES) + b"x" * BODY_BYTES),
        ):
            crowd.add(1, content)
            member = crowd.members[-1]
            await self.wait_until(lambda member=member: bool(member.status))
            self.assertEqual(member.status, b"200")


class NoticeCrowdTests(EntryTestCase):
    @on_loopback
    async def test_datagrams_of_unknown_entries(self) -> None:
        await self.start_entry()
        host, _, port = self.settings["peers"].partition(":")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for _ in range(2000):
                sender.sendto(b"\x93" + b"x" * 60_000, (host, int(port)))
                await self.sleep(0)
        self.check_process(self.processes[0])


if __name__ == "__main__":
    import unittest

    unittest.main()
