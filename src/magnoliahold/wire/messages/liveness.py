"""Messages about liveness: heartbeats, failed engines and leaving processes."""

from __future__ import annotations

from attrs import frozen

from magnoliahold.wire.messages.configuration import SuspendVersion  # noqa: TC001


@frozen
class UpstreamReport:
    """State of an upstream as its sidecar last observed it.

    `kind` is "engine" or "service"; `engine_incarnation` changes when the upstream
    restarts; `running` counts the requests that this sidecar has in flight, and
    `suspects` those of them that are suspected poison messages; `reported_running` is
    the upstream's own figure, which lags behind. `placed` and `placement` are the
    versions and the fencing number of the placement row that the sidecar follows.
    """

    name: str
    kind: str
    ready: bool
    role: str = ""
    versions: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    engine_incarnation: str = ""
    running: int = 0
    reported_running: int = 0
    capacity: int = 1
    checks_fencing: bool = True
    suspects: int = 0
    placed: tuple[str, ...] = ()
    placement: int = 0


@frozen
class EvidenceCount:
    """Cumulative results of one version in a move since the sidecar started.

    `route` is the data centre of the entry that sent the work, and `busy` states
    whether the upstream was at least half full. `latencies` and `gaps` hold pairs of a
    histogram bucket and a count: seconds to the first token, and between tokens.
    """

    move: str
    version: str
    route: str
    busy: bool
    answered: int
    failed: int
    latencies: tuple[tuple[int, int], ...] = ()
    gaps: tuple[tuple[int, int], ...] = ()


@frozen
class Heartbeat:
    """Liveness, load and configuration head of a process.

    `clock` is the sender's monotonic clock. It is compared only with expiry times of
    messages to the sender, which peers state on that clock. `answer` is true on the
    reply to a heartbeat, and `echo` is then the clock of the heartbeat that it answers.
    """

    clock: float
    answer: bool
    role: str
    data_centre: str
    leaving: bool
    configuration_head: int
    report: UpstreamReport | None = None
    evidence: tuple[EvidenceCount, ...] = ()
    suspended: tuple[SuspendVersion, ...] = ()
    echo: float = 0.0


@frozen
class EngineDied:
    """Reports the requests that were in flight when an upstream's engine failed.

    `produced` is the progress of each of them at this upstream, in the same order:
    tokens of a generation, or twentieths of a second of a call. `suspects` lists the
    fingerprints of those that were started as suspected poison messages.
    """

    upstream: str
    engine_incarnation: str
    fingerprints: tuple[str, ...]
    produced: tuple[int, ...] = ()
    suspects: tuple[str, ...] = ()


@frozen
class SuspicionNotice:
    """Shares the number of engine failures in which a request was in flight."""

    fingerprint: str
    deaths: int
    quarantined: bool
    seconds_left: float


@frozen
class Leave:
    """Orders a process to drain and stop."""

    name: str
