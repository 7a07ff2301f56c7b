"""Parses answers of an entry and checks that they are complete and correct."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from attrs import define, field

from magnoliahold.standins.chain import TOKEN_HEX_DIGITS, find_chain_break

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

DONE = b"[DONE]"
NO_FAULT = ""


@define
class EventReader:
    """Parses a body into server-sent events, as pairs of event name and data.

    `incomplete` holds the bytes of the event that has not ended yet.
    """

    incomplete: bytes = b""

    def read_events(self, data: bytes) -> Iterator[tuple[bytes, bytes]]:
        """Yields the events that are complete with `data`."""
        *blocks, self.incomplete = (self.incomplete + data).split(b"\n\n")
        for block in blocks:
            fields = dict(
                line.split(b": ", 1) for line in block.split(b"\n") if b": " in line
            )
            yield fields.get(b"event", b""), fields.get(b"data", b"")


@define(eq=False)
class StreamAnswer:
    """A streamed generation; `on_text` is called for each piece of its text."""

    on_text: Callable[[], None]
    reader: EventReader = field(factory=EventReader)
    text: str = ""
    error: str = ""
    done: bool = False

    def add_data(self, data: bytes) -> None:
        """Parses the next bytes of the body."""
        for name, content in self.reader.read_events(data):
            if name == b"error":
                self.error = read_error_code(content)
            elif content == DONE:
                self.done = True
            else:
                self._add_chunk(content)

    def _add_chunk(self, content: bytes) -> None:
        text = read_text(content)
        if text is None:
            self.error = "malformed_event"
        elif text:
            self.text += text
            self.on_text()


def read_text(content: bytes) -> str | None:
    """Returns the text of a completion document, or None when it is malformed."""
    try:
        document: Any = msgspec.json.decode(content)
        return str(document["choices"][0]["text"])
    except (msgspec.DecodeError, KeyError, IndexError, TypeError):
        return None


def read_error_code(content: bytes) -> str:
    """Returns the code of an error document."""
    try:
        document: Any = msgspec.json.decode(content)
        return str(document["error"]["code"])
    except (msgspec.DecodeError, KeyError, TypeError):
        return "malformed_error"


def split_tokens(text: str) -> list[str]:
    """Splits a text into the stand-in engine's tokens, which have equal lengths."""
    starts = range(0, len(text), TOKEN_HEX_DIGITS)
    return [text[start : start + TOKEN_HEX_DIGITS] for start in starts]


def find_text_fault(prompt: str, text: str, max_tokens: int) -> str:
    """Returns why a text is not the complete generation of a prompt, or NO_FAULT."""
    tokens = split_tokens(text)
    if find_chain_break(prompt, tokens) is not None:
        return "broken_chain"
    return NO_FAULT if len(tokens) == max_tokens else "wrong_length"


def find_echo_fault(path: str, body: str, content: bytes) -> str:
    """Returns why a service's answer is not the echo of a call, or NO_FAULT."""
    try:
        echo: Any = msgspec.json.decode(content)
        matches = (echo["path"], echo["body"]) == (path, body)
    except (msgspec.DecodeError, KeyError, TypeError):
        return "malformed_answer"
    return NO_FAULT if matches else "answer_of_another"
