"""Gathers evidence about requests that crash the upstreams that run them.

A request is under suspicion if its upstream crashed before it began there: one that
has begun doesn't crash its upstream any more. Entries share what they observe, and
also when a suspect has begun somewhere.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import evolve

from magnoliahold.core.serving.convictions import gather_crashes, group_by_suspect
from magnoliahold.core.serving.events import NoticeReceived
from magnoliahold.core.serving.names import bound_name
from magnoliahold.core.serving.requests import AttemptState
from magnoliahold.core.serving.suspicions import (
    NAME_SEPARATOR,
    Clearance,
    CrashReport,
    UnsettledReport,
)
from magnoliahold.core.serving.upstreams import UpstreamHealth

if TYPE_CHECKING:
    from magnoliahold.core.serving.requests import Attempt
    from magnoliahold.core.serving.world import ServingWorld


# A request that was given up left no broken connection as a second sign of a crash.
FAILURES_TO_CONFIRM = 2


def has_begun(world: ServingWorld, attempt: Attempt, now: float) -> bool:
    """Tells whether an upstream has lived on after the first piece of an attempt."""
    if attempt.first_piece_at is None:
        return False
    lived_s = now - attempt.first_piece_at
    return lived_s >= world.serving_policy.suspicion.begun_after_s


def record_reset(world: ServingWorld, attempt: Attempt, now: float) -> None:
    """Records that the connection of an attempt was reset.

    Only a request that had not begun there may have crashed the upstream.
    """
    caller = attempt.request.caller
    world.log_decision(
        "suspects",
        "Connection was reset under a request.",
        request=caller.request_id,
        upstream=attempt.upstream.id,
        pieces=attempt.pieces,
        resumed=attempt.resumed_from is not None,
        prompt=",".join(f"{part.id}:{part.tokens}" for part in caller.prompt),
    )
    if has_begun(world, attempt, now):
        return
    unsettled = _make_unsettled(world, attempt, now)
    if unsettled is not None:
        world.suspicions.unsettled_resets.append(unsettled)


def record_departure(world: ServingWorld, attempt: Attempt, now: float) -> None:
    """Records that an attempt is given up; the upstream may crash by it even so.

    One that is known to be down already may have crashed by it, unless it answers its
    next probe: a process at its limit of connections resets a probe as well.
    """
    if attempt.state is AttemptState.CONNECTING or has_begun(world, attempt, now):
        return
    unsettled = _make_unsettled(world, attempt, now)
    if unsettled is None:
        return
    if attempt.upstream.health is UpstreamHealth.DOWN:
        unconfirmed = evolve(unsettled, failures_needed=FAILURES_TO_CONFIRM)
        world.suspicions.unsettled_resets.append(unconfirmed)
    else:
        world.suspicions.departures.append(unsettled)


def _make_unsettled(
    world: ServingWorld, attempt: Attempt, now: float
) -> UnsettledReport | None:
    request = attempt.request
    if not request.suspects:
        return None
    record = attempt.upstream.record
    at = world.read_shared_time()
    sent_s = 0.0 if attempt.sent_at is None else now - attempt.sent_at
    report = CrashReport(
        record.id,
        record.born_ms,
        bound_name(request.id),
        tuple(sorted(request.suspects)),
        round(at, 3),
        round(at - sent_s, 3),
    )
    return UnsettledReport(report, attempt.upstream, now)


def record_begin(world: ServingWorld, attempt: Attempt, now: float) -> None:
    """Records that a request has begun at an upstream, which lives on.

    A call that was answered has begun after it was sent.
    """
    begun_at = attempt.first_piece_at or attempt.sent_at
    if begun_at is None:
        return
    at = round(world.read_shared_time() - (now - begun_at), 3)
    for suspect in attempt.request.suspects:
        add_clearance(world, Clearance(suspect, at), now)


def add_clearance(world: ServingWorld, clearance: Clearance, now: float) -> None:
    """Adds that a suspect has begun; crashes before that are not by it alone."""
    table = world.suspicions
    before = table.begun_at.pop(clearance.suspect, None)
    at = clearance.at if before is None else max(before, clearance.at)
    table.begun_at[clearance.suspect] = at
    if len(table.begun_at) > world.serving_policy.suspicion.max_begun:
        del table.begun_at[next(iter(table.begun_at))]
    if at != before and table.is_suspected(clearance.suspect):
        schedule_evaluation(world, now)


def add_report(world: ServingWorld, report: CrashReport, now: float) -> None:
    """Adds a report of this or another entry; the oldest is dropped beyond a limit."""
    table = world.suspicions
    if report.key in table.reports:
        return
    table.reports[report.key] = report
    table.unevaluated.append(report)
    if len(table.reports) > world.serving_policy.suspicion.max_reports:
        oldest = next(iter(table.reports))
        del table.reports[oldest]
        table.own_reports.pop(oldest, None)
    schedule_evaluation(world, now)
    world.log_decision(
        "suspects",
        "Upstream crashed under a request that had not begun.",
        request=report.request_id,
        upstream=report.upstream_id,
        suspects=NAME_SEPARATOR.join(report.suspects),
    )


def schedule_evaluation(world: ServingWorld, now: float) -> None:
    """Has the evidence evaluated once that of other entries has had time to arrive."""
    table = world.suspicions
    if table.evaluation_at is None:
        table.evaluation_at = now + world.serving_policy.suspicion.gather_s


def gather_evidence(world: ServingWorld, now: float) -> None:
    """Applies the evidence of other entries, and settles resets of this one."""
    for received in world.inbox.read_events(NoticeReceived):
        for clearance in received.notice.clearances:
            add_clearance(world, clearance, now)
        for report in received.notice.crash_reports:
            add_report(world, report, now)
    if not world.scan_due:
        return
    _settle_resets(world, now)
    _settle_departures(world, now)
    _expire_reports(world)


def _settle_resets(world: ServingWorld, now: float) -> None:
    """Reports the resets of upstreams that are down; one that answers has not crashed.

    An upstream that was leaving has ended as planned, and one that is silent has lost
    power or is cut off: the host of a crashed process refuses connections.
    """
    table = world.suspicions
    settle_max_s = world.serving_policy.suspicion.settle_max_s
    unsettled = []
    for item in table.unsettled_resets:
        upstream = item.upstream
        if upstream.health is UpstreamHealth.HEALTHY or upstream.leaving:
            continue
        if _is_crash(world, item):
            _add_own_report(world, item, now)
        elif now - item.at <= settle_max_s:
            unsettled.append(item)
    table.unsettled_resets = unsettled


def _is_crash(world: ServingWorld, item: UnsettledReport) -> bool:
    """Tells whether an upstream has crashed, as far as is known.

    One whose registration is gone or replaced is not probed any more.
    """
    upstream = item.upstream
    if upstream.health is not UpstreamHealth.DOWN or upstream.silent:
        return False
    is_registered = world.upstreams.by_id.get(upstream.id) is upstream
    return not is_registered or upstream.failed_probes >= item.failures_needed


def _settle_departures(world: ServingWorld, now: float) -> None:
    """Reports departures from upstreams that crashed right after them."""
    table = world.suspicions
    if not table.departures:
        return
    settle_s = world.serving_policy.suspicion.settle_s
    crashed_at = {item.crash: item.at for item in table.reports.values()}
    open_departures = []
    for item in table.departures:
        at = crashed_at.get(item.report.crash)
        if at is not None and abs(at - item.report.at) <= settle_s:
            _add_own_report(world, item, now)
        elif now - item.at <= world.serving_policy.suspicion.settle_max_s:
            open_departures.append(item)
    table.departures = open_departures


def _add_own_report(world: ServingWorld, item: UnsettledReport, now: float) -> None:
    table = world.suspicions
    if item.report.key in table.reports:
        return
    table.own_reports[item.report.key] = world.read_shared_time()
    world.other_entries.send_now = True
    add_report(world, item.report, now)


def _expire_reports(world: ServingWorld) -> None:
    table = world.suspicions
    if not table.reports:
        return
    since = world.read_shared_time() - world.serving_policy.suspicion.crash_kept_s
    for key, report in list(table.reports.items()):
        if report.at < since:
            del table.reports[key]
            table.own_reports.pop(key, None)
    if not table.reports:
        table.watched = frozenset()


def list_crash_reports(world: ServingWorld) -> tuple[CrashReport, ...]:
    """Lists this entry's recently settled reports, for notices."""
    table = world.suspicions
    if not table.own_reports:
        return ()
    since = world.read_shared_time() - world.serving_policy.suspicion.reported_s
    recent = [
        table.reports[key]
        for key, settled_at in table.own_reports.items()
        if settled_at >= since
    ]
    return tuple(sorted(recent, key=lambda report: (report.at, report.key)))


