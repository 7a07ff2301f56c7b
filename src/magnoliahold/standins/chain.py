"""The chain of tokens that the stand-in engine generates, and its check.

Token 0 of a generation is a random salt. Each later token is a hash of the prompt,
token 0 and the token before, so that a whole answer can be told from a mixture of two.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

TOKEN_HEX_DIGITS = 8
FIRST_TOKEN = re.compile(rf"[0-9a-f]{{{TOKEN_HEX_DIGITS}}}")


def make_first_token(random: Random) -> str:
    """Draws the salt that opens a new generation."""
    return f"{random.getrandbits(4 * TOKEN_HEX_DIGITS):0{TOKEN_HEX_DIGITS}x}"


def make_next_token(prompt: str, first: str, previous: str) -> str:
    """Derives the token that follows `previous` in the generation opened by `first`."""
    return xxhash.xxh64_hexdigest((prompt + first + previous).encode())[
        :TOKEN_HEX_DIGITS
    ]


def find_chain_break(prompt: str, tokens: Sequence[str]) -> int | None:
    """Finds the offset of the first token that does not continue the chain.

    Returns None when the tokens are one unbroken generation of `prompt`, or empty.
    """
    for offset, token in enumerate(tokens):
        if offset == 0:
            if not FIRST_TOKEN.fullmatch(token):
                return 0
            continue
        if token != make_next_token(prompt, tokens[0], tokens[offset - 1]):
            return offset
    return None
