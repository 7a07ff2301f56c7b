"""The store's epochs: each restore of the store from an older copy begins a new one.

Versions of rows are valid within one epoch only, since a restored store gives them out
again.
"""

from __future__ import annotations

import math

from attrs import define

# A store that was never restored is in this epoch, or names none.
FIRST_EPOCH = 1


@define
class StoreEpoch:
    """The newest epoch that an answer of the store has named; None before the first.

    `risen_at` is when a new epoch was first seen, on the clock of ticks, and
    `risen_at_boot_s` the same on the boot clock; None if the epoch has never changed.
    A process that starts in a later epoch doesn't know when that began, and takes it as
    new. Reads that are sent before `proves_from_s`, on the boot clock, prove nothing: a
    process that starts doesn't know which configuration to await.
    """

    number: int | None = None
    risen_at: float | None = None
    risen_at_boot_s: float | None = None
    proves_from_s: float = -math.inf

    def is_outdated(self, number: int | None) -> bool:
        """Tells whether an answer is of an earlier epoch."""
        return number is not None and self.number is not None and number < self.number

    def is_settling(self, now: float, settle_s: float) -> bool:
        """Tells whether others may still be writing their rows again after a rise."""
        return self.risen_at is not None and now - self.risen_at < settle_s
