"""The object store of the stand-in platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

    from magnoliahold.standins.platform_faults import FaultyExecutor


class FaultyObjects:
    """Objects in memory, under the platform's faults."""

    def __init__(self, executor: FaultyExecutor) -> None:
        self._executor = executor
        self._objects: dict[str, bytes] = {}

    def put_object(self, name: str, content: bytes) -> Deferred[None]:
        """Stores an object, replacing an earlier one of that name."""
        return self._executor.perform(lambda: self._objects.__setitem__(name, content))

    def get_object(self, name: str) -> Deferred[bytes | None]:
        """Reads an object, or None when it does not exist."""
        return self._executor.perform(lambda: self._objects.get(name))
