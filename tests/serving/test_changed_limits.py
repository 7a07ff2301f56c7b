"""Tests of callers that wait or send while their limits change, on a paused clock."""

from __future__ import annotations

from typing import Any

from attrs import evolve

from magnoliahold.serving.exchanges import Exchange
from tests.loopback import on_loopback
from tests.serving.exchanging import make_body
from tests.serving.test_callers import HEAD, LIMITS, REQUEST, UPSTREAM, set_limits
from tests.serving.test_idle_times import SETTLED_S, PausedCallerTestCase

# The limit at first, later ones with the moment of their change, the moment of the next
# request, and whether that is read. Idle time begins at 0.
IDLE_CHANGES: tuple[
    tuple[str, float, tuple[tuple[float, float], ...], float, bool], ...
] = (
    ("no change", 10.0, (), 8.0, True),
    ("no change, too late", 10.0, (), 11.5, False),
    ("lowered while it waits", 10.0, ((1.0, 2.0),), 8.0, True),
    ("lowered behind the new limit", 10.0, ((3.0, 2.0),), 8.0, True),
    ("lowered while it waits, too late", 10.0, ((1.0, 2.0),), 11.5, False),
    ("lowered a moment before", 10.0, ((-1.0, 2.0),), 8.0, True),
    ("lowered long before", 10.0, ((-4.0, 2.0),), 3.0, False),
    ("lowered long before, in time", 10.0, ((-4.0, 2.0),), 1.6, True),
    ("raised while it waits", 2.0, ((1.0, 10.0),), 8.0, True),
    ("raised in the last moment", 2.0, ((1.9, 10.0),), 8.0, True),
    ("raised a moment before", 2.0, ((-1.0, 10.0),), 8.0, True),
    ("raised and lowered again", 2.0, ((0.5, 10.0), (1.5, 2.0)), 8.0, True),
    ("lowered and raised again", 10.0, ((0.5, 2.0), (1.5, 10.0)), 8.0, True),
    ("changed again and again", 2.0, ((0.5, 5.0), (1.0, 2.0), (1.5, 3.0)), 4.0, True),
    ("changed again and again, too late", 2.0, ((0.5, 5.0), (1.0, 2.0)), 6.0, False),
)

# The same for the header timeout: the rest of the request comes at that moment.
HEADER_CHANGES = (
    ("no change", 2.0, (), 1.5, True),
    ("no change, too late", 2.0, (), 2.5, False),
    ("raised while it is read", 2.0, ((1.0, 6.0),), 5.0, True),
    ("raised while it is read, too late", 2.0, ((1.0, 6.0),), 6.5, False),
    ("lowered while it is read", 6.0, ((1.0, 2.0),), 5.0, True),
    ("lowered a moment before", 6.0, ((-1.0, 2.0),), 5.0, True),
    ("lowered long before", 6.0, ((-4.0, 2.0),), 2.5, False),
)


class ChangedLimitTests(PausedCallerTestCase):
    def advance_to(self, moment: float) -> None:
        """Lets time pass until that moment of the case."""
        self.advance(moment - (self.clock.seconds() - self.began_at))

    def change(self, field: str, changes: Any, *, before: bool) -> None:
        """Changes a limit at moments before or after idle time begins."""
        for moment, limit_s in changes:
            if (moment < 0) == before:
                self.advance_to(moment)
                self.callers.limits = evolve(self.callers.limits, **{field: limit_s})

    def start_case(self, field: str, first_s: float, changes: Any) -> None:
        """Puts the first limit in force for long, and begins the moments of a case."""
        self.clock.advance(100.0)
        self.callers.limits = evolve(LIMITS, **{"idle_timeout_s": 50.0, field: first_s})
        self.clock.advance(100.0)
        self.began_at = self.clock.seconds() + 5.0
        self.change(field, changes, before=True)
        self.advance_to(0.0)

    async def use_connection(self, client: Any) -> None:
        """Sends a request, and takes its answer."""
        count = len(self.events)
        client.sendall(REQUEST)
        await self.wait_until(lambda: len(self.events) > count)
        answer = Exchange(1, UPSTREAM, status=200, body=make_body(b"x"))
        self.callers.answer(self.events[-1].caller.handle, answer, closing=False)
        await self.sleep(SETTLED_S)
        client.recv(1000)

    async def is_read(self, client: Any, content: bytes) -> bool:
        """Sends the end of a request, and tells whether the request is read."""
        count = len(self.events)
        try:
            client.sendall(content)
        except OSError:
            return False
        await self.sleep(SETTLED_S)
        return len(self.events) == count + 1

    async def check_idle(self, is_used: bool) -> None:
        """Plays the table on new connections, or on those that were used."""
        for name, first_s, changes, next_at, is_read in IDLE_CHANGES:
            with self.subTest(name):
                self.start_case("idle_timeout_s", first_s, changes)
                client = self.connect_socket()
                await self.wait_until(lambda: bool(self.callers.channels))
                if is_used:
                    await self.use_connection(client)
                self.change("idle_timeout_s", changes, before=False)
                self.advance_to(next_at)
                self.assertEqual(await self.is_read(client, REQUEST), is_read)
                self.reset(client)
                await self.wait_until(lambda: not self.callers.channels)

    @on_loopback
    async def test_new_connection_keeps_the_limit_that_its_caller_may_know(
        self,
    ) -> None:
        await self.check_idle(is_used=False)

    @on_loopback
    async def test_used_connection_keeps_the_limit_that_its_caller_may_know(
        self,
    ) -> None:
        await self.check_idle(is_used=True)

    @on_loopback
    async def test_headers_may_take_as_long_as_their_caller_may_know(self) -> None:
        for name, first_s, changes, next_at, is_read in HEADER_CHANGES:
            with self.subTest(name):
                self.start_case("header_timeout_s", first_s, changes)
                client = self.connect_socket()
                client.sendall(HEAD)
                await self.sleep(SETTLED_S)
                self.change("header_timeout_s", changes, before=False)
                self.advance_to(next_at)
                rest = REQUEST.removeprefix(HEAD)
                self.assertEqual(await self.is_read(client, rest), is_read)
                self.reset(client)
                self.clock.advance(10.0)
                await self.wait_until(lambda: not self.callers.channels)

    @on_loopback
    async def test_headers_may_take_longer_than_a_connection_may_be_idle(self) -> None:
        limits = evolve(LIMITS, idle_timeout_s=1.0, header_timeout_s=3.0)
        set_limits(self.callers, limits)
        for moment, is_read in ((0.9, True), (2.5, True), (3.5, False)):
            with self.subTest(moment=moment):
                client = self.connect_socket()
                client.sendall(HEAD)
                await self.sleep(SETTLED_S)
                self.advance(moment)
                rest = REQUEST.removeprefix(HEAD)
                self.assertEqual(await self.is_read(client, rest), is_read)

    @on_loopback
    async def test_limits_that_were_replaced_are_forgotten(self) -> None:
        for number in range(1000):
            limit_s = 1.0 + number % 7
            self.callers.limits = evolve(LIMITS, idle_timeout_s=limit_s)
            self.clock.advance(1.0)
        self.assertLess(len(self.callers._limits.replaced), 20)
