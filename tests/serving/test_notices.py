"""Tests of the notices that entries send each other as datagrams."""

from __future__ import annotations

import unittest

from magnoliahold.core.serving.events import NoticeReceived, ProofReceived
from magnoliahold.core.serving.loads import UpstreamLoad
from magnoliahold.core.serving.peers import (
    LoadNotice,
    PeerRecord,
    PrefixCacheLocation,
)
from magnoliahold.core.serving.proofs import ConfigurationProof
from magnoliahold.serving.notices import MAX_ITEMS, NoticePort, encode_notice

NOTICE = LoadNotice(
    sender="entry-1",
    incarnation="entry-1.a",
    serial=7,
    loads=(UpstreamLoad("upstream-1", 1, 2, 3),),
    down=("upstream-2",),
    places=(PrefixCacheLocation("part-1", "upstream-1"),),
)


class FakeTransport:
    """Records the datagrams that are sent; port 1 is unreachable."""

    def __init__(self) -> None:
        self.sent: list[tuple[bytes, tuple[str, int]]] = []

    def write(self, content: bytes, address: tuple[str, int]) -> None:
        """Records a datagram."""
        if address[1] == 1:
            raise OSError("network is unreachable")
        self.sent.append((content, address))


class NoticeTests(unittest.TestCase):
    def setUp(self) -> None:
        self.posted: list[object] = []
        self.port = NoticePort(self.posted.append, FakeTransport())

    def test_notice_is_decoded_as_it_was_encoded(self) -> None:
        self.port.handle_datagram(encode_notice(NOTICE))
        self.assertEqual(self.posted, [NoticeReceived(NOTICE)])

    def test_each_entry_gets_the_proof_that_is_meant_for_it(self) -> None:
        peers = (PeerRecord("a", "a.a", "h", 2), PeerRecord("b", "b.a", "h", 3))
        proofs = tuple(
            ConfigurationProof("entry-1", peer.incarnation, 7, 5, 1) for peer in peers
        )
        self.port.send_proofs(zip(peers, proofs, strict=True))
        for (content, address), peer, proof in zip(
            self.port.transport.sent, peers, proofs, strict=True
        ):
            self.posted.clear()
            self.port.handle_datagram(content)
            self.assertEqual(address, (peer.address, peer.port))
            self.assertEqual(self.posted, [ProofReceived(proof)])

    def test_long_lists_in_a_notice_are_truncated(self) -> None:
        many = tuple(UpstreamLoad(f"upstream-{n}", 1) for n in range(1000))
        self.port.handle_datagram(encode_notice(LoadNotice("e", "e.a", 1, many)))
        (received,) = self.posted
        assert isinstance(received, NoticeReceived)
        self.assertEqual(len(received.notice.loads), MAX_ITEMS)

    def test_invalid_datagrams_are_dropped(self) -> None:
        for content in (b"", b"\xff\xff", b"{}", b"\xc1", b"\xc1\x80"):
            with self.subTest(content), self.assertLogs("magnoliahold.peers"):
                self.port.handle_datagram(content)
        self.assertEqual(self.posted, [])

    def test_unreachable_peer_does_not_affect_others(self) -> None:
        peers = (PeerRecord("a", "a.a", "h", 1), PeerRecord("b", "b.a", "h", 2))
        with self.assertLogs("magnoliahold.peers"):
            self.port.send(peers, NOTICE)
        self.assertEqual(
            [address for _, address in self.port.transport.sent], [("h", 2)]
        )


if __name__ == "__main__":
    unittest.main()
