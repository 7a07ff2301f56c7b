"""Tunable limits and intervals; names that end with `_s` are in seconds."""

from __future__ import annotations

from attrs import field, frozen
from attrs.validators import ge, gt


def _seconds(default: float) -> float:
    return field(default=default, validator=gt(0))


def _count(default: int) -> int:
    return field(default=default, validator=gt(0))


@frozen
class MembershipPolicy:
    """Heartbeats and the detection of silent links and lost processes.

    A heartbeat is sent every `heartbeat_s` on a link that is watched and receives no
    other messages, else every `resting_heartbeat_s`. A link is watched while it carries
    work of this process, and for `alarm_s` after any link with work fell silent. It is
    replaced after `link_silent_s` of silence, and its process counts as lost after
    `peer_lost_s`; on a link that is not watched, both happen `resting_heartbeat_s`
    later. A process whose connection was reset counts as lost unless it answers on a
    new one within `broken_link_s`. A silent process that is missing from the instance
    list is removed after `peer_forgotten_s`. A sidecar reports its load early when it
    has changed by `report_step` of the capacity.
    """

    heartbeat_s: float = _seconds(0.25)
    resting_heartbeat_s: float = _seconds(1.0)
    alarm_s: float = _seconds(1.5)
    report_step: float = field(default=0.125, validator=gt(0))
    link_silent_s: float = _seconds(0.4)
    peer_lost_s: float = _seconds(0.75)
    peer_forgotten_s: float = _seconds(60.0)
    list_interval_s: float = _seconds(1.5)
    list_retry_s: float = _seconds(0.5)
    broken_link_s: float = _seconds(0.3)


@frozen
class StreamPolicy:
    """Relay of tokens, detection of silent engines and takeover of streams.

    A stream is silent when its engine has produced no token for `engine_silent_gaps`
    times its mean gap and at least `engine_silent_min_s`, or no first token for
    `first_token_silent_s`. `local_restarts` bounds how often in a row a sidecar
    continues a silent stream at its own engine. `owner_grace_s` is how long it keeps a
    stream whose entry is lost, `buffered_grace_s` one that can't be resumed, and
    `caller_grace_s` one whose caller has disconnected. Without `resume_by_prefix` a
    lost generation starts again from offset 0.
    """

    window_tokens: int = _count(256)
    ack_interval_tokens: int = _count(32)
    engine_silent_min_s: float = _seconds(0.35)
    engine_silent_gaps: float = _seconds(8.0)
    first_token_silent_s: float = _seconds(5.0)
    probe_timeout_s: float = _seconds(0.3)
    probe_interval_s: float = _seconds(0.25)
    local_restarts: int = field(default=2, validator=ge(0))
    ask_again_s: float = _seconds(0.3)
    ask_again_max_s: float = _seconds(2.0)
    take_retry_s: float = _seconds(0.25)
    take_patience_s: float = _seconds(0.7)
    owner_grace_s: float = _seconds(20.0)
    buffered_grace_s: float = _seconds(3.0)
    caller_grace_s: float = _seconds(3.0)
    finished_resent_s: float = _seconds(1.0)
    finished_kept_s: float = _seconds(30.0)
    attempts_kept_s: float = _seconds(300.0)
    resume_by_prefix: bool = True


@frozen
class AdmissionPolicy:
    """Queueing and refusal of generations.

    Interactive generations that can't begin within `interactive_patience_s` are
    refused, and so are arrivals whose predicted wait exceeds `queued_part` of the time
    that they may wait. Batch work is guaranteed `batch_share` of the cost started while
    interactive work waits too. A waiting generation is refused early when its predicted
    wait exceeds `doubt` times the time that it has left. The first `free_failures` of a
    generation are retried for free; each further retry costs a token. Each new start
    adds `retry_share` tokens, up to `retry_burst`.
    """

    max_queued: int = _count(2000)
    interactive_patience_s: float = _seconds(2.0)
    queued_part: float = field(default=0.5, validator=gt(0))
    batch_share: float = field(default=0.1, validator=gt(0))
    token_gap_s: float = _seconds(0.05)
    review_s: float = _seconds(0.25)
    doubt: float = field(default=1.5, validator=gt(0))
    burst_s: float = _seconds(2.0)
    unserved_grace_s: float = _seconds(1.0)
    resume_patience_s: float = _seconds(20.0)
    retry_after_min_s: float = _seconds(0.25)
    retry_after_max_s: float = _seconds(60.0)
    retry_after_jitter: float = field(default=0.25, validator=gt(0))
    max_attempts: int = _count(8)
    free_failures: int = _count(2)
    retry_share: float = field(default=0.2, validator=gt(0))
    retry_burst: int = _count(50)


