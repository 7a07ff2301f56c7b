"""Bounds the memory that all connections to a process take together."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Protocol

from attrs import define, field

from magnoliahold.logs import make_part_logger

if TYPE_CHECKING:
    from magnoliahold.inbound.limits import IntakeLimits, IntakePolicy
    from magnoliahold.runtime import Clock

# Room is made down to this share of the limit, so that it isn't looked for each time.
LOW_SHARE = 7 / 8

logger = make_part_logger("intake")


class Holder(Protocol):
    """A connection that makes the process hold something.

    It has neither sent nor taken anything since `quiet_since`, on the process clock.
    """

    @property
    def quiet_since(self) -> float:
        """When it last sent or took something."""

    def count_held(self) -> int:
        """Counts the bytes held for it."""

    def count_whole(self) -> int:
        """Counts the bytes of its requests that were read whole and run."""

    def count_releasable(self) -> int:
        """Counts the bytes that would be free if it were given up."""

    def give_up(self) -> str:
        """Frees what can be freed, and names what was given up."""


@define(eq=False)
class IntakeMemory:
    """What is held for each connection, and for all together.

    Beyond the limit, holders that make no progress are given up before those that do,
    and among each those first that hold most. The largest holder alone doesn't count:
    one request within its own limits is served whatever this limit is. `whole_bytes`
    of what is held are of requests that run. `given_up` counts what was given up, by
    its name.
    """

    clock: Clock
    policy: IntakePolicy
    limits: IntakeLimits
    held_bytes: int = 0
    whole_bytes: int = 0
    given_up: Counter[str] = field(factory=Counter)
    _held: dict[Holder, int] = field(factory=dict)
    _whole: dict[Holder, int] = field(factory=dict)
    _largest: Holder | None = None
    _is_making_room: bool = False

    def update(self, holder: Holder) -> None:
        """Counts anew what is held for a connection; makes room if it is too much."""
        self._count(holder)
        if self._is_over(self.limits.held_bytes) and not self._is_making_room:
            self._make_room()

    def release(self, holder: Holder) -> None:
        """Forgets a connection that has ended."""
        self.held_bytes -= self._held.pop(holder, 0)
        self.whole_bytes -= self._whole.pop(holder, 0)
        if holder is self._largest:
            self._find_largest()

    def admits_whole(self, holder: Holder, size: int) -> bool:
        """Tells whether a request that was read whole may run; else it is given up.

        Those that run leave room for others to be read, unless they are short, and one
        alone may be of any size.
        """
        running = self.whole_bytes - self._whole.get(holder, 0)
        is_short = size <= self.policy.short_bytes
        limit = self.limits.held_bytes if is_short else self.limits.whole_bytes
        if not running or running + size <= limit:
            return True
        self.given_up["whole_request"] += 1
        return False

    def _count(self, holder: Holder) -> None:
        size = holder.count_held()
        self.held_bytes += size - self._held.get(holder, 0)
        self._held[holder] = size
        whole = holder.count_whole()
        self.whole_bytes += whole - self._whole.get(holder, 0)
        self._whole[holder] = whole
        if holder is self._largest:
            self._find_largest()
        elif size > self._held.get(self._largest, 0):  # type: ignore[arg-type]
            self._largest = holder

    def _find_largest(self) -> None:
        self._largest = max(self._held, key=self._held.__getitem__, default=None)

    def _is_over(self, limit_bytes: float) -> bool:
        if self.held_bytes <= limit_bytes or self._largest is None:
            return False
        return self.held_bytes - self._held[self._largest] > limit_bytes

    def _make_room(self) -> None:
        """Counts all anew, since some may have taken their answers, and gives up."""
        self._is_making_room = True
        try:
            for holder in list(self._held):
                self._count(holder)
            if self._is_over(self.limits.held_bytes):
                self._give_up_holders()
        finally:
            self._is_making_room = False

    def _give_up_holders(self) -> None:
        before = self.held_bytes
        target = self.limits.held_bytes * LOW_SHARE
        stalled_at = self.clock.seconds() - self.policy.stalled_s
        found = [(item, item.count_releasable()) for item in self._held]
        found = [(item, size) for item, size in found if size > 0]
        found.sort(key=lambda pair: (pair[0].quiet_since > stalled_at, -pair[1]))
        count = 0
        for holder, _ in found:
            if not self._is_over(target):
                break
            self.given_up[holder.give_up()] += 1
            count += 1
            if holder in self._held:
                self._count(holder)
        logger.gather(
            "Connections are given up; all together hold too much.",
            held_bytes=before,
            limit_bytes=self.limits.held_bytes,
            given_up=count,
            connections=len(self._held),
        )
