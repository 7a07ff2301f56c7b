"""An entry on loopback that stops as its process does."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import evolve
from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure

from tests.serving.test_callers import connect_client
from tests.serving.test_daemon import DaemonTestCase

if TYPE_CHECKING:
    from magnoliahold.serving.daemon import ServingDaemon
    from tests.serving.test_callers import Client


class StoppingTestCase(DaemonTestCase):
    """A test case with an entry whose connections end with its process."""

    async def start_leaving(
        self, *scripts: list[Any], **changes: float
    ) -> ServingDaemon:
        """Starts an entry that stops as its process does, with short times."""
        daemon = await self.start(*scripts)
        daemon.on_stopped = self.exit_process
        world = daemon.node.world
        times = {"accept_s": 0.2, "settle_s": 0.1, **changes}
        leave = evolve(world.serving_policy.leave, **times)
        world.serving_policy = evolve(world.serving_policy, leave=leave)
        self.channels = daemon.node.ports.callers.channels
        return daemon

    def exit_process(self, reason: str) -> None:
        """Does to the connections of callers what the reactor does when it stops."""
        self.stopped.append(reason)
        for channel in list(self.channels):
            transport: Any = channel.transport
            transport.connectionLost(Failure(ConnectionLost()))

    async def connect(self, content: bytes) -> Client:
        """Connects as a caller and sends bytes."""
        _, _, port = self.settings["callers"].partition(":")
        return await connect_client(self.reactor, int(port), content)
