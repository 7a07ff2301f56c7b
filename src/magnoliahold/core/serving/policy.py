"""Limits and intervals of a serving entry, in seconds unless named."""

from __future__ import annotations

from attrs import field, frozen
from attrs.validators import ge, gt


def _seconds(default: float) -> float:
    return field(default=default, validator=gt(0))


def _count(default: int) -> int:
    return field(default=default, validator=gt(0))


def _part(default: float) -> float:
    return field(default=default, validator=ge(0))


@frozen
class FeedPolicy:
    """Reads of the platform's store.

    Credentials are trusted while the configuration was proved the newest by a read
    that was sent at most `proof_max_age_s` ago; callers are asked to go elsewhere
    `ready_age_s` after the last proof. Changes of upstreams and entries are gathered
    for `gather_per_upstream_s` times the number of upstreams, at most `gather_max_s`,
    before the next read, since each wakes all entries. Upstreams whose registration is
    missing after an outage longer than `lapse_after_s` have `lapse_grace_s` to register
    again.
    """

    configuration_wait_s: float = _seconds(1.4)
    upstreams_wait_s: float = _seconds(3.0)
    peers_wait_s: float = _seconds(20.0)
    moves_wait_s: float = _seconds(5.0)
    gather_per_upstream_s: float = _seconds(0.008)
    gather_max_s: float = _seconds(0.5)
    answer_slack_s: float = _seconds(0.8)
    read_timeout_s: float = _seconds(1.2)
    retry_min_s: float = _seconds(0.1)
    retry_max_s: float = _seconds(0.6)
    proof_max_age_s: float = _seconds(4.4)
    ready_age_s: float = _seconds(3.6)
    lapse_after_s: float = _seconds(2.0)
    lapse_grace_s: float = _seconds(2.2)


@frozen
class WatchPolicy:
    """Detection of upstreams that died, fell silent or are slow.

    A stream is silent after `gap_share` of its route's longest pause, `gap_s` where the
    route names none, but not before `gap_times` the mean pause at its upstream. Then it
    moves if its memory has a copy, else after `gap_without_copy_s` or when its upstream
    fails a probe. Upstreams that were
    not heard for `probe_after_s` while a stream waits for its first piece are probed.
    A gap of more than `pause_s` between two ticks is a pause of this process, which
    says nothing about others. Outcomes count half after `outcome_half_life_s`.
    Upstreams that were not heard since a neighbour was in trouble are avoided for
    `shaken_s`.
    """

    scan_s: float = _seconds(0.02)
    gap_s: float = _seconds(0.25)
    gap_share: float = _part(0.36)
    gap_times: float = _part(4.0)
    gap_without_copy_s: float = _seconds(1.5)
    probe_after_s: float = _seconds(0.35)
    probe_timeout_s: float = _seconds(0.2)
    probe_interval_s: float = _seconds(0.35)
    down_probe_s: float = _seconds(0.5)
    down_probe_max_s: float = _seconds(2.0)
    neighbour_quiet_s: float = _seconds(0.06)
    pause_s: float = _seconds(0.15)
    outcome_half_life_s: float = _seconds(4.0)
    failing_share: float = _part(0.25)
    avoided_share: float = _part(0.5)
    slow_times: float = _seconds(2.5)
    shaken_s: float = _seconds(4.0)


@frozen
class AttemptPolicy:
    """Attempts of requests and their repeats.

    An idempotent call without an answer is repeated elsewhere after `repeat_after_s`.
    An upstream that has not begun a stream is left when `opening_margin` times the mean
    opening is left of its goal, for one that has at most `idle_share` of the work, but
    not once less than the mean opening is left. Requests without a usable upstream are
    refused after `hold_share` of their goal, streams that are under way are cut after
    `hold_stream_s`. A stream goes to the upstream that has read
    its prompt before unless the load there is `place_extra_load` above the lowest.
    Prompts fill at most `memory_part` of an upstream's memory: outputs need some too.
    A stream with less patience than `opening_part` of what openings take is refused.
    Upstreams have `lookup_s` to tell which prompts they keep; what they told is not
    asked again for `lookup_kept_s`.
    """

    connect_timeout_s: float = _seconds(0.25)
    repeat_after_s: float = _seconds(0.35)
    opening_margin: float = _part(1.25)
    idle_share: float = _part(0.5)
    hold_share: float = _part(0.125)
    hold_stream_s: float = _seconds(1.5)
    full_s: float = _seconds(0.1)
    place_extra_load: float = _part(4.0)
    memory_part: float = _part(0.85)
    opening_part: float = _part(0.6)
    lookup_s: float = _seconds(0.25)
    lookup_kept_s: float = _seconds(1.0)
    retry_after_s: float = _seconds(0.25)


