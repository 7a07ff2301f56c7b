"""Tests that crowds of odd callers end no entry or sidecar of the own deployment."""

from __future__ import annotations

import json
from typing import Any

from magnoliahold.httpclient import HttpClient
from tests.crowds.cases import ANSWER_S, CrowdTestCase
from tests.crowds.members import Content
from tests.crowds.meters import (
    MIB,
    count_descriptors,
    measure_files,
    read_peak_bytes,
)
from tests.flooding import make_chunk
from tests.loopback import on_loopback
from tests.process_fleet import CALLER_CREDENTIAL, LOOPBACK, ProcessFleet

BODY_BYTES = 4 * MIB
KIB = 1024
COUNT = 40
# Descriptors of a process, and those that a crowd must leave to everything else.
DESCRIPTORS = 512
SPARE_DESCRIPTORS = 128
SILENT = 700
# What a crowd may make a process hold: half of the smallest instance.
HELD_BYTES = 64 * MIB
PATH = b"POST /v1/services/desk/lookup/x HTTP/1.1\r\nHost: x\r\n"
KEY = b"Authorization: Bearer %s\r\n" % CALLER_CREDENTIAL.encode()
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
LENGTH = b"Content-Length: %d\r\n\r\n"
FORM = b"Content-Type: application/x-www-form-urlencoded\r\n"


def make_unfinished(head: bytes) -> Content:
    """Makes a request whose body stops one byte short of its end."""
    fillers = BODY_BYTES // KIB
    return Content(head + LENGTH % BODY_BYTES, b"x" * KIB, fillers, BODY_BYTES - 1)


# Each crowd by its name, the addresses that it presses on, and what each member sends.
CROWDS = (
    ("unknown callers", ("caller", "operator"), make_unfinished(PATH)),
    ("known callers", ("caller",), make_unfinished(PATH + KEY)),
    (
        "large chunks",
        ("caller",),
        Content(PATH + KEY + CHUNKED, make_chunk(b"x" * MIB), 4),
    ),
    (
        "bodies far over the limit",
        ("caller", "operator"),
        Content(PATH + KEY + LENGTH % (1024 * MIB), b"x" * KIB, 8 * KIB),
    ),
    (
        "forms of many fields",
        ("caller",),
        Content(PATH + KEY + FORM + LENGTH % MIB, b"a&b=&" * 204, KIB, MIB),
    ),
)

# The greeting and the handshake of ZMTP 3.0 without authentication, as a DEALER sends
# them, and the head of one long frame.
GREETING = b"\xff" + bytes(8) + b"\x7f\x03\x00" + b"NULL".ljust(20, b"\0") + bytes(32)
READY = b"\x05READY\x0bSocket-Type" + (6).to_bytes(4, "big") + b"DEALER"
HANDSHAKE = GREETING + b"\x04" + bytes([len(READY)]) + READY
FRAME_BYTES = 8 * MIB
LONG_FRAME = HANDSHAKE + b"\x02" + FRAME_BYTES.to_bytes(8, "big")


class EntryCrowdTests(CrowdTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.fleet = ProcessFleet(engines=1, entries=1, descriptors=DESCRIPTORS)
        self.addCleanup(self.fleet.stop_all)
        self.fleet.start_all()

    async def ask(self) -> Any:
        """Sends an ordinary caller's request."""
        url = f"http://{LOOPBACK}:{self.fleet.ports['entry-0.caller']}"
        body = {"model": "listing", "prompt": "x", "max_tokens": 2}
        headers = (("Authorization", f"Bearer {CALLER_CREDENTIAL}"),)
        content = json.dumps(body).encode()
        client = HttpClient(self.reactor, url)
        return await client.send("POST", "/v1/completions", content, headers, ANSWER_S)

    def measure_process(self, name: str) -> int:
        """Measures what a process has held at most, and holds in files."""
        pid = self.fleet.processes[name].pid
        return read_peak_bytes(pid) + measure_files(pid)

    async def check_crowd(self, process: str, port: int, content: Content) -> None:
        """Checks that a process outlives a crowd, within its memory."""
        before = self.measure_process(process)
        crowd = self.make_crowd(f"{LOOPBACK}:{port}")
        crowd.add(COUNT, content)
        await self.wait_until(lambda: crowd.is_done)
        await self.sleep(1.0)
        self.assertLess(self.measure_process(process) - before, HELD_BYTES)
        await self.count_attempts(self.ask)
        self.close_crowds()
        await self.count_attempts(self.ask)
        self.assertIsNone(self.fleet.processes[process].poll(), "the process has ended")

    @on_loopback
    async def test_crowds_at_an_entry(self) -> None:
        for name, addresses, content in CROWDS:
            for address in addresses:
                with self.subTest(name, address=address):
                    port = self.fleet.ports[f"entry-0.{address}"]
                    await self.check_crowd("entry-0", port, content)

    @on_loopback
    async def test_connections_that_send_nothing(self) -> None:
        for process, address in (
            ("entry-0", "entry-0.caller"),
            ("entry-0", "entry-0.operator"),
            ("sidecar-engine-0", "sidecar-engine-0.operator"),
        ):
            with self.subTest(address):
                crowd = self.make_crowd(f"{LOOPBACK}:{self.fleet.ports[address]}")
                crowd.add(SILENT, Content())
                await self.wait_until(lambda crowd=crowd: crowd.is_done)
                await self.sleep(1.0)
                pid = self.fleet.processes[process].pid
                left = DESCRIPTORS - count_descriptors(pid)
                self.assertGreater(left, SPARE_DESCRIPTORS)
                await self.count_attempts(self.ask)
                self.close_crowds()

    @on_loopback
    async def test_bodies_at_a_sidecar(self) -> None:
        port = self.fleet.ports["sidecar-engine-0.operator"]
        await self.check_crowd("sidecar-engine-0", port, make_unfinished(PATH))

    @on_loopback
    async def test_messages_without_their_last_byte_at_the_link_port(self) -> None:
        port = self.fleet.ports["entry-0.link"]
        fillers = FRAME_BYTES // KIB
        content = Content(LONG_FRAME, b"x" * KIB, fillers, FRAME_BYTES - 1)
        await self.check_crowd("entry-0", port, content)

    @on_loopback
    async def test_one_request_of_nearly_the_limit_is_read(self) -> None:
        port = self.fleet.ports["entry-0.caller"]
        crowd = self.make_crowd(f"{LOOPBACK}:{port}")
        content = PATH + KEY + LENGTH % BODY_BYTES
        crowd.add(1, Content(content, b"x" * KIB, BODY_BYTES // KIB))
        await self.wait_until(lambda: bool(crowd.members[0].status))
        self.assertEqual(crowd.members[0].status, b"200")
