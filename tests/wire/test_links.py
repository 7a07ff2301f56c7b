"""Tests of links over real loopback sockets."""

from __future__ import annotations

import time
import unittest
from typing import TYPE_CHECKING
from unittest.mock import patch

import zmq
from twisted.internet.selectreactor import SelectReactor

from magnoliahold.core.identity import Identity
from magnoliahold.wire import links
from magnoliahold.wire.codec import NO_EXPIRY, Header
from magnoliahold.wire.links import make_links
from magnoliahold.wire.messages import CancelStream, StreamTokens

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliahold.wire.links import ZmqLinks
    from magnoliahold.wire.messages import Message

LOOPBACK = "127.0.0.1"
DEADLINE_S = 5.0
LONG_RECONNECT_MS = 60_000
MESSAGE_COUNT = 2_000


class LinkEnd:
    """The links of one process, and the messages that they received."""

    def __init__(self, reactor: SelectReactor, name: str) -> None:
        self.identity = Identity(name, f"{name}.1", "entry", "dc-1")
        self.received: list[tuple[str, Message]] = []
        self.broken: list[str] = []
        self.links: ZmqLinks = make_links(
            reactor, self.identity, self._receive, self.broken.append
        )

    def send(self, peer: str, message: Message) -> bool:
        """Sends a message that does not expire."""
        identity = self.identity
        header = Header(identity.name, identity.incarnation, 0, "", NO_EXPIRY)
        return self.links.send_message(peer, message, header)

    def _receive(self, header: Header, message: Message) -> None:
        self.received.append((header.sender, message))


class LinkTests(unittest.TestCase):
    def setUp(self) -> None:
        self.reactor = SelectReactor()
        self.server = LinkEnd(self.reactor, "server")
        self.client = LinkEnd(self.reactor, "client")
        self.port = self.server.links.listen(LOOPBACK, 0)
        self.addCleanup(self.server.links.close_all)
        self.addCleanup(self.client.links.close_all)

    def run_until(self, condition: Callable[[], bool]) -> bool:
        """Runs the reactor until the condition holds or the time limit expires."""
        deadline = time.monotonic() + DEADLINE_S
        while not condition() and time.monotonic() < deadline:
            self.reactor.runUntilCurrent()
            self.reactor.doIteration(0.01)
        return condition()

    def connect(self) -> None:
        """Opens the link and sends until the first message has arrived."""
        self.client.links.open_link("server", LOOPBACK, self.port)
        message = CancelStream("hello", 1)

        def try_sending() -> bool:
            return bool(self.server.received) or not self.client.send("server", message)

        self.run_until(lambda: try_sending() and bool(self.server.received))
        self.server.received.clear()

    def test_messages_are_sent_both_ways(self) -> None:
        self.connect()
        for number in range(MESSAGE_COUNT):
            self.client.send("server", CancelStream("to-server", number))
            if number % 100 == 0:
                self.reactor.doIteration(0)
                self.run_until(lambda: True)
        self.assertTrue(self.run_until(lambda: bool(self.server.received)))
        self.assertTrue(self.server.send("client", CancelStream("to-client", 1)))
        self.assertTrue(self.run_until(lambda: bool(self.client.received)))

    def test_tokens_arrive_one_by_one_and_in_order(self) -> None:
        """Receivers never see bundles, whatever is sent between the tokens."""
        self.connect()
        self.client.send("server", CancelStream("first", 1))
        self.run_until(lambda: bool(self.server.received))
        tokens = [StreamTokens(f"l-{n % 7}", 1, n, ("t",)) for n in range(150)]
        cases: tuple[tuple[str, list[Message]], ...] = (
            ("one", [*tokens[:1]]),
            ("more than a bundle", [*tokens]),
            ("others between", [*tokens[:3], CancelStream("x", 1), *tokens[3:5]]),
            ("another last", [*tokens[:2], CancelStream("y", 1)]),
        )
        for sender, receiver in (
            (self.client, self.server),
            (self.server, self.client),
        ):
            for name, messages in cases:
                with self.subTest(name, sender=sender.identity.name):
                    receiver.received.clear()
                    for message in messages:
                        sender.send(receiver.identity.name, message)
                    self.run_until(lambda: len(receiver.received) >= len(messages))  # noqa: B023
                    got = [message for _, message in receiver.received]
                    self.assertEqual(got, messages)

    def test_nothing_is_queued_for_an_unconnected_peer(self) -> None:
        self.client.links.open_link("server", LOOPBACK, 1)
        self.assertFalse(self.client.send("server", CancelStream("lost", 1)))
        self.assertFalse(self.client.send("nobody", CancelStream("lost", 1)))

    def test_malformed_messages_are_discarded_and_counted(self) -> None:
        self.connect()
        context = zmq.Context()
        self.addCleanup(context.destroy, linger=0)
        stranger = context.socket(zmq.DEALER)
        stranger.connect(f"tcp://{LOOPBACK}:{self.port}")
        stranger.send_multipart([b"StreamTokens", b"junk", b"junk"])
        stranger.send(b"junk")
        links = self.server.links
        with self.assertLogs("magnoliahold.links", "WARNING"):
            self.assertTrue(self.run_until(lambda: links.broken_messages == 2))
        self.client.send("server", CancelStream("after", 1))
        self.assertTrue(self.run_until(lambda: bool(self.server.received)))

    @patch.multiple(
        links, RECONNECT_MS=LONG_RECONNECT_MS, RECONNECT_MAX_MS=LONG_RECONNECT_MS
    )
    def test_reset_connection_is_reported(self) -> None:
        self.connect()
        self.server.links.close_all()
        self.assertTrue(self.run_until(lambda: self.client.broken == ["server"]))

    def test_refused_connection_is_reported(self) -> None:
        self.server.links.close_all()
        self.client.links.open_link("server", LOOPBACK, self.port)
        self.assertTrue(self.run_until(lambda: "server" in self.client.broken))

    def test_replaced_link_carries_answers(self) -> None:
        self.connect()
        self.client.links.replace_link("server")
        message = CancelStream("again", 2)
        self.run_until(lambda: self.client.send("server", message))
        received = self.server.received
        self.assertTrue(self.run_until(lambda: ("client", message) in received))
        self.server.send("client", CancelStream("answer", 1))
        self.assertTrue(self.run_until(lambda: bool(self.client.received)))

    def test_failed_listen_leaves_no_socket_open(self) -> None:
        """An open socket would block the process on exit.

        The error stays referenced, as in a daemon that raises it again on exit.
        """
        end = LinkEnd(self.reactor, "second")
        self.addCleanup(end.links.close_all)
        failures = []
        try:
            end.links.listen(LOOPBACK, self.port)
        except zmq.ZMQError as error:
            failures.append(error)
        self.assertEqual(len(failures), 1)
        sockets = end.links._context._sockets
        self.assertTrue(all(item.closed for item in sockets))
