"""Proofs that entries pass on: which configuration is the operators' newest."""

from __future__ import annotations

from collections import deque

from attrs import define, field, frozen

SENT_NOTICES_KEPT = 256


@frozen
class ConfigurationProof:
    """A reader's message to one other entry: the store has proved a configuration.

    The read that proved it was sent after the reader had received notice `serial` of
    the receiver's `incarnation`. So the proof is no older than that notice, whatever
    the clocks of both show and however long this message takes. `epoch` is the store's.
    """

    sender: str
    incarnation: str
    serial: int
    version: int
    epoch: int | None = None


@frozen
class SeenNotice:
    """The last notice of an entry that was received before a read was sent."""

    incarnation: str
    serial: int


@frozen
class SentNotice:
    """When this entry sent a notice, on the boot clock, in seconds."""

    serial: int
    sent_at_s: float


@define
class ProofTable:
    """Proofs that this entry sends and receives.

    `seen` holds the last notice of each other entry as of the read in progress.
    `own_notices` are the last notices that this entry has sent, oldest first.
    """

    seen: dict[str, SeenNotice] = field(factory=dict)
    own_notices: deque[SentNotice] = field(
        factory=lambda: deque(maxlen=SENT_NOTICES_KEPT)
    )

    def find_sent_at(self, serial: int) -> float | None:
        """Returns when a notice of this entry was sent; None if that is long ago."""
        for notice in reversed(self.own_notices):
            if notice.serial == serial:
                return notice.sent_at_s
        return None
