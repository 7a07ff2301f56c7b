"""The object store of the stand-in platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

    from magnoliahold.standins.platform_faults import FaultyExecutor


class FaultyObjects:
    """Stores objects in memory, subject to the platform's injected faults."""

    def __init__(self, executor: FaultyExecutor) -> None:
        self._executor = executor
        self._objects: dict[str, bytes] = {}

    def put_object(self, name: str, content: bytes) -> Deferred[None]:
        """Stores an object, replacing any of the same name."""
        return self._executor.perform(lambda: self._objects.__setitem__(name, content))

    def get_object(self, name: str) -> Deferred[bytes | None]:
        """Returns an object, or None if it doesn't exist."""
        return self._executor.perform(lambda: self._objects.get(name))
