"""Judges requests that ended without their answer in planned work."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from attrs import define, field, frozen

from magnoliahold.soak.processes import STOP_GRACE_S

if TYPE_CHECKING:
    from magnoliahold.soak.guarantees import GuaranteeChecker

TIMED_OUT_UPSTREAM = 504
# A request that crosses a close, and isn't passed on, ends within this time.
CROSSING_S = 0.2
# How long after a request has ended its run is recorded at the latest.
RECORDING_S = 0.3
# A request that was sent this soon after the order to stop may be cut if it still runs
# in the last part of the grace.
CUTTABLE_S = 3.0
CUT_PART = 1 / 6


@frozen
class Stop:
    """An order to stop an entry."""

    port: int
    at: float


@frozen
class Loss:
    """A request that ended without the answer to it.

    `status` is that of the answer that came instead, 0 if none did. `sent_at` is when
    its last byte was sent, infinite if it wasn't. `behind_cut` is set if it was sent
    behind a stream of a half-closed caller that was cut: no answer can follow that.
    """

    request_id: str
    status: int
    timeout_s: float
    sent_at: float
    ended_at: float
    port: int
    behind_cut: bool = False


@define(eq=False)
class LossJudge:
    """Records a violation for each loss that planned work doesn't excuse.

    `stops` are the orders to stop of all entries.
    """

    reactor: Any
    checker: GuaranteeChecker
    stops: list[Stop] = field(factory=list)

    def examine(self, loss: Loss) -> None:
        """Judges a loss once upstreams have recorded whether it was passed on."""
        if math.isinf(loss.sent_at):
            self.checker.checked["ended midway"] += 1
            return
        self.reactor.callLater(RECORDING_S, self._judge, loss)

    def _judge(self, loss: Loss) -> None:
        excuse = self._find_excuse(loss)
        if excuse:
            self.checker.checked[excuse] += 1
        else:
            self.checker.record_violation("answer lost", self._describe(loss))

    def _find_excuse(self, loss: Loss) -> str:
        passed_on = loss.request_id in self.checker.runs
        lasted_s = loss.ended_at - loss.sent_at
        if not loss.status and not passed_on and lasted_s <= CROSSING_S:
            return "crossed a close"
        if loss.behind_cut and not loss.status and not passed_on:
            return "behind a cut stream"
        if loss.status == TIMED_OUT_UPSTREAM and lasted_s >= loss.timeout_s:
            return "deadline reached"
        stopped_at = self._find_stop(loss)
        if stopped_at is None or not passed_on:
            return ""
        is_early = loss.sent_at - stopped_at <= CUTTABLE_S
        cut_from_s = STOP_GRACE_S * (1 - CUT_PART)
        if is_early and loss.ended_at - stopped_at >= cut_from_s:
            return "cut at the end of a grace"
        return ""

    def _find_stop(self, loss: Loss) -> float | None:
        """Finds when the entry of a loss was last told to stop."""
        times = [stop.at for stop in self.stops if stop.port == loss.port]
        return max((at for at in times if at <= loss.ended_at), default=None)

    def _describe(self, loss: Loss) -> str:
        stopped_at = self._find_stop(loss)
        since = (
            "no stop" if stopped_at is None else f"{loss.sent_at - stopped_at:.2f} s"
        )
        return (
            f"{loss.request_id} got {loss.status or 'no answer'}"
            f" after {loss.ended_at - loss.sent_at:.2f} s"
            f", passed on: {loss.request_id in self.checker.runs}"
            f", sent after the order to stop: {since}"
        )
