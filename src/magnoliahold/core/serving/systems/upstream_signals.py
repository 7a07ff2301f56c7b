"""Follows what upstreams say about themselves in their answers.

An upstream that says it is leaving gets no new requests until it starts anew, whatever
its registration says. One that asks to back off gets none until that time is over.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.effects import CountMetric
from magnoliahold.core.serving.events import NoticeReceived, UpstreamSignalled
from magnoliahold.core.serving.upstreams import UpstreamStart

if TYPE_CHECKING:
    from magnoliahold.core.serving.world import ServingWorld


FORGET_INTERVAL_S = 10.0


def apply_upstream_signals(world: ServingWorld, now: float) -> None:
    """Applies what upstreams have said, and what other entries report of them."""
    for signalled in world.inbox.read_events(UpstreamSignalled):
        start = UpstreamStart(signalled.upstream_id, signalled.born_ms)
        if signalled.leaving:
            _mark_leaving(world, start, now)
        if signalled.backoff_s is not None:
            _extend_backoff(world, start, signalled.backoff_s, now)
    for received in world.inbox.read_events(NoticeReceived):
        for start in received.notice.leaving:
            world.upstreams.find_signals(start, now).leaving_reported = True
    if now >= world.upstreams.next_forgetting_at:
        world.upstreams.next_forgetting_at = now + FORGET_INTERVAL_S
        _forget_old_signals(world, now)


def _mark_leaving(world: ServingWorld, start: UpstreamStart, now: float) -> None:
    signals = world.upstreams.find_signals(start, now)
    if signals.leaving:
        return
    world.upstreams.mark_leaving(signals, now)
    world.other_entries.send_now = True
    world.emit(CountMetric("upstreams_leaving"))
    world.log_decision(
        "upstreams", "Upstream says that it is leaving.", upstream=start.id
    )


def _extend_backoff(
    world: ServingWorld, start: UpstreamStart, backoff_s: float, now: float
) -> None:
    signals = world.upstreams.find_signals(start, now)
    if now + backoff_s <= signals.backoff_until:
        return
    signals.backoff_until = now + backoff_s
    signals.changed_at = now
    world.emit(CountMetric("upstream_backoffs"))
    world.log_decision(
        "upstreams",
        "Upstream asks to back off.",
        upstream=start.id,
        seconds=round(backoff_s, 3),
    )


def _forget_old_signals(world: ServingWorld, now: float) -> None:
    """Forgets the signals of starts that are not registered any more."""
    table = world.upstreams
    kept_s = world.serving_policy.watch.signals_kept_s
    registered = {upstream.start for upstream in table.by_id.values()}
    for start, signals in list(table.signals.items()):
        last_needed_at = max(signals.changed_at, signals.backoff_until)
        if start not in registered and now - last_needed_at > kept_s:
            del table.signals[start]
    table.any_leaving = any(item.leaving for item in table.signals.values())


def list_leaving(world: ServingWorld) -> tuple[UpstreamStart, ...]:
    """Lists the upstreams that have said that they are leaving."""
    if not world.upstreams.any_leaving:
        return ()
    signals = world.upstreams.signals
    return tuple(start for start, item in signals.items() if item.leaving)
