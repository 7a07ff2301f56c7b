"""Input of a world: the events since the last tick."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar

from attrs import define, field, frozen

if TYPE_CHECKING:
    from magnoliahold.core.identity import Sender
    from magnoliahold.storage.interfaces import Instance, Row, TransactionOutcome

E = TypeVar("E")
M = TypeVar("M")


@frozen
class Received(Generic[M]):
    """A message that arrived on a link."""

    sender: Sender
    message: M


@frozen
class MessageExpired:
    """A received message that was discarded: too old, or for an earlier incarnation."""

    sender: Sender
    message: object


@frozen
class MessageUnsent:
    """A message that was never written to a socket; its receiver will not get it."""

    receiver: str
    message: object


@frozen
class EventId:
    """A position in a stream; callers send it back as Last-Event-ID.

    `offset` is the number of tokens that the caller has received and `version` the
    upstream version that generates them.
    """

    lineage: str
    sidecar: str
    offset: int
    version: str = ""


@frozen
class GenerationArrived:
    """A caller requests a generation.

    `resume_from` is set when the caller reconnects to an interrupted stream. `prefix`
    then holds the tokens that it already has, if it sent them back; their number equals
    the offset.
    """

    request_id: str
    workspace: str
    work: str
    prompt: str
    max_tokens: int
    stream: bool
    fingerprint: str
    resume_from: EventId | None = None
    prefix: tuple[str, ...] = ()


@frozen
class CallArrived:
    """A caller requests one call of a plain service."""

    request_id: str
    workspace: str
    service: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    fingerprint: str
    idempotency_key: str = ""


@frozen
class CallerDisconnected:
    """A caller closed its connection before its answer was complete."""

    request_id: str


@frozen
class CallerPaused:
    """A caller reads more slowly than its stream is produced."""

    request_id: str


@frozen
class CallerResumed:
    """A caller reads again after CallerPaused."""

    request_id: str


@frozen
class TransactionFinished:
    """Outcome of a Transact effect; None when no answer came."""

    token: str
    outcome: TransactionOutcome | None


@frozen
class RowsRead:
    """Outcome of ReadRow (no or one row) or ScanRows; None when no answer came."""

    token: str
    rows: tuple[Row, ...] | None


@frozen
class InstancesListed:
    """The platform's instance list; None when no answer came."""

    instances: tuple[Instance, ...] | None


@frozen
class LeaveRequested:
    """This process was asked to drain and stop."""

    reason: str


@frozen
class LinkBroke:
    """The connection to a peer was reset or closed by the other end."""

    peer: str


@frozen
class StreamProduced:
    """The engine produced tokens of a stream that this sidecar runs.

    `offset` counts from the start of the lineage. `end` is empty until the last token.
    """

    handle: str
    offset: int
    tokens: tuple[str, ...]
    end: str = ""


@frozen
class StreamBroke:
    """A stream of the engine ended early; reasons are those of StreamFailed."""

    handle: str
    reason: str


@frozen
class UpstreamProbed:
    """Result of a probe over a new connection; `state` is None when it failed."""

    state: ProbedState | None


@frozen
class ProbedState:
    """State of an upstream as reported by its own API."""

    incarnation: str
    versions: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    role: str = ""
    running: int = 0
    capacity: int = 1
    fencing: int = 0


@frozen
class ServiceAnswered:
    """The plain service answered a call."""

    nonce: str
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@frozen
class ServiceFailed:
    """A call of the plain service failed; `not_sent`: no byte left this process."""

    nonce: str
    not_sent: bool
    reason: str


@frozen
class OrderFinished:
    """Outcome of an order: "done", "stale_fencing", "failed" or "lost"."""

    token: str
    outcome: str


@frozen
class CacheEventsRead:
    """Cache events of the engine; `first` and `last` reveal gaps in the sequence."""

    stored: tuple[str, ...]
    evicted: tuple[str, ...]
    first: int
    last: int


@define
class Inbox:
    """Events of the current tick, by their class or by their message's class.

    `senders` holds, by name, every process that sent a message in this tick.
    """

    _events: dict[type, list[object]] = field(factory=dict)
    senders: dict[str, Sender] = field(factory=dict)

    def add_event(self, event: object) -> None:
        """Adds an event; a Received message is stored under the message's class."""
        kind = type(event)
        if isinstance(event, Received):
            kind = type(event.message)
            self.senders[event.sender.name] = event.sender
        self._events.setdefault(kind, []).append(event)

    def read_events(self, kind: type[E]) -> list[E]:
        """Reads the events of one class in order of arrival."""
        return self._events.get(kind, [])  # type: ignore[return-value]

    def read_messages(self, kind: type[M]) -> list[Received[M]]:
        """Reads the received messages of one class in order of arrival."""
        return self._events.get(kind, [])  # type: ignore[return-value]

    def consume_events(self, kind: type[E]) -> list[E]:
        """Removes and returns the events of one class; later systems don't get them."""
        return self._events.pop(kind, [])  # type: ignore[return-value]

    def clear_events(self) -> None:
        """Removes the events of the tick that has ended."""
        self._events.clear()
        self.senders.clear()
