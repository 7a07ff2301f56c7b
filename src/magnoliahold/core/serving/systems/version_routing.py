"""Chooses the version that serves a request while its service moves to another."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import evolve

from magnoliahold.core.moves import GOLDEN_STEP, MoveState
from magnoliahold.core.serving.upstreams import UpstreamHealth

if TYPE_CHECKING:
    from magnoliahold.core.serving.moves import Exposure, VersionMove
    from magnoliahold.core.serving.requests import Attempt, ServedRequest
    from magnoliahold.core.serving.upstreams import Upstream
    from magnoliahold.core.serving.world import ServingWorld


def choose_version(world: ServingWorld, request: ServedRequest) -> None:
    """Decides whether a request goes to the new version of its service.

    A retry goes to the new version only once the move is done.
    """
    move = world.moves.by_service.get(request.service)
    if move is None:
        request.prefers_new_version = None
        return
    share = find_new_version_share(world, move)
    if share in (0.0, 1.0) or request.send_count:
        request.prefers_new_version = share == 1.0
    elif request.prefers_new_version is None:
        request.prefers_new_version = _pick_by_golden_ratio(world, move, share)


def _pick_by_golden_ratio(world: ServingWorld, move: VersionMove, share: float) -> bool:
    """Picks by golden ratio steps, which space the new version's requests evenly."""
    position = (
        world.random.random()
        if move.selection_position is None
        else move.selection_position
    )
    move.selection_position = (position + GOLDEN_STEP) % 1.0
    return move.selection_position < share


def find_new_version_share(world: ServingWorld, move: VersionMove) -> float:
    """Returns the share of first attempts that go to the new version.

    The share is 0 once the new version has had as many requests, summed over all
    entries, as a bad version may get. Below that limit it grows after some requests
    were answered, or late in the move. With evidence against the version it grows only
    while the version has had few requests, since these decide.
    """
    record = move.record
    if record is None or move.version_suspended:
        return 0.0
    if record.state is MoveState.DONE:
        return 1.0
    policy = world.serving_policy.moves
    exposure = move.sum_exposures()
    total = exposure.sent_old + exposure.sent_new
    allowed = policy.exposure_share * total + policy.exposure_extra
    if exposure.sent_new >= allowed * policy.allowed_part:
        return 0.0
    analysis = move.analysis
    in_doubt = analysis.suspicion >= world.policy.moves.doubt_evidence
    if in_doubt and exposure.sent_new >= policy.exposure_in_doubt:
        return policy.canary_share
    enough_answers = analysis.answered >= policy.answers_to_grow
    if enough_answers or _is_late(world, move):
        return _find_grown_share(world, move, exposure)
    return policy.canary_share


def _find_grown_share(
    world: ServingWorld, move: VersionMove, exposure: Exposure
) -> float:
    """Finds the share with which a grown version gets enough requests to be judged.

    With few requests that takes a larger share of those until the end of the move.
    """
    policy = world.serving_policy.moves
    elapsed_s = _measure_elapsed(world, move)
    left_s = move.order.over_s - policy.decide_before_s - elapsed_s
    missing = policy.requests_to_judge - exposure.sent_new
    sent = exposure.sent_old + exposure.sent_new
    if elapsed_s <= 0 or left_s <= 0 or not sent:
        return policy.grown_share
    expected = sent / elapsed_s * left_s
    return min(policy.largest_share, max(policy.grown_share, missing / expected))


def _is_late(world: ServingWorld, move: VersionMove) -> bool:
    """Checks whether too little time is left to gather results at the canary share."""
    late_s = world.serving_policy.moves.late_part * move.order.over_s
    return _measure_elapsed(world, move) >= late_s


def _measure_elapsed(world: ServingWorld, move: VersionMove) -> float:
    """Measures the seconds since a move began; 0 while that isn't known."""
    store_time = world.read_store_time()
    if store_time is None or move.record is None:
        return 0.0
    return store_time - move.record.began_at


def filter_by_version(
    world: ServingWorld, request: ServedRequest, upstreams: list[Upstream], now: float
) -> list[Upstream]:
    """Keeps the upstreams of the version that should serve a request.

    If none of them is usable, the other version serves, but a suspended one only if
    there is no upstream of the old version at all.
    """
    move = world.moves.by_service.get(request.service)
    if move is None:
        return _exclude_new_versions(world, upstreams, now)
    new = [item for item in upstreams if runs_new_version(move, item)]
    old = [item for item in upstreams if not runs_new_version(move, item)]
    if request.prefers_new_version:
        return new if _has_healthy(new) else old or new
    if _has_healthy(old) or (move.version_suspended and old):
        return old
    return new or old


def runs_new_version(move: VersionMove, upstream: Upstream) -> bool:
    """Checks whether an upstream runs the version that a move goes to."""
    return upstream.record.version == move.order.to_version


def _has_healthy(upstreams: list[Upstream]) -> bool:
    return any(item.health is UpstreamHealth.HEALTHY for item in upstreams)


def _exclude_new_versions(
    world: ServingWorld, upstreams: list[Upstream], now: float
) -> list[Upstream]:
    """Excludes versions that have just appeared: their move order may yet arrive.

    Upstreams and orders are read separately, and either may be read first.
    """
    hold_s = world.serving_policy.moves.hold_s
    first_seen_at = world.upstreams.versions_first_seen_at
    established = [
        item
        for item in upstreams
        if now - first_seen_at.get((item.record.service, item.record.version), 0.0)
        >= hold_s
    ]
    return established if _has_healthy(established) else upstreams


def matches_resume_version(
    world: ServingWorld, request: ServedRequest, item: Upstream
) -> bool:
    """Checks whether an upstream runs the version at which a stream should be resumed.

    That is the new one unless it is suspended, since the old upstreams stop when the
    move is done.
    """
    move = world.moves.by_service.get(request.service)
    if move is None or move.record is None:
        return True
    return runs_new_version(move, item) is not move.version_suspended


def is_version_suspended(world: ServingWorld, upstream: Upstream) -> bool:
    """Checks whether an upstream runs a version that gets no more requests."""
    move = world.moves.by_service.get(upstream.record.service)
    return (
        move is not None and move.version_suspended and runs_new_version(move, upstream)
    )


def count_exposure(world: ServingWorld, attempt: Attempt) -> None:
    """Counts an attempt towards the exposure of its version."""
    move = world.moves.by_service.get(attempt.request.service)
    if move is None or move.ended:
        return
    exposure = move.own_exposure
    if runs_new_version(move, attempt.upstream):
        move.own_exposure = evolve(exposure, sent_new=exposure.sent_new + 1)
    else:
        move.own_exposure = evolve(exposure, sent_old=exposure.sent_old + 1)
