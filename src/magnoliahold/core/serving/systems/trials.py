"""Lets through few requests under suspicion: one more crash decides about them.

A quarantine is on trial once its term is over: the entries try it in turns. A suspect
is watched while it lacks one crash to be quarantined.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.moves import count_ranked_before
from magnoliahold.core.serving.suspicions import (
    NAME_SEPARATOR,
    is_part,
    name_suspects,
)

if TYPE_CHECKING:
    from magnoliahold.core.serving.requests import ServedRequest
    from magnoliahold.core.serving.suspicions import Quarantine
    from magnoliahold.core.serving.world import ServingWorld


def must_wait_for_trial(world: ServingWorld, request: ServedRequest) -> bool:
    """Tells whether a request waits until another one with a watched suspect begins.

    One more crash decides about such suspects, so it takes only one request. Sound
    requests may share a part, so it is tried at several entries at once.
    """
    for item in world.suspicions.watched & request.suspects:
        suspects = frozenset((item,))
        if _is_tried(world, suspects, request):
            return True
        if not is_part(item) and _is_tried_elsewhere(world, suspects):
            return True
    return False


def is_free_to_try(
    world: ServingWorld, quarantine: Quarantine, request: ServedRequest | None
) -> bool:
    """Tells whether a quarantine is on trial, and no other request is trying it."""
    if not is_on_trial(world, quarantine):
        return False
    suspects = quarantine.suspects
    tried = _is_tried(world, suspects, request) or _is_tried_elsewhere(world, suspects)
    return not tried


def is_on_trial(world: ServingWorld, quarantine: Quarantine) -> bool:
    """Tells whether the term of a quarantine is over, and it is this entry's turn."""
    policy = world.serving_policy.suspicion
    rank = count_ranked_before(
        quarantine.name, world.identity.name, world.other_entries.by_name
    )
    turn_s = min(rank, policy.max_trial_turns) * policy.trial_turn_s
    return world.read_shared_time() >= quarantine.over_at + turn_s


def _is_tried(
    world: ServingWorld, suspects: frozenset[str], besides: ServedRequest | None
) -> bool:
    """Tells whether it is still open if a request with all suspects has crashed."""
    table = world.suspicions
    has_attempt = any(
        not attempt.begun
        and attempt.request is not besides
        and suspects <= attempt.request.suspects
        for attempt in world.requests.attempts.values()
    )
    return has_attempt or table.is_unsettled(suspects)


def _is_tried_elsewhere(world: ServingWorld, suspects: frozenset[str]) -> bool:
    """Tells whether another entry says that it tries a request with all suspects."""
    name = name_suspects(suspects)
    return any(
        peer.notice is not None and name in peer.notice.trials
        for peer in world.other_entries.by_name.values()
    )


def list_trials(world: ServingWorld) -> tuple[str, ...]:
    """Lists the names of what this entry tries, for notices."""
    table = world.suspicions
    on_trial = [
        quarantine.suspects
        for quarantine in table.quarantines.values()
        if is_on_trial(world, quarantine)
    ]
    watched = [frozenset((item,)) for item in table.watched if not is_part(item)]
    return tuple(
        sorted(
            name_suspects(suspects)
            for suspects in (*on_trial, *watched)
            if _is_tried(world, suspects, None)
        )
    )


def announce_trial(world: ServingWorld, request: ServedRequest) -> None:
    """Tells the other entries at once if a request that is sent is a trial."""
    table = world.suspicions
    if not table.quarantines and not table.watched:
        return
    if any(
        frozenset(name.split(NAME_SEPARATOR)) <= request.suspects
        for name in list_trials(world)
    ):
        world.other_entries.send_now = True
