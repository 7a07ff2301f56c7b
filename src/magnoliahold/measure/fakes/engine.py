"""A fake model engine that posts events to its sidecar's node."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import TYPE_CHECKING

from attrs import define, field

from magnoliahold.core.events import (
    CacheEventsRead,
    OrderFinished,
    ProbedState,
    StreamBroke,
    StreamProduced,
    UpstreamProbed,
)
from magnoliahold.standins.chain import make_first_token, make_next_token
from magnoliahold.standins.prefix_cache import CacheEventLog, PrefixCache

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.task import Clock

    from magnoliahold.core import effects

ANSWER_DELAY_S = 0.002
CACHED_OUTPUTS = 256
CACHED_PROMPT_TOKENS = 8_192
CACHE_EVENT_LAG_S = 0.5
CACHE_EVENT_LOSS = 0.02


@define(eq=False)
class FakeStream:
    """A stream that the engine is generating."""

    effect: effects.StartEngineStream
    tokens: list[str]
    prefilled_at: float
    silent: bool = False
    paused: bool = False
    slowdown: float = 1.0


@define
class EngineRun:
    """Record of what the engine computed for one stream.

    `prefilled` counts the prompt and prefix tokens that were computed. `tokens` is the
    stream's own list, which starts with the `prefix` tokens that it was given.
    """

    prompt: str
    prefix: int
    prefilled: int
    tokens: list[str]


@define
class EngineFaults:
    """Faults that experiments configure.

    `poison` holds texts that crash the engine while it runs a prompt that contains
    one: some time after the prefill, or as soon as the output has the number of tokens
    in `poison_tokens`. `poison_crashes` counts these crashes by text.
    `version_error_share` and `version_slowdown` make single versions fail or run
    slowly, for the streams for which `is_bad_now` returns true.
    """

    poison: set[str] = field(factory=set)
    poison_delays_s: dict[str, float] = field(factory=dict)
    poison_tokens: dict[str, int] = field(factory=dict)
    poison_crashes: Counter[str] = field(factory=Counter)
    version_error_share: dict[str, float] = field(factory=dict)
    version_slowdown: dict[str, float] = field(factory=dict)
    bad_only_above_running: int = 0
    bad_only_workspace: str = ""
    is_bad_now: Callable[[effects.StartEngineStream], bool] = field(
        default=lambda effect: True
    )


@define(eq=False)
class FakeEngine:
    """Runs a batch of streams, one token per stream and interval of simulated time.

    Counts the `prompt_tokens` and `output_tokens` computed and records `runs`. Leading
    blocks of prompts in the `prompt_cache`, which has a limited size, and the latest
    outputs generated here need no prefill. A crash empties both caches. Events go to
    `post`, which the fleet connects to the sidecar's node.
    """

    clock: Clock
    random: Random
    name: str
    versions: list[str]
    role: str = "draft"
    capacity: int = 16
    token_interval_s: float = 0.02
    prefill_s_per_token: float = 0.00005
    load_version_s: float = 1.0
    obeys_fencing: bool = True
    poison_delay_s: float = 0.1
    faults: EngineFaults = field(factory=EngineFaults)
    post: Callable[[object], None] = field(default=lambda event: None)
    live: bool = True
    frozen: bool = False
    incarnation_number: int = 1
    fencing: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    crashes: int = 0
    streams: dict[str, FakeStream] = field(factory=dict)
    waiting: list[effects.StartEngineStream] = field(factory=list)
    prompt_cache: PrefixCache = field(init=False)
    cache_events: CacheEventLog = field(init=False)
    cached_outputs: dict[str, list[str]] = field(factory=dict)
    runs: list[EngineRun] = field(factory=list)
    started_by_version: dict[str, list[float]] = field(factory=dict)
    _ticking: bool = False

    def __attrs_post_init__(self) -> None:
        self._clear_prompt_cache()

    @property
    def incarnation(self) -> str:
        """Identifier of the engine's current process."""
        return f"{self.name}-{self.incarnation_number}"

    def start_stream(self, effect: effects.StartEngineStream) -> None:
        """Queues a new stream or the continuation of one."""
        if not self.live:
            self._post_later(StreamBroke(effect.handle, "engine_died"))
            return
        if effect.version not in self.versions:
            self._post_later(StreamBroke(effect.handle, "version_missing"))
            return
        started = self.started_by_version.setdefault(effect.version, [])
        started.append(float(self.clock.seconds()))
        if self._is_failing(effect):
            self._post_later(StreamBroke(effect.handle, "broken"))
            return
        self.waiting.append(effect)
        self.waiting.sort(key=lambda item: item.priority)
        if not self.frozen:
            self._fill_batch()
        self._start_ticking()

    def cancel_stream(self, handle: str) -> None:
        """Cancels a stream."""
        self.streams.pop(handle, None)
        self.waiting = [item for item in self.waiting if item.handle != handle]

    def pause_stream(self, handle: str) -> None:
        """Stops generating tokens of a stream."""
        if handle in self.streams:
            self.streams[handle].paused = True

    def resume_stream(self, handle: str) -> None:
        """Resumes a paused stream."""
        if handle in self.streams:
            self.streams[handle].paused = False

    def probe_upstream(self, timeout_s: float) -> None:
        """Posts the engine's state; a frozen engine lets the probe time out."""
        if not self.live:
            self._post_later(UpstreamProbed(None))
        elif self.frozen:
            self.clock.callLater(timeout_s, self.post, UpstreamProbed(None))
        else:
            self._post_later(UpstreamProbed(self._read_state()))

    def send_order(self, effect: effects.SendOrder) -> None:
        """Executes an order to load or unload a version, or to set the role."""
        if not self.live or self.frozen:
            self._post_later(OrderFinished(effect.token, "lost"))
            return
        if self.obeys_fencing and effect.fencing < self.fencing:
            self._post_later(OrderFinished(effect.token, "stale_fencing"))
            return
        self.fencing = max(self.fencing, effect.fencing)
        delay = self.load_version_s if effect.kind == "load_version" else 0.0
        incarnation = self.incarnation
        self.clock.callLater(delay, self._apply_order, effect, incarnation)

    def read_cache_events(self, after: int) -> None:
        """Posts the cache events after a sequence number, delayed and with gaps."""
        page = self.cache_events.read(after)
        stored = tuple(item.prefix for item in page.events if item.kind == "stored")
        evicted = tuple(item.prefix for item in page.events if item.kind == "evicted")
        first = page.events[0].sequence if page.events else after
        self._post_later(CacheEventsRead(stored, evicted, first, page.next))

    def kill_engine(self) -> None:
        """Crashes the engine; all its connections are reset at once."""
        if not self.live:
            return
        self.live = False
        self.frozen = False
        self.crashes += 1
        handles = [*self.streams, *(item.handle for item in self.waiting)]
        self.streams.clear()
        self.waiting.clear()
        self._clear_prompt_cache()
        self.cached_outputs.clear()
        for handle in handles:
            self._post_later(StreamBroke(handle, "engine_died"))

    def restart_engine(self, versions: list[str] | None = None) -> None:
        """Starts the engine again with a new incarnation and empty caches."""
        self.live = True
        self.incarnation_number += 1
        self.fencing = 0
        if versions is not None:
            self.versions = versions

    def freeze_engine(self) -> None:
        """Freezes the engine without closing its connections."""
        self.frozen = True

    def thaw_engine(self) -> None:
        """Ends a freeze."""
        self.frozen = False
        self._start_ticking()

    def cancel_all_streams(self) -> None:
        """Cancels every stream, as when the sidecar's connections are reset."""
        self.streams.clear()
        self.waiting.clear()

    def silence_streams(self) -> None:
        """Stops delivering tokens of running streams; their connections stay open."""
        for stream in self.streams.values():
            stream.silent = True

    def _apply_order(self, effect: effects.SendOrder, incarnation: str) -> None:
        if not self.live or incarnation != self.incarnation:
            self.post(OrderFinished(effect.token, "lost"))
            return
        if effect.kind == "load_version" and effect.value not in self.versions:
            self.versions.append(effect.value)
        elif effect.kind == "unload_version" and effect.value in self.versions:
            self.versions.remove(effect.value)
        elif effect.kind == "set_role":
            self.role = effect.value
        self.post(OrderFinished(effect.token, "done"))

    def _read_state(self) -> ProbedState:
        return ProbedState(
            incarnation=self.incarnation,
            versions=tuple(self.versions),
            role=self.role,
            running=len(self.streams),
            capacity=self.capacity,
            fencing=self.fencing,
        )

    def _is_bad(self, effect: effects.StartEngineStream) -> bool:
        running = len(self.streams) + len(self.waiting)
        faults = self.faults
        if running < faults.bad_only_above_running:
            return False
        if faults.bad_only_workspace not in ("", effect.workspace):
            return False
        return faults.is_bad_now(effect)

    def _is_failing(self, effect: effects.StartEngineStream) -> bool:
        share = self.faults.version_error_share.get(effect.version, 0.0)
        return self._is_bad(effect) and self.random.random() < share

    def _fill_batch(self) -> None:
        while self.waiting and len(self.streams) < self.capacity:
            effect = self.waiting.pop(0)
            self._prefill(effect)

    def _prefill(self, effect: effects.StartEngineStream) -> None:
        words = effect.prompt.split()
        computed = self._count_uncached(effect)
        computed += len(words) - self.prompt_cache.count_cached_tokens(words)
        self.prompt_cache.store(words)
        self.prompt_tokens += computed
        slow = self.faults.version_slowdown.get(effect.version, 1.0)
        slowdown = slow if self._is_bad(effect) else 1.0
        ready_at = float(self.clock.seconds()) + computed * self.prefill_s_per_token
        ready_at += self.token_interval_s * (slowdown - 1.0)
        stream = FakeStream(effect, list(effect.prefix), ready_at, slowdown=slowdown)
        self.streams[effect.handle] = stream
        run = EngineRun(effect.prompt, len(effect.prefix), computed, stream.tokens)
        self.runs.append(run)
        self._cache_output(stream)
        for text in self._find_poison(effect.prompt):
            if text not in self.faults.poison_tokens:
                delay_s = self.faults.poison_delays_s.get(text, self.poison_delay_s)
                self.clock.callLater(delay_s, self._kill_by_poison, effect.handle, text)

    def _clear_prompt_cache(self) -> None:
        random = Random(f"{self.incarnation} cache events")
        self.cache_events = CacheEventLog(
            self.clock, random, CACHE_EVENT_LAG_S, CACHE_EVENT_LOSS
        )
        self.prompt_cache = PrefixCache(CACHED_PROMPT_TOKENS, self.cache_events)

    def _count_uncached(self, effect: effects.StartEngineStream) -> int:
        """Counts the tokens of a prefix beyond the cached output of this engine."""
        if not effect.prefix:
            return 0
        cached = self.cached_outputs.get(effect.prefix[0], [])
        return max(0, len(effect.prefix) - len(cached))

    def _cache_output(self, stream: FakeStream) -> None:
        if not stream.tokens:
            return
        self.cached_outputs.pop(stream.tokens[0], None)
        self.cached_outputs[stream.tokens[0]] = stream.tokens
        if len(self.cached_outputs) > CACHED_OUTPUTS:
            del self.cached_outputs[next(iter(self.cached_outputs))]

    def _kill_by_poison(self, handle: str, text: str) -> None:
        if handle in self.streams:
            self.faults.poison_crashes[text] += 1
            self.kill_engine()

    def _kill_if_poisoned(self, stream: FakeStream) -> bool:
        """Crashes the engine if the output of a poisonous stream is long enough."""
        for text, count in self.faults.poison_tokens.items():
            if text in stream.effect.prompt and len(stream.tokens) >= count:
                self._kill_by_poison(stream.effect.handle, text)
                return True
        return False

    def _find_poison(self, prompt: str) -> list[str]:
        return [text for text in self.faults.poison if text in prompt]

    def _start_ticking(self) -> None:
        if not self._ticking:
            self._ticking = True
            self.clock.callLater(self.token_interval_s, self._tick)

    def _tick(self) -> None:
        self._ticking = False
        if not self.live or self.frozen:
            return
        now = float(self.clock.seconds())
        for handle, stream in list(self.streams.items()):
            if stream.prefilled_at <= now and not stream.paused:
                self._produce(handle, stream)
        self._fill_batch()
        if self.streams or self.waiting:
            self._start_ticking()

    def _produce(self, handle: str, stream: FakeStream) -> None:
        if not self.live or self._kill_if_poisoned(stream):
            return
        if stream.slowdown > 1.0 and self.random.random() > 1 / stream.slowdown:
            return
        effect = stream.effect
        offset = len(stream.tokens)
        if offset < effect.max_tokens:
            stream.tokens.append(self._make_token(stream))
            self.output_tokens += 1
            if offset == 0:
                self._cache_output(stream)
        ended = len(stream.tokens) >= effect.max_tokens
        if ended:
            del self.streams[handle]
        if not stream.silent:
            produced = tuple(stream.tokens[offset:])
            end = "length" if ended else ""
            self.post(StreamProduced(handle, offset, produced, end))

    def _make_token(self, stream: FakeStream) -> str:
        if not stream.tokens:
            return make_first_token(self.random)
        tokens = stream.tokens
        return make_next_token(stream.effect.prompt, tokens[0], tokens[-1])

    def _post_later(self, event: object) -> None:
        self.clock.callLater(ANSWER_DELAY_S, self.post, event)
