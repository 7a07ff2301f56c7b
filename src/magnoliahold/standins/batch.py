"""Continuous batching of generations, by priority."""

from __future__ import annotations

import heapq
from itertools import count
from typing import TYPE_CHECKING, Any

from attrs import define, field, frozen

from magnoliahold.standins.chain import make_first_token, make_next_token

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from magnoliahold.runtime import Clock
    from magnoliahold.standins.engine_faults import ActiveFaults
    from magnoliahold.standins.prefix_cache import PrefixCache

TIMER_SLACK_S = 1e-6


@frozen
class BatchLimits:
    """Speed and size of a batch."""

    token_interval_s: float
    prefill_s_per_token: float
    max_running: int
    max_waiting: int


@define(eq=False)
class Generation:
    """One generation.

    `on_token` is called with the offset of each token and the token, `on_finish` with
    the reason for which the generation ended.
    """

    id: str
    prompt: str
    prefix: tuple[str, ...]
    max_tokens: int
    priority: int
    version: str
    workspace: str
    on_token: Callable[[int, str], None]
    on_finish: Callable[[str], None]
    tokens: list[str] = field(factory=list)
    next_token_at: float = 0.0
    fails_after: int | None = None


class Batch:
    """Runs the most urgent generations concurrently and queues the others."""

    def __init__(
        self,
        clock: Clock,
        random: Random,
        limits: BatchLimits,
        cache: PrefixCache,
        faults: ActiveFaults,
        on_change: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._random = random
        self._limits = limits
        self._cache = cache
        self._faults = faults
        self._on_change = on_change
        self._arrivals = count()
        self._waiting: list[tuple[int, int, Generation]] = []
        self._running: dict[str, Generation] = {}
        self._step: Any = None
        self._frozen = False

    @property
    def running(self) -> int:
        """Count of generations in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Count of queued generations."""
        return len(self._waiting)

    def submit(self, generation: Generation) -> bool:
        """Queues a generation; returns False when the queue is full."""
        if self.running >= self._limits.max_running and (
            self.waiting >= self._limits.max_waiting
        ):
            return False
        generation.tokens = list(generation.prefix)
        generation.fails_after = self._faults.draw_failure_offset(
            generation, self.running
        )
        item = (generation.priority, next(self._arrivals), generation)
        heapq.heappush(self._waiting, item)
        self._fill()
        return True

    def cancel(self, generation_id: str) -> bool:
        """Cancels a generation; returns False if it doesn't exist."""
        generation = self._running.pop(generation_id, None)
        if generation is None:
            generation = self._remove_waiting(generation_id)
        if generation is None:
            return False
        generation.on_finish("cancelled")
        self._fill()
        return True

    def contains(self, generation_id: str) -> bool:
        """Returns whether a generation runs or is queued."""
        if generation_id in self._running:
            return True
        return any(item[2].id == generation_id for item in self._waiting)

    def cancel_generation(self, generation: Generation) -> None:
        """Cancels this generation if it hasn't ended.

        Does not cancel a later generation with the same id.
        """
        if self._running.get(generation.id) is generation or any(
            item[2] is generation for item in self._waiting
        ):
            self.cancel(generation.id)

    def discard_all(self) -> None:
        """Discards every generation without calling its callbacks."""
        self._running.clear()
        self._waiting.clear()
        self._stop_step()
        self._on_change()

    def freeze(self) -> None:
        """Stops generating until `thaw`."""
        self._frozen = True
        self._stop_step()

    def thaw(self) -> None:
        """Resumes generating."""
        self._frozen = False
        self._fill()

    def _remove_waiting(self, generation_id: str) -> Generation | None:
        for item in self._waiting:
            if item[2].id == generation_id:
                self._waiting.remove(item)
                heapq.heapify(self._waiting)
                return item[2]
        return None

    def _fill(self) -> None:
        while self._waiting and self.running < self._limits.max_running:
            self._start(heapq.heappop(self._waiting)[2])
        self._on_change()
        self._schedule_step()

    def _start(self, generation: Generation) -> None:
        words = generation.prompt.split() + list(generation.prefix)
        uncached = len(words) - self._cache.count_cached_tokens(words)
        prefill_s = uncached * self._limits.prefill_s_per_token
        generation.next_token_at = self._clock.seconds() + prefill_s
        self._delay_next_token(generation)
        self._cache.store(words)
        self._running[generation.id] = generation

    def _schedule_step(self) -> None:
        if self._frozen or self._step is not None or not self._running:
            return
        due = min(generation.next_token_at for generation in self._running.values())
        delay = max(due - self._clock.seconds(), 0.0)
        self._step = self._clock.callLater(delay, self._run_step)

    def _stop_step(self) -> None:
        if self._step is not None:
            self._step.cancel()
            self._step = None

    def _run_step(self) -> None:
        self._step = None
        due = self._clock.seconds() + TIMER_SLACK_S
        for generation in list(self._running.values()):
            if generation.next_token_at <= due:
                self._advance(generation)
        self._fill()

    def _advance(self, generation: Generation) -> None:
        if len(generation.tokens) >= generation.max_tokens:
            self._finish(generation, "length")
            return
        produced = len(generation.tokens) - len(generation.prefix)
        if generation.fails_after is not None and produced >= generation.fails_after:
            self._finish(generation, "error")
            return
        token = self._make_token(generation)
        generation.tokens.append(token)
        generation.next_token_at = max(
            generation.next_token_at, self._clock.seconds() - TIMER_SLACK_S
        )
        self._delay_next_token(generation)
        generation.on_token(len(generation.tokens) - 1, token)
        if len(generation.tokens) >= generation.max_tokens:
            self._finish(generation, "length")

    def _make_token(self, generation: Generation) -> str:
        tokens = generation.tokens
        if not tokens:
            return make_first_token(self._random)
        return make_next_token(generation.prompt, tokens[0], tokens[-1])

    def _delay_next_token(self, generation: Generation) -> None:
        factor = self._faults.get_slow_factor(generation, self.running)
        generation.next_token_at += self._limits.token_interval_s * factor

    def _finish(self, generation: Generation, reason: str) -> None:
        if self._running.pop(generation.id, None) is None:
            return
        self._cache.store(generation.prompt.split() + generation.tokens)
        generation.on_finish(reason)
