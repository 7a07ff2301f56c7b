"""Runs entries as child processes, and ends no other processes."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from typing import TYPE_CHECKING, Any

import yaml
from attrs import define, field

from magnoliahold.soak.proxies import LOOPBACK

if TYPE_CHECKING:
    from pathlib import Path

STOP_GRACE_S = 8.0
REVOCATION_MS = 5000


@define(eq=False)
class EntryProcess:
    """The process of one entry.

    `stop_requested_at` is the time when it was sent SIGTERM.
    """

    name: str
    folder: Path
    callers_port: int
    ready_port: int
    peers_port: int
    store_port: int
    data_centre: str
    process: subprocess.Popen[bytes] | None = None
    paused: bool = False
    stop_requested_at: float | None = None
    starts: int = 0
    _logs: list[Any] = field(factory=list)

    @property
    def settings_path(self) -> Path:
        """The path of the settings file."""
        return self.folder / f"{self.name}.yaml"

    @property
    def log_path(self) -> Path:
        """The path of the file that receives its output."""
        return self.folder / f"{self.name}.log"

    def write_settings(self) -> None:
        """Writes the settings file."""
        settings = {
            "name": self.name,
            "data_centre": self.data_centre,
            "callers": f"{LOOPBACK}:{self.callers_port}",
            "readiness": f"{LOOPBACK}:{self.ready_port}",
            "peers": f"{LOOPBACK}:{self.peers_port}",
            "store": f"{LOOPBACK}:{self.store_port}",
            "bounds": {"revocation_ms": REVOCATION_MS, "stop_grace_s": STOP_GRACE_S},
        }
        self.settings_path.write_text(yaml.safe_dump(settings), encoding="utf-8")

    def start(self) -> None:
        """Starts the process."""
        self.write_settings()
        log = self.log_path.open("ab")
        self._logs.append(log)
        self.process = subprocess.Popen(
            [sys.executable, "-m", "magnoliahold", "serve", str(self.settings_path)],
            stdout=log,
            stderr=log,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
        self.starts += 1
        self.paused = False
        self.stop_requested_at = None

    @property
    def running(self) -> bool:
        """Whether the process is running."""
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal, if the process is running."""
        if self.running and self.process is not None:
            self.process.send_signal(number)

    def pause(self) -> None:
        """Suspends the process."""
        self.paused = True
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes the process."""
        self.paused = False
        self.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def close(self) -> None:
        """Kills the process and closes its logs."""
        self.kill()
        for log in self._logs:
            log.close()
