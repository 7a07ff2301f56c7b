"""Messages between entries and sidecars.

Every message is an immutable attrs class of plain fields, encoded as MessagePack by
`wire.codec`. Offsets count output tokens of one lineage from 0. Times are in seconds.
"""

from __future__ import annotations

from typing import TypeAlias

from attrs import frozen


@frozen
class UpstreamReport:
    """What a sidecar knows of its upstream.

    `kind` is "engine" or "service"; `engine_incarnation` changes when the upstream
    restarts; `running` counts the work that this sidecar holds; `reported_running` is
    the upstream's own figure, which lags. `placed` and `placement` are the versions and
    the fencing number of the placement row that the sidecar follows.
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

    `route` is the data centre of the entry that sent the work, and `busy` tells
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

    `clock` is the sender's monotonic clock, which only the sender's own deadlines are
    compared with. `answer` is true on the reply to a heartbeat, and `echo` is then the
    clock of the heartbeat that it answers.
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
class StartStream:
    """Asks a sidecar to generate a stream, or to continue one from its prefix.

    `max_tokens` counts the prefix too. `window` is how many tokens the sidecar may
    send beyond the last acknowledged offset. `move` names the move between versions
    that the work is part of, if any.
    """

    lineage: str
    attempt: int
    owner_epoch: int
    workspace: str
    work: str
    version: str
    prompt: str
    prefix: tuple[str, ...]
    max_tokens: int
    priority: int
    fingerprint: str
    suspect: bool
    window: int
    route: str = ""
    move: str = ""
    resumable: bool = True


@frozen
class StreamTokens:
    """Output tokens of one attempt; `end` names the reason on the last message."""

    lineage: str
    attempt: int
    offset: int
    tokens: tuple[str, ...]
    end: str = ""


@frozen
class TokenBundle:
    """Tokens of several streams in one message of a link, in the order of sending.

    Links bundle and unbundle; no other part sees one.
    """

    items: tuple[StreamTokens, ...]


@frozen
class StreamFailed:
    """An attempt ended before its last token.

    `reason` is one of "engine_died", "engine_silent", "refused", "version_missing",
    "leaving", "fenced", "unknown", "expired" or "broken".
    """

    lineage: str
    attempt: int
    reason: str


@frozen
class AckTokens:
    """Acknowledges tokens up to `offset`; `resend` asks for those from it again."""

    lineage: str
    attempt: int
    offset: int
    resend: bool = False


@frozen
class CancelStream:
    """Ends an attempt whose output is no longer wanted.

    With `keep_s` the stream is paused instead and kept so long for a TakeStream.
    """

    lineage: str
    attempt: int
    owner_epoch: int = 0
    keep_s: float = 0.0


@frozen
class TakeStream:
    """Makes the sender the owner of a stream after its former entry was lost.

    It is refused when `fingerprint` is not that of the stream's request.
    """

    lineage: str
    request_id: str
    fingerprint: str


@frozen
class StreamTaken:
    """Answers TakeStream with the whole output so far, or with found=False."""

    lineage: str
    request_id: str
    found: bool
    attempt: int = 0
    owner_epoch: int = 0
    version: str = ""
    tokens: tuple[str, ...] = ()
    end: str = ""


@frozen
class StartCall:
    """Asks a sidecar to run one call of a plain service, once.

    After `expires_at`, on the receiver's clock, the call must not be started any more.
    """

    nonce: str
    workspace: str
    service: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    fingerprint: str = ""
    route: str = ""
    expires_at: float = 0.0
    suspect: bool = False


@frozen
class CallAnswered:
    """The upstream's answer to a call."""

    nonce: str
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@frozen
class CallFailed:
    """A call without an answer; `not_run` is true only when it never ran."""

    nonce: str
    not_run: bool
    reason: str


@frozen
class FenceCall:
    """Asks a sidecar to make sure that a call which has not started never runs.

    `expires_at` is that of the call's StartCall. The sender is told the outcome of a
    call that runs already.
    """

    nonce: str
    expires_at: float = 0.0


@frozen
class CallVerdict:
    """State of a call after FenceCall.

    `verdict` is "fenced", "running", "answered", "lost" or "forgotten"; the last means
    that the call may have run so long ago that no record of it is left.
    An "answered" verdict is followed by CallAnswered when the answer is still kept.
    """

    nonce: str
    verdict: str


@frozen
class EngineDied:
    """Reports the requests that were in flight when an upstream's engine died.

    `produced` is how far each of them had come at this upstream, in the same order:
    tokens of a generation, or twentieths of a second of a call. `suspects` names those
    that were started as suspects.
    """

    upstream: str
    engine_incarnation: str
    fingerprints: tuple[str, ...]
    produced: tuple[int, ...] = ()
    suspects: tuple[str, ...] = ()


@frozen
class SuspicionNotice:
    """Shares deaths of engines that a request was part of between entries."""

    fingerprint: str
    deaths: int
    quarantined: bool
    seconds_left: float


@frozen
class SuspendVersion:
    """Tells that a version must get no new work under the named move."""

    workspace: str
    work: str
    version: str
    move: str
    reason: str


@frozen
class MoveRow:
    """State of one move between versions of a work.

    `state` is a value of `core.moves.MoveState`; `stage` counts from 0; `began` and
    `deadline` are wall-clock seconds since the epoch.
    """

    move: str
    work: str
    from_version: str
    to_version: str
    state: str
    stage: int
    share: float
    began: float
    deadline: float
    reason: str = ""


@frozen
class ApplyNote:
    """An apply that was accepted, by the id that the operator's client chose."""

    apply_id: str
    version: int
    change: int


@frozen
class WorkspaceRow:
    """One accepted workspace configuration with the state of its moves.

    `version` counts accepted templates, `change` is the change-log number of the last
    write, and `revision` the row's version at the table service.
    """

    workspace: str
    version: int
    change: int
    template: bytes
    revision: int = 1
    moves: tuple[MoveRow, ...] = ()
    applies: tuple[ApplyNote, ...] = ()


@frozen
class ConfigurationPush:
    """Every configuration changed after `after_change`, up to `head`."""

    rows: tuple[WorkspaceRow, ...]
    head: int
    after_change: int = 0


@frozen
class StatusPull:
    """Asks an entry what is in force there; an empty workspace asks for all."""

    query: str
    workspace: str = ""


@frozen
class StatusItem:
    """One workspace's version in force, since some seconds."""

    workspace: str
    version: int
    since_s: float


@frozen
class StatusReport:
    """Answers StatusPull."""

    query: str
    items: tuple[StatusItem, ...]


@frozen
class ConfigurationPull:
    """Asks a peer for every configuration changed after `after_change`."""

    after_change: int


@frozen
class PlacementPush:
    """What an upstream should have loaded, by its placement row.

    `fencing` is the row's version at the table service, `head` the change-log number
    of the configuration that it follows from.
    """

    upstream: str
    versions: tuple[str, ...]
    adapters: tuple[str, ...]
    role: str
    fencing: int
    head: int = 0


@frozen
class Leave:
    """Orders a process to drain and stop."""

    name: str


Message: TypeAlias = (
    Heartbeat
    | StartStream
    | StreamTokens
    | TokenBundle
    | StreamFailed
    | AckTokens
    | CancelStream
    | TakeStream
    | StreamTaken
    | StartCall
    | CallAnswered
    | CallFailed
    | FenceCall
    | CallVerdict
    | EngineDied
    | SuspicionNotice
    | SuspendVersion
    | ConfigurationPush
    | ConfigurationPull
    | StatusPull
    | StatusReport
    | PlacementPush
    | Leave
)
