"""Generates and verifies the hash chain of tokens of the stand-in engine.

Token 0 of a generation is a random salt. Each later token is a hash of the prompt,
token 0 and the previous token, which makes a mixture of two generations detectable.
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
    """Draws the random salt that is the first token of a generation."""
    return f"{random.getrandbits(4 * TOKEN_HEX_DIGITS):0{TOKEN_HEX_DIGITS}x}"


def make_next_token(prompt: str, first: str, previous: str) -> str:
    """Derives the token after `previous` in the generation that starts with `first`."""
    return xxhash.xxh64_hexdigest((prompt + first + previous).encode())[
        :TOKEN_HEX_DIGITS
    ]


def find_chain_break(prompt: str, tokens: Sequence[str]) -> int | None:
    """Finds the offset of the first token that does not continue the chain.

    Returns None if the tokens are an unbroken chain for `prompt`, or empty.
    """
    for offset, token in enumerate(tokens):
        if offset == 0:
            if not FIRST_TOKEN.fullmatch(token):
                return 0
            continue
        if token != make_next_token(prompt, tokens[0], tokens[offset - 1]):
            return offset
    return None
