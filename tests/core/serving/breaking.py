"""Upstreams that break off, beside all that `SoundEnvironment` changes.

They also answer early and twice, start anew, and lose their address to another service.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import define, evolve, field

from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import RefuseCaller
from magnoliahold.core.serving.events import (
    AnswerHead,
    AnswerReceived,
    AttemptInterrupted,
    AttemptNotSent,
    AttemptSent,
    PiecesReceived,
    StreamEnded,
    StreamOpened,
)
from tests.core.serving.changing import SERVICES, SoundEnvironment
from tests.core.serving.harness import make_upstream
from tests.core.serving.test_random import STREAM_PIECES

if TYPE_CHECKING:
    from magnoliahold.core.serving.effects import AbortAnswer
    from tests.core.serving.test_random import Run


@define
class BreakingEnvironment(SoundEnvironment):
    """Upstreams that also break off, start anew and answer what they should not.

    `failed` are the requests of which an upstream has failed an attempt.
    """

    failed: set[int] = field(factory=set)
    ended: list[Run] = field(factory=list)

    def change_upstream(self) -> None:
        """Draws also new starts, and addresses that another service takes over."""
        record = self.random.choice(list(self.upstreams.values()))
        choice = self.random.choice(("restart", "reuse", "remove", "other", "other"))
        if choice == "restart":
            self.register(evolve(record, born_ms=record.born_ms + 1, leaving=False))
        elif choice == "reuse":
            self.next_upstream += 1
            new = make_upstream(self.next_upstream, self.random.choice(SERVICES))
            self.remove_upstream(record)
            self.register(evolve(new, address=record.address, port=record.port))
        elif choice == "remove":
            self.remove_upstream(record)
        else:
            super().change_upstream()

    def draw_events(self) -> Any:
        """Draws also events of attempts that have ended already."""
        if self.ended and self.random.random() < 0.1:
            run = self.random.choice(self.ended[-20:])
            number = run.send.attempt
            head = AnswerHead(200, run.request.request_id, signed=True)
            yield self.random.choice(
                (
                    AnswerReceived(number, head),
                    StreamOpened(number, head),
                    PiecesReceived(number, STREAM_PIECES, 1),
                    StreamEnded(number),
                    AttemptInterrupted(number, "connection lost", True),
                )
            )
        yield from super().draw_events()

    def draw_run(self, run: Run) -> Any:
        """Draws what an upstream does with an attempt that it may break off."""
        number = run.send.attempt
        current = self.upstreams.get(run.send.upstream.id)
        chance = self.random.random()
        if current is None or current.born_ms != run.send.upstream.born_ms:
            chance = min(chance, 0.2)
        if chance < 0.01 or (chance == 0.2 and self.random.random() < 0.3):
            self.end_run(run)
            if run.sent:
                self.count_run(run)
                yield AttemptInterrupted(number, "connection lost", True)
            else:
                yield AttemptNotSent(number, "refused", self.random.random() < 0.5)
        elif chance < 0.02:
            self.end_run(run)
            name = self.random.choice((run.request.request_id, "", "other"))
            status = self.random.choice((500, 404, 421, 503))
            misdirected = status == 421
            head = AnswerHead(status, name, signed=not misdirected)
            if misdirected:
                head = evolve(head, not_run=True, misdirected=True)
            else:
                self.count_run(run)
            yield AnswerReceived(number, head)
        elif chance < 0.04 and not run.sent and not self.is_stream(run):
            self.end_run(run)
            self.count_run(run)
            head = AnswerHead(200, run.request.request_id, signed=True)
            yield AnswerReceived(number, head)
            yield AttemptSent(number)
        else:
            yield from super().draw_run(run)
            if number not in self.runs:
                self.ended.append(run)

    def is_stream(self, run: Run) -> bool:
        """Tells whether an attempt is one of a stream."""
        return self.kinds[run.request.handle] is RouteKind.STREAM

    def end_run(self, run: Run) -> None:
        """Ends an attempt that its upstream has failed."""
        del self.runs[run.send.attempt]
        self.ended.append(run)
        self.failed.add(run.request.handle)

    def check_failure(self, effect: AbortAnswer | RefuseCaller) -> None:
        """Checks that a stream is cut only after an upstream has failed it.

        What others have failed may also have used up the retries.
        """
        if isinstance(effect, RefuseCaller) or effect.handle in self.failed:
            return
        world = self.harness.world
        budget = world.find_budget(self.served[effect.handle].service)
        left = budget.count_remaining(self.harness.now, world.count_entries())
        if left >= 1:
            super().check_failure(effect)
