from __future__ import annotations

import unittest
from random import Random

from magnoliahold.standins.chain import (
    find_chain_break,
    make_first_token,
    make_next_token,
)


def make_chain(prompt: str, seed: int, length: int) -> list[str]:
    tokens = [make_first_token(Random(seed))]
    while len(tokens) < length:
        tokens.append(make_next_token(prompt, tokens[0], tokens[-1]))
    return tokens


class ChainTests(unittest.TestCase):
    def test_find_chain_break(self) -> None:
        one, two = make_chain("prompt", 1, 8), make_chain("prompt", 2, 8)
        table = (
            ("whole", one, None),
            ("empty", [], None),
            ("missing", one[:3] + one[4:], 3),
            ("repeated", one[:4] + one[3:], 4),
            ("mixed", one[:5] + two[5:], 5),
            ("other prompt", make_chain("other", 1, 8), 1),
            ("no salt", ["salt", *one[1:]], 0),
        )
        for name, tokens, expected in table:
            with self.subTest(name):
                self.assertEqual(find_chain_break("prompt", tokens), expected)


if __name__ == "__main__":
    unittest.main()
