"""Tests of the event stream written to callers."""

from __future__ import annotations

import unittest
from typing import Any
from unittest.mock import Mock

import msgspec

from magnoliahold.core.effects import DeliverTokens, FinishGeneration
from magnoliahold.entry.responders import StreamResponder

REQUEST_ID = "request-1"


def write_stream(work: str, *tokens: str) -> list[bytes]:
    """Writes a generation as a stream and returns its events."""
    request = Mock()
    responder = StreamResponder(request, REQUEST_ID, work, Mock())
    for offset, token in enumerate(tokens):
        place = ("lineage-1", "sidecar-1", "v1")
        effect = DeliverTokens(REQUEST_ID, offset, (token,), *place)
        responder.deliver_tokens(effect)
    responder.finish_generation(FinishGeneration(REQUEST_ID, "length", len(tokens)))
    body = b"".join(call.args[0] for call in request.write.call_args_list)
    return body.split(b"\n\n")


def read_data(event: bytes) -> Any:
    """Decodes the JSON document of an event."""
    return msgspec.json.decode(event.split(b"data: ", 1)[1])


class StreamResponderTests(unittest.TestCase):
    """Checks texts and event ids, also when texts resemble the chunk's own JSON."""

    def test_texts_and_works_are_passed_unchanged(self) -> None:
        works = ("drafts", '"text":""', '{"text":""}', "\\", "\x1a", "näyttely")
        texts = ("a", "", '"', "\\n\n\n", '"text":""', "ä\u2028")
        for work in works:
            for text in texts:
                with self.subTest(work=work, text=text):
                    first, last, done, rest = write_stream(work, text)
                    chunk = read_data(first)
                    self.assertEqual(chunk["choices"][0]["text"], text)
                    self.assertEqual((chunk["model"], chunk["id"]), (work, REQUEST_ID))
                    self.assertIsNone(chunk["choices"][0]["finish_reason"])
                    ended = read_data(last)["choices"][0]
                    self.assertEqual(
                        (ended["text"], ended["finish_reason"]), ("", "length")
                    )
                    self.assertEqual((done, rest), (b"data: [DONE]", b""))

    def test_event_id_has_the_number_of_tokens_so_far(self) -> None:
        events = write_stream("drafts", "a", "b")
        ids = [event.split(b"\n")[0] for event in events[:3]]
        expected = [b"id: lineage-1~sidecar-1~v1~1", b"id: lineage-1~sidecar-1~v1~2"]
        self.assertEqual(ids, [*expected, expected[-1]])

    def test_each_token_of_a_batch_is_an_event(self) -> None:
        request = Mock()
        responder = StreamResponder(request, REQUEST_ID, "drafts", Mock())
        place = ("lineage-1", "sidecar-1", "v1")
        responder.deliver_tokens(DeliverTokens(REQUEST_ID, 4, ("a", "b"), *place))
        request.write.assert_called_once()
        events = request.write.call_args.args[0].split(b"\n\n")[:-1]
        ids = [event.split(b"\n")[0] for event in events]
        expected = [b"id: lineage-1~sidecar-1~v1~5", b"id: lineage-1~sidecar-1~v1~6"]
        self.assertEqual(ids, expected)
