"""Suspects requests that were in flight at deaths of upstreams, and refuses killers."""

from __future__ import annotations

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
    decode_quarantine,
    encode_quarantine,
)
from magnoliahold.core.systems.answers import end_call
from magnoliahold.core.systems.routing import end_attempt
from magnoliahold.core.systems.suspects import (
    broadcast_notice,
    clear_request,
    make_notice,
    refuse_quarantined,
)
from magnoliahold.storage.interfaces import Write
from magnoliahold.wire.messages import CancelStream, EngineDied, SuspicionNotice

if TYPE_CHECKING:
    from magnoliahold.core.generations import Generation
    from magnoliahold.core.quarantine import Suspicion
    from magnoliahold.core.worlds import EntryWorld


def record_deaths(world: EntryWorld, now: float) -> None:
    """Holds each reported death against the requests that were in flight."""
    for received in world.inbox.read_messages(EngineDied):
        died = received.message
        place = (died.upstream, died.engine_incarnation)
        if place not in world.suspicions.recorded_deaths:
            world.suspicions.recorded_deaths[place] = now
            _record_death(world, died, now)


def _record_death(world: EntryWorld, died: EngineDied, now: float) -> None:
    """Looks for a killer among the suspects first, as it explains the death.

    Only a request that ran as a suspect has its further deaths counted: several
    upstreams lost at once may all have run the same harmless request.
    """
    produced = dict(zip(died.fingerprints, died.produced, strict=False))
    rerun = set(died.suspects)
    suspects = []
    for rank, (fingerprint, count) in enumerate(produced.items()):
        suspicion = world.suspicions.by_fingerprint.get(fingerprint)
        if suspicion is not None:
            suspicion.rank = rank
        if suspicion is not None and fingerprint in rerun:
            _add_death(suspicion, died, count, now)
            suspects.append(suspicion)
    killer = find_poison_request(world, suspects)
    if killer is not None:
        quarantine_request(world, killer, now)
        _remove_explained_deaths(world, killer)
        return
    for rank, (fingerprint, count) in enumerate(produced.items()):
        if fingerprint not in world.suspicions.by_fingerprint:
            suspicion = world.suspicions.find_suspicion(fingerprint)
            suspicion.rank = rank
            _add_death(suspicion, died, count, now)
    world.log_decision(
        "quarantine",
        "Upstream died, its requests are suspect.",
        upstream=died.upstream,
        suspects=len(died.fingerprints),
    )


def _add_death(
    suspicion: Suspicion, died: EngineDied, produced: int, now: float
) -> None:
    if suspicion.quarantined_until is None:
        death = Death(died.upstream, died.engine_incarnation, produced)
        suspicion.deaths.append(death)
        suspicion.last_death_at = now


def find_poison_request(
    world: EntryWorld, suspects: list[Suspicion]
) -> Suspicion | None:
    """Finds the one suspect that the death of an upstream must be the doing of.

    The evidence, strongest first: it died twice at the same point; it died again at
    once where it was continued; it died too often. Of several with
    the same evidence it is the one with the most deaths; equal ones are run once more.
    """
    policy = world.policy.quarantine
    open_suspects = [item for item in suspects if item.quarantined_until is None]
    again = [
        item
        for item in open_suspects
        if len(item.deaths) >= policy.deaths_to_quarantine
    ]
    often = [
        item for item in again if len(item.deaths) >= policy.deaths_without_pattern
    ]
    groups = [
        [item for item in again if _died_at_same_point(world, item)],
        [item for item in again if _died_immediately(world, item)],
        often,
    ]
    for group in groups:
        if group:
            most = max(len(item.deaths) for item in group)
            likely = [item for item in group if len(item.deaths) == most]
            return likely[0] if len(likely) == 1 else None
    return None


def _died_at_same_point(world: EntryWorld, suspicion: Suspicion) -> bool:
    """Tells whether the last two deaths came equally far from the start of a run."""
    policy = world.policy.quarantine
    first, second = suspicion.deaths[-2:]
    tolerance = max(policy.alike_tokens, policy.alike_share * first.produced)
    return abs(first.produced - second.produced) <= tolerance


def _died_immediately(world: EntryWorld, suspicion: Suspicion) -> bool:
    return suspicion.deaths[-1].produced <= world.policy.quarantine.at_once_tokens