@frozen
class RoutingPolicy:
    """Choice of upstreams by load and by prompt prefix.

    New work leaves `reserved_share` of an upstream's slots to resumed work. On an
    upstream near capacity, loaded above `crowded_share`, an entry fills only its
    portion of the free slots between two reports. An entry may fill its portion of the
    slots even where the others use more than theirs, up to `overfull_share`. An
    upstream in another data centre counts as loaded by `near_gain` more. Prompts that
    share their first `prefix_characters` go to one upstream while its load is at most
    `affinity_bound` times the mean plus one request, or at most `crowded_share`. In a
    fleet of more than `known_upstreams`, each upstream is known to
    `entries_per_upstream` entries.

    An upstream whose first tokens take `slow_times` the median, and at least
    `slow_min_s`, counts as loaded by `slow_load` more until its last measurement is
    `slow_memory_s` old. At most `avoided_share` of the candidates are treated so.
    """

    reserved_share: float = field(default=0.05, validator=gt(0))
    crowded_share: float = field(default=0.5, validator=gt(0))
    overfull_share: float = field(default=1.25, validator=gt(0))
    near_gain: float = field(default=0.05, validator=ge(0))
    prefix_characters: int = _count(256)
    affinity_bound: float = field(default=1.25, validator=gt(0))
    slow_times: float = field(default=3.0, validator=gt(0))
    slow_min_s: float = _seconds(0.3)
    slow_memory_s: float = _seconds(10.0)
    slow_load: float = _seconds(1.0)
    avoided_share: float = field(default=0.5, validator=gt(0))
    known_upstreams: int = _count(64)
    entries_per_upstream: int = _count(4)


@frozen
class CallPolicy:
    """Calls of plain services.

    A call must start within `start_expires_s` of its dispatch, and its caller gets an
    answer within `answer_patience_s`. A repeatable call is sent to another upstream too
    when it has no answer after `repeat_after_s`; for any other call the sidecar is
    queried every `inquiry_s`. A dispatch counts as lost when its sidecar can't be
    reached for `unreachable_patience_s`. A sidecar keeps the answer of a run for
    `answer_kept_s` and the fact that it ran for `run_kept_s`. A retry costs one token;
    each call adds `retry_share` tokens, up to `retry_burst`.
    """

    start_expires_s: float = _seconds(2.0)
    answer_patience_s: float = _seconds(8.0)
    unreachable_patience_s: float = _seconds(3.0)
    inquiry_s: float = _seconds(1.0)
    repeat_after_s: float = _seconds(1.5)
    max_attempts: int = _count(3)
    retry_share: float = field(default=0.2, validator=gt(0))
    retry_burst: int = _count(20)
    answer_kept_s: float = _seconds(60.0)
    run_kept_s: float = _seconds(3600.0)
    run_limit_s: float = _seconds(120.0)


@frozen
class ClaimPolicy:
    """Claims of idempotency keys in the table service.

    A call whose claim is not stored within `patience_s` is refused. A transaction
    without an answer is sent again after `resend_s`, then at growing intervals. A call
    that finds its key claimed waits `grace_s` before it checks that claim, because a
    query to its sidecar keeps a call that has not started from ever running.
    """

    patience_s: float = _seconds(1.0)
    resend_s: float = _seconds(0.25)
    grace_s: float = _seconds(0.5)
    retry_after_s: float = _seconds(1.0)
    max_per_transaction: int = _count(64)
    max_result_bytes: int = _count(32_768)
    max_unwritten_results: int = _count(4_096)


@frozen
class QuarantinePolicy:
    """Detection and quarantine of poison requests, which crash their upstreams.

    A death is a failure of an upstream while it ran the request. Two deaths are alike
    when the progress of the request differs by at most `alike_tokens` or `alike_share`,
    whichever is more. A death is immediate when it comes within `at_once_tokens` of a
    start. After `deaths_to_quarantine` deaths a request is quarantined if the last two
    are alike or the last is immediate, and without such a pattern after
    `deaths_without_pattern`.
    """

    deaths_to_quarantine: int = _count(2)
    deaths_without_pattern: int = _count(4)
    at_once_tokens: int = _count(1)
    alike_tokens: int = _count(2)
    alike_share: float = field(default=0.03, validator=gt(0))
    clearing_share: float = field(default=0.25, validator=gt(0))
    cleared_after_tokens: int = _count(8)
    quarantine_s: float = _seconds(600.0)
    suspicion_s: float = _seconds(120.0)
    scan_interval_s: float = _seconds(10.0)


@frozen
class DrainPolicy:
    """Graceful shutdown.

    New work is accepted for `announce_s` after the announcement, while the load
    balancer still sends it; the process stops when it has been idle for `settle_s`,
    and waits up to `take_limit_s` until callers have taken their answers.
    After `drain_limit_s` a sidecar returns its remaining streams to their entries,
    which resume them elsewhere.
    """

    announce_s: float = _seconds(1.0)
    settle_s: float = _seconds(0.5)
    take_limit_s: float = _seconds(10.0)
    drain_limit_s: float = _seconds(900.0)
    retry_after_s: float = _seconds(0.5)


