"""Poison requests: suspicions that a request crashes the upstreams that run it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from attrs import define, field, frozen

from magnoliahold.decoding import decode_or_none, explain_error

if TYPE_CHECKING:
    from collections.abc import Iterator

QUARANTINE_TABLE = "quarantine"


@frozen
class Death:
    """A failure of an upstream while it ran a request.

    `produced` is the progress of the request at that upstream: tokens of a generation,
    or twentieths of a second of a call.
    """

    upstream: str
    incarnation: str
    produced: int


@define
class Suspicion:
    """Evidence against one fingerprint; times are on this process's clock.

    `quarantined_until` is None unless the fingerprint is quarantined. `rank` is its
    position in the latest report of an upstream's failure that lists it. Every entry
    gets the same reports, so that all agree on the rank.
    """

    fingerprint: str
    deaths: list[Death] = field(factory=list)
    last_death_at: float = 0.0
    quarantined_until: float | None = None
    rank: int = 0


@frozen
class QuarantineRow:
    """Value of the row of a quarantined fingerprint; `until` is wall-clock time."""

    until: float


@define
class SuspicionTable:
    """Suspicions by fingerprint.

    `recorded_deaths` holds when each death was recorded, by upstream and incarnation,
    and `notified_entries` the incarnations of entries that were sent our quarantines.
    """

    by_fingerprint: dict[str, Suspicion] = field(factory=dict)
    recorded_deaths: dict[tuple[str, str], float] = field(factory=dict)
    notified_entries: dict[str, str] = field(factory=dict)
    next_scan_at: float = 0.0
    scan_token: str = ""

    def find_suspicion(self, fingerprint: str) -> Suspicion:
        """Returns the suspicion of a fingerprint, creating it if needed."""
        known = self.by_fingerprint.get(fingerprint)
        if known is None:
            known = Suspicion(fingerprint)
            self.by_fingerprint[fingerprint] = known
        return known

    def clear_suspicion(self, fingerprint: str) -> bool:
        """Removes a suspicion unless it is quarantined; returns whether it did."""
        known = self.by_fingerprint.get(fingerprint)
        if known is None or known.quarantined_until is not None:
            return False
        del self.by_fingerprint[fingerprint]
        return True

    def list_not_quarantined(self) -> Iterator[Suspicion]:
        """Yields the suspicions whose fingerprint is not quarantined."""
        for suspicion in list(self.by_fingerprint.values()):
            if suspicion.quarantined_until is None:
                yield suspicion


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(QuarantineRow)


def encode_quarantine(row: QuarantineRow) -> bytes:
    """Encodes the value of a quarantine row."""
    return _encoder.encode(row)


def decode_quarantine(value: bytes) -> QuarantineRow | None:
    """Decodes the value of a quarantine row, or returns None when it is malformed."""
    return decode_or_none(_decoder.decode, value)


def explain_quarantine(value: bytes) -> str:
    """Tells why the value of a quarantine row is no use."""
    return explain_error(_decoder.decode, value) or "its end is no time"