def _remove_explained_deaths(world: EntryWorld, killer: Suspicion) -> None:
    """Takes the deaths that a killer explains off all other suspects."""
    table = world.suspicions
    explained = {(death.upstream, death.incarnation) for death in killer.deaths}
    for suspicion in table.list_not_quarantined():
        suspicion.deaths = [
            death
            for death in suspicion.deaths
            if (death.upstream, death.incarnation) not in explained
        ]
        if not suspicion.deaths:
            table.clear_suspicion(suspicion.fingerprint)


def quarantine_request(world: EntryWorld, suspicion: Suspicion, now: float) -> None:
    """Quarantines a fingerprint here, at the other entries and in the table."""
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
    """Takes over quarantines and clearances from the other entries."""
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
    """Clears generations that came further than where they were when one died."""
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
    """Gives generations with a quarantined fingerprint their final answer."""
    if not world.suspicions.by_fingerprint:
        return
    for generation in list(world.generations.by_request.values()):
        request = generation.request
        if refuse_quarantined(world, request.request_id, request.fingerprint, now):
            _cancel_attempt(world, generation)


def _cancel_attempt(world: EntryWorld, generation: Generation) -> None:
    """Removes a generation and stops its attempt, which must not be kept."""
    if generation.sidecar:
        cancel = CancelStream(
            generation.lineage, generation.attempt, generation.owner_epoch
        )
        world.emit(SendMessage(generation.sidecar, cancel))
        end_attempt(world, generation)
    world.generations.remove_generation(generation)


def end_quarantined_calls(world: EntryWorld, now: float) -> None:
    """Gives calls with a quarantined fingerprint their final answer."""
    if not world.suspicions.by_fingerprint:
        return
    for call in list(world.calls.by_request.values()):
        request = call.request
        if refuse_quarantined(world, request.request_id, request.fingerprint, now):
            end_call(world, call, "quarantined")


def expire_suspicions(world: EntryWorld, now: float) -> None:
    """Drops suspicions and quarantines that have lapsed."""
    policy = world.policy.quarantine
    table = world.suspicions
    for suspicion in list(table.by_fingerprint.values()):
        until = suspicion.quarantined_until
        if until is None:
            until = suspicion.last_death_at + policy.suspicion_s
        if now >= until:
            del table.by_fingerprint[suspicion.fingerprint]
    for place, last_death_at in list(table.recorded_deaths.items()):
        if now - last_death_at < policy.quarantine_s:
            break
        del table.recorded_deaths[place]


def send_quarantines_to_new_entries(world: EntryWorld, now: float) -> None:
    """Tells an entry that was started, or is heard again, of all quarantines."""
    told = world.suspicions.notified_entries
    for peer in world.peers.list_by_role("entry"):
        if peer.lost or not peer.incarnation:
            told.pop(peer.name, None)
        elif told.get(peer.name) != peer.incarnation:
            told[peer.name] = peer.incarnation
            _send_quarantines(world, peer.name, now)


def _send_quarantines(world: EntryWorld, entry: str, now: float) -> None:
    for suspicion in world.suspicions.by_fingerprint.values():
        if suspicion.quarantined_until is not None:
            left_s = suspicion.quarantined_until - now
            world.emit(SendMessage(entry, make_notice(suspicion, left_s)))


def read_quarantines(world: EntryWorld, now: float) -> None:
    """Reads the quarantines in the table, at the start and then at intervals."""
    table = world.suspicions
    for read in world.inbox.read_events(RowsRead):
        if read.token == table.scan_token and read.rows is not None:
            for row in read.rows:
                _apply_row(world, row.key, decode_quarantine(row.value), now)
    if now >= table.next_scan_at:
        interval_s = world.policy.quarantine.scan_interval_s
        table.next_scan_at = now + interval_s * world.random.uniform(0.8, 1.2)
        table.scan_token = world.make_id("quarantine-scan")
        world.emit(ScanRows(table.scan_token, QUARANTINE_TABLE))


def _apply_row(
    world: EntryWorld, fingerprint: str, row: QuarantineRow | None, now: float
) -> None:
    left_s = row.until - world.wall_clock(now) if row else 0.0
    if left_s > 0:
        limit_s = world.policy.quarantine.quarantine_s
        _apply_quarantine(world, fingerprint, now + min(left_s, limit_s))
    else:
        delete = Write(QUARANTINE_TABLE, fingerprint, None)
        world.emit(Transact(world.make_id("quarantine"), (), (delete,)))
