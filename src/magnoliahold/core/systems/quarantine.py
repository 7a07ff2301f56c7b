"""Finds poison requests, i.e. those that crash upstreams, and quarantines them."""

from __future__ import annotations

from math import isnan
from typing import TYPE_CHECKING

from magnoliahold.core.effects import (
    CountMetric,
    ScanRows,
    SendMessage,
    Transact,
)
from magnoliahold.core.events import RowsRead
from magnoliahold.core.quarantine import (
    QUARANTINE_TABLE,
    Death,
    QuarantineRow,
    SuspicionTable,
    decode_quarantine,
    encode_quarantine,
    explain_quarantine,
)
from magnoliahold.core.systems.answers import end_call
from magnoliahold.core.systems.routing import end_attempt
from magnoliahold.core.systems.suspects import (
    broadcast_notice,
    clear_request,
    make_notice,
    refuse_quarantined,
)
from magnoliahold.storage.interfaces import Condition, Write
from magnoliahold.wire.messages import CancelStream, EngineDied, SuspicionNotice

if TYPE_CHECKING:
    from magnoliahold.core.generations import Generation
    from magnoliahold.core.quarantine import Suspicion
    from magnoliahold.core.worlds import EntryWorld
    from magnoliahold.storage.interfaces import Row


def forget_suspicions(world: EntryWorld) -> None:
    """Forgets all evidence and quarantines until the stored ones are read again."""
    table = world.suspicions
    world.suspicions = SuspicionTable(next_scan_at=table.next_scan_at)


def record_deaths(world: EntryWorld, now: float) -> None:
    """Records each reported death as evidence against the requests in flight."""
    for received in world.inbox.read_messages(EngineDied):
        report = received.message
        incarnation = (report.upstream, report.engine_incarnation)
        if incarnation not in world.suspicions.recorded_deaths:
            world.suspicions.recorded_deaths[incarnation] = now
            _record_death(world, report, now)


def _record_death(world: EntryWorld, report: EngineDied, now: float) -> None:
    """Looks for a poison request among the suspects first, as it explains the death.

    Further deaths count against a request only if it ran as a suspect: several
    upstreams lost at once may all have run the same harmless request.
    """
    produced = dict(zip(report.fingerprints, report.produced, strict=False))
    ran_as_suspect = set(report.suspects)
    suspects = []
    for rank, (fingerprint, count) in enumerate(produced.items()):
        suspicion = world.suspicions.by_fingerprint.get(fingerprint)
        if suspicion is not None:
            suspicion.rank = rank
        if suspicion is not None and fingerprint in ran_as_suspect:
            _add_death(suspicion, report, count, now)
            suspects.append(suspicion)
    poison = find_poison_request(world, suspects)
    if poison is not None:
        quarantine_request(world, poison, now)
        _remove_explained_deaths(world, poison)
        return
    for rank, (fingerprint, count) in enumerate(produced.items()):
        if fingerprint not in world.suspicions.by_fingerprint:
            suspicion = world.suspicions.find_suspicion(fingerprint)
            suspicion.rank = rank
            _add_death(suspicion, report, count, now)
    world.log_decision(
        "quarantine",
        "Upstream died, its requests are suspect.",
        upstream=report.upstream,
        suspects=len(report.fingerprints),
    )


def _add_death(
    suspicion: Suspicion, report: EngineDied, produced: int, now: float
) -> None:
    if suspicion.quarantined_until is None:
        death = Death(report.upstream, report.engine_incarnation, produced)
        suspicion.deaths.append(death)
        suspicion.last_death_at = now


def find_poison_request(
    world: EntryWorld, suspects: list[Suspicion]
) -> Suspicion | None:
    """Finds the one suspect that must have caused the death of an upstream.

    The evidence, strongest first: the last two deaths came at the same point of a run;
    the last one came right after the request was started; there were too many deaths.
    Of several suspects with the same evidence, the one with the most deaths is chosen;
    if they tie, none is, and they run once more.
    """
    policy = world.policy.quarantine
    open_suspects = [item for item in suspects if item.quarantined_until is None]
    repeated = [
        item
        for item in open_suspects
        if len(item.deaths) >= policy.deaths_to_quarantine
    ]
    frequent = [
        item for item in repeated if len(item.deaths) >= policy.deaths_without_pattern
    ]
    groups = [
        [item for item in repeated if _died_at_same_point(world, item)],
        [item for item in repeated if _died_immediately(world, item)],
        frequent,
    ]
    for group in groups:
        if group:
            most = max(len(item.deaths) for item in group)
            likely = [item for item in group if len(item.deaths) == most]
            return likely[0] if len(likely) == 1 else None
    return None


