"""Tests of notices to entries, some of which have registered an unusable address."""

from __future__ import annotations

from magnoliahold.core.serving.events import NoticeReceived, ProofReceived
from magnoliahold.core.serving.peers import LoadNotice, PeerRecord
from magnoliahold.core.serving.proofs import ConfigurationProof
from magnoliahold.serving.notices import NoticePort, NoticeProtocol
from tests.loopback import LoopbackTestCase, on_loopback

HOST = "127.0.0.1"
NOTICE = LoadNotice("entry-1", "entry-1.a", 1)
# Addresses and ports that no datagram can be sent to.
BAD_ENDPOINTS = (
    ("localhost", 7000),
    ("", 7000),
    ("::1", 7000),
    ("10.0.0.256", 7000),
    (HOST, -1),
    (HOST, 70_000),
)


class BadRegistrationTests(LoopbackTestCase):
    """Notices of an entry, some of whose peers have registered an unusable address."""

    def setUp(self) -> None:
        super().setUp()
        self.received: list[object] = []
        receiver = NoticePort(self.received.append)
        listening = self.reactor.listenUDP(0, NoticeProtocol(receiver), HOST)
        self.good = PeerRecord("good", "good.a", HOST, listening.getHost().port)
        self.sender = NoticePort(self.received.append)
        self.reactor.listenUDP(0, NoticeProtocol(self.sender), HOST)

    @on_loopback
    async def test_other_entries_get_notices_and_proofs(self) -> None:
        proof = ConfigurationProof("entry-1", "good.a", 1, 5, 1)
        for address, port in BAD_ENDPOINTS:
            with self.subTest(address=address, port=port):
                self.received.clear()
                bad = PeerRecord("bad", "bad.a", address, port)
                with self.assertLogs("magnoliahold.peers") as logs:
                    self.sender.send((bad, self.good), NOTICE)
                    self.sender.send_proofs(((bad, proof), (self.good, proof)))
                await self.wait_until(lambda: len(self.received) == 2)
                self.assertEqual(
                    self.received, [NoticeReceived(NOTICE), ProofReceived(proof)]
                )
                self.assertEqual(len(logs.records), 2)
