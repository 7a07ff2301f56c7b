"""A test case with the process of an entry, and crowds that press on it."""

from __future__ import annotations

import resource
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING, Any

import yaml

from magnoliahold.httpclient import HttpClient
from tests.crowds.members import Crowd
from tests.crowds.meters import (
    INSTANCE_BYTES,
    count_descriptors,
    measure_files,
    read_peak_bytes,
)
from tests.loopback import LoopbackTestCase

if TYPE_CHECKING:
    from collections.abc import Callable

# What an ordinary caller waits for an answer, and how often it asks again.
ANSWER_S = 5.0
ATTEMPTS = 20
RETRY_S = 0.5


class CrowdTestCase(LoopbackTestCase):
    """A test case whose processes and crowds end with it."""

    timeout_s = 120.0

    def setUp(self) -> None:
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        self.crowds: list[Crowd] = []
        self.processes: list[subprocess.Popen[bytes]] = []

    def start_process(
        self, command: str, settings: dict[str, Any], descriptors: int = 0
    ) -> subprocess.Popen[bytes]:
        """Starts a process, with at most so many descriptors if that is given."""

        def limit() -> None:
            if descriptors:
                limits = (descriptors, descriptors)
                resource.setrlimit(resource.RLIMIT_NOFILE, limits)

        path = self.directory / f"{len(self.processes)}.yaml"
        path.write_text(yaml.safe_dump(settings), encoding="utf-8")
        process = subprocess.Popen(
            [sys.executable, "-m", "magnoliahold", command, str(path)],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
            preexec_fn=limit,
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        self.processes.append(process)
        return process

    def make_crowd(self, address: str) -> Crowd:
        """Makes a crowd that presses on an address."""
        crowd = Crowd(self.reactor, int(address.rpartition(":")[2]))
        self.crowds.append(crowd)
        return crowd

    async def read_status(self, address: str, path: str) -> int:
        """Reads a path; 0 if there is no answer."""
        client = HttpClient(self.reactor, f"http://{address}")
        try:
            return (await client.send("GET", path, timeout_s=1.0)).status
        except Exception:
            return 0

    async def wait_for_status(self, address: str, path: str) -> None:
        """Waits until a path is answered with 200."""
        while await self.read_status(address, path) != 200:
            await self.sleep(0.05)

    async def count_attempts(self, ask: Callable[[], Any]) -> int:
        """Counts how often a caller must ask until it gets 200; fails after many."""
        seen = []
        for attempt in range(1, ATTEMPTS + 1):
            try:
                answer = await ask()
            except Exception as error:
                seen.append(repr(error))
            else:
                if answer.status == 200:
                    return attempt
                seen.append(f"{answer.status} {answer.body!r}")
            await self.sleep(RETRY_S)
        self.fail(f"an ordinary request got no answer: {seen}")

    def check_process(
        self,
        process: subprocess.Popen[bytes],
        peak_bytes: int = INSTANCE_BYTES,
        descriptors: int = 0,
    ) -> None:
        """Checks that a process lives and stays within its bounds."""
        self.assertIsNone(process.poll(), "the process has ended")
        held = read_peak_bytes(process.pid) + measure_files(process.pid)
        self.assertLess(held, peak_bytes)
        if descriptors:
            self.assertLess(count_descriptors(process.pid), descriptors)

    def close_crowds(self) -> None:
        """Resets the connections of all crowds."""
        for crowd in self.crowds:
            crowd.close()
        self.crowds.clear()
