"""Tests of the message codec."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliahold.wire.codec import (
    NO_EXPIRY,
    Envelope,
    Header,
    MalformedMessageError,
    decode_envelope,
    encode_envelope,
)
from magnoliahold.wire.messages import (
    CallAnswered,
    Heartbeat,
    StreamTokens,
    UpstreamReport,
)

HEADER = Header("entry-1", "entry-1.a", 3, "", NO_EXPIRY)
REPORT = UpstreamReport("engine-1", "engine", True, versions=("v1", "v2"))
FRAMES = encode_envelope(Envelope(HEADER, StreamTokens("l", 1, 0, ("a",))))


class CodecTests(unittest.TestCase):
    def test_round_trips(self) -> None:
        messages = (
            StreamTokens("lineage", 2, 7, ("a", "b"), "length"),
            CallAnswered("nonce", 200, (("x", "y"),), b"\x00body"),
            Heartbeat(1.5, True, "sidecar", "dc", False, 9, REPORT),
        )
        for message in messages:
            with self.subTest(kind=type(message).__name__):
                envelope = Envelope(HEADER, message)
                decoded = decode_envelope(encode_envelope(envelope))
                self.assertEqual(decoded, envelope)

    def test_malformed_frames_are_rejected(self) -> None:
        kind, header, body = FRAMES
        malformed = {
            "too few frames": [kind, header],
            "unknown kind": [b"Nothing", header, body],
            "header of another kind": [kind, body, body],
            "truncated body": [kind, header, body[:-1]],
            "wrong types": [b"AckTokens", header, body.replace(b"\xa1l", b"\x01\x01")],
            "deep nesting": [kind, header, b"\x91" * 100_000],
        }
        for name, frames in malformed.items():
            with self.subTest(name), self.assertRaises(MalformedMessageError):
                decode_envelope(frames)

    @settings(derandomize=True, max_examples=300)
    @given(st.integers(0, 2), st.binary(max_size=60))
    def test_arbitrary_bytes_decode_or_are_rejected(
        self, index: int, content: bytes
    ) -> None:
        frames = list(FRAMES)
        frames[index] = content
        try:
            decoded = decode_envelope(frames)
        except MalformedMessageError:
            return
        self.assertIsInstance(decoded, Envelope)
