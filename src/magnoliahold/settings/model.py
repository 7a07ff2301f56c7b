"""The settings of entries and sidecars."""

from __future__ import annotations

from typing import ClassVar, Literal

from attrs import field, frozen

from magnoliahold.core.policy import Policy
from magnoliahold.inbound.limits import IntakePolicy
from magnoliahold.settings.checks import (
    FieldError,
    Relation,
    checks,
    raise_faults,
    require_address,
    require_http_url,
    require_name,
    require_port,
    require_range,
)
from magnoliahold.settings.credentials import CredentialSettings  # noqa: TC001

DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024
DEFAULT_PLATFORM_TIMEOUT_S = 2.0
DEFAULT_CAPACITY = 8


def require_different_ports(**ports: int) -> None:
    """Checks that no two listeners share a port."""
    faults = []
    names_by_port: dict[int, str] = {}
    for name, port in ports.items():
        if port in names_by_port:
            faults.append(
                FieldError(
                    f"it is the same as {names_by_port[port]}",
                    "give each listener a port of its own",
                    f".{name}",
                )
            )
        names_by_port.setdefault(port, name)
    raise_faults(faults)


@frozen
class PlatformSettings:
    """The base URL of the platform's services, and the timeout of requests to them."""

    base_url: str = field(metadata=checks(require_http_url))
    timeout_s: float = field(
        metadata=checks(require_range(0.05, 60)), default=DEFAULT_PLATFORM_TIMEOUT_S
    )


@frozen
class PeerSettings:
    """A process to connect to in addition to those on the instance list."""

    name: str = field(metadata=checks(require_name))
    role: Literal["entry", "sidecar"]
    address: str = field(metadata=checks(require_address))
    link_port: int = field(metadata=checks(require_port))
    data_centre: str = field(metadata=checks(require_name))


def require_unique_peers(name: str, peers: tuple[PeerSettings, ...]) -> None:
    """Checks that peer names are unique and differ from the process's own."""
    faults = []
    seen = {name}
    for index, peer in enumerate(peers):
        if peer.name in seen:
            faults.append(
                FieldError(
                    f"the name {peer.name!r} is already used",
                    "give each process a name of its own",
                    f".peers[{index}].name",
                )
            )
        seen.add(peer.name)
    raise_faults(faults)


@frozen
class LimitSettings:
    """Limits on the requests that one entry accepts."""

    max_body_bytes: int = field(
        metadata=checks(require_range(1024, 1024**3)), default=DEFAULT_MAX_BODY_BYTES
    )


@frozen
class InstanceSettings:
    """What a process may take of its instance.

    That is 128 MB without `memory_mb`, and without `max_descriptors` 1600 descriptors,
    or what the system allows the process if that is less.
    """

    memory_mb: float | None = field(
        metadata=checks(require_range(64, 1e6)), default=None
    )
    max_descriptors: int | None = field(
        metadata=checks(require_range(64, 10_000_000)), default=None
    )


@frozen
class LogSettings:
    """The level from which messages are logged."""

    level: Literal["debug", "info", "warning", "error"] = "info"


@frozen
class EntrySettings:
    """The settings of one entry process.

    `policy` overrides limits and intervals of the decision logic by name.
    """

    name: str = field(metadata=checks(require_name))
    data_centre: str = field(metadata=checks(require_name))
    address: str = field(metadata=checks(require_address))
    caller_port: int = field(metadata=checks(require_port))
    operator_port: int = field(metadata=checks(require_port))
    link_port: int = field(metadata=checks(require_port))
    platform: PlatformSettings
    credentials: CredentialSettings
    peers: tuple[PeerSettings, ...] = ()
    limits: LimitSettings = field(factory=LimitSettings)
    instance: InstanceSettings = field(factory=InstanceSettings)
    intake: IntakePolicy = field(factory=IntakePolicy)
    log: LogSettings = field(factory=LogSettings)
    policy: Policy = field(factory=Policy)

    relations: ClassVar[tuple[Relation, ...]] = (
        Relation(
            ("caller_port", "operator_port", "link_port"), require_different_ports
        ),
        Relation(("name", "peers"), require_unique_peers),
    )


@frozen
class UpstreamSettings:
    """The upstream managed by a sidecar.

    `checks_fencing` says whether the upstream itself rejects an order with an outdated
    fencing number. `capacity` is the number of requests that it runs concurrently.
    """

    kind: Literal["engine", "service"]
    name: str = field(metadata=checks(require_name))
    base_url: str = field(metadata=checks(require_http_url))
    checks_fencing: bool = False
    capacity: int = field(
        metadata=checks(require_range(1, 10_000)), default=DEFAULT_CAPACITY
    )


@frozen
class SidecarSettings:
    """The settings of one sidecar process."""

    name: str = field(metadata=checks(require_name))
    data_centre: str = field(metadata=checks(require_name))
    address: str = field(metadata=checks(require_address))
    link_port: int = field(metadata=checks(require_port))
    operator_port: int = field(metadata=checks(require_port))
    platform: PlatformSettings
    upstream: UpstreamSettings
    peers: tuple[PeerSettings, ...] = ()
    instance: InstanceSettings = field(factory=InstanceSettings)
    intake: IntakePolicy = field(factory=IntakePolicy)
    log: LogSettings = field(factory=LogSettings)
    policy: Policy = field(factory=Policy)

    relations: ClassVar[tuple[Relation, ...]] = (
        Relation(("operator_port", "link_port"), require_different_ports),
        Relation(("name", "peers"), require_unique_peers),
    )