@frozen
class ConfigurationPolicy:
    """Commits of workspace rows and their propagation between entries.

    Each entry polls the head every `poll_s`, or less often, so that all entries
    together read it at most `poll_reads_per_s` times a second.
    """

    apply_patience_s: float = _seconds(8.0)
    retry_min_s: float = _seconds(0.01)
    retry_max_s: float = _seconds(0.3)
    settle_interval_s: float = _seconds(0.25)
    poll_s: float = _seconds(1.0)
    poll_reads_per_s: float = _seconds(20.0)
    pull_delay_s: float = _seconds(0.3)
    pull_interval_s: float = _seconds(0.5)
    push_rows: int = _count(200)
    scan_rows: int = _count(500)
    status_patience_s: float = _seconds(1.0)


@frozen
class MovePolicy:
    """Moves, i.e. rollouts to another version, and the canary analysis of new versions.

    A due step of a move is performed by the entry that ranks first. If it does not act,
    the entries that rank after it do, each `step_in_s` later than the one before, but
    none waits longer than `step_in_max_s`.

    Evidence against a new version is the natural logarithm of a likelihood ratio. The
    limit is `total_evidence` when it is counted from the first result on, and
    `recent_evidence` when it is counted since the score last fell to zero. Single
    routes and single upstreams need `slice_evidence` more, busy upstreams
    `busy_evidence`. With evidence of `doubt_evidence` or more, no move enters its next
    stage. `probation_part` and `reserve_part` are fractions of the time up to the
    deadline, and `end_margin` is the fraction before it at which a move ends in any
    case. During probation the old version keeps `control_share`, so that there is
    something to compare with. The plain alternative suspends a version after
    `plain_failures` failures instead; 0 turns it off.
    """

    step_in_s: float = _seconds(1.0)
    step_in_max_s: float = _seconds(5.0)
    stage_min_s: float = _seconds(1.0)
    probation_part: float = field(default=0.25, validator=gt(0))
    reserve_part: float = field(default=0.15, validator=gt(0))
    control_share: float = field(default=0.05, validator=gt(0))
    answered_in_canary: int = _count(12)
    answered_per_stage: int = _count(6)
    end_margin: float = field(default=0.02, validator=gt(0))
    answered_per_route: int = _count(3)
    route_share_min: float = field(default=0.05, validator=gt(0))
    route_unused_s: float = _seconds(3.0)
    gap_window_tokens: int = _count(4)
    gap_interval_s: float = _seconds(5.0)
    reference_fade_s: float = _seconds(20.0)
    reference_min: int = _count(20)
    window_s: float = _seconds(0.5)
    window_min: int = _count(5)
    window_max_s: float = _seconds(6.0)
    failure_floor: float = field(default=0.002, validator=gt(0))
    total_evidence: float = field(default=5.3, validator=gt(0))
    recent_evidence: float = field(default=11.0, validator=gt(0))
    slice_evidence: float = field(default=2.5, validator=gt(0))
    busy_evidence: float = field(default=0.7, validator=gt(0))
    doubt_evidence: float = field(default=1.0, validator=gt(0))
    plain_failures: int = 0


@frozen
class PlacementPolicy:
    """Loading of versions on upstreams, `loads_at_once` of a move at the same time.

    After an order `read_back_s` pass before the next, so that the engine's state is
    read in between; a failed order is repeated after `order_retry_s`. A version that is
    not placed any more is unloaded after it has been idle for `unload_s`.
    """

    interval_s: float = _seconds(0.5)
    loads_at_once: int = _count(2)
    read_back_s: float = _seconds(0.5)
    order_retry_s: float = _seconds(1.0)
    unload_s: float = _seconds(5.0)


@frozen
class Policy:
    """All limits and intervals of one process."""

    tick_s: float = _seconds(0.05)
    full_check_s: float = _seconds(1.0)
    membership: MembershipPolicy = field(factory=MembershipPolicy)
    streams: StreamPolicy = field(factory=StreamPolicy)
    admission: AdmissionPolicy = field(factory=AdmissionPolicy)
    routing: RoutingPolicy = field(factory=RoutingPolicy)
    calls: CallPolicy = field(factory=CallPolicy)
    claims: ClaimPolicy = field(factory=ClaimPolicy)
    quarantine: QuarantinePolicy = field(factory=QuarantinePolicy)
    drain: DrainPolicy = field(factory=DrainPolicy)
    configuration: ConfigurationPolicy = field(factory=ConfigurationPolicy)
    moves: MovePolicy = field(factory=MovePolicy)
    placement: PlacementPolicy = field(factory=PlacementPolicy)
