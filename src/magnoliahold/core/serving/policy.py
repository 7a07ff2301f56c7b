"""Limits and intervals of a serving entry; times are in seconds."""

from __future__ import annotations

from attrs import field, frozen
from attrs.validators import ge, gt

from magnoliahold.core.canary_analysis import DoubtLimits
from magnoliahold.inbound.limits import IntakePolicy


def _positive(default: float) -> float:
    return field(default=default, validator=gt(0))


def _positive_int(default: int) -> int:
    return field(default=default, validator=gt(0))


def _non_negative(default: float) -> float:
    return field(default=default, validator=ge(0))


@frozen
class FeedPolicy:
    """Reads of the platform's store.

    Credentials are accepted while the configuration is known to be the newest from a
    read that was sent at most `proof_max_age_s` ago; the entry reports that it is not
    ready `ready_age_s` after that read. Changes of upstreams and entries are batched
    for `gather_per_upstream_s` times the number of upstreams, at most `gather_max_s`,
    before the next read, since each change wakes all entries. Upstreams whose
    registration is missing after an outage of the store longer than `lapse_after_s`
    have `lapse_grace_s` to register again. For `restore_grace_s` after a restore of the
    store from a copy, others may still be writing there again what the copy lacks.
    """

    configuration_wait_s: float = _positive(1.4)
    upstreams_wait_s: float = _positive(3.0)
    peers_wait_s: float = _positive(20.0)
    moves_wait_s: float = _positive(5.0)
    gather_per_upstream_s: float = _positive(0.02)
    gather_max_s: float = _positive(1.2)
    answer_slack_s: float = _positive(0.8)
    read_timeout_s: float = _positive(1.2)
    retry_min_s: float = _positive(0.1)
    retry_max_s: float = _positive(0.6)
    proof_max_age_s: float = _positive(4.4)
    ready_age_s: float = _positive(3.6)
    lapse_after_s: float = _positive(2.0)
    lapse_grace_s: float = _positive(2.2)
    restore_grace_s: float = _positive(2.2)


@frozen
class RelayPolicy:
    """Proofs of the newest configuration that entries pass on.

    From `min_entries` entries on, `readers` of them poll the store for at most
    `reader_wait_s` and pass on what it proves; the others poll for `follower_wait_s`.
    They poll anew once their proof is older than `max_age_s`, which is well below the
    age at which they would not be ready. A poll that was sent less than `min_call_s`
    ago is not given up.
    """

    min_entries: int = _positive_int(8)
    readers: int = _positive_int(2)
    reader_wait_s: float = _positive(0.6)
    follower_wait_s: float = _positive(12.0)
    max_age_s: float = _positive(2.6)
    min_call_s: float = _positive(0.2)


@frozen
class WatchPolicy:
    """Detection of upstreams that have failed, fallen silent or are slow.

    A stream is silent after `gap_share` of its route's goal for gaps, or `gap_s` if the
    route has none, but not before `gap_times` the mean gap at its upstream. It then
    moves to another upstream if its KV cache has a copy, else after
    `gap_without_copy_s` or when its upstream fails a probe. Upstreams from which
    nothing was received for `probe_after_s` while a stream waits for its first piece
    are probed. A delay of more than `pause_s` between two ticks is a pause of this
    process and doesn't count as silence of upstreams. The weight of outcomes halves
    every `outcome_half_life_s`. Upstreams from which nothing was received since a
    neighbour was suspected or down are avoided for `shaken_s`. What an upstream has
    said about itself is forgotten `signals_kept_s` after its registration is gone.
    """

    scan_s: float = _positive(0.02)
    gap_s: float = _positive(0.25)
    gap_share: float = _non_negative(0.36)
    gap_times: float = _non_negative(4.0)
    gap_without_copy_s: float = _positive(1.5)
    probe_after_s: float = _positive(0.35)
    probe_timeout_s: float = _positive(0.2)
    probe_interval_s: float = _positive(0.35)
    down_probe_s: float = _positive(0.5)
    down_probe_max_s: float = _positive(2.0)
    neighbour_quiet_s: float = _positive(0.06)
    pause_s: float = _positive(0.15)
    outcome_half_life_s: float = _positive(4.0)
    failing_share: float = _non_negative(0.25)
    avoided_share: float = _non_negative(0.5)
    slow_times: float = _positive(2.5)
    shaken_s: float = _positive(4.0)
    signals_kept_s: float = _positive(600.0)


