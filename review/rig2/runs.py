"""Runs a case, and turns its result into the exit code that a case has."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from typing import TYPE_CHECKING

from rig2.entries import CaseCantRunError

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from pathlib import Path

HELD, BROKEN_RULE, CANT_RUN = 0, 1, 2
LIMIT_S = 115.0


class Record:
    """The lines of record.txt, with the seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def write(self, text: str, at: float | None = None) -> None:
        """Writes a line."""
        seconds = (time.monotonic() if at is None else at) - self._began_at
        self._file.write(f"{seconds:8.3f} {text}\n")

    def close(self) -> None:
        """Writes all lines to the file."""
        self._file.close()


def run_case(
    folder: Path, play: Callable[[Record], Coroutine[None, None, list[str]]]
) -> None:
    """Plays a case; `play` returns what broke the rule, and ends what it started."""
    record = Record(folder / "record.txt")

    async def play_within_limit() -> list[str]:
        task = asyncio.ensure_future(play(record))
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await asyncio.wait_for(task, LIMIT_S)

    try:
        broken = asyncio.run(play_within_limit())
    except (CaseCantRunError, OSError, TimeoutError, asyncio.CancelledError) as error:
        record.write(f"the case can't run: {error!r}")
        print(f"can't run: {error!r}")
        code = CANT_RUN
    else:
        for text in broken:
            record.write(f"BROKEN {text}")
            print(f"broken: {text}")
        code = BROKEN_RULE if broken else HELD
    finally:
        record.close()
    sys.exit(code)
