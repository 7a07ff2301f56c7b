"""Runs suspect requests apart from one another and refuses quarantined ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.effects import CountMetric, RefuseRequest, SendMessage
from magnoliahold.wire.messages import SuspicionNotice

if TYPE_CHECKING:
    from magnoliahold.core.peers import Peer
    from magnoliahold.core.quarantine import Suspicion
    from magnoliahold.core.worlds import EntryWorld

MIN_RETRY_AFTER_S = 1.0


def refuse_quarantined(
    world: EntryWorld, request_id: str, fingerprint: str, now: float
) -> bool:
    """Refuses a request whose fingerprint is quarantined; returns whether it did."""
    suspicion = world.suspicions.by_fingerprint.get(fingerprint)
    if suspicion is None or suspicion.quarantined_until is None:
        return False
    left_s = suspicion.quarantined_until - now
    if left_s <= 0:
        return False
    refusal = RefuseRequest(
        request_id,
        status=422,
        code="quarantined",
        message="upstreams crashed whenever they ran this request; change it",
        ran="may_have_run",
        retry_after_s=round(max(left_s, MIN_RETRY_AFTER_S), 1),
    )
    world.emit(refusal)
    world.emit(CountMetric("quarantined_refused"))
    return True


def is_suspect(world: EntryWorld, fingerprint: str) -> bool:
    """Returns whether a request must run apart from other suspects."""
    return fingerprint in world.suspicions.by_fingerprint


def select_suspect_upstream(
    world: EntryWorld, fingerprint: str, candidates: list[Peer]
) -> list[Peer]:
    """Selects the candidates with the fewest suspects; for a suspect, at most one.

    Entries select without coordination: the suspects of one death have the same ranks
    at all entries, and each suspect is sent to the upstream at its rank, or to the next
    one after it that has the fewest suspects.
    """
    suspicion = world.suspicions.by_fingerprint.get(fingerprint)
    fewest = _find_fewest_suspects(world, candidates)
    if suspicion is None or not candidates:
        return fewest
    failed_upstream = suspicion.deaths[-1].upstream if suspicion.deaths else ""
    ordered = sorted(
        _list_equivalent(world, candidates[0], failed_upstream),
        key=lambda peer: peer.name,
    )
    first = suspicion.rank % len(ordered)
    rotated = [*ordered[first:], *ordered[:first]]
    return [peer for peer in rotated if peer in fewest][:1]


def _list_equivalent(
    world: EntryWorld, example: Peer, failed_upstream: str
) -> list[Peer]:
    """Lists the usable sidecars of the same kind and role, the same at all entries.

    The upstream of the last death is left out, unless it is that of `example`.
    """
    return [
        peer
        for peer in world.peers.list_by_role("sidecar")
        if peer is example
        or (peer.usable and _is_equivalent(peer, example, failed_upstream))
    ]


def _is_equivalent(peer: Peer, example: Peer, failed_upstream: str) -> bool:
    if (
        peer.report is None
        or example.report is None
        or peer.report.name == failed_upstream
    ):
        return False
    same_kind = peer.report.kind == example.report.kind
    return same_kind and peer.report.role == example.report.role


def _find_fewest_suspects(world: EntryWorld, candidates: list[Peer]) -> list[Peer]:
    own = _count_own_suspects(world)

    def count(peer: Peer) -> int:
        reported = peer.report.suspects if peer.report else 0
        return max(reported, own.get(peer.name, 0))

    fewest = min((count(peer) for peer in candidates), default=0)
    return [peer for peer in candidates if count(peer) == fewest]


def _count_own_suspects(world: EntryWorld) -> dict[str, int]:
    counts: dict[str, int] = {}
    for generation in world.generations.by_request.values():
        if generation.suspect and generation.sidecar:
            counts[generation.sidecar] = counts.get(generation.sidecar, 0) + 1
    for call in world.calls.by_request.values():
        for dispatch in call.in_flight.values() if call.suspect else ():
            counts[dispatch.sidecar] = counts.get(dispatch.sidecar, 0) + 1
    return counts


def clear_request(world: EntryWorld, fingerprint: str) -> None:
    """Clears a suspect that ran without a crash, here and at the other entries."""
    suspicion = world.suspicions.by_fingerprint.get(fingerprint)
    if suspicion is not None and world.suspicions.clear_suspicion(fingerprint):
        suspicion.deaths.clear()
        broadcast_notice(world, suspicion, 0.0)


def broadcast_notice(
    world: EntryWorld, suspicion: Suspicion, seconds_left: float
) -> None:
    """Sends the state of a suspicion to every other entry."""
    notice = make_notice(suspicion, seconds_left)
    for peer in world.peers.list_by_role("entry"):
        world.emit(SendMessage(peer.name, notice))


def make_notice(suspicion: Suspicion, seconds_left: float) -> SuspicionNotice:
    """Builds the message that shares a suspicion, a quarantine or a clearance."""
    return SuspicionNotice(
        fingerprint=suspicion.fingerprint,
        deaths=len(suspicion.deaths),
        quarantined=suspicion.quarantined_until is not None,
        seconds_left=seconds_left,
    )
