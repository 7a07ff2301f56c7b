"""A small but complete deployment in one process on loopback."""

from __future__ import annotations

from importlib.resources import files
from random import Random
from secrets import token_hex
from typing import TYPE_CHECKING, Any

from attrs import define, field

from magnoliahold.core.administration import TemplateApplied
from magnoliahold.daemon import run_until_stopped, stop_reactor
from magnoliahold.entry.daemon import make_entry
from magnoliahold.logs import configure_logging
from magnoliahold.settings.credentials import CredentialSettings, make_secret
from magnoliahold.settings.model import (
    EntrySettings,
    LogSettings,
    PeerSettings,
    PlatformSettings,
    SidecarSettings,
    UpstreamSettings,
)
from magnoliahold.sidecar.daemon import make_sidecar
from magnoliahold.standins.engine import EngineSettings, make_engine
from magnoliahold.standins.platform import make_platform
from magnoliahold.standins.server import serve_resource
from magnoliahold.standins.service import ServiceSettings, make_service
from magnoliahold.storage.interfaces import Instance
from magnoliahold.templates import encode_template, parse_template

if TYPE_CHECKING:
    from magnoliahold.daemon import Daemon
    from magnoliahold.standins.platform import Platform

LOOPBACK = "127.0.0.1"
ENTRIES = 2
FREE_PORT = 0
READY_POLL_S = 0.1
CREDENTIAL_BYTES = 12


@define(frozen=True)
class EngineSpec:
    """The settings of one stand-in engine of the deployment."""

    name: str
    role: str
    version: str


ENGINES = (
    EngineSpec("drafting-1", "drafting", "v1"),
    EngineSpec("drafting-2", "drafting", "v1"),
    EngineSpec("reports-1", "reports", "v2"),
    EngineSpec("reports-2", "reports", "v2"),
)
SERVICE = "order-desk"


@define(eq=False)
class Deployment:
    """The running parts of the deployment; `credentials` is keyed by workspace."""

    reactor: Any
    platform: Platform
    platform_url: str
    credentials: dict[str, str]
    operator_credential: str
    sidecars: list[Daemon] = field(factory=list)
    entries: list[Daemon] = field(factory=list)
    entry_urls: list[str] = field(factory=list)
    operator_urls: list[str] = field(factory=list)
    standins: list[Any] = field(factory=list)
    stopped: int = 0

    def handle_daemon_stopped(self, reason: str) -> None:
        """Counts a stopped daemon; stops the reactor after the last one."""
        self.stopped += 1
        if self.stopped == len(self.sidecars) + len(self.entries):
            stop_reactor(self.reactor)

    def is_ready(self) -> bool:
        """Returns whether every entry has all workspaces and can use every sidecar."""
        return all(self._is_entry_ready(entry) for entry in self.entries)

    def _is_entry_ready(self, entry: Daemon) -> bool:
        world = entry.node.world
        usable = [peer for peer in world.peers.list_by_role("sidecar") if peer.usable]
        workspaces = world.workspaces.workspaces
        return len(usable) == len(self.sidecars) and len(workspaces) == len(
            self.credentials
        )


def start_deployment(reactor: Any) -> Deployment:
    """Starts all parts on free loopback ports."""
    platform = make_platform(reactor, Random())
    listener = serve_resource(reactor, platform.resource, LOOPBACK, FREE_PORT)
    deployment = Deployment(
        reactor=reactor,
        platform=platform,
        platform_url=listener.address,
        credentials={
            name: token_hex(CREDENTIAL_BYTES) for name in ("rochebrune", "naulakko")
        },
        operator_credential=token_hex(CREDENTIAL_BYTES),
    )
    deployment.standins.append(listener)
    for spec in ENGINES:
        _start_engine(deployment, spec)
    _start_service(deployment)
    for number in range(ENTRIES):
        _start_entry(deployment, f"entry-{number + 1}")
    return deployment


def apply_templates(deployment: Deployment) -> None:
    """Applies the templates of both workspaces through the first entry."""
    for workspace in deployment.credentials:
        path = files("magnoliahold.development") / f"{workspace}.yaml"
        template = parse_template(path.read_text(encoding="utf-8"))
        apply_id = token_hex(CREDENTIAL_BYTES)
        event = TemplateApplied(
            apply_id, workspace, encode_template(template), apply_id
        )
        deployment.entries[0].node.post_event(event)


def _start_engine(deployment: Deployment, spec: EngineSpec) -> None:
    settings = EngineSettings(name=spec.name, version=spec.version, role=spec.role)
    engine = make_engine(deployment.reactor, settings, Random())
    listener = serve_resource(deployment.reactor, engine.resource, LOOPBACK, FREE_PORT)
    deployment.standins.append(listener)
    upstream = UpstreamSettings(
        kind="engine",
        name=spec.name,
        base_url=listener.address,
        checks_fencing=True,
        capacity=settings.max_batch,
    )
    _start_sidecar(deployment, upstream)


