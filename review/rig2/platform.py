"""A stand-in for the platform: it kills a process that exceeds its memory."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from rig2.entries import Entry

LOOK_S = 0.05
RESTART_S = 0.5
MB = 1024 * 1024
KB = 1024


def read_memory_mb(pid: int) -> float:
    """Reads how much memory is a process's own: what it shares doesn't count."""
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        for line in status:
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) * KB / MB
    return 0.0


async def watch_memory(
    entries: Iterable[Entry], memory_mb: float, report: Callable[[Entry, float], None]
) -> None:
    """Kills entries that exceed their memory, and starts them again.

    Nothing is started any more once this is cancelled.
    """
    starts_at: dict[Entry, float] = {}
    while True:
        now = time.monotonic()
        for entry in entries:
            if entry in starts_at:
                if now >= starts_at[entry]:
                    del starts_at[entry]
                    entry.start()
                continue
            used_mb = 0.0
            if entry.process is not None and entry.process.poll() is None:
                used_mb = read_memory_mb(entry.process.pid)
            if used_mb > memory_mb:
                report(entry, used_mb)
                entry.kill()
                starts_at[entry] = now + RESTART_S
        await asyncio.sleep(LOOK_S)
