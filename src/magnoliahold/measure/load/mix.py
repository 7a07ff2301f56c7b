"""Draws the arrival times and kinds of requests, with a peak period in the middle."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_REQUESTS = 10_000
PEAK_START = 1 / 3
PEAK_END = 2 / 3
PEAK_RATE_FACTOR = 3.0
GENERATION_PATH = "/v1/completions"


@frozen
class RequestKind:
    """One kind of request.

    `share` is its part of the arrivals outside the peak period; within that period
    its rate is multiplied by `peak_rate_factor`. `tokens` is the range of the number
    of tokens that a generation requests, (0, 0) for calls. `stream` selects a streamed
    answer instead of a buffered one.
    """

    name: str
    share: float
    tokens: tuple[int, int] = (0, 0)
    stream: bool = False
    peak_rate_factor: float = 1.0


KINDS = (
    RequestKind("lookup", 0.30, peak_rate_factor=PEAK_RATE_FACTOR),
    RequestKind(
        "answer", 0.25, (10, 40), stream=True, peak_rate_factor=PEAK_RATE_FACTOR
    ),
    RequestKind("booking", 0.15),
    RequestKind("draft", 0.20, (150, 400), stream=True),
    RequestKind("report", 0.10, (200, 400)),
)


@frozen
class PlannedRequest:
    """One request, number `serial`, to be sent `at` seconds after the start."""

    serial: int
    at: float
    kind: RequestKind
    prompt: str
    max_tokens: int


def plan_requests(
    seed: int, seconds: float, requests_per_s: float
) -> Iterator[PlannedRequest]:
    """Draws Poisson arrivals of all kinds; some are more frequent in the peak period.

    Arrivals do not wait for answers. Their number is limited to MAX_REQUESTS.
    """
    random = Random(seed)
    max_rate = requests_per_s * PEAK_RATE_FACTOR
    at = 0.0
    serial = 0
    while serial < MAX_REQUESTS:
        at += random.expovariate(max_rate)
        if at >= seconds:
            return
        kind = random.choices(KINDS, [kind.share for kind in KINDS])[0]
        if random.random() * PEAK_RATE_FACTOR >= find_rate_factor(kind, at / seconds):
            continue
        yield _draw_request(random, serial, at, kind)
        serial += 1


def find_rate_factor(kind: RequestKind, progress: float) -> float:
    """Returns the rate factor of a kind; `progress` is the elapsed share of the run."""
    return kind.peak_rate_factor if PEAK_START <= progress < PEAK_END else 1.0


def _draw_request(
    random: Random, serial: int, at: float, kind: RequestKind
) -> PlannedRequest:
    prompt = f"{kind.name} {serial} {random.getrandbits(64):x} " + "entry " * (
        random.randint(5, 100)
    )
    return PlannedRequest(serial, at, kind, prompt, random.randint(*kind.tokens))
