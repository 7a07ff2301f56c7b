"""Fake operators that apply templates and retry unanswered requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, evolve, field, frozen

from magnoliahold.core.administration import (
    ApplyDocument,
    ErrorDocument,
    TemplateApplied,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliahold.core.administration import AnswerOperator
    from magnoliahold.measure.fakes.fleet import Fleet
    from magnoliahold.node import LinkPort
    from magnoliahold.wire.codec import Header
    from magnoliahold.wire.messages import Message

ANSWER_TIMEOUT_S = 10.0
RETRY_S = 0.5


@define(eq=False)
class FakeOperatorPort:
    """The operator port of one entry; keeps every answer by request id."""

    answers: dict[str, AnswerOperator] = field(factory=dict)
    waiting: dict[str, Callable[[AnswerOperator], None]] = field(factory=dict)

    def answer_operator(self, effect: AnswerOperator) -> None:
        """Passes an answer to the operator that waits for it."""
        self.answers[effect.request_id] = effect
        handle_answer = self.waiting.pop(effect.request_id, None)
        if handle_answer is not None:
            handle_answer(effect)


@frozen
class CountingLinks:
    """A link port that passes each message to `count` before sending it."""

    inner: LinkPort
    count: Callable[[Message, Header], None]

    def open_link(self, peer: str, address: str, port: int) -> None:
        """Opens a link."""
        self.inner.open_link(peer, address, port)

    def replace_link(self, peer: str) -> None:
        """Replaces a link."""
        self.inner.replace_link(peer)

    def close_link(self, peer: str) -> None:
        """Closes a link."""
        self.inner.close_link(peer)

    def send_message(self, peer: str, message: Message, header: Header) -> bool:
        """Counts and sends a message."""
        self.count(message, header)
        return self.inner.send_message(peer, message, header)


@define(eq=False)
class Apply:
    """One apply of a template, which is retried until there is a final answer."""

    fleet: Fleet
    event: TemplateApplied
    started_at: float
    attempts: int = 0
    accepted: ApplyDocument | None = None
    refused: ErrorDocument | None = None
    ended_at: float | None = None

    def send(self) -> None:
        """Sends the request to a live entry."""
        self.attempts += 1
        entry = self.fleet.choose_entry()
        if entry is None:
            self.fleet.clock.callLater(RETRY_S, self.send)
            return
        self.fleet.next_serial += 1
        request_id = f"apply-{self.fleet.next_serial}"
        event = evolve(self.event, request_id=request_id)
        process = self.fleet.network.processes[entry]
        port = process.node.ports.operators
        port.waiting[request_id] = self.handle_answer
        process.clock.run_call(lambda: process.node.post_event(event))
        self.fleet.clock.callLater(ANSWER_TIMEOUT_S, self._time_out, self.attempts)

    def handle_answer(self, answer: AnswerOperator) -> None:
        """Handles an answer; retries unless the answer is final."""
        if self.ended_at is not None:
            return
        document = answer.document
        if isinstance(document, ApplyDocument):
            self.accepted = document
        elif isinstance(document, ErrorDocument) and answer.status == 409:
            self.refused = document
        else:
            self.fleet.clock.callLater(RETRY_S, self.send)
            return
        self.ended_at = self.fleet.now()

    def _time_out(self, attempt: int) -> None:
        if self.ended_at is None and self.attempts == attempt:
            self.send()


def add_operator_ports(fleet: Fleet) -> None:
    """Adds an operator port to every entry of a fleet that has none."""
    for name in fleet.list_entries():
        ports = fleet.find_node(name).ports
        if ports.operators is None:
            ports.operators = FakeOperatorPort()


def apply_template(
    fleet: Fleet,
    workspace: str,
    template: bytes,
    expected_version: int | None = None,
) -> Apply:
    """Applies a template through any live entry."""
    fleet.next_serial += 1
    apply_id = f"apply-id-{fleet.next_serial}"
    event = TemplateApplied("", workspace, template, apply_id, expected_version)
    apply = Apply(fleet, event, fleet.now())
    apply.send()
    return apply
