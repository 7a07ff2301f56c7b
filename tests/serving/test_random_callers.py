"""Tests that each request on kept connections is answered, whatever goes on beside it.

Callers keep to HTTP and to limits that they know a moment late; answers are large and
small, limits change, and the entry stops. `MAGNOLIAHOLD_SEED` and
`MAGNOLIAHOLD_EXAMPLES` set other seeds. Sockets are on loopback, timers on a paused
clock.
"""

from __future__ import annotations

import os
import re
import socket
from random import Random
from typing import Any

from attrs import define, evolve, field

from magnoliahold.serving.callerclosing import HALF_CLOSED_LOOK_S
from magnoliahold.serving.callerlimits import REPLACED_LIMIT_S
from magnoliahold.serving.connectionends import EndCause
from magnoliahold.serving.exchanges import Exchange
from tests.loopback import on_loopback
from tests.serving.test_callers import LIMITS, UPSTREAM, set_limits
from tests.serving.test_idle_times import PausedCallerTestCase

FIRST_SEED = int(os.environ.get("MAGNOLIAHOLD_SEED", "1"))
EXAMPLES = int(os.environ.get("MAGNOLIAHOLD_EXAMPLES", "2"))
STEPS = 250
CALLERS = 6
LEAVING_CHANCE = 0.004
HALF_CLOSE_CHANCE = 0.1
CHANGE_CHANCE = 0.05
STEP_LIMIT_S = 0.1
# Callers use a connection again, and take for headers, this part of what they may.
USED_PART = 0.8
IDLE_TIMEOUTS_S = (1.0, 2.0, 5.0)
HEADER_TIMEOUTS_S = (0.5, 1.0, 3.0)
SIZES = (1, 1000, 100_000, 600_000)
TAKEN_BYTES = (20_000, 400_000)
# Small: what a caller leaves in its own kernel, the entry takes for received.
RECEIVE_BUFFER_BYTES = 16 * 1024
LENGTH = re.compile(rb"\r\nContent-Length: (\d+)\r\n")


def find_used_time(limit_s: float) -> float:
    """Finds how much of a limit callers use; they see and act a step late."""
    return max(USED_PART * limit_s - 2 * STEP_LIMIT_S, 0.0)


@define(eq=False)
class Caller:
    """A caller with a kept connection and at most one request on it.

    `unsent` is the rest of a request of which a part was sent. `is_half_closed` is set
    once it has closed its writing side behind a request.
    """

    connection: Any
    next_at: float
    request_id: bytes = b""
    unsent: bytes = b""
    is_half_closed: bool = False
    received: bytearray = field(factory=bytearray)

    def has_answer(self) -> bool:
        """Whether the whole answer came."""
        head, end, body = bytes(self.received).partition(b"\r\n\r\n")
        if not end:
            return False
        length = LENGTH.search(head + b"\r\n")
        if length is not None:
            return len(body) >= int(length.group(1))
        return body.endswith(b"0\r\n\r\n")


