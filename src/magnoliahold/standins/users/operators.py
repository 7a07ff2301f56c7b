"""Documents that operators and upstreams write to the users' store."""

from __future__ import annotations

from typing import Any

CONFIGURATION_ROW = ("op", "config")
REGISTRATIONS = "servers"
READY_PATH = "/-/readyz"
STREAM_ATTEMPTS, CALL_ATTEMPTS = 5, 2
KV_CAPACITY_TOKENS = 400_000
FIRST_START_MS = 1_700_000_000_000


def make_configuration(
    routes: list[dict[str, Any]],
    engines: str,
    calls: str,
    credentials: dict[str, str],
) -> dict[str, Any]:
    """Builds the first configuration, with one credential per workspace."""
    engine = {"backups": True, "moves": True, "kv_capacity": KV_CAPACITY_TOKENS}
    return {
        "version": 1,
        "routes": routes,
        "services": [{"name": engines, "engine": engine}, {"name": calls}],
        "tenants": [
            {"name": name, "api_keys": [credential]}
            for name, credential in credentials.items()
        ],
    }


def make_route(
    host: str, name: str, prefix: str, kind: str, service: str, timeout_ms: int
) -> dict[str, Any]:
    """Builds a route; routes for streams are resumable."""
    streams = kind == "streaming"
    return {
        "name": name,
        "hostname": host,
        "prefix": prefix,
        "kind": kind,
        "timeout_ms": timeout_ms,
        "goal_ms": 3000 if streams else 300,
        "gap_goal_ms": 700 if streams else 0,
        "service": service,
        "max_attempts": STREAM_ATTEMPTS if streams else CALL_ATTEMPTS,
        "resumable": streams,
    }


def make_registration(
    service: str, address: str, data_centre: str, version: str, state: str, start: int
) -> dict[str, Any]:
    """Builds the registration of an upstream; `start` counts the starts so far."""
    return {
        "service": service,
        "address": address,
        "zone": data_centre,
        "version": version,
        "state": state,
        "born": FIRST_START_MS + start,
    }


def make_order(service: str, version: str, over_s: float) -> tuple[str, str, Any]:
    """Builds the row that orders a move: its table, key and document."""
    document = {"service": service, "to": version, "over_s": over_s}
    return CONFIGURATION_ROW[0], f"rollout/{service}", document