@frozen
class BudgetPolicy:
    """Repeats that all entries together may send to a service.

    Within `window_s` there may be `ratio` of the requests for it and `extra` more.
    `used_part` of that is used, since entries restart and don't know at once how many
    they are. An entry that knows no others takes them for `unknown_entries`. One that
    has just started has `first_part` of its extra, at most `first_extra`.
    """

    window_s: float = _seconds(10.0)
    ratio: float = _part(0.8)
    extra: float = _part(150.0)
    used_part: float = _part(0.75)
    unknown_entries: int = _count(30)
    first_part: float = _part(0.3)
    first_extra: float = _part(4.0)


@frozen
class CopyPolicy:
    """Copies of the memory of streams.

    A holder that was not heard for `unheard_s` is probed when it is chosen. Copies are
    ordered after a stream lost its copy's holder. They are renewed each `renew_s`,
    since upstreams keep them for few seconds, and ordered again after `retry_s` where
    that failed. An upstream has `order_timeout_s`.
    """

    unheard_s: float = _seconds(1.0)
    renew_s: float = _seconds(2.0)
    retry_s: float = _seconds(0.5)
    order_timeout_s: float = _seconds(1.5)


@frozen
class VersionPolicy:
    """Moves of services to other versions.

    Of all requests since an order a bad version may get `exposure_share` and
    `exposure_extra` more; `allowed_part` of that is used. It starts with
    `canary_share` of the requests and gets `grown_share` after `answers_to_grow`
    answers, or after `late_part` of the time. A move ends `decide_before_s` its
    deadline, as done only after `answers_to_end` answers and with less than
    `end_evidence` against it, a natural logarithm of a likelihood ratio. A version that
    has just appeared gets no requests for `hold_s`, in which an order about it may
    come. Entries leave a step to those before them for `turn_s` each, `turn_max_s` in
    all.
    """

    exposure_share: float = _part(0.1)
    exposure_extra: float = _part(50.0)
    allowed_part: float = _part(0.7)
    canary_share: float = _part(0.1)
    grown_share: float = _part(0.25)
    answers_to_grow: int = _count(6)
    late_part: float = _part(0.35)
    answers_to_end: int = _count(3)
    end_evidence: float = _part(3.0)
    decide_before_s: float = _seconds(1.5)
    hold_s: float = _seconds(2.0)
    turn_s: float = _seconds(0.3)
    turn_max_s: float = _seconds(0.9)
    write_timeout_s: float = _seconds(1.0)
    write_retry_s: float = _seconds(0.2)


@frozen
class SuspicionPolicy:
    """Requests that crash the upstreams that run them.

    A reset connection counts as a crash if the upstream is still lost `settle_s` later,
    and no other upstream of the service was lost within that time of it; it is settled
    after `settle_max_s` in any case. `crashes_to_convict` within `crash_kept_s`
    quarantine a request for `quarantine_s`; its callers may come back after
    `retry_after_s`.
    """

    settle_s: float = _seconds(0.5)
    settle_max_s: float = _seconds(3.0)
    crashes_to_convict: int = _count(3)
    crash_kept_s: float = _seconds(120.0)
    quarantine_s: float = _seconds(600.0)
    retry_after_s: float = _seconds(10.0)
    write_timeout_s: float = _seconds(1.0)


@frozen
class PeerPolicy:
    """What entries tell each other.

    A stream that was sent to an upstream is told at once, or requests that come at the
    same time at several entries would all be sent to the idlest upstream. Other changes
    are told at most every `least_interval_s`, an unchanged load every `interval_s`.
    What a peer told counts for `notice_kept_s`, and where a prompt was read for
    `place_kept_s`. Registrations of entries that were not heard for `removed_after_s`
    are removed.
    """

    least_interval_s: float = _seconds(0.04)
    interval_s: float = _seconds(1.0)
    notice_kept_s: float = _seconds(2.5)
    place_kept_s: float = _seconds(6.0)
    registration_timeout_s: float = _seconds(2.0)
    registration_retry_s: float = _seconds(1.0)
    removed_after_s: float = _seconds(40.0)


@frozen
class LeavePolicy:
    """Graceful stops: new work is taken for `accept_s`, and all ends by `limit_s`.

    A stream is only taken if `stream_margin` times their mean duration is left.
    """

    accept_s: float = _seconds(2.3)
    settle_s: float = _seconds(0.3)
    limit_s: float = _seconds(7.4)
    farewell_s: float = _seconds(0.15)
    stream_margin: float = _seconds(1.15)


@frozen
class ServingPolicy:
    """All limits and intervals of a serving entry."""

    feeds: FeedPolicy = field(factory=FeedPolicy)
    watch: WatchPolicy = field(factory=WatchPolicy)
    attempts: AttemptPolicy = field(factory=AttemptPolicy)
    budget: BudgetPolicy = field(factory=BudgetPolicy)
    copies: CopyPolicy = field(factory=CopyPolicy)
    moves: VersionPolicy = field(factory=VersionPolicy)
    suspicion: SuspicionPolicy = field(factory=SuspicionPolicy)
    peers: PeerPolicy = field(factory=PeerPolicy)
    leave: LeavePolicy = field(factory=LeavePolicy)
