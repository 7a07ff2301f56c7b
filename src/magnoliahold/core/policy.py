"""Tunable limits and intervals of the decisions, in seconds unless named."""

from __future__ import annotations

from attrs import field, frozen
from attrs.validators import gt


def _seconds(default: float) -> float:
    return field(default=default, validator=gt(0))


def _count(default: int) -> int:
    return field(default=default, validator=gt(0))


@frozen
class MembershipPolicy:
    """Heartbeats and the judgement of silent links."""

    heartbeat_s: float = _seconds(0.25)
    link_silent_s: float = _seconds(0.7)
    peer_lost_s: float = _seconds(1.1)
    peer_forgotten_s: float = _seconds(60.0)
    list_interval_s: float = _seconds(5.0)


@frozen
class StreamPolicy:
    """Relay of tokens and detection of silent engines."""

    window_tokens: int = _count(256)
    ack_interval_tokens: int = _count(32)
    engine_silent_min_s: float = _seconds(0.5)
    engine_silent_gaps: float = _seconds(8.0)
    first_token_silent_s: float = _seconds(5.0)
    probe_timeout_s: float = _seconds(0.3)
    probe_interval_s: float = _seconds(0.25)
    owner_grace_s: float = _seconds(20.0)
    finished_kept_s: float = _seconds(30.0)


@frozen
class AdmissionPolicy:
    """Queues and refusals."""

    max_queued: int = _count(2000)
    default_queued_per_workspace: int = _count(200)
    interactive_patience_s: float = _seconds(10.0)
    default_deadline_s: float = _seconds(600.0)
    max_attempts: int = _count(8)


@frozen
class CallPolicy:
    """Calls of plain services."""

    start_expires_s: float = _seconds(2.0)
    answer_patience_s: float = _seconds(8.0)
    verdict_patience_s: float = _seconds(1.0)
    answer_kept_s: float = _seconds(60.0)


@frozen
class QuarantinePolicy:
    """Suspicion of requests that crash engines."""

    deaths_to_quarantine: int = _count(2)
    quarantine_s: float = _seconds(600.0)
    cleared_after_tokens: int = _count(32)


@frozen
class DrainPolicy:
    """Graceful stops."""

    announce_s: float = _seconds(1.0)
    drain_limit_s: float = _seconds(900.0)


@frozen
class Policy:
    """All limits and intervals of one process."""

    tick_s: float = _seconds(0.05)
    membership: MembershipPolicy = field(factory=MembershipPolicy)
    streams: StreamPolicy = field(factory=StreamPolicy)
    admission: AdmissionPolicy = field(factory=AdmissionPolicy)
    calls: CallPolicy = field(factory=CallPolicy)
    quarantine: QuarantinePolicy = field(factory=QuarantinePolicy)
    drain: DrainPolicy = field(factory=DrainPolicy)
