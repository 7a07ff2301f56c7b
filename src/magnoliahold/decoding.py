"""Contains the errors of decoders, which read what others wrote.

A decoder may raise more than it tells: deep nesting is a RecursionError, a number that
is too large an OverflowError. None of them may decide over more than what was read.
"""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

S = TypeVar("S")
T = TypeVar("T")

# What can't be read is quoted in some errors, and may be long.
MAX_REASON_LENGTH = 200


def describe_error(error: BaseException) -> str:
    """Describes in one short line why something can't be read."""
    description = f"{type(error).__name__}: {error}"
    return " ".join(description[:MAX_REASON_LENGTH].split())


@contextmanager
def translate_errors(make_error: Callable[[str], Exception]) -> Iterator[None]:
    """Raises what `make_error` makes of the reason, whatever error a decoder raises."""
    try:
        yield
    except Exception as error:
        raise make_error(describe_error(error)) from error


def decode_or_none(decode: Callable[[bytes], T], content: bytes) -> T | None:
    """Decodes what may be damaged; returns None, which the caller reports, if it is."""
    try:
        return decode(content)
    except Exception:
        return None


def decode_or_report(
    decode: Callable[[S], T], source: S, report: Callable[[str], None]
) -> T | None:
    """Decodes what may be damaged; if it is, reports the reason and returns None.

    An error in a tick would end the process, and each later start of it.
    """
    try:
        return decode(source)
    except Exception as error:
        report(describe_error(error))
        return None


def explain_error(decode: Callable[[bytes], object], content: bytes) -> str:
    """Tells why something can't be read; returns an empty text if it can."""
    try:
        decode(content)
    except Exception as error:
        return describe_error(error)
    return ""
