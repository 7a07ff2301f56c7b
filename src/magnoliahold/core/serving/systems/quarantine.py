"""Quarantines what crashes the upstreams that run it.

After `crashes_to_convict` crashes that have suspects in common, requests with all of
these are refused. Entries share quarantines, and keep them in the store for entries
that start later. Once its term is over, a quarantine is on trial: each entry in its
turn lets one request through at a time. If an upstream crashes under one, the
quarantine is in force again for twice as long; if one begins, it ends.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import evolve

from magnoliahold.core.effects import CountMetric
from magnoliahold.core.serving.convictions import (
    count_moments,
    count_needed,
    find_convictions,
    gather_crashes,
    group_by_suspect,
    is_nearly_enough,
    is_part_of_cause,
)
from magnoliahold.core.serving.effects import WriteQuarantine
from magnoliahold.core.serving.events import NoticeReceived
from magnoliahold.core.serving.feeds import Feed
from magnoliahold.core.serving.suspicions import (
    NAME_SEPARATOR,
    Quarantine,
    SuspicionTable,
    name_suspects,
)
from magnoliahold.core.serving.systems.trials import is_free_to_try, is_on_trial
from magnoliahold.core.serving.systems.turns import find_turn_s

if TYPE_CHECKING:
    from magnoliahold.core.serving.convictions import CrashEvidence
    from magnoliahold.core.serving.requests import ServedRequest
    from magnoliahold.core.serving.suspicions import QuarantineRecord
    from magnoliahold.core.serving.world import ServingWorld

MIN_LOGGED_CRASHES = 2


def is_refused(
    world: ServingWorld,
    suspects: frozenset[str],
    request: ServedRequest | None = None,
) -> bool:
    """Tells whether a request with these suspects is refused now.

    `request` is None before it was admitted.
    """
    return any(
        quarantine.suspects <= suspects
        and not is_free_to_try(world, quarantine, request)
        for quarantine in world.suspicions.quarantines.values()
    )


def is_in_force(world: ServingWorld, suspects: frozenset[str]) -> bool:
    """Tells whether a quarantine of these suspects is in force, not on trial."""
    return any(
        quarantine.suspects <= suspects and not is_on_trial(world, quarantine)
        for quarantine in world.suspicions.quarantines.values()
    )


def forget_suspicions(world: ServingWorld) -> None:
    """Forgets all evidence and all quarantines; requests are then refused too late."""
    world.suspicions = SuspicionTable()


def update_quarantines(world: ServingWorld, now: float) -> None:
    """Applies quarantines of other entries, and evaluates new evidence."""
    for received in world.inbox.read_events(NoticeReceived):
        for record in received.notice.quarantines:
            apply_quarantine_record(world, record, listed=False)
    if not world.scan_due:
        return
    _expire_quarantines(world)
    table = world.suspicions
    if table.evaluation_at is not None and now >= table.evaluation_at:
        table.evaluation_at = None
        table.unevaluated.clear()
        _evaluate(world, now)


def _evaluate(world: ServingWorld, now: float) -> None:
    table = world.suspicions
    policy = world.serving_policy.suspicion
    crashes = gather_crashes(table.reports.values(), table.begun_at, policy)
    _end_cleared_quarantines(world, now)
    _renew_quarantines(world, crashes)
    convictions = find_convictions(crashes, table.begun_at, policy)
    _withdraw_quarantines(world, crashes, convictions)
    for suspects in convictions:
        if not any(item.suspects <= suspects for item in table.quarantines.values()):
            convicted_at = _find_last_crash(world, suspects)
            quarantine_suspects(world, suspects, convicted_at)
    if not convictions:
        _log_strongest_suspect(world, crashes)
    limit = policy.crashes_to_convict - 1
    table.watched = frozenset(
        suspect
        for suspect, items in group_by_suspect(crashes).items()
        if len(items) >= limit and suspect not in table.begun_at
    )


def _log_strongest_suspect(world: ServingWorld, crashes: list[CrashEvidence]) -> None:
    """Logs the suspect with most crashes if they are several, but not enough."""
    by_suspect = group_by_suspect(crashes)
    suspect = max(by_suspect, key=lambda item: len(by_suspect[item]), default=None)
    if suspect is None or len(by_suspect[suspect]) < MIN_LOGGED_CRASHES:
        return
    policy = world.serving_policy.suspicion
    begun_at = world.suspicions.begun_at
    world.log_decision(
        "suspects",
        "Crashes are too few to quarantine.",
        suspect=suspect,
        crashes=len(by_suspect[suspect]),
        moments=count_moments((suspect,), by_suspect[suspect], policy.settle_s),
        needed=count_needed(suspect, begun_at, policy),
        begun=suspect in begun_at,
    )


def _find_last_crash(world: ServingWorld, suspects: frozenset[str]) -> float:
    return max(
        report.at
        for report in world.suspicions.reports.values()
        if suspects.issubset(report.suspects)
    )


def quarantine_suspects(
    world: ServingWorld,
    suspects: frozenset[str],
    convicted_at: float,
    term_s: float | None = None,
) -> None:
    """Quarantines requests with all of the suspects, and tells the other entries.

    An entry with evidence of its own also writes the quarantine to the store.
    """
    if term_s is None:
        term_s = world.serving_policy.suspicion.quarantine_s
    quarantine = Quarantine(suspects, round(convicted_at, 3), term_s)
    _add_quarantine(world, quarantine)
    world.other_entries.send_now = True
    world.emit(CountMetric("requests_quarantined"))
    world.log_decision(
        "suspects",
        "Requests quarantined.",
        suspects=name_suspects(suspects),
        term_s=term_s,
    )
    if _has_own_evidence(world, suspects):
        _write_quarantine(world, quarantine)


def _add_quarantine(world: ServingWorld, quarantine: Quarantine) -> None:
    """Adds a quarantine instead of those that refuse only some of its requests.

    If another one refuses more than that already, nothing changes.
    """
    table = world.suspicions.quarantines
    if any(item.suspects < quarantine.suspects for item in table.values()):
        return
    for name, other in list(table.items()):
        if other.suspects >= quarantine.suspects:
            del table[name]
    table[quarantine.name] = quarantine
    if len(table) > world.serving_policy.suspicion.max_quarantines:
        del table[min(table, key=lambda name: table[name].convicted_at)]


def _has_own_evidence(world: ServingWorld, suspects: frozenset[str]) -> bool:
    table = world.suspicions
    return any(
        suspects.issubset(table.reports[key].suspects) for key in table.own_reports
    )


def _write_quarantine(world: ServingWorld, quarantine: Quarantine) -> None:
    timeout_s = world.serving_policy.suspicion.write_timeout_s
    world.emit(WriteQuarantine(quarantine.record, timeout_s))


def _renew_quarantines(world: ServingWorld, crashes: list[CrashEvidence]) -> None:
    """Puts quarantines in force again under which a trial crashed an upstream."""
    policy = world.serving_policy.suspicion
    for quarantine in list(world.suspicions.quarantines.values()):
        crashed_at = max(
            (
                crash.at
                for crash in crashes
                if any(quarantine.suspects <= item for item in crash.requests)
            ),
            default=0.0,
        )
        if crashed_at > quarantine.over_at:
            term_s = min(2 * quarantine.term_s, policy.max_quarantine_s)
            quarantine_suspects(world, quarantine.suspects, crashed_at, term_s)


def _withdraw_quarantines(
    world: ServingWorld,
    crashes: list[CrashEvidence],
    convictions: list[frozenset[str]],
) -> None:
    """Takes back quarantines whose crashes are now explained otherwise.

    The first evidence may come from an entry that saw only what was beside the cause.
    A crash that two causes share counts for one conviction alone, so a quarantine
    stays while it lacks one crash at most.
    """
    table = world.suspicions
    policy = world.serving_policy.suspicion
    for name, quarantine in list(table.quarantines.items()):
        suspects = quarantine.suspects
        known = [crash for crash in crashes if crash.is_explained_by(suspects)]
        unexplained = [
            crash
            for crash in known
            if not any(crash.is_explained_by(group) for group in convictions)
        ]
        confirmed = any(
            group <= suspects or is_part_of_cause(suspects, group, crashes)
            for group in convictions
        )
        renewed = quarantine.term_s > policy.quarantine_s
        if renewed or confirmed or len(known) < policy.crashes_to_convict:
            continue
        if is_nearly_enough(suspects, unexplained, table.begun_at, policy):
            continue
        del table.quarantines[name]
        table.withdrawn[name] = quarantine.convicted_at
        if len(table.withdrawn) > policy.max_quarantines:
            del table.withdrawn[next(iter(table.withdrawn))]
        world.other_entries.send_now = True
        world.log_decision("suspects", "Quarantine withdrawn.", suspects=name)


def _end_cleared_quarantines(world: ServingWorld, now: float) -> None:
    """Takes suspects that have begun since out of quarantines.

    What is left of a quarantine is to blame alone, and is written to the store for
    entries that start later; if nothing is, it ends.
    """
    table = world.suspicions
    narrowed = []
    for name, quarantine in list(table.quarantines.items()):
        cleared = table.find_cleared(quarantine)
        if not cleared:
            continue
        del table.quarantines[name]
        for item in cleared:
            table.reported_clearances[item] = table.begun_at[item]
        world.other_entries.send_now = True
        world.log_decision(
            "suspects",
            "Quarantine ended or narrowed.",
            suspects=name,
            cleared=name_suspects(cleared),
        )
        left = quarantine.suspects - cleared
        if left:
            narrowed.append(evolve(quarantine, suspects=left, unlisted_since=now))
    # Not added within the loop: what is left of one may replace others that it visits.
    for quarantine in sorted(narrowed, key=lambda item: item.over_at):
        _add_quarantine(world, quarantine)


def apply_quarantine_record(
    world: ServingWorld, record: QuarantineRecord, listed: bool
) -> None:
    """Applies a quarantine of another entry, or one that the store lists.

    One that is over is left out. An entry with evidence of its own writes what the
    store may not list.
    """
    table = world.suspicions
    if _is_forgotten(world, record.convicted_at, record.term_s):
        return
    suspects = frozenset(
        item
        for item in record.fingerprint.split(NAME_SEPARATOR)
        if table.begun_at.get(item, 0.0) <= record.convicted_at
    )
    if not suspects:
        return
    name = name_suspects(suspects)
    if table.withdrawn.get(name, -math.inf) >= record.convicted_at:
        return
    known = table.quarantines.get(name)
    if known is not None and known.convicted_at >= record.convicted_at:
        return
    if any(item.suspects < suspects for item in table.quarantines.values()):
        return
    quarantine = Quarantine(suspects, record.convicted_at, record.term_s)
    _add_quarantine(world, quarantine)
    world.other_entries.send_now = True
    world.log_decision(
        "suspects", "Quarantine received.", suspects=name_suspects(suspects)
    )
    if not listed and _has_own_evidence(world, suspects):
        _write_quarantine(world, quarantine)


def _expire_quarantines(world: ServingWorld) -> None:
    """Forgets quarantines whose trial nobody took."""
    table = world.suspicions
    for name, quarantine in list(table.quarantines.items()):
        if _is_forgotten(world, quarantine.convicted_at, quarantine.term_s):
            del table.quarantines[name]


def _is_forgotten(world: ServingWorld, convicted_at: float, term_s: float) -> bool:
    """Tells whether a quarantine has been on trial for so long that it is dropped.

    Without it the request would have to crash several upstreams again.
    """
    trial_s = world.serving_policy.suspicion.max_quarantine_s
    return world.read_shared_time() >= convicted_at + term_s + trial_s


def schedule_unlisted_quarantines(
    world: ServingWorld, listed: set[str], now: float
) -> None:
    """Has quarantines written again that a restored store doesn't list."""
    for name, quarantine in world.suspicions.quarantines.items():
        if name in listed:
            quarantine.unlisted_since = None
        else:
            quarantine.unlisted_since = quarantine.unlisted_since or now


def rewrite_quarantines(world: ServingWorld, now: float) -> None:
    """Writes unlisted quarantines again.

    Each entry leaves that to those ranked before it for a while, and reads the table
    again before its own turn.
    """
    if not world.scan_due:
        return
    feed = world.feeds[Feed.QUARANTINE]
    for name, quarantine in world.suspicions.quarantines.items():
        since = quarantine.unlisted_since
        if since is None or feed.version is None:
            continue
        turn_s = find_turn_s(world, name)
        if now - since < turn_s:
            continue
        if turn_s and feed.called_at < since + turn_s:
            feed.version = None
            feed.restored = True
            continue
        quarantine.unlisted_since = None
        _write_quarantine(world, quarantine)
        world.log_decision("suspects", "Quarantine written again.", quarantine=name)


def list_quarantines(world: ServingWorld) -> tuple[QuarantineRecord, ...]:
    """Lists the quarantines in force or new on trial, for notices.

    Entries know older ones by then, or read them in the store as they start.
    """
    shared_time = world.read_shared_time()
    return tuple(
        item.record
        for item in world.suspicions.quarantines.values()
        if shared_time < item.convicted_at + 2 * item.term_s
    )
