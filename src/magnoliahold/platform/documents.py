"""Reads and writes the documents in the platform's store."""

from __future__ import annotations

from typing import Annotated

import msgspec

from magnoliahold.core.moves import MoveState
from magnoliahold.core.serving.configuration import (
    MAX_NUMBER,
    CallerLimits,
    Configuration,
    Route,
    RouteKind,
    Service,
    ServiceShare,
    Workspace,
)
from magnoliahold.core.serving.moves import MoveOrder, MoveRecord
from magnoliahold.core.serving.peers import PeerRecord
from magnoliahold.core.serving.suspicions import QuarantineRecord
from magnoliahold.core.serving.upstreams import UpstreamRecord
from magnoliahold.decoding import translate_errors
from magnoliahold.endpoints import (
    Endpoint,
    check_ip_address,
    check_port,
    parse_endpoint,
)

MS_PER_S = 1000.0
ROUTE_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NOT_REPEATABLE,
    "streaming": RouteKind.STREAM,
}
MOVE_STATUS_NAMES = {
    MoveState.WAITING: "running",
    MoveState.CANARY: "running",
    MoveState.GROWING: "running",
    MoveState.PROBATION: "running",
    MoveState.DONE: "completed",
    MoveState.TAKEN_BACK: "rolled_back",
}
LEAVING_BY_STATE = {"ready": False, "draining": True}
# Messages between entries carry integers of 64 bits.
BoundedInteger = Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]


class DocumentError(Exception):
    """A document is invalid; the message says why. Other documents stay in use."""