def _died_at_same_point(world: EntryWorld, suspicion: Suspicion) -> bool:
    """Returns whether the last two deaths came after about as many tokens of a run."""
    policy = world.policy.quarantine
    first, second = suspicion.deaths[-2:]
    tolerance = max(policy.alike_tokens, policy.alike_share * first.produced)
    return abs(first.produced - second.produced) <= tolerance


def _died_immediately(world: EntryWorld, suspicion: Suspicion) -> bool:
    return suspicion.deaths[-1].produced <= world.policy.quarantine.at_once_tokens


def _remove_explained_deaths(world: EntryWorld, poison: Suspicion) -> None:
    """Removes the deaths that a poison request explains from all other suspects."""
    table = world.suspicions
    explained = {(death.upstream, death.incarnation) for death in poison.deaths}
    for suspicion in table.list_not_quarantined():
        suspicion.deaths = [
            death
            for death in suspicion.deaths
            if (death.upstream, death.incarnation) not in explained
        ]
        if not suspicion.deaths:
            table.clear_suspicion(suspicion.fingerprint)


def quarantine_request(world: EntryWorld, suspicion: Suspicion, now: float) -> None:
    """Quarantines a fingerprint here, at the other entries and in the store."""
    quarantine_s = world.policy.quarantine.quarantine_s
    suspicion.quarantined_until = now + quarantine_s
    world.log_decision(
        "quarantine",
        "Request is quarantined.",
        fingerprint=suspicion.fingerprint,
        deaths=len(suspicion.deaths),
        produced=",".join(str(death.produced) for death in suspicion.deaths),
    )
    world.emit(CountMetric("requests_quarantined"))
    broadcast_notice(world, suspicion, quarantine_s)
    row = QuarantineRow(world.wall_clock(now) + quarantine_s)
    write = Write(QUARANTINE_TABLE, suspicion.fingerprint, encode_quarantine(row))
    world.emit(Transact(world.make_id("quarantine"), (), (write,)))


def apply_notices(world: EntryWorld, now: float) -> None:
    """Applies quarantines and clearances received from other entries."""
    for received in world.inbox.read_messages(SuspicionNotice):
        notice = received.message
        if notice.quarantined:
            _apply_quarantine(world, notice.fingerprint, now + notice.seconds_left)
        elif notice.deaths == 0:
            world.suspicions.clear_suspicion(notice.fingerprint)


def _apply_quarantine(world: EntryWorld, fingerprint: str, until: float) -> None:
    suspicion = world.suspicions.find_suspicion(fingerprint)
    known = suspicion.quarantined_until
    suspicion.quarantined_until = max(until, known) if known is not None else until


def clear_suspects(world: EntryWorld, now: float) -> None:
    """Clears suspects that have run well past the points where upstreams died."""
    suspicions = world.suspicions.by_fingerprint
    if not suspicions:
        return
    for generation in world.generations.by_request.values():
        fingerprint = generation.request.fingerprint
        suspicion = suspicions.get(fingerprint)
        generation.suspect = suspicion is not None
        if suspicion is None or not generation.runs_as_suspect:
            continue
        produced = len(generation.tokens) - generation.attempt_offset
        if produced >= _count_clearing_tokens(world, suspicion):
            generation.suspect = False
            clear_request(world, fingerprint)


def _count_clearing_tokens(world: EntryWorld, suspicion: Suspicion) -> float:
    policy = world.policy.quarantine
    reached = max((death.produced for death in suspicion.deaths), default=0)
    return policy.cleared_after_tokens + reached * (1 + policy.clearing_share)


