"""Puts configurations into force, and proves which one is the operators' newest."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import evolve

from magnoliahold.core.serving.configuration import ListedConfiguration
from magnoliahold.core.serving.effects import SetCallerLimits
from magnoliahold.core.serving.feeds import Feed
from magnoliahold.core.serving.systems.proof_relay import pass_on_proof

if TYPE_CHECKING:
    from magnoliahold.core.serving.configuration import Configuration
    from magnoliahold.core.serving.world import ServingWorld


def apply_configuration(
    world: ServingWorld, configuration: Configuration, row_version: int
) -> None:
    """Puts a configuration from the store into force unless it is an older one."""
    world.listed_configuration = ListedConfiguration(configuration.version, row_version)
    current = world.configuration
    if current is not None and configuration.version <= current.version:
        return
    world.configuration = configuration
    world.emit(SetCallerLimits(configuration.limits))
    world.log_decision(
        "configuration",
        "Configuration in force.",
        version=configuration.version,
        before=current.version if current else None,
        routes=len(configuration.routes),
        workspaces=len(configuration.workspaces or ()),
        needs_credentials=configuration.workspaces is not None,
    )


def await_configuration(world: ServingWorld) -> None:
    """Starts to wait for the operators' newest configuration after a restore.

    If a second restore follows before it was there, the version of its row tells
    nothing any more.
    """
    awaited = world.awaited_configuration
    if awaited is not None:
        world.awaited_configuration = evolve(awaited, row_version=None)
    else:
        world.awaited_configuration = world.listed_configuration
    world.listed_configuration = None


def record_proof(world: ServingWorld, sent_at: float, now: float) -> None:
    """Records that a read proved the configuration in force to be the newest.

    `sent_at` is when the read was sent, on the boot clock.
    """
    if sent_at < world.store_epoch.proves_from_s:
        return
    if world.awaited_configuration is not None:
        if not _is_newest_listed(world, sent_at):
            return
        world.awaited_configuration = None
        world.log_decision(
            "configuration",
            "Configuration is proved again after a restore of the store.",
            version=world.configuration.version if world.configuration else None,
            after_s=round(now - (world.store_epoch.risen_at or now), 3),
        )
    state = world.feeds[Feed.CONFIGURATION]
    state.proved_at = max(sent_at, state.proved_at or sent_at)
    pass_on_proof(world)


def _is_newest_listed(world: ServingWorld, sent_at: float) -> bool:
    """Tells whether the store lists the operators' newest configuration again.

    It does if the listed one is newer than the awaited one, or was written in this
    epoch, or if operators have had the time to write a lost one again.
    """
    awaited, listed = world.awaited_configuration, world.listed_configuration
    if awaited is None or listed is None or listed.version < awaited.version:
        return False
    if listed.version > awaited.version:
        return True
    if awaited.row_version not in (None, listed.row_version):
        return True
    settled_at_s = (
        world.store_epoch.risen_at_boot_s or 0.0
    ) + world.serving_policy.feeds.restore_grace_s
    return sent_at >= settled_at_s
