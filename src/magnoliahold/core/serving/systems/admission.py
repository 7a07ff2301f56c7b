"""Admits requests, or refuses them before they are sent to any upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from magnoliahold.core.effects import CountMetric
from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import RefuseCaller
from magnoliahold.core.serving.events import (
    CallerDisconnected,
    CallerHalfClosed,
    RequestArrived,
)
from magnoliahold.core.serving.requests import AttemptState, ServedRequest
from magnoliahold.core.serving.suspicions import find_suspects
from magnoliahold.core.serving.systems.completion import (
    cancel_request,
    choose_retry_after,
    end_half_closed,
    find_deadline_rejection,
)
from magnoliahold.core.serving.systems.prefix_lookups import (
    needs_prefix_lookup,
    start_prefix_lookup,
)
from magnoliahold.core.serving.systems.quarantine import is_refused
from magnoliahold.core.serving.systems.quarantine_stops import REFUSAL_REASON
from magnoliahold.core.serving.systems.queue_refusals import (
    NO_ROOM,
    find_queue_refusal,
)
from magnoliahold.core.serving.systems.stop_refusals import find_stop_rejection

if TYPE_CHECKING:
    from magnoliahold.core.serving.configuration import (
        Configuration,
        Route,
        Workspace,
    )
    from magnoliahold.core.serving.requests import CallerRequest
    from magnoliahold.core.serving.world import ServingWorld

UNAUTHORIZED = 401
NOT_FOUND = 404
UNAVAILABLE = 503
NO_ROUTE = "no route matches"
UNKNOWN_CREDENTIAL = "the credential is unknown"


@frozen
class HeadRefusal:
    """The answer to a request that is refused before its body is read."""

    status: int
    reason: str


def admit_requests(world: ServingWorld, now: float) -> None:
    """Adds requests that the configuration allows and refuses the others."""
    for arrived in world.inbox.read_events(RequestArrived):
        _admit(world, arrived.caller, now)


def _admit(world: ServingWorld, caller: CallerRequest, now: float) -> None:
    configuration = world.configuration
    if configuration is None:
        _refuse(world, caller, UNAVAILABLE, "no configuration is known yet")
        return
    route = configuration.find_route(caller.host, caller.path)
    if route is None:
        _refuse(world, caller, NOT_FOUND, NO_ROUTE)
        return
    workspace = None
    if configuration.needs_credential(route):
        if not _is_proof_fresh(world):
            _refuse(world, caller, UNAVAILABLE, "credentials can't be checked")
            return
        workspace = configuration.find_workspace(caller.credential)
        if workspace is None:
            _refuse(world, caller, UNAUTHORIZED, UNKNOWN_CREDENTIAL)
            return
    if world.suspicions.quarantines and is_refused(world, find_suspects(caller)):
        retry_after_s = world.serving_policy.suspicion.retry_after_s
        _refuse(world, caller, UNAVAILABLE, REFUSAL_REASON, retry_after_s)
        return
    request = _make_request(world, caller, route, workspace, now)
    needs_lookup = needs_prefix_lookup(world, request, now)
    rejection_reason = find_stop_rejection(world, request, now)
    if not needs_lookup:
        rejection_reason = rejection_reason or find_deadline_rejection(
            world, request, now
        )
    if rejection_reason:
        _refuse(world, caller, UNAVAILABLE, rejection_reason)
        return
    return_s = find_queue_refusal(world, request, now)
    if return_s is not None:
        _refuse(world, caller, UNAVAILABLE, NO_ROOM, return_s)
        return
    world.requests.add(request)
    if needs_lookup:
        start_prefix_lookup(world, request, now)
    world.find_budget(request.service).add_request(now)
    _log_admission(world, request, configuration)


def find_head_refusal(world: ServingWorld, caller: CallerRequest) -> HeadRefusal | None:
    """Finds why a request can't be served, whatever its body holds; None if it may be.

    What isn't known now may be known once the body has come.
    """
    configuration = world.configuration
    if configuration is None:
        return None
    route = configuration.find_route(caller.host, caller.path)
    if route is None:
        return HeadRefusal(NOT_FOUND, NO_ROUTE)
    if not configuration.needs_credential(route) or not _is_proof_fresh(world):
        return None
    if configuration.find_workspace(caller.credential) is None:
        return HeadRefusal(UNAUTHORIZED, UNKNOWN_CREDENTIAL)
    return None


def _is_proof_fresh(world: ServingWorld) -> bool:
    age_s = world.measure_proof_age()
    return age_s is not None and age_s <= world.serving_policy.feeds.proof_max_age_s


def _make_request(
    world: ServingWorld,
    caller: CallerRequest,
    route: Route,
    workspace: Workspace | None,
    now: float,
) -> ServedRequest:
    timeout_s = caller.timeout_s
    if timeout_s is None or timeout_s > route.timeout_s:
        timeout_s = route.timeout_s
    priority = route.priority
    if workspace is not None and workspace.priority is not None:
        priority = workspace.priority
    return ServedRequest(
        caller=caller,
        route=route,
        service=_choose_service(world, route),
        workspace=workspace.name if workspace else "",
        priority=priority,
        arrived_at=now,
        deadline_at=now + timeout_s,
        last_piece=caller.resume_after if route.resumable else None,
    )


def _choose_service(world: ServingWorld, route: Route) -> str:
    services = [share.service for share in route.shares]
    weights = [share.weight for share in route.shares]
    if len(services) == 1 or sum(weights) <= 0:
        return services[0]
    return world.random.choices(services, weights)[0]


def _log_admission(
    world: ServingWorld, request: ServedRequest, configuration: Configuration
) -> None:
    world.log_decision(
        "admission",
        "Request admitted.",
        request=request.id,
        route=request.route.name,
        service=request.service,
        workspace=request.workspace,
        configuration=configuration.version,
        proof_age_s=_round_proof_age(world),
        resume_after=request.last_piece,
        plain=request.last_piece is None,
    )


def _round_proof_age(world: ServingWorld) -> float | None:
    age_s = world.measure_proof_age()
    return None if age_s is None else round(age_s, 3)


def _refuse(
    world: ServingWorld,
    caller: CallerRequest,
    status: int,
    reason: str,
    retry_after_s: float | None = None,
) -> None:
    if status == UNAVAILABLE and retry_after_s is None:
        retry_after_s = choose_retry_after(world)
    closing = world.leaving_since is not None
    world.emit(
        RefuseCaller(caller.handle, status, reason, True, retry_after_s, closing)
    )
    world.emit(CountMetric("requests_refused", 1, {"reason": reason}))
    world.log_decision(
        "admission",
        "Request refused.",
        request=caller.request_id,
        status=status,
        reason=reason,
        configuration=world.configuration.version if world.configuration else None,
        proof_age_s=_round_proof_age(world),
    )


def handle_caller_disconnects(world: ServingWorld, now: float) -> None:
    """Cancels the requests of callers that have disconnected."""
    for disconnected in world.inbox.read_events(CallerDisconnected):
        request = world.requests.by_handle.get(disconnected.handle)
        if request is not None:
            cancel_request(world, request, now)


def handle_half_closed_callers(world: ServingWorld, now: float) -> None:
    """Ends the requests of callers that have closed their writing side.

    This runs once what was sent and answered is known: a refusal must not say "not run"
    of a request that is on its way, and what is rejected must not be sent again.
    """
    requests = world.requests
    for half_closed in world.inbox.read_events(CallerHalfClosed):
        request = requests.by_handle.get(half_closed.handle)
        if request is not None:
            requests.half_closed[request.handle] = request
    for request in list(requests.half_closed.values()):
        if not _runs_once(request):
            end_half_closed(world, request, now)


def _runs_once(request: ServedRequest) -> bool:
    """Tells whether a request is at an upstream and may not be repeated.

    Breaking it off would leave its caller without knowing whether it has run.
    """
    if request.attempt is None or request.route.kind is not RouteKind.NOT_REPEATABLE:
        return False
    return request.attempt.state is not AttemptState.CONNECTING
