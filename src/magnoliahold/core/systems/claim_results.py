"""Stores the results of claimed calls to answer repeats of their idempotency keys."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING

from magnoliahold.core.claims import CLAIMS_TABLE, ResultBatch, encode_claim
from magnoliahold.core.effects import CountMetric, Transact
from magnoliahold.core.events import TransactionFinished
from magnoliahold.storage.interfaces import Condition, Write

if TYPE_CHECKING:
    from magnoliahold.core.claims import ResultWrite
    from magnoliahold.core.worlds import EntryWorld
    from magnoliahold.storage.interfaces import TransactionOutcome


def write_results(world: EntryWorld, now: float) -> None:
    """Writes the queued results, one transaction at a time."""
    batch = world.claims.results_in_flight
    if batch is not None:
        for event in world.inbox.read_events(TransactionFinished):
            if event.token == batch.token:
                _finish_batch(world, batch, event.outcome)
        if now - batch.sent_at >= world.policy.claims.patience_s:
            world.claims.results_in_flight = None
    if world.claims.results_in_flight is None and world.claims.results:
        _send_batch(world, now)


def _finish_batch(
    world: EntryWorld, batch: ResultBatch, outcome: TransactionOutcome | None
) -> None:
    """Removes results that are written, and those whose row has changed since.

    A commit whose answer was lost shows up as a conflict when it is sent again.
    """
    if outcome is None:
        return
    world.claims.results_in_flight = None
    conflicts = {row.key for row in outcome.conflicts}
    for key, result in batch.results.items():
        ended = outcome.committed or key in conflicts or not conflicts
        if ended and world.claims.results.get(key) is result:
            del world.claims.results[key]


def _send_batch(world: EntryWorld, now: float) -> None:
    limit = world.policy.claims.max_per_transaction
    chosen = dict(islice(world.claims.results.items(), limit))
    token = world.make_id("results")
    world.claims.results_in_flight = ResultBatch(token, now, chosen)
    conditions = tuple(_make_condition(result) for result in chosen.values())
    writes = tuple(_make_write(result) for result in chosen.values())
    world.emit(Transact(token, conditions, writes))
    world.emit(CountMetric("result_transactions"))


def _make_condition(result: ResultWrite) -> Condition:
    return Condition(CLAIMS_TABLE, result.key, result.version)


def _make_write(result: ResultWrite) -> Write:
    return Write(CLAIMS_TABLE, result.key, encode_claim(result.row))
