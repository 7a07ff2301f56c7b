"""A simulated platform, in memory and over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.standins.instances import FaultyInstances
from magnoliahold.standins.objects import FaultyObjects
from magnoliahold.standins.platform_faults import FaultyExecutor
from magnoliahold.standins.platform_resource import make_platform_resource
from magnoliahold.standins.tables import FaultyTables, TableStore
from magnoliahold.standins.weights import FaultyWeights

if TYPE_CHECKING:
    from random import Random

    from magnoliahold.runtime import Clock


class Platform:
    """The platform's services, each of which implements its interface in memory.

    `resource` serves them over HTTP. `store` gives tests direct access to the tables,
    without delays or faults.
    """

    def __init__(self, clock: Clock, random: Random) -> None:
        self.faults = FaultyExecutor(clock, random)
        self.store = TableStore()
        self.tables = FaultyTables(clock, self.faults, self.store)
        self.objects = FaultyObjects(self.faults)
        self.instances = FaultyInstances(clock, self.faults)
        self.weights = FaultyWeights(clock, self.faults)
        self.resource = make_platform_resource(self)
        self._clock = clock

    def silence_later(self, delay_s: float) -> None:
        """Silences the open connections permanently, after a delay."""
        listener = self.resource.listener
        if listener is not None:
            self._clock.callLater(delay_s, listener.silence_connections)


def make_platform(reactor: Clock, random: Random) -> Platform:
    """Creates a stand-in platform; without HTTP, a simulated clock suffices."""
    return Platform(reactor, random)
