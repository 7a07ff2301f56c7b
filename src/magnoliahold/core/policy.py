"""Tunable limits and intervals of the decisions, in seconds unless named."""

from __future__ import annotations

from attrs import field, frozen
from attrs.validators import ge, gt


def _seconds(default: float) -> float:
    return field(default=default, validator=gt(0))


def _count(default: int) -> int:
    return field(default=default, validator=gt(0))


@frozen
class MembershipPolicy:
    """Heartbeats and the judgement of silent links.

    A link is asked every `heartbeat_s` while it is watched and not heard anyway, else
    every `resting_heartbeat_s`. It is watched while it carries work of ours, and for
    `alarm_s` after any link with work fell silent. A link that is not watched counts as
    silent, and its process as lost, `resting_heartbeat_s` later. A sidecar reports its
    load early when that has changed by `report_step` of the capacity.
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
    """Relay of tokens, detection of silent engines and takeover.

    `local_restarts` bounds how often a sidecar continues a silent stream at its own
    engine. Without `resume_by_prefix` a lost generation starts again from offset 0.
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
    """Queues and refusals.

    Interactive generations that can't begin within their patience are refused, and so
    are arrivals whose predicted wait is over `queued_part` of what they may wait. Batch
    is owed `batch_share` of the cost started while interactive work waits too. A
    waiting generation is given up early when its predicted wait is `doubt` times what
    it has left. The first `free_failures` of a generation are retried for nothing;
    each further one costs a token, of which each new start adds `retry_share`.
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

    New work leaves `reserved_share` of an upstream's slots to resumed work. Above
    `crowded_share` an entry takes only its part of the free slots between two reports.
    An entry may fill its part of the slots even where the others hold more than
    theirs, up to `overfull_share`. Prompts that share their first `prefix_characters`
    go to one upstream while its load is at most `affinity_bound` times the mean. In a
    fleet of more than `known_upstreams`, each is known to `entries_per_upstream`.

    An upstream whose first tokens take `slow_times` the median, and at least
    `slow_min_s`, counts as loaded by `slow_load` more until the evidence is
    `slow_memory_s` old; at most `avoided_share` of the candidates are avoided so.
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

    A sidecar keeps the answer of a run for `answer_kept_s` and the fact that it ran
    for `run_kept_s`. A retry costs one of the tokens that each call adds
    `retry_share` to, up to `retry_burst`.
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
    """Claims of idempotency keys in the table service."""

    patience_s: float = _seconds(1.0)
    resend_s: float = _seconds(0.25)
    grace_s: float = _seconds(0.5)
    retry_after_s: float = _seconds(1.0)
    max_per_transaction: int = _count(64)
    max_result_bytes: int = _count(32_768)
    max_unwritten_results: int = _count(4_096)


@frozen
class QuarantinePolicy:
    """Suspicion of requests that crash their upstreams.

    Two deaths are alike when the request had come equally far but for `alike_tokens`
    or `alike_share`, and a death is at once up to `at_once_tokens` after a start.
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
    """Graceful stops.

    New work is taken for `announce_s` after the announcement, while the balancer still
    sends it; the process stops when it was idle for `settle_s`.
    """

    announce_s: float = _seconds(1.0)
    settle_s: float = _seconds(0.5)
    drain_limit_s: float = _seconds(900.0)
    retry_after_s: float = _seconds(0.5)


@frozen
class ConfigurationPolicy:
    """Commits of workspace rows and their spread between entries.

    Each entry polls the head at `poll_s`, or more rarely so that all entries together
    read it at most `poll_reads_per_s` times a second.
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
    """Moves between versions and the judgement of new ones.

    Evidence is measured as the natural logarithm of a likelihood ratio: from the first
    result on (`total_evidence`), or since the score last fell to zero
    (`recent_evidence`); single routes, and upstreams need
    `slice_evidence` more, busy upstreams `busy_evidence`.
    No stage grows above `doubt_evidence`. `probation_part` and `reserve_part` are parts
    of the time up to the deadline, and `end_margin` the part before it at which a move
    ends in any case. During probation the old version keeps
    `control_share`, so that there is something to compare with. The plain alternative
    judges by a count of `plain_failures` instead; 0 turns it off.
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
    """Loading of versions; a few upstreams of a move at once."""

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
