"""Encodes messages as MessagePack frames and decodes them with checked types."""

from __future__ import annotations

from functools import lru_cache
from typing import TYPE_CHECKING, get_args

import msgspec
from attrs import frozen

from magnoliahold.decoding import translate_errors
from magnoliahold.wire.messages import Message

if TYPE_CHECKING:
    from collections.abc import Sequence

NO_EXPIRY = 0.0
HEADER_CACHE_SIZE = 4_096


class MalformedMessageError(Exception):
    """Raised for frames that are not a valid message; links discard and count them."""


@frozen
class Header:
    """Identifies the sender, its link and the receiver of a message.

    `receiver_incarnation` is empty until the sender has received a message from the
    receiver. `expires_at` is a time on the receiver's clock, or NO_EXPIRY.
    """

    sender: str
    incarnation: str
    link_number: int
    receiver_incarnation: str
    expires_at: float


@frozen
class Envelope:
    """One message with its header."""

    header: Header
    message: Message


_encoder = msgspec.msgpack.Encoder()
_header_decoder = msgspec.msgpack.Decoder(Header)
_decoders = {
    kind.__name__.encode(): msgspec.msgpack.Decoder(kind) for kind in get_args(Message)
}


def encode_envelope(envelope: Envelope) -> list[bytes]:
    """Encodes an envelope as three frames: message kind, header and body."""
    kind = type(envelope.message).__name__.encode()
    return [
        kind,
        _encoder.encode(envelope.header),
        _encoder.encode(envelope.message),
    ]


def decode_envelope(frames: Sequence[bytes]) -> Envelope:
    """Decodes frames; raises MalformedMessageError for invalid ones."""
    if len(frames) != 3:
        raise MalformedMessageError(f"expected 3 frames, got {len(frames)}")
    kind, header, body = frames
    decoder = _decoders.get(bytes(kind))
    if decoder is None:
        raise MalformedMessageError("unknown message kind")
    with translate_errors(MalformedMessageError):
        return Envelope(_decode_header(bytes(header)), decoder.decode(body))


@lru_cache(maxsize=HEADER_CACHE_SIZE)
def _decode_header(header: bytes) -> Header:
    """Decodes a header; cached, since messages without expiry repeat their header."""
    return _header_decoder.decode(header)
