"""The load of entries at upstreams."""

from __future__ import annotations

from attrs import frozen


@frozen
class UpstreamLoad:
    """The load of one entry at an upstream.

    `reading` counts streams whose prompt is being read (prefill), `writing` those that
    have produced pieces (decode), and `copies` the copies that the upstream keeps for
    the entry. `tokens` is the number of prompt tokens of all of them.
    """

    upstream_id: str
    reading: int = 0
    writing: int = 0
    copies: int = 0
    tokens: int = 0

    def add(self, other: UpstreamLoad, sign: int = 1) -> UpstreamLoad:
        """Returns the sum of both loads, or with `sign` -1 the difference."""
        return UpstreamLoad(
            self.upstream_id,
            self.reading + sign * other.reading,
            self.writing + sign * other.writing,
            self.copies + sign * other.copies,
            self.tokens + sign * other.tokens,
        )
