"""Performs the effects of a serving entry."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import define

from magnoliahold.core.serving import effects
from magnoliahold.core.serving.events import EntryRegistered, NoticeEncoded
from magnoliahold.logs import make_part_logger
from magnoliahold.node import perform_effect
from magnoliahold.serving.backpressure import (
    follow_source,
    start_back_pressure,
    stop_back_pressure,
)
from magnoliahold.serving.callers import BAD_GATEWAY

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliahold.core.serving.peers import PeerRecord
    from magnoliahold.node import Journal, Node
    from magnoliahold.platform.store import StoreClient
    from magnoliahold.serving.callers import Callers
    from magnoliahold.serving.copies import KvCacheCopier
    from magnoliahold.serving.notices import NoticePort
    from magnoliahold.serving.prompts import PromptListClient
    from magnoliahold.serving.upstreamexchanges import UpstreamExchanges

logger = make_part_logger("callers")


@define
class ServingPorts:
    """The adapters through which a serving entry's effects are performed.

    If `own_record` is None, the entry is not registered with its peers.
    """

    journal: Journal
    stop: Callable[[str], None]
    callers: Callers
    upstreams: UpstreamExchanges
    prompts: PromptListClient
    copies: KvCacheCopier
    store: StoreClient
    notices: NoticePort
    own_record: PeerRecord | None
    close_listener: Callable[[], None]


@perform_effect.register(effects.SendAttempt)
def _send_attempt(effect: effects.SendAttempt, node: Node) -> None:
    ports: Any = node.ports
    content = ports.callers.find_content(effect.handle)
    if content is not None:
        ports.upstreams.send(effect, content)


@perform_effect.register(effects.CloseAttempt)
def _close_attempt(effect: effects.CloseAttempt, node: Node) -> None:
    node.ports.upstreams.abort(effect.attempt)


@perform_effect.register(effects.OpenAnswer)
def _open_answer(effect: effects.OpenAnswer, node: Node) -> None:
    exchange = node.ports.upstreams.find(effect.attempt)
    request = node.ports.callers.find_open(effect.handle)
    if exchange is not None and request is not None:
        node.ports.callers.open_answer(effect.handle, exchange)
        start_back_pressure(request)


@perform_effect.register(effects.DeliverPieces)
def _deliver_pieces(effect: effects.DeliverPieces, node: Node) -> None:
    exchange = node.ports.upstreams.find(effect.attempt)
    if exchange is None:
        return
    pieces = node.ports.upstreams.take_pieces(exchange)
    after = effect.after
    selected = [item for item in pieces if after is None or item.number > after]
    content = b"".join(item.content for item in selected)
    request = node.ports.callers.find_open(effect.handle)
    if request is not None:
        follow_source(request, exchange)
    node.ports.callers.write_pieces(effect.handle, content)


@perform_effect.register(effects.DeliverRest)
def _deliver_rest(effect: effects.DeliverRest, node: Node) -> None:
    exchange = node.ports.upstreams.find(effect.attempt)
    if exchange is not None:
        node.ports.callers.write_pieces(effect.handle, exchange.rest)


@perform_effect.register(effects.FinishAnswer)
def _finish_answer(effect: effects.FinishAnswer, node: Node) -> None:
    request = node.ports.callers.find_open(effect.handle)
    if request is not None:
        stop_back_pressure(request)
    node.ports.callers.finish_stream(effect.handle, effect.closing)


@perform_effect.register(effects.DeliverAnswer)
def _deliver_answer(effect: effects.DeliverAnswer, node: Node) -> None:
    exchange = node.ports.upstreams.remove(effect.attempt)
    if exchange is not None:
        node.ports.callers.answer(effect.handle, exchange, effect.closing)
        return
    reason = "the answer is gone"
    logger.error("Answer is refused.", attempt=effect.attempt, reason=reason)
    node.ports.callers.refuse(effect.handle, BAD_GATEWAY, reason, None, effect.closing)


@perform_effect.register(effects.RefuseCaller)
def _refuse_caller(effect: effects.RefuseCaller, node: Node) -> None:
    node.ports.callers.refuse(
        effect.handle,
        effect.status,
        effect.reason,
        effect.retry_after_s,
        effect.closing,
    )


@perform_effect.register(effects.AbortAnswer)
def _abort_answer(effect: effects.AbortAnswer, node: Node) -> None:
    node.ports.callers.abort(effect.handle)


@perform_effect.register(effects.ProbeServingUpstream)
def _probe_serving_upstream(effect: effects.ProbeServingUpstream, node: Node) -> None:
    node.ports.upstreams.probe(effect.upstream, effect.timeout_s)


@perform_effect.register(effects.ListPrompts)
def _list_prompts(effect: effects.ListPrompts, node: Node) -> None:
    node.ports.prompts.request_list(effect.upstream, effect.timeout_s)


@perform_effect.register(effects.CopyKvCache)
def _copy_kv_cache(effect: effects.CopyKvCache, node: Node) -> None:
    node.ports.copies.order(effect)


@perform_effect.register(effects.FreeCopy)
def _free_copy(effect: effects.FreeCopy, node: Node) -> None:
    node.ports.copies.free(effect)


@perform_effect.register(effects.ReadFeed)
def _read_feed(effect: effects.ReadFeed, node: Node) -> None:
    node.ports.store.read_feed(effect.feed, effect.call, effect.timeout_s)


@perform_effect.register(effects.LongPollFeed)
def _long_poll_feed(effect: effects.LongPollFeed, node: Node) -> None:
    node.ports.store.long_poll_feed(
        effect.feed, effect.call, effect.after, effect.wait_s, effect.timeout_s
    )


@perform_effect.register(effects.SetCallerLimits)
def _set_caller_limits(effect: effects.SetCallerLimits, node: Node) -> None:
    node.ports.callers.limits = effect.limits


@perform_effect.register(effects.CloseListener)
def _close_listener(_: effects.CloseListener, node: Node) -> None:
    node.ports.close_listener()


@perform_effect.register(effects.CloseIdleConnections)
def _close_idle_connections(_: effects.CloseIdleConnections, node: Node) -> None:
    node.ports.callers.close_idle()


@perform_effect.register(effects.RegisterEntry)
def _register_entry(effect: effects.RegisterEntry, node: Node) -> None:
    record = node.ports.own_record
    if record is None:
        node.post_event(EntryRegistered(True))
    else:
        node.ports.store.register_entry(record, effect.timeout_s)


@perform_effect.register(effects.RemoveEntry)
def _remove_entry(effect: effects.RemoveEntry, node: Node) -> None:
    if node.ports.own_record is not None:
        node.ports.store.remove_entry(
            effect.name, effect.row_version, effect.timeout_s, effect.epoch
        )


@perform_effect.register(effects.WriteMove)
def _write_move(effect: effects.WriteMove, node: Node) -> None:
    node.ports.store.write_move(
        effect.record, effect.expected_version, effect.timeout_s, effect.epoch
    )


@perform_effect.register(effects.WriteQuarantine)
def _write_quarantine(effect: effects.WriteQuarantine, node: Node) -> None:
    node.ports.store.write_quarantine(effect.record, effect.timeout_s)


@perform_effect.register(effects.SendProofs)
def _send_proofs(effect: effects.SendProofs, node: Node) -> None:
    node.ports.notices.send_proofs(effect.messages)


@perform_effect.register(effects.SendNotice)
def _send_notice(effect: effects.SendNotice, node: Node) -> None:
    size_bytes = node.ports.notices.send(effect.peers, effect.notice)
    # The next tick reads it; nothing waits for that.
    node.world.inbox.add_event(NoticeEncoded(size_bytes))