@frozen
class AttemptPolicy:
    """Attempts to run requests, and their retries.

    An idempotent call without an answer is retried at another upstream after
    `repeat_after_s`. A stream that has not begun moves to another upstream, one with at
    most `idle_share` of the load, once the time left to its goal is at most
    `opening_margin` times the mean time to the first piece, but no longer once less
    than that mean is left. Requests without a usable upstream are refused after
    `hold_share` of their goal; streams that have begun are aborted after
    `hold_stream_s` without an upstream to try. While upstreams refuse connections or
    don't answer, begun streams are tried again until their deadline: an upstream that
    starts anew goes on with them, and an abort would lose what their callers have. A
    stream goes to the upstream that has its prompt in its prefix cache unless the load
    there is more than `place_extra_load` above the lowest. Prompts fill at most
    `memory_part` of an upstream's KV cache, since outputs need space too. A stream
    whose deadline leaves less than `opening_part` of the mean time to the first piece
    is refused. An upstream that rejected a request is avoided for `full_s`, and one
    that refused a connection gets no other for `reconnect_s` while it is down.
    Upstreams have `lookup_s` to list the prompts that they have cached; the lists are
    not requested again for `lookup_kept_s`. Refused callers may retry after
    `retry_after_s` on average.
    """

    connect_timeout_s: float = _positive(0.25)
    repeat_after_s: float = _positive(0.35)
    opening_margin: float = _non_negative(1.25)
    idle_share: float = _non_negative(0.5)
    hold_share: float = _non_negative(0.125)
    hold_stream_s: float = _positive(1.5)
    full_s: float = _positive(0.1)
    reconnect_s: float = _positive(0.05)
    place_extra_load: float = _non_negative(4.0)
    memory_part: float = _non_negative(0.85)
    opening_part: float = _non_negative(0.6)
    lookup_s: float = _positive(0.25)
    lookup_kept_s: float = _positive(1.0)
    retry_after_s: float = _positive(0.25)


@frozen
class BudgetPolicy:
    """Retries that all entries together may send to a service.

    Within `window_s`, retries may reach `ratio` times the number of requests for the
    service, plus `extra`. Only `used_part` of that is used, since entries restart and
    don't know at once how many entries there are. Until an entry has read their list,
    it assumes `unknown_entries` of them. One that has just started has `first_part` of
    its extra, at most `first_extra`.
    """

    window_s: float = _positive(10.0)
    ratio: float = _non_negative(0.8)
    extra: float = _non_negative(150.0)
    used_part: float = _non_negative(0.75)
    unknown_entries: int = _positive_int(30)
    first_part: float = _non_negative(0.3)
    first_extra: float = _non_negative(4.0)


@frozen
class CopyPolicy:
    """Copies of the KV caches of streams.

    A holder from which nothing was received for `unheard_s` is probed when it is
    chosen. Copies are ordered after a stream has lost the holder of its copy. They are
    renewed every `renew_s`, since upstreams keep them for a few seconds only, and
    ordered again `retry_s` after a failed order. An upstream has `order_timeout_s` to
    make a copy. A stream waits up to `backoff_wait_s` for a holder that backs off.
    """

    unheard_s: float = _positive(1.0)
    renew_s: float = _positive(2.0)
    retry_s: float = _positive(0.5)
    order_timeout_s: float = _positive(1.5)
    backoff_wait_s: float = _positive(0.6)


@frozen
class VersionPolicy:
    """Moves of services to other versions.

    Of all requests since an order, a bad version may get `exposure_share` and
    `exposure_extra` more; only `allowed_part` of that is used. The new version starts
    with `canary_share` of the requests and gets `grown_share` after `answers_to_grow`
    answers, or after `late_part` of the time; more than that, up to `largest_share`, if
    it would else have fewer than `requests_to_judge` by the end. With evidence against
    it that holds only up to `exposure_in_doubt` requests. A move ends `decide_before_s`
    before its deadline, and ends as done only after `answers_to_end` answers and with
    less evidence against the new version than `doubt_limits`. A version that has just
    appeared gets no requests for `hold_s`, since an order about it may still arrive. An
    entry delays a due step by `turn_s` for each entry ranked before it, at most by
    `turn_max_s`, so that two rarely write the same step.
    """

    exposure_share: float = _non_negative(0.1)
    exposure_extra: float = _non_negative(50.0)
    allowed_part: float = _non_negative(0.7)
    canary_share: float = _non_negative(0.1)
    grown_share: float = _non_negative(0.25)
    largest_share: float = _non_negative(0.5)
    requests_to_judge: int = _positive_int(35)
    answers_to_grow: int = _positive_int(6)
    exposure_in_doubt: int = _positive_int(25)
    late_part: float = _non_negative(0.35)
    answers_to_end: int = _positive_int(3)
    doubt_limits: DoubtLimits = field(factory=DoubtLimits)
    decide_before_s: float = _positive(1.5)
    hold_s: float = _positive(2.0)
    turn_s: float = _positive(0.3)
    turn_max_s: float = _positive(0.9)
    write_timeout_s: float = _positive(1.0)
    write_retry_s: float = _positive(0.2)


