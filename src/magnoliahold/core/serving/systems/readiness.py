"""Whether callers are to go elsewhere."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from magnoliahold.core.serving.world import ServingWorld


def find_obstacle(world: ServingWorld) -> str:
    """Finds why callers should go elsewhere, or an empty string."""
    if world.leaving_since is not None:
        return "leaving"
    if world.configuration is None:
        return "no configuration is known yet"
    if not world.upstreams.known:
        return "the upstreams are not known yet"
    age_s = world.measure_proof_age()
    if age_s is None or age_s > world.serving.feeds.ready_age_s:
        return "the configuration may be out of date"
    return ""


def should_close(world: ServingWorld) -> bool:
    """Tells whether connections close after their answer.

    The balancer gives no new connections to an entry that isn't ready, but those that
    are open would bring their next request here.
    """
    return bool(find_obstacle(world))
