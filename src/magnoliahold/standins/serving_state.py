"""The stand-in engine's versions, adapters and role, which fenced orders change."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from magnoliahold.standins.weight_loader import WeightLoader

KINDS = frozenset({"load_version", "unload_version", "load_adapter", "set_role"})


@frozen
class OrderRequest:
    """An order; it is stale if its fencing number is lower than one seen before."""

    fencing: int
    kind: str
    value: str


class ServingState:
    """The versions, adapters and role of an engine, which orders change."""

    def __init__(
        self,
        loader: WeightLoader,
        version: str,
        role: str,
        obeys_fencing: bool,
    ) -> None:
        self._loader = loader
        self._obeys_fencing = obeys_fencing
        self._loading: dict[str, object] = {}
        self.fencing = 0
        self.role = role
        self.versions: set[str] = {version}
        self.adapters: set[str] = set()

    def apply(self, order: OrderRequest) -> bool:
        """Applies an order; returns False if it is refused as stale.

        Loading a version completes some time after its order was accepted.
        """
        if self._obeys_fencing:
            if order.fencing < self.fencing:
                return False
            self.fencing = order.fencing
        if order.kind == "load_version":
            self._start_load(order.value)
        elif order.kind == "unload_version":
            self._loading.pop(order.value, None)
            self.versions.discard(order.value)
        elif order.kind == "load_adapter":
            self.adapters.add(order.value)
        elif order.kind == "set_role":
            self.role = order.value
        return True

    def restart(self, version: str) -> None:
        """Resets the state to that of a new process, which has a single version.

        The role is kept.
        """
        self._loading = {}
        self.fencing = 0
        self.versions = {version}
        self.adapters = set()

    def _start_load(self, version: str) -> None:
        if version in self.versions or version in self._loading:
            return
        load = object()
        self._loading[version] = load
        self._loader.load(version, lambda: self._finish_load(version, load))

    def _finish_load(self, version: str, load: object) -> None:
        if self._loading.get(version) is load:
            del self._loading[version]
            self.versions.add(version)
