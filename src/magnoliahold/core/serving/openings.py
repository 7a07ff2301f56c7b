"""Expected time to the first piece of a stream, by the size of its prompt."""

from __future__ import annotations

from attrs import define

# Weight of a new stream once the averages have settled.
MIN_WEIGHT = 0.05
# Streams that are needed before the size of a prompt is taken into account.
MIN_STREAMS = 8
# Lowest estimate as a share of the mean.
MIN_SHARE = 0.1


@define
class OpeningModel:
    """A linear model of the opening of streams, with moving averages as its moments.

    `mean_s` is the mean time to the first piece, in seconds, and `mean_tokens` the mean
    size of the prompts; `variance` is that of the sizes, and `covariance` that of sizes
    and times.
    """

    mean_s: float
    mean_tokens: float = 0.0
    variance: float = 0.0
    covariance: float = 0.0
    streams: int = 0

    def add(self, tokens: int, opening_s: float) -> None:
        """Adds a stream that has begun."""
        self.streams += 1
        weight = max(MIN_WEIGHT, 1.0 / self.streams)
        tokens_off = tokens - self.mean_tokens
        seconds_off = opening_s - self.mean_s
        self.mean_tokens += weight * tokens_off
        self.mean_s += weight * seconds_off
        rest = 1.0 - weight
        self.variance = rest * (self.variance + weight * tokens_off**2)
        self.covariance = rest * (self.covariance + weight * tokens_off * seconds_off)

    def estimate_s(self, tokens: int) -> float:
        """Estimates the seconds to the first piece of a stream."""
        if self.streams < MIN_STREAMS or self.variance <= 0:
            return self.mean_s
        slope = max(0.0, self.covariance / self.variance)
        estimate_s = self.mean_s + slope * (tokens - self.mean_tokens)
        return max(self.mean_s * MIN_SHARE, estimate_s)
