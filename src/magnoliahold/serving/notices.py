"""Sends and receives the notices of entries as UDP datagrams.

A notice reports an entry's state to the other entries. Each notice replaces the
previous one and may be lost, so nothing is queued for a peer that doesn't read.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from attrs import define, evolve
from twisted.internet.protocol import DatagramProtocol

from magnoliahold.core.serving.events import NoticeReceived, ProofReceived
from magnoliahold.core.serving.peers import LoadNotice
from magnoliahold.core.serving.proofs import ConfigurationProof
from magnoliahold.decoding import describe_error
from magnoliahold.logs import make_part_logger
from magnoliahold.serving.noticechecks import check_numbers

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from magnoliahold.core.serving.peers import PeerRecord

MAX_ITEMS = 40
# The first byte of a proof; the encoding of a notice never begins with it.
PROOF_TAG = b"\xc1"

logger = make_part_logger("peers")
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(LoadNotice)
_proof_decoder = msgspec.msgpack.Decoder(ConfigurationProof)


def encode_notice(notice: LoadNotice) -> bytes:
    """Encodes a notice; long lists are truncated so that it fits a datagram."""
    truncated = evolve(
        notice,
        loads=notice.loads[:MAX_ITEMS],
        down=notice.down[:MAX_ITEMS],
        places=notice.places[:MAX_ITEMS],
        evidence=notice.evidence[:MAX_ITEMS],
        crash_reports=notice.crash_reports[-MAX_ITEMS:],
        quarantines=notice.quarantines[-MAX_ITEMS:],
        clearances=notice.clearances[-MAX_ITEMS:],
        leaving=notice.leaving[:MAX_ITEMS],
        trials=notice.trials[:MAX_ITEMS],
        limits=notice.limits[-MAX_ITEMS:],
        paces=notice.paces[:MAX_ITEMS],
        queues=notice.queues[:MAX_ITEMS],
    )
    return _encoder.encode(truncated)


@define(eq=False)
class NoticePort:
    """The UDP socket of an entry; `transport` is None until it is open."""

    post: Callable[[object], None]
    transport: Any = None

    def send(self, peers: Iterable[PeerRecord], notice: LoadNotice) -> int:
        """Sends a notice to other entries; returns its size in bytes."""
        if self.transport is None:
            return 0
        content = encode_notice(notice)
        for peer in peers:
            self._write(peer, content)
        return len(content)

    def send_proofs(
        self, messages: Iterable[tuple[PeerRecord, ConfigurationProof]]
    ) -> None:
        """Sends each entry the proof that is meant for it."""
        for peer, proof in messages:
            self._write(peer, PROOF_TAG + _encoder.encode(proof))

    def _write(self, peer: PeerRecord, content: bytes) -> None:
        if self.transport is None:
            return
        try:
            self.transport.write(content, (peer.address, peer.port))
        except Exception as error:
            # The notices to the other entries must go out all the same.
            reason = describe_error(error)
            logger.gather("Sending notice failed.", peer=peer.name, reason=reason)

    def handle_datagram(self, content: bytes, address: str = "") -> None:
        """Posts what was received; what can't be used is logged and dropped.

        `address` is that of the sender.
        """
        try:
            event: NoticeReceived | ProofReceived
            if content.startswith(PROOF_TAG):
                event = ProofReceived(_proof_decoder.decode(content[1:]))
            else:
                event = NoticeReceived(_decoder.decode(content))
                check_numbers(event.notice)
        except Exception as error:
            reason = describe_error(error)
            logger.gather("Notice can't be decoded.", address=address, reason=reason)
            return
        self.post(event)


class NoticeProtocol(DatagramProtocol):
    """Passes received datagrams to a NoticePort."""

    noisy = False

    def __init__(self, port: NoticePort) -> None:
        self._port = port

    def startProtocol(self) -> None:  # noqa: N802
        """Enables sending."""
        self._port.transport = self.transport

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        """Passes on a datagram."""
        self._port.handle_datagram(datagram, addr[0])
