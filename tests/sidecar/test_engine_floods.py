"""Tests that streams of engines that have no end are cut off."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.sidecar.engine_client import (
    EndKind,
    EngineRequest,
    make_engine_client,
)
from tests.flooding import (
    CHUNKED,
    EXTENDED,
    HEADS,
    MIB,
    SMALL_PARTS_CALLS,
    STATUS,
    FloodTestCase,
    make_chunk,
)
from tests.loopback import on_loopback

if TYPE_CHECKING:
    from magnoliahold.sidecar.engine_client import EngineStreamEnd

PLAIN = STATUS + b"\r\n"
LINE = b'{"offset":0,"tokens":["a"]}\n'

STREAMS = (
    ("line", PLAIN + LINE, b"x"),
    ("line in chunks", STATUS + CHUNKED + make_chunk(LINE), make_chunk(b"x" * 100)),
    ("line in small chunks", STATUS + CHUNKED + make_chunk(LINE), make_chunk(b"x")),
    ("blank lines", PLAIN + LINE, b"\n"),
    ("lines without tokens", PLAIN + LINE, b'{"offset":1,"tokens":[]}\n'),
    ("repeated lines", PLAIN, LINE),
    ("chunk extensions", STATUS + CHUNKED + make_chunk(LINE), EXTENDED),
    ("chunk size line", STATUS + CHUNKED + make_chunk(LINE), b"1"),
    ("trailers", STATUS + CHUNKED + make_chunk(LINE) + b"0\r\n", b"Name: value\r\n"),
    ("failure", PLAIN.replace(b"200 OK", b"500 Broken"), b"x"),
)


class EngineFloodTests(FloodTestCase):
    @on_loopback
    async def test_streams_without_end_are_cut_off_as_broken(self) -> None:
        for name, start, filler in HEADS + STREAMS:
            with self.subTest(name):
                server = self.flood(start, filler)
                url = f"http://127.0.0.1:{server.port}"
                client = make_engine_client(self.reactor, url)
                tokens: set[tuple[int, tuple[str, ...]]] = set()
                ends: list[EngineStreamEnd] = []
                request = EngineRequest("p", (), 20, 0, "v1", "w")
                client.start_stream(
                    "a",
                    request,
                    lambda *new, tokens=tokens: tokens.add(new),
                    ends.append,
                )
                await self.check_cut_off(server, 2 * MIB, SMALL_PARTS_CALLS)
                self.assertEqual([end.kind for end in ends], [EndKind.BROKEN])
                self.assertLessEqual(tokens, {(0, ("a",))})