def _start_service(deployment: Deployment) -> None:
    settings = ServiceSettings(name=SERVICE)
    service = make_service(deployment.reactor, Random(), settings)
    listener = serve_resource(deployment.reactor, service.resource, LOOPBACK, FREE_PORT)
    deployment.standins.append(listener)
    upstream = UpstreamSettings("service", SERVICE, listener.address)
    _start_sidecar(deployment, upstream)


def _start_sidecar(deployment: Deployment, upstream: UpstreamSettings) -> None:
    settings = SidecarSettings(
        name=f"sidecar-{upstream.name}",
        data_centre="local",
        address=LOOPBACK,
        link_port=FREE_PORT,
        operator_port=FREE_PORT,
        platform=PlatformSettings(deployment.platform_url),
        upstream=upstream,
    )
    daemon = make_sidecar(
        deployment.reactor, settings, deployment.handle_daemon_stopped
    )
    deployment.sidecars.append(daemon)
    _register_instance(deployment, daemon)


def _start_entry(deployment: Deployment, name: str) -> None:
    secrets = deployment.credentials
    credentials = CredentialSettings(
        callers={name: make_secret(value) for name, value in secrets.items()},
        operators=(make_secret(deployment.operator_credential),),
    )
    settings = EntrySettings(
        name=name,
        data_centre="local",
        address=LOOPBACK,
        caller_port=FREE_PORT,
        operator_port=FREE_PORT,
        link_port=FREE_PORT,
        platform=PlatformSettings(deployment.platform_url),
        credentials=credentials,
        peers=tuple(_make_peer_settings(daemon) for daemon in deployment.sidecars),
    )
    daemon = make_entry(deployment.reactor, settings, deployment.handle_daemon_stopped)
    deployment.entries.append(daemon)
    caller_port, operator_port = (item.getHost().port for item in daemon.listeners)
    deployment.entry_urls.append(f"http://{LOOPBACK}:{caller_port}")
    deployment.operator_urls.append(f"http://{LOOPBACK}:{operator_port}")
    _register_instance(deployment, daemon)


def _make_peer_settings(daemon: Daemon) -> PeerSettings:
    identity = daemon.identity
    return PeerSettings(
        name=identity.name,
        role="sidecar",
        address=LOOPBACK,
        link_port=daemon.link_port,
        data_centre=identity.data_centre,
    )


def _register_instance(deployment: Deployment, daemon: Daemon) -> None:
    identity = daemon.identity
    address = f"{LOOPBACK}:{daemon.link_port}"
    instance = Instance(identity.name, identity.role, address, identity.data_centre)
    deployment.platform.instances.put_instance(instance)


def print_addresses(deployment: Deployment) -> None:
    """Prints the addresses, the credentials and a curl command ready to run."""
    for url in deployment.entry_urls:
        print(f"entry:     {url}")
    for url in deployment.operator_urls:
        print(f"operators: {url}")
    print(f"operator credential: {deployment.operator_credential}")
    for workspace, credential in deployment.credentials.items():
        print(f"{workspace} credential: {credential}")
    credential = deployment.credentials["rochebrune"]
    print(
        f"curl -N {deployment.entry_urls[0]}/v1/completions"
        f" -H 'Authorization: Bearer {credential}'"
        " -H 'Content-Type: application/json'"
        ' -d \'{"model": "drafts", "prompt": "List the hounds.",'
        ' "max_tokens": 50, "stream": true}\'',
        flush=True,
    )


def run_development(duration_s: float | None = None) -> None:
    """Runs until interrupted, or for `duration_s` seconds, then drains."""
    from twisted.internet import reactor

    configure_logging("dev", LogSettings().level)

    def start() -> list[Daemon]:
        deployment = start_deployment(reactor)
        apply_templates(deployment)
        _print_when_ready(deployment)
        daemons = [*deployment.entries, *deployment.sidecars]
        if duration_s is not None:
            _leave_after(reactor, daemons, duration_s)
        return daemons

    run_until_stopped(reactor, start)


def _print_when_ready(deployment: Deployment) -> None:
    if deployment.is_ready():
        print_addresses(deployment)
    else:
        deployment.reactor.callLater(READY_POLL_S, _print_when_ready, deployment)


def _leave_after(reactor: Any, daemons: list[Daemon], seconds: float) -> None:
    for daemon in daemons:
        reactor.callLater(seconds, daemon.leave, "run duration elapsed")