class _Share(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    hostname: str
    prefix: str
    kind: str
    timeout_ms: float
    # Latency goal for the whole answer, or for the first event of a stream.
    goal_ms: float = 0.0
    gap_goal_ms: float = 0.0
    priority: int = 0
    traffic_split: list[_Share] | None = None
    service: str | None = None
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False


class _Engine(msgspec.Struct):
    # Whether engines store copies of each other's KV caches.
    backups: bool = False
    # KV cache size of an engine, in tokens.
    kv_capacity: int = 0
    # How many requests an engine runs at a time.
    slots: int = 0


class _Service(msgspec.Struct):
    name: str
    engine: _Engine | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Configuration(msgspec.Struct):
    version: BoundedInteger
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # An empty list, or null, takes all keys away; without the member none is needed.
    tenants: list[_Tenant] | msgspec.UnsetType | None = msgspec.UNSET


class _Order(msgspec.Struct):
    service: str
    # The version to which the service moves.
    to: str
    # Seconds from the order to its deadline.
    over_s: float


class _Server(msgspec.Struct):
    service: str
    # IP:PORT.
    address: str
    zone: str
    state: str
    # Start time in Unix milliseconds; not a count of starts.
    born: BoundedInteger = 0
    version: str = ""


_configuration_decoder = msgspec.json.Decoder(_Configuration, strict=False)
_server_decoder = msgspec.json.Decoder(_Server)
_peer_decoder = msgspec.json.Decoder(PeerRecord)
_order_decoder = msgspec.json.Decoder(_Order)
_record_decoder = msgspec.json.Decoder(MoveRecord)
_quarantine_decoder = msgspec.json.Decoder(QuarantineRecord)


def read_configuration(document: bytes) -> Configuration:
    """Reads a configuration; raises DocumentError when it is invalid."""
    with translate_errors(DocumentError):
        raw = _configuration_decoder.decode(document)
        return Configuration(
            version=raw.version,
            routes=tuple(_make_route(route) for route in raw.routes),
            services=tuple(_make_service(service) for service in raw.services),
            workspaces=_make_workspaces(raw.tenants),
            limits=_make_limits(raw.limits),
        )


def _make_route(raw: _Route) -> Route:
    shares = raw.traffic_split or []
    if not shares and raw.service is not None:
        shares = [_Share(raw.service, 1.0)]
    if not shares:
        raise ValueError(f"route {raw.name} names no service")
    return Route(
        name=raw.name,
        host=raw.hostname.lower(),
        prefix=raw.prefix,
        kind=ROUTE_KINDS[raw.kind],
        shares=tuple(ServiceShare(item.service, item.weight) for item in shares),
        timeout_s=raw.timeout_ms / MS_PER_S,
        goal_s=(raw.goal_ms or raw.timeout_ms) / MS_PER_S,
        gap_goal_s=raw.gap_goal_ms / MS_PER_S,
        priority=raw.priority,
        max_attempts=max(1, raw.max_attempts),
        public=raw.public,
        resumable=raw.resumable,
    )


def _make_service(raw: _Service) -> Service:
    engine = raw.engine
    if engine is None:
        return Service(raw.name)
    return Service(
        raw.name,
        keeps_copies=engine.backups,
        keeps_prompts=True,
        memory_tokens=engine.kv_capacity,
        slots=engine.slots,
    )


def _make_workspaces(
    raw: list[_Tenant] | msgspec.UnsetType | None,
) -> tuple[Workspace, ...] | None:
    if raw is msgspec.UNSET:
        return None
    return tuple(
        Workspace(item.name, tuple(item.api_keys), item.priority) for item in raw or ()
    )


def _make_limits(raw: _Limits) -> CallerLimits:
    return CallerLimits(
        header_bytes=raw.max_header_bytes,
        body_bytes=raw.max_body_bytes,
        header_timeout_s=raw.header_timeout_ms / MS_PER_S,
        idle_timeout_s=raw.idle_timeout_ms / MS_PER_S,
    )


def read_upstream(upstream_id: str, document: bytes) -> UpstreamRecord:
    """Reads an upstream's registration; raises DocumentError if it is invalid."""
    with translate_errors(DocumentError):
        raw = _server_decoder.decode(document)
        endpoint = parse_endpoint(raw.address)
        check_ip_address(endpoint)
        leaving = LEAVING_BY_STATE[raw.state]
    return UpstreamRecord(
        id=upstream_id,
        service=raw.service,
        address=endpoint.host,
        port=endpoint.port,
        data_centre=raw.zone,
        leaving=leaving,
        born_ms=raw.born,
        version=raw.version,
    )


def read_peer(document: bytes) -> PeerRecord:
    """Reads an entry's registration; raises DocumentError if it is invalid."""
    with translate_errors(DocumentError):
        record = _peer_decoder.decode(document)
        endpoint = Endpoint(record.address, record.port)
        check_ip_address(endpoint)
        check_port(endpoint)
        return record


def write_peer(record: PeerRecord) -> bytes:
    """Encodes an entry's registration."""
    return msgspec.json.encode(record)


def read_move_order(row_version: int, document: bytes) -> MoveOrder:
    """Reads an operator's order to move a service, i.e. to roll out a version.

    Raises DocumentError if it is invalid.
    """
    with translate_errors(DocumentError):
        raw = _order_decoder.decode(document)
    return MoveOrder(raw.service, raw.to, raw.over_s, row_version)


def read_move_record(document: bytes) -> MoveRecord:
    """Reads the record of a move's progress; raises DocumentError if it is invalid."""
    with translate_errors(DocumentError):
        return _record_decoder.decode(document)


def write_move_record(record: MoveRecord) -> bytes:
    """Encodes the record of a move's progress that other entries read."""
    return msgspec.json.encode(record)


def write_move_status(record: MoveRecord) -> bytes:
    """Encodes the status of a move that operators read."""
    return msgspec.json.encode(
        {
            "service": record.service,
            "to": record.to_version,
            "state": MOVE_STATUS_NAMES[record.state],
        }
    )


def read_quarantine(document: bytes) -> QuarantineRecord:
    """Reads a quarantine record; raises DocumentError if it is invalid."""
    with translate_errors(DocumentError):
        return _quarantine_decoder.decode(document)


def write_quarantine(record: QuarantineRecord) -> bytes:
    """Encodes a quarantine record, which entries read when they start."""
    return msgspec.json.encode(record)
