"""Passes on proofs of the newest configuration, so that few entries ask the store.

Credentials are accepted only while the configuration in force is proved to be the
newest. Where there are many entries, a few of them, the readers, ask the store often
and pass on what it proves; the others ask seldom, and often only while no proof comes.
Every entry still gets changes from the store itself, by a long poll.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.effects import CountMetric
from magnoliahold.core.moves import count_ranked_before
from magnoliahold.core.serving.effects import SendProofs
from magnoliahold.core.serving.events import ProofReceived
from magnoliahold.core.serving.feeds import Feed
from magnoliahold.core.serving.proofs import ConfigurationProof, SeenNotice, SentNotice

if TYPE_CHECKING:
    from magnoliahold.core.serving.peers import PeerRecord
    from magnoliahold.core.serving.world import ServingWorld

RANKED_ROW = "configuration"
# How long a poll waits in a process that has just started after a restore.
JOINING_WAIT_S = 0.2


def apply_proofs(world: ServingWorld, now: float) -> None:
    """Applies the proofs that readers have passed on."""
    for received in world.inbox.read_events(ProofReceived):
        _apply_proof(world, received.proof, now)
    if world.scan_due:
        _hasten_overdue_read(world, now)


def _apply_proof(world: ServingWorld, proof: ConfigurationProof, now: float) -> None:
    configuration = world.configuration
    if proof.incarnation != world.identity.incarnation or configuration is None:
        return
    if proof.epoch != world.store_epoch.number:
        return
    sent_at_s = world.proofs.find_sent_at(proof.serial)
    if proof.version > configuration.version:
        world.feeds[Feed.CONFIGURATION].outdated = True
        read_soon(world, "another entry knows a newer configuration", now)
    elif (
        proof.version == configuration.version
        and sent_at_s is not None
        and world.awaited_configuration is None
    ):
        state = world.feeds[Feed.CONFIGURATION]
        state.proved_at = max(sent_at_s, state.proved_at or sent_at_s)
        state.relayed_at = now
        world.emit(CountMetric("proofs_received"))


def _hasten_overdue_read(world: ServingWorld, now: float) -> None:
    """Reads the configuration itself if no proof came for a while."""
    state = world.feeds[Feed.CONFIGURATION]
    if state.relayed_at is None:
        return
    age_s = world.measure_proof_age()
    if age_s is not None and age_s <= world.serving_policy.relay.max_age_s:
        return
    state.relayed_at = None
    read_soon(world, "no proof was passed on", now)


def find_settled_epoch(world: ServingWorld) -> int | None:
    """Returns the store's epoch if this entry has a proof in it, for notices."""
    proved_at = world.feeds[Feed.CONFIGURATION].proved_at
    if world.awaited_configuration is not None or proved_at is None:
        return None
    return world.store_epoch.number


def read_soon(world: ServingWorld, reason: str, now: float) -> None:
    """Gives up a long poll of the configuration, and asks anew without delay.

    A read that doesn't wait for a change goes on: where it takes longer than the time
    between two changes, none would ever end.
    """
    state = world.feeds[Feed.CONFIGURATION]
    if state.version is None or state.failing_since is not None:
        return
    if state.call and state.answer_at_once:
        return
    if state.call and now - state.called_at < world.serving_policy.relay.min_call_s:
        return
    state.call = 0
    state.next_call_at = now
    state.answer_at_once = True
    world.log_decision(
        "store", "Configuration is read again.", reason=reason, version=state.version
    )


def choose_configuration_wait_s(world: ServingWorld, now: float) -> float:
    """Chooses how long the next poll of the configuration waits for a change.

    After a restore of the store it waits no longer than until what the restore lost is
    back, and the first one after that doesn't wait, since it may be the proof. A
    process that has just started polls often, since another entry may tell of a proof.
    """
    state = world.feeds[Feed.CONFIGURATION]
    if state.answer_at_once:
        return 0.0
    wait_s = _choose_steady_wait_s(world)
    risen_at = world.store_epoch.risen_at
    if risen_at is None:
        return wait_s
    awaits = world.awaited_configuration is not None
    if state.proved_at is None:
        return JOINING_WAIT_S if awaits or _is_joining(world) else 0.0
    if not awaits:
        return wait_s
    back_at = risen_at + world.serving_policy.feeds.restore_grace_s
    if state.called_at >= back_at:
        return wait_s
    return min(wait_s, max(0.0, back_at - now))


def _is_joining(world: ServingWorld) -> bool:
    """Tells whether this process has started in an epoch that may be new."""
    return world.boot_clock() < world.store_epoch.proves_from_s


def _choose_steady_wait_s(world: ServingWorld) -> float:
    policy = world.serving_policy
    if is_reader(world):
        return policy.relay.reader_wait_s
    if world.feeds[Feed.CONFIGURATION].relayed_at is not None:
        return policy.relay.follower_wait_s
    return policy.feeds.configuration_wait_s


def is_reader(world: ServingWorld) -> bool:
    """Tells whether this entry passes on proofs.

    It does if it is among the first by rank of those from which notices come.
    """
    policy = world.serving_policy.relay
    heard = [
        name
        for name, peer in world.other_entries.by_name.items()
        if peer.notice is not None
    ]
    if len(heard) + 1 < policy.min_entries or world.leaving_since is not None:
        return False
    rank = count_ranked_before(RANKED_ROW, world.identity.name, heard)
    return rank < policy.readers


def record_seen_notices(world: ServingWorld) -> None:
    """Records which notices were received before the next read is sent."""
    world.proofs.seen.clear()
    if not is_reader(world):
        return
    for name, peer in world.other_entries.by_name.items():
        if peer.notice is not None:
            seen = SeenNotice(peer.record.incarnation, peer.notice.serial)
            world.proofs.seen[name] = seen


def record_sent_notice(world: ServingWorld, serial: int) -> None:
    """Records when a notice of this entry was sent."""
    world.proofs.own_notices.append(SentNotice(serial, world.boot_clock()))


def pass_on_proof(world: ServingWorld) -> None:
    """Passes on a proof to the entries whose notices came before its read."""
    configuration = world.configuration
    if configuration is None or not world.proofs.seen:
        return
    messages: list[tuple[PeerRecord, ConfigurationProof]] = []
    for name, seen in world.proofs.seen.items():
        peer = world.other_entries.by_name.get(name)
        if peer is None or peer.record.incarnation != seen.incarnation:
            continue
        proof = ConfigurationProof(
            world.identity.name,
            seen.incarnation,
            seen.serial,
            configuration.version,
            world.store_epoch.number,
        )
        messages.append((peer.record, proof))
    world.emit(SendProofs(tuple(messages)))
    world.emit(CountMetric("proofs_sent", len(messages)))
