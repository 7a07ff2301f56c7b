"""What happens on a day when parts of prompts crash engines, and what is seen of it."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from attrs import define, field, frozen

from magnoliahold.core.serving.feeds import FeedRow
from tests.core.serving.harness import ENGINES

if TYPE_CHECKING:
    from magnoliahold.core.serving.effects import LongPollFeed, SendAttempt
    from magnoliahold.core.serving.requests import PromptPart
    from tests.core.serving.harness import ServingHarness

STEP_S = 0.05
EPOCH_S = 100.0
STABLE_WINDOW_S = 3.0
ANSWER_S = 0.01
CALLER_TIMEOUT_S = 25.0


@frozen
class Span:
    """A period of the day, in seconds."""

    start_s: float
    end_s: float

    def covers(self, seconds: float) -> bool:
        """Tells whether the period includes a time."""
        return self.start_s <= seconds < self.end_s


@frozen
class DeadlyPart:
    """A part that crashes engines, and the requests that hold it.

    It is in requests that arrive within `requested`, `rate_per_s` on average, and is
    deadly within `deadly`. With `first` it is the first part of the prompt. With `tail`
    it comes after the middle parts, without it before them. `companions` are parts that
    each of the requests holds too, and `extra_middle` more that are drawn for each.
    The first request arrives at the start of `requested`.
    """

    id: str
    rate_per_s: float
    requested: Span = Span(4.0, 26.0)
    deadly: Span = Span(0.0, 1_000.0)
    first: bool = False
    tail: bool = True
    companions: tuple[PromptPart, ...] = ()
    extra_middle: int = 1


@frozen
class EngineLoss:
    """Engines that end without a deadly part: one, or all of a data centre.

    With `silent` their connections don't break but fall silent.
    """

    at_s: float
    data_centre: bool = False
    silent: bool = False


@frozen
class EntryStop:
    """An entry that is killed and starts again; `start_s` 0 is a first start."""

    entry: int
    start_s: float
    end_s: float


@frozen
class Day:
    """What happens in the run of a fleet; times are in seconds.

    From `sound_from_s` on, `sound_per_s` requests arrive without a deadly part, each
    with `middle` of the shared middle parts, and with the popular part in
    `popular_share` of them.
    A third of those that arrive within `companion_span` hold `held_companions` too.
    With `sessions` each holds the part of a session that a few others share, too.
    `resets` are when all connections of one engine are reset while it lives on.
    `head_share` is how often an engine sends the head of its answer before it crashes.
    Entries learn up to `reset_delay_s` late that a connection was reset, and engines
    are back after a time within `restart`. Callers repeat a request `repeats` times.
    Callers wait for `caller_timeout_s`. The clock advances by `step_s`, and the engines
    are of `service`.
    """

    deadly: tuple[DeadlyPart, ...] = ()
    sound_per_s: float = 2.3
    sound_from_s: float = 0.0
    length_s: float = 30.0
    entries: int = 4
    engines: int = 9
    middle: int = 1
    popular_share: float = 0.33
    held_companions: tuple[PromptPart, ...] = ()
    companion_span: Span = Span(0.0, 0.0)
    sessions: bool = False
    losses: tuple[EngineLoss, ...] = ()
    resets: tuple[float, ...] = ()
    stops: tuple[EntryStop, ...] = ()
    notice_loss: float = 0.02
    store_outage: Span = Span(0.0, 0.0)
    has_keys: bool = True
    cut_entry: int = 0
    cut: Span = Span(0.0, 0.0)
    head_share: float = 0.0
    reset_delay_s: float = ANSWER_S
    restart: Span = Span(1.5, 4.0)
    repeats: int = 1
    caller_timeout_s: float = CALLER_TIMEOUT_S
    step_s: float = STEP_S
    service: str = ENGINES


@define(eq=False)
class Asked:
    """One request as its caller sees it; `repeat` counts those before it, if any.

    `deadly` is the id of the deadly part that it holds, or empty. `refused_at` and
    `retry_after_s` are set if it was refused as not run, `reason` says why, and
    `engines_up` is how many engines ran then.
    """

    id: str
    parts: tuple[PromptPart, ...]
    arrived_at: float
    deadline_at: float
    deadly: str = ""
    repeat: int = 0
    resume_after: int | None = None
    last_piece: int | None = None
    began_at: float | None = None
    refused_at: float | None = None
    retry_after_s: float | None = None
    reason: str = ""
    engines_up: int = 0
    ended_at: float | None = None
    completed: bool = False
    origin: Asked | None = None

    @property
    def first(self) -> bool:
        """Whether this is no repeat."""
        return self.origin is None

    @property
    def wait_s(self) -> float:
        """The seconds until it began, infinite if it didn't."""
        return math.inf if self.began_at is None else self.began_at - self.arrived_at

    @property
    def root(self) -> Asked:
        """The caller's first request, of which this is a repeat or itself."""
        return self.origin or self


@define(eq=False)
class Engine:
    """One start of an engine's process; nothing comes from a `silent` one."""

    record: Any
    up: bool = True
    silent: bool = False
    runs: list[Run] = field(factory=list)
    copies: dict[str, int] = field(factory=dict)
    cached: set[str] = field(factory=set)
    read_until: float = 0.0


@define(eq=False)
class Run:
    """A request at an engine; `last` is the number of the last piece made."""

    entry: Entry
    send: SendAttempt
    asked: Asked
    engine: Engine
    last: int = 0
    ended: bool = False


@define(eq=False)
class Entry:
    """A process of an entry; `polls` are its reads that wait at the store."""

    number: int
    harness: ServingHarness
    started_at: float
    asked: dict[int, Asked] = field(factory=dict)
    runs: dict[int, Run] = field(factory=dict)
    events: list[object] = field(factory=list)
    polls: list[tuple[float, LongPollFeed]] = field(factory=list)
    alive: bool = True
    next_handle: int = 1

    @property
    def name(self) -> str:
        """The name that the process has in all its starts."""
        return self.harness.name


@frozen
class Crash:
    """An engine that ended, and the deadly part that ended it, or an empty text."""

    at_s: float
    part: str


@frozen
class Sent:
    """A request with a deadly part that reached an engine."""

    at_s: float
    part: str
    in_touch: bool


@define
class Table:
    """A table of the store: keys with the version and the value of their row."""

    rows: dict[str, tuple[int, Any]] = field(factory=dict)

    def list_rows(self, after: int = 0) -> tuple[FeedRow, ...]:
        """Lists rows that changed after a version; removed ones too unless it is 0."""
        return tuple(
            FeedRow(key, version, value)
            for key, (version, value) in self.rows.items()
            if version > after and (after or value is not None)
        )
