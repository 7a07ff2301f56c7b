"""Tests that a copy that is not freed leaves a log line with the reason."""

from __future__ import annotations

from typing import Any

from magnoliahold.core.serving.effects import FreeCopy
from magnoliahold.core.serving.requests import CopyReference
from magnoliahold.serving.copies import KvCacheCopier
from tests.loopback import LoopbackTestCase, on_loopback
from tests.serving.scripted import CLOSE, ScriptedServer, make_answer

FREED = make_answer(b"200 OK", b"{}")
FAILURES: tuple[tuple[list[Any], str], ...] = (
    ([make_answer(b"404 Not Found", b"{}")], "answered 404"),
    ([make_answer(b"503 Full", b"{}")], "answered 503"),
    ([CLOSE], "ConnectionDone: Connection was closed cleanly."),
)


class FreedCopyTests(LoopbackTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.copies = KvCacheCopier(self.reactor, lambda _: None)

    async def free(self, script: list[Any]) -> None:
        """Frees a copy at a server, and waits for its answer."""
        server = ScriptedServer([script])
        server.listen(self.reactor)
        reference = CopyReference("127.0.0.1", server.port, "h-1")
        self.copies.free(FreeCopy(reference, 0.3))
        await self.wait_until(lambda: server.ended == 1)
        await self.sleep(0.05)

    @on_loopback
    async def test_copy_that_is_not_freed_is_logged(self) -> None:
        for script, reason in FAILURES:
            with self.subTest(reason):
                with self.assertLogs("magnoliahold.copies") as logs:
                    await self.free(script)
                (record,) = logs.records
                fields = vars(record)["fields"]
                self.assertEqual(fields, {"key": "h-1", "reason": reason})

    @on_loopback
    async def test_copy_that_is_freed_is_not_logged(self) -> None:
        with self.assertNoLogs("magnoliahold.copies"):
            await self.free([FREED])