class RandomCallerTests(PausedCallerTestCase):
    def start(self, seed: int) -> None:
        """Begins the play of a seed."""
        self.random = Random(seed)
        # Of its own, so that the other draws of a seed stay the same.
        self.half_closing = Random(f"half-closing-{seed}")
        self.leaving = False
        self.changes: list[tuple[float, Any]] = [(-100.0, LIMITS)]
        set_limits(self.callers, LIMITS)
        self.events.clear()
        self.callers.ends.clear()
        self.callers.unanswered.clear()
        self.callers.refusing_because = ""
        self.open: list[tuple[int, bool]] = []
        self.read: set[bytes] = set()
        self.answered = 0
        self.lost: list[str] = []

    def find_known_limits(self) -> Any:
        """Finds limits that a caller may still go by."""
        now = self.clock.seconds()
        heard_at = now - self.random.uniform(0, REPLACED_LIMIT_S)
        return [limits for at, limits in self.changes if at <= heard_at][-1]

    def choose_next(self) -> float:
        """Chooses when a caller uses its connection again."""
        used_s = find_used_time(self.find_known_limits().idle_timeout_s)
        part = self.random.choice((0.0, self.random.random(), 1.0))
        return self.clock.seconds() + used_s * part

    def make_caller(self) -> Caller:
        """Connects a caller."""
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        connection.connect(("127.0.0.1", self.port))
        # The clock is paused, so that no second part may wait for an acknowledgement.
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.setblocking(False)
        return Caller(connection, self.choose_next())

    def change_limits(self) -> None:
        """Puts other limits in force."""
        limits = evolve(
            LIMITS,
            idle_timeout_s=self.random.choice(IDLE_TIMEOUTS_S),
            header_timeout_s=self.random.choice(HEADER_TIMEOUTS_S),
        )
        self.callers.limits = limits
        self.changes.append((self.clock.seconds(), limits))

    def send(self, caller: Caller) -> None:
        """Sends a request, or a part of it first."""
        if caller.unsent:
            content, caller.unsent = caller.unsent, b""
            caller.next_at = 0.0
        else:
            caller.request_id = b"r-%d" % self.random.getrandbits(60)
            content = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
            content += b"Request-Id: " + caller.request_id + b"\r\n\r\nhi"
            if self.random.random() < 0.3:
                used_s = find_used_time(self.find_known_limits().header_timeout_s)
                cut = self.random.randrange(1, len(content) - 6)
                content, caller.unsent = content[:cut], content[cut:]
                caller.next_at = self.clock.seconds() + used_s * self.random.random()
        caller.connection.sendall(content)
        if not caller.unsent and self.half_closing.random() < HALF_CLOSE_CHANCE:
            caller.connection.shutdown(socket.SHUT_WR)
            caller.is_half_closed = True

    def take(self, caller: Caller) -> bool:
        """Takes some of an answer; tells whether the connection is still open."""
        try:
            data = caller.connection.recv(self.random.choice(TAKEN_BYTES))
        except BlockingIOError:
            return True
        except OSError:
            return False
        caller.received += data
        return bool(data)

    def end_request(self, caller: Caller) -> bool:
        """Checks an answer; tells whether the connection stays open."""
        head = bytes(caller.received).partition(b"\r\n\r\n")[0]
        if b" 408 " in head.split(b"\r\n")[0]:
            self.lost.append("408 to a caller that keeps to its limits")
        self.answered += 1
        caller.received.clear()
        caller.request_id = b""
        caller.next_at = self.choose_next()
        return b"Connection: close" not in head

    def step_caller(self, caller: Caller) -> Caller:
        """Lets a caller send, take or connect again."""
        due = self.clock.seconds() >= caller.next_at
        try:
            if due and (caller.unsent or not caller.request_id):
                self.send(caller)
        except OSError:
            # It was told of the close, and nothing of the request was read.
            return self.replace(caller)
        still_open = self.take(caller)
        if caller.request_id and caller.has_answer():
            still_open = self.end_request(caller) and not caller.is_half_closed
        if still_open:
            return caller
        is_lost = caller.request_id and not self.leaving
        if is_lost or caller.request_id in self.read:
            self.lost.append(f"{caller.request_id!r} has no answer")
        return self.replace(caller)

    def replace(self, caller: Caller) -> Caller:
        """Closes a connection and opens another one."""
        caller.connection.close()
        return self.make_caller()

    def read_requests(self) -> None:
        """Collects the requests that the entry has read."""
        for event in self.events:
            arrived = getattr(event, "caller", None)
            if arrived is not None:
                self.open.append((arrived.handle, False))
                self.read.add(arrived.request_id.encode())
        self.events.clear()

    def step_request(self, handle: int, is_stream: bool) -> bool:
        """Answers a request in part or in full; tells whether it is still open."""
        upstream = Exchange(handle, UPSTREAM, status=200)
        if is_stream:
            self.callers.write_pieces(handle, b"x" * self.random.choice(SIZES))
            if self.random.random() < 0.4:
                self.callers.finish_stream(handle, self.leaving)
                return False
            return True
        kind = self.random.choice(("answer", "stream", "refuse"))
        if kind == "stream":
            self.callers.open_answer(handle, upstream)
            self.open.append((handle, True))
        elif kind == "answer":
            upstream.body.add(b"x" * self.random.choice(SIZES))
            self.callers.answer(handle, upstream, self.leaving)
        else:
            self.callers.refuse(handle, 503, "full", 0.1, self.leaving)
        return False

    def step_entry(self) -> None:
        """Lets the entry answer, change its limits or stop."""
        self.read_requests()
        waiting, self.open = self.open, []
        for handle, is_stream in waiting:
            if self.random.random() < 0.5 or self.step_request(handle, is_stream):
                self.open.append((handle, is_stream))
        if self.random.random() < CHANGE_CHANCE:
            self.change_limits()
        if self.random.random() < LEAVING_CHANCE:
            self.leaving = True
        if self.leaving:
            self.callers.close_idle()

    async def settle(self) -> None:
        """Gives loopback the time to pass on what was sent."""
        for _ in range(3):
            await self.sleep(0.0005)

    @on_loopback
    async def test_each_request_is_answered(self) -> None:
        for seed in range(FIRST_SEED, FIRST_SEED + EXAMPLES):
            with self.subTest(seed=seed):
                self.start(seed)
                await self.play()
                self.assertEqual(self.lost, [])
                self.assertGreater(self.answered, STEPS / 10)
                self.assertEqual(self.callers.unanswered, {})
                self.assertEqual(self.callers.ends[EndCause.DISCARDED], 0)

    async def play(self) -> None:
        """Plays the steps of a seed, and disconnects the callers."""
        callers = [self.make_caller() for _ in range(CALLERS)]
        for _ in range(STEPS):
            self.step_entry()
            await self.settle()
            callers = [self.step_caller(caller) for caller in callers]
            await self.settle()
            self.clock.advance(self.random.uniform(0, STEP_LIMIT_S))
        unanswered = self.callers.unanswered.copy()
        for caller in callers:
            caller.connection.close()
        await self.settle()
        # A request whose caller has closed its connection ends with an answer, too.
        self.callers.fail_open_requests("the play ends")
        while self.callers.channels:
            await self.settle()
            self.clock.advance(HALF_CLOSED_LOOK_S)
        self.callers.unanswered = unanswered