def _find_newest_crashes(world: ServingWorld) -> dict[str, float]:
    """Finds when upstreams last crashed under each suspect with two crashes or more."""
    reports = world.suspicions.reports.values()
    crashes = gather_crashes(reports, {}, world.serving_policy.suspicion)
    newest: dict[str, float] = {}
    for report in reports:
        for suspect in report.suspects:
            newest[suspect] = max(report.at, newest.get(suspect, report.at))
    return {
        suspect: newest[suspect]
        for suspect, items in group_by_suspect(crashes).items()
        if len(items) > 1
    }


def list_clearances(world: ServingWorld) -> tuple[Clearance, ...]:
    """Lists the suspects that have begun, for notices.

    A popular suspect begins all the time; it is listed anew only when that clears it of
    another crash, and not before its second one, since one convicts nothing.
    """
    table = world.suspicions
    if not table.reports and not table.reported_clearances:
        return ()
    newest = _find_newest_crashes(world)
    for suspect, crashed_at in newest.items():
        begun_at = table.begun_at.get(suspect)
        reported_at = table.reported_clearances.get(suspect)
        if begun_at is None:
            continue
        if reported_at is None or reported_at < crashed_at <= begun_at:
            table.reported_clearances[suspect] = begun_at
    since = world.read_shared_time() - world.serving_policy.suspicion.reported_s
    clearances = [
        Clearance(suspect, at)
        for suspect, at in table.reported_clearances.items()
        if suspect in newest or at >= since
    ]
    table.reported_clearances = {item.suspect: item.at for item in clearances}
    return tuple(sorted(clearances, key=lambda item: (item.at, item.suspect)))