@frozen
class SuspicionPolicy:
    """Detection of requests that crash the upstreams that run them.

    A reset connection counts as a crash if the upstream is down afterwards; a reset
    that is still undecided after `settle_max_s` is discarded. Crashes within `settle_s`
    of each other may have a common cause, and a request that was given up there within
    `settle_s` of a crash is under suspicion too. A stream has begun once its upstream
    has lived on for `begun_after_s` after the first piece. New evidence is evaluated
    after `gather_s`, in which that of other entries arrives; a report is sent to them
    for `reported_s`. What `crashes_to_convict` crashes within `crash_kept_s` have in
    common, not all of the same moment, is quarantined; a part with which requests have
    begun before takes `crashes_to_convict_begun`. That is for `quarantine_s`, later for
    at most `max_quarantine_s`. Then the entries try it in turns of `trial_turn_s`, of
    which an entry awaits at most `max_trial_turns`, for `max_quarantine_s` at most.
    Refused callers may retry after `retry_after_s`. At most `max_reports`, `max_begun`
    and `max_quarantines` rows are kept.
    """

    settle_s: float = _positive(0.5)
    settle_max_s: float = _positive(3.0)
    begun_after_s: float = _positive(0.3)
    gather_s: float = _positive(0.25)
    reported_s: float = _positive(3.0)
    crashes_to_convict: int = _positive_int(3)
    crashes_to_convict_begun: int = _positive_int(5)
    crash_kept_s: float = _positive(90.0)
    quarantine_s: float = _positive(45.0)
    max_quarantine_s: float = _positive(3600.0)
    trial_turn_s: float = _positive(5.0)
    max_trial_turns: int = _positive_int(6)
    retry_after_s: float = _positive(10.0)
    write_timeout_s: float = _positive(1.0)
    max_reports: int = _positive_int(256)
    max_begun: int = _positive_int(4096)
    max_quarantines: int = _positive_int(256)


@frozen
class PeerPolicy:
    """Notices that entries send to each other.

    A stream that was sent to an upstream is reported at once; otherwise requests that
    arrive at the same time at several entries would all be sent to the least loaded
    upstream. Other changes are reported at most every `least_interval_s`, an unchanged
    load every `interval_s`. Notices to all peers together use at most `max_bytes_per_s`
    on average over a second or more, so that they leave the link to callers and
    upstreams; half of that is kept for what is urgent. A peer's notice is valid for
    `notice_kept_s`, and the location of a prompt in a prefix cache for `place_kept_s`.
    Registrations of entries from which nothing was received for `removed_after_s` are
    removed.
    """

    least_interval_s: float = _positive(0.04)
    interval_s: float = _positive(1.0)
    max_bytes_per_s: float = _positive(6_250_000.0)
    notice_kept_s: float = _positive(2.5)
    place_kept_s: float = _positive(6.0)
    registration_timeout_s: float = _positive(2.0)
    registration_retry_s: float = _positive(1.0)
    removed_after_s: float = _positive(40.0)


@frozen
class LeavePolicy:
    """Graceful stops: new connections are accepted at first, and all ends by `limit_s`.

    The listener and idle connections are closed after `accept_s`, and every `sweep_s`
    from then on connections that were spared since a first request might be on its way.
    The registration is removed once no request is open, but not before `settle_s`
    later, and at the latest `farewell_s` before `limit_s`. The entry stops `farewell_s`
    after that, once callers have taken their answers, but at the latest `flush_s` after
    `limit_s`. What arrives while the listener is open is accepted if `stream_margin`
    times the mean duration of such requests is left, and what arrives later if that is
    left for the longest.
    """

    accept_s: float = _positive(2.3)
    sweep_s: float = _positive(0.6)
    settle_s: float = _positive(0.3)
    limit_s: float = _positive(7.4)
    farewell_s: float = _positive(0.15)
    flush_s: float = _positive(0.2)
    stream_margin: float = _positive(1.15)


@frozen
class LoadPolicy:
    """Decisions that a deployment with hard load asks for.

    With `by_pace`, streams are placed by the time that they take at the pace of each
    upstream; samples of paces are reported every `pace_interval_s`, and compared every
    `compare_s`. Until streams of a
    service have ended, one is assumed to take `stream_prefills` times its prefill.
    """

    by_pace: bool = False
    pace_interval_s: float = _positive(1.0)
    compare_s: float = _positive(0.25)
    stream_prefills: float = _positive(5.0)


@frozen
class ServingPolicy:
    """All limits and intervals of a serving entry."""

    feeds: FeedPolicy = field(factory=FeedPolicy)
    relay: RelayPolicy = field(factory=RelayPolicy)
    watch: WatchPolicy = field(factory=WatchPolicy)
    attempts: AttemptPolicy = field(factory=AttemptPolicy)
    budget: BudgetPolicy = field(factory=BudgetPolicy)
    copies: CopyPolicy = field(factory=CopyPolicy)
    moves: VersionPolicy = field(factory=VersionPolicy)
    suspicion: SuspicionPolicy = field(factory=SuspicionPolicy)
    peers: PeerPolicy = field(factory=PeerPolicy)
    leave: LeavePolicy = field(factory=LeavePolicy)
    load: LoadPolicy = field(factory=LoadPolicy)
    intake: IntakePolicy = field(factory=IntakePolicy)