def end_quarantined(world: EntryWorld, now: float) -> None:
    """Refuses the open generations whose fingerprint is quarantined."""
    if not world.suspicions.by_fingerprint:
        return
    for generation in list(world.generations.by_request.values()):
        request = generation.request
        if refuse_quarantined(world, request.request_id, request.fingerprint, now):
            _cancel_attempt(world, generation)


def _cancel_attempt(world: EntryWorld, generation: Generation) -> None:
    """Removes a generation and cancels its attempt, which must not be kept."""
    if generation.sidecar:
        cancel = CancelStream(
            generation.lineage, generation.attempt, generation.owner_epoch
        )
        world.emit(SendMessage(generation.sidecar, cancel))
        end_attempt(world, generation)
    world.generations.remove_generation(generation)


def end_quarantined_calls(world: EntryWorld, now: float) -> None:
    """Refuses the open calls whose fingerprint is quarantined."""
    if not world.suspicions.by_fingerprint:
        return
    for call in list(world.calls.by_request.values()):
        request = call.request
        if refuse_quarantined(world, request.request_id, request.fingerprint, now):
            end_call(world, call, "quarantined")


def expire_suspicions(world: EntryWorld, now: float) -> None:
    """Removes suspicions and quarantines that have expired."""
    policy = world.policy.quarantine
    table = world.suspicions
    for suspicion in list(table.by_fingerprint.values()):
        until = suspicion.quarantined_until
        if until is None:
            until = suspicion.last_death_at + policy.suspicion_s
        if now >= until:
            del table.by_fingerprint[suspicion.fingerprint]
    for incarnation, recorded_at in list(table.recorded_deaths.items()):
        if now - recorded_at < policy.quarantine_s:
            break
        del table.recorded_deaths[incarnation]


def send_quarantines_to_new_entries(world: EntryWorld, now: float) -> None:
    """Sends all quarantines to each entry that has started or is reachable again."""
    notified = world.suspicions.notified_entries
    for peer in world.peers.list_by_role("entry"):
        if peer.lost or not peer.incarnation:
            notified.pop(peer.name, None)
        elif notified.get(peer.name) != peer.incarnation:
            notified[peer.name] = peer.incarnation
            _send_quarantines(world, peer.name, now)


def _send_quarantines(world: EntryWorld, entry: str, now: float) -> None:
    for suspicion in world.suspicions.by_fingerprint.values():
        if suspicion.quarantined_until is not None:
            left_s = suspicion.quarantined_until - now
            world.emit(SendMessage(entry, make_notice(suspicion, left_s)))


def read_quarantines(world: EntryWorld, now: float) -> None:
    """Reads the quarantines in the store, at the start and then at intervals."""
    table = world.suspicions
    for read in world.inbox.read_events(RowsRead):
        if read.token == table.scan_token and read.rows is not None:
            for row in read.rows:
                _apply_row(world, row, now)
    if now >= table.next_scan_at:
        interval_s = world.policy.quarantine.scan_interval_s
        table.next_scan_at = now + interval_s * world.random.uniform(0.8, 1.2)
        table.scan_token = world.make_id("quarantine-scan")
        world.emit(ScanRows(table.scan_token, QUARANTINE_TABLE))


def _apply_row(world: EntryWorld, stored: Row, now: float) -> None:
    """Applies a stored quarantine; one that is over or damaged is deleted."""
    row = decode_quarantine(stored.value)
    left_s = row.until - world.wall_clock(now) if row else 0.0
    if left_s > 0:
        limit_s = world.policy.quarantine.quarantine_s
        _apply_quarantine(world, stored.key, now + min(left_s, limit_s))
        return
    if row is None or isnan(row.until):
        world.log_decision(
            "quarantine",
            "Row can't be read and is deleted.",
            table=stored.table,
            key=stored.key,
            version=stored.version,
            reason=explain_quarantine(stored.value),
        )
    unchanged = Condition(QUARANTINE_TABLE, stored.key, stored.version)
    delete = Write(QUARANTINE_TABLE, stored.key, None)
    world.emit(Transact(world.make_id("quarantine"), (unchanged,), (delete,)))
