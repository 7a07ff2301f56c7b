"""Tests that an error at a look of a stop neither ends the looks nor the answers."""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING, Any
from unittest.mock import patch

from magnoliahold.serving.callerconnections import CallerChannel
from magnoliahold.serving.callers import Callers
from tests.loopback import on_loopback
from tests.serving.stopping import StoppingTestCase
from tests.serving.test_exchanges import HEAD as ANSWER_HEAD
from tests.serving.test_lost_requests import CALL

if TYPE_CHECKING:
    from collections.abc import Callable

LIMIT_S = 1.0
STOP_S = 1.5


class FailingLookTests(StoppingTestCase):
    async def stop_with(self, owner: type, name: str) -> None:
        """Stops while the first call of a method fails."""
        daemon = await self.start_leaving([ANSWER_HEAD], limit_s=LIMIT_S)
        failing = await self.connect(b"")
        client = await self.connect(b"")
        await self.wait_until(lambda: len(self.channels) == 2)
        for item in (failing, client):
            transport: Any = item.transport
            transport.getHandle().sendall(CALL)
        world = daemon.node.world
        world.stopping = True
        world.leaving_since = self.reactor.seconds() - LIMIT_S - 1.0
        method: Callable[..., Any] = getattr(owner, name)
        failed: list[object] = []

        def fail_once(*args: Any, **values: Any) -> Any:
            if not failed:
                failed.append(args)
                raise KeyError("a fault")
            return method(*args, **values)

        def finish() -> None:
            with suppress(KeyError):
                daemon.finish("nothing is in flight")

        with patch.object(owner, name, fail_once):
            self.reactor.callLater(0, finish)
            stop_at = self.reactor.seconds() + STOP_S
            await self.wait_until(
                lambda: bool(self.stopped) or self.reactor.seconds() > stop_at
            )
        self.assertTrue(failed)
        self.assertEqual(len(self.stopped), 1, "the stop hangs")

    # Failure: an error at a look ended the looks, and the process stayed for ever.
    @on_loopback
    async def test_stop_ends_though_the_last_look_fails(self) -> None:
        await self.stop_with(CallerChannel, "read_waiting")

    @on_loopback
    async def test_stop_ends_though_an_earlier_look_fails(self) -> None:
        await self.stop_with(Callers, "close_idle")
