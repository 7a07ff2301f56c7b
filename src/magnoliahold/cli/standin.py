"""The `standin` commands: small stand-ins for engines, services and the platform."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Any

from magnoliahold.logs import configure_logging, make_part_logger

if TYPE_CHECKING:
    from twisted.web.resource import Resource

LOOPBACK = "127.0.0.1"

logger = make_part_logger("standin")


def engine(
    *,
    port: int = 8200,
    address: str = LOOPBACK,
    name: str = "engine-1",
    version: str = "v1",
    role: str = "drafting",
    capacity: int = 16,
    token_interval_s: float = 0.02,
    obeys_fencing: bool = True,
    seed: int = 1,
) -> None:
    """Runs a stand-in for a model engine until interrupted.

    Args:
        port: The TCP port to listen on.
        address: The IP address to listen on.
        name: The name of the engine.
        version: The model version that is loaded at startup.
        role: The role of the engine at startup.
        capacity: The number of requests that it runs concurrently.
        token_interval_s: Seconds between two tokens of a request.
        obeys_fencing: Reject orders with an outdated fencing number.
        seed: The random seed.
    """
    from twisted.internet import reactor

    from magnoliahold.standins.engine import EngineSettings, make_engine

    settings = EngineSettings(
        name=name,
        version=version,
        role=role,
        max_batch=capacity,
        token_interval_s=token_interval_s,
        obeys_fencing=obeys_fencing,
    )
    standin = make_engine(reactor, settings, Random(seed))
    serve_until_stopped(name, reactor, standin.resource, address, port)


def service(
    *,
    port: int = 8300,
    address: str = LOOPBACK,
    name: str = "service-1",
    work_s: float = 0.005,
    seed: int = 1,
) -> None:
    """Runs a stand-in for a plain service until interrupted.

    Args:
        port: The TCP port to listen on.
        address: The IP address to listen on.
        name: The name of the service.
        work_s: The duration of a call in seconds.
        seed: The random seed.
    """
    from twisted.internet import reactor

    from magnoliahold.standins.service import ServiceSettings, make_service

    settings = ServiceSettings(name=name, work_s=work_s)
    standin = make_service(reactor, Random(seed), settings)
    serve_until_stopped(name, reactor, standin.resource, address, port)


def platform(*, port: int = 8100, address: str = LOOPBACK, seed: int = 1) -> None:
    """Runs a stand-in for the platform's services until interrupted.

    Args:
        port: The TCP port to listen on.
        address: The IP address to listen on.
        seed: The random seed.
    """
    from twisted.internet import reactor

    from magnoliahold.standins.platform import make_platform

    standin = make_platform(reactor, Random(seed))
    serve_until_stopped("platform", reactor, standin.resource, address, port)


def serve_until_stopped(
    name: str, reactor: Any, resource: Resource, address: str, port: int
) -> None:
    """Serves a stand-in until the process is stopped."""
    from magnoliahold.standins.server import serve_resource

    configure_logging(name)
    listener = serve_resource(reactor, resource, address, port)
    reactor.callWhenRunning(
        logger.info, "Listening.", name=name, address=listener.address
    )
    reactor.run()
