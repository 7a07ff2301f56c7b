"""Invariants of the tables of a serving entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.invariants import find_all_violations
from magnoliahold.core.serving.requests import RequestState
from magnoliahold.core.serving.world import ServingWorld

if TYPE_CHECKING:
    from collections.abc import Iterator

    from magnoliahold.core.serving.requests import ServedRequest


@find_all_violations.register(ServingWorld)
def _find_serving_violations(world: ServingWorld) -> Iterator[str]:
    for request in world.requests.by_handle.values():
        yield from _find_request_violations(world, request)
    for handle, request in world.requests.half_closed.items():
        if world.requests.by_handle.get(handle) is not request:
            yield f"{request.id}: is half closed, but not open"
    for attempt in world.requests.attempts.values():
        if attempt.request.attempt is not attempt:
            yield f"{attempt.request.id}: two attempts are running"


def _find_request_violations(
    world: ServingWorld, request: ServedRequest
) -> Iterator[str]:
    attempt = request.attempt
    if (request.state is RequestState.RUNNING) != (attempt is not None):
        yield f"{request.id}: is {request.state.value}, but has attempt {attempt}"
    if (request.state is RequestState.WAITING) != (
        request.handle in world.requests.waiting
    ):
        yield f"{request.id}: is {request.state.value}, but the waiting table disagrees"
    if request.state is RequestState.WAITING and (
        request.handle in world.requests.half_closed
    ):
        yield f"{request.id}: waits for an upstream though its caller has half closed"
    retried = request.may_have_run and attempt is not None
    if retried and not request.route.repeatable:
        yield f"{request.id}: retried though it may have run"
