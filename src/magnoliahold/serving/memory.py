"""Bounds the memory that the incomplete answers of an entry take together."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from attrs import define, field

from magnoliahold.logs import make_part_logger

# Beside that, the oldest answer may take as much as a single one may. An entry needs
# twice an answer while it is passed on; the smallest instances have 128 MB.
MAX_HELD_BYTES = 24 * 1024 * 1024
# Short answers are always read to their end.
SHORT_BYTES = 64 * 1024

logger = make_part_logger("upstreams")


class PauseReason(Enum):
    """Why an answer isn't read on.

    CALLER has not taken yet what was written, or the MEMORY for all answers is full.
    """

    CALLER = "caller"
    MEMORY = "memory"


class PausableAnswer(Protocol):
    """An answer whose reading can be paused, so that its upstream has to wait."""

    def pause_reading(self, reason: PauseReason) -> None:
        """Reads no more of it."""

    def resume_reading(self, reason: PauseReason) -> None:
        """Reads on, unless it is paused for another reason."""


@define(eq=False)
class AnswerMemory:
    """The bytes that all answers take which aren't passed on yet, as objects.

    Beyond `limit_bytes`, of those longer than `SHORT_BYTES` only the oldest is read on:
    it is passed on or given up sooner or later, which frees what it held.
    """

    limit_bytes: int = MAX_HELD_BYTES
    held_bytes: int = 0
    _bytes_by_answer: dict[PausableAnswer, int] = field(factory=dict)
    _complete: dict[PausableAnswer, int] = field(factory=dict)
    _paused: set[PausableAnswer] = field(factory=set)

    def count(self, answer: PausableAnswer, size: int) -> None:
        """Sets how much is held of an answer that can't be paused yet."""
        self.held_bytes += size - self._bytes_by_answer.get(answer, 0)
        self._bytes_by_answer[answer] = size

    def hold(self, answer: PausableAnswer, size: int) -> None:
        """Sets how much of an answer is held; pauses it if all take too much."""
        if not size:
            self.release(answer)
            return
        before = self._bytes_by_answer.get(answer, 0)
        self.count(answer, size)
        if size <= SHORT_BYTES:
            self._resume(answer)
        if size < before:
            self._resume_others()
        if self.held_bytes <= self.limit_bytes or size <= SHORT_BYTES:
            return
        if answer is not self._find_oldest() and answer not in self._paused:
            self._paused.add(answer)
            answer.pause_reading(PauseReason.MEMORY)
            logger.warning(
                "Answer is not read on for now; all together take too much memory.",
                held_bytes=self.held_bytes,
                answers=len(self._bytes_by_answer),
            )

    def complete(self, answer: PausableAnswer) -> None:
        """Lets others be the oldest that is read; the answer counts until released."""
        self._complete[answer] = self._bytes_by_answer.pop(answer, 0)
        self._resume_others()

    def release(self, answer: PausableAnswer) -> None:
        """Removes what was passed on or given up, and lets others go on."""
        self.held_bytes -= self._bytes_by_answer.pop(answer, 0)
        self.held_bytes -= self._complete.pop(answer, 0)
        self._resume(answer)
        self._resume_others()

    def _resume_others(self) -> None:
        """Lets paused answers go on, all of them or the oldest, as there is room."""
        if not self._paused:
            return
        if self.held_bytes <= self.limit_bytes:
            for other in list(self._paused):
                self._resume(other)
            return
        oldest = self._find_oldest()
        if oldest is not None:
            self._resume(oldest)

    def _resume(self, answer: PausableAnswer) -> None:
        if answer in self._paused:
            self._paused.remove(answer)
            answer.resume_reading(PauseReason.MEMORY)

    def _find_oldest(self) -> PausableAnswer | None:
        """Finds the oldest of the answers that aren't short."""
        held = self._bytes_by_answer.items()
        return next((answer for answer, size in held if size > SHORT_BYTES), None)
