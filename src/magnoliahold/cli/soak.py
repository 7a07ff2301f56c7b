"""The `soak` command."""

from __future__ import annotations

import shutil
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from magnoliahold.soak.run import SoakReport

EXIT_INTERRUPTED = 130


def soak(
    *,
    seed: int = 1,
    seconds: float = 20.0,
    processes: int = 3,
    restores: int = 0,
    odd_rows: int = 0,
    planned: bool = False,
    half_closing: int = 0,
) -> int:
    """Runs entries as processes, injects random faults and checks guarantees.

    The store, the upstreams and the callers are stand-ins in this process. It ends only
    processes that it started. Logs are kept if a guarantee was violated.

    Args:
        seed: The random seed of the faults.
        seconds: How long faults are injected; startup and recovery take extra time.
        processes: The number of entries.
        restores: How often the store is restored from an older copy.
        odd_rows: How many rows that can't be read another writer leaves in the store.
        planned: Stops, reloads and changes only; each request must be answered.
        half_closing: With planned work, how many callers close their writing side
            behind their requests and wait for the answers.

    Returns:
        0, 1 if a guarantee was violated, or 130 if it was interrupted.
    """
    from twisted.internet import reactor as installed
    from twisted.internet.defer import ensureDeferred

    from magnoliahold.soak.planned import run_planned_soak
    from magnoliahold.soak.run import make_log_folder, run_soak

    reactor: Any = installed
    folder = make_log_folder()
    results: list[SoakReport] = []
    failures: list[Exception] = []

    async def run() -> None:
        try:
            run = reactor, seed, seconds, processes, folder
            soaking = (
                run_planned_soak(*run, half_closing)
                if planned
                else run_soak(*run, restores, odd_rows)
            )
            results.append(await soaking)
        except Exception as error:
            failures.append(error)
        finally:
            reactor.stop()

    def start() -> None:
        ensureDeferred(run())

    reactor.callWhenRunning(start)
    reactor.run()
    if failures:
        raise failures[0]
    if not results:
        print(f"interrupted; logs: {folder}")
        return EXIT_INTERRUPTED
    (report,) = results
    print(report.describe())
    if report.broken:
        print(f"logs: {folder}")
        return 1
    shutil.rmtree(folder)
    return 0
