"""Performs the effects that only sidecars emit."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core import effects
from magnoliahold.node import perform_effect

if TYPE_CHECKING:
    from magnoliahold.node import Node


@perform_effect.register(effects.StartEngineStream)
def _start_engine_stream(effect: effects.StartEngineStream, node: Node) -> None:
    node.ports.engine.start_stream(effect)


@perform_effect.register(effects.CancelEngineStream)
def _cancel_engine_stream(effect: effects.CancelEngineStream, node: Node) -> None:
    node.ports.engine.cancel_stream(effect.handle)


@perform_effect.register(effects.PauseEngineStream)
def _pause_engine_stream(effect: effects.PauseEngineStream, node: Node) -> None:
    node.ports.engine.pause_stream(effect.handle)


@perform_effect.register(effects.ResumeEngineStream)
def _resume_engine_stream(effect: effects.ResumeEngineStream, node: Node) -> None:
    node.ports.engine.resume_stream(effect.handle)


@perform_effect.register(effects.ProbeUpstream)
def _probe_upstream(effect: effects.ProbeUpstream, node: Node) -> None:
    upstream = node.ports.engine or node.ports.service
    upstream.probe_upstream(effect.timeout_s)


@perform_effect.register(effects.ReadCacheEvents)
def _read_cache_events(effect: effects.ReadCacheEvents, node: Node) -> None:
    node.ports.engine.read_cache_events(effect.after)


@perform_effect.register(effects.SendOrder)
def _send_order(effect: effects.SendOrder, node: Node) -> None:
    node.ports.engine.send_order(effect)


@perform_effect.register(effects.StartServiceCall)
def _start_service_call(effect: effects.StartServiceCall, node: Node) -> None:
    node.ports.service.start_call(effect)


@perform_effect.register(effects.CancelServiceCall)
def _cancel_service_call(effect: effects.CancelServiceCall, node: Node) -> None:
    node.ports.service.cancel_call(effect.nonce)
