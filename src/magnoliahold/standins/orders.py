"""Orders to the stand-in engine: versions, adapters and role, with fencing numbers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from magnoliahold.runtime import Clock

KINDS = frozenset({"load_version", "unload_version", "load_adapter", "set_role"})


@frozen
class OrderRequest:
    """An order; one with an older fencing number than seen before is stale."""

    fencing: int
    kind: str
    value: str


class OrderedState:
    """What orders have made of an engine."""

    def __init__(
        self,
        clock: Clock,
        version: str,
        role: str,
        obeys_fencing: bool,
        load_version_s: float,
    ) -> None:
        self._clock = clock
        self._obeys_fencing = obeys_fencing
        self._load_version_s = load_version_s
        self._life = 0
        self.fencing = 0
        self.role = role
        self.versions: set[str] = {version}
        self.adapters: set[str] = set()

    def apply(self, order: OrderRequest) -> bool:
        """Carries an order out; returns False when it is refused as stale.

        A version is loaded some time after its order was accepted.
        """
        if self._obeys_fencing:
            if order.fencing < self.fencing:
                return False
            self.fencing = order.fencing
        if order.kind == "load_version":
            self._clock.callLater(
                self._load_version_s, self._finish_load, order.value, self._life
            )
        elif order.kind == "unload_version":
            self.versions.discard(order.value)
        elif order.kind == "load_adapter":
            self.adapters.add(order.value)
        elif order.kind == "set_role":
            self.role = order.value
        return True

    def restart(self, version: str) -> None:
        """Forgets everything but the version that a new process starts with."""
        self._life += 1
        self.fencing = 0
        self.versions = {version}
        self.adapters = set()

    def _finish_load(self, version: str, life: int) -> None:
        if life == self._life:
            self.versions.add(version)
