"""Output of a world: the actions that a daemon performs after a tick."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

from attrs import field, frozen

if TYPE_CHECKING:
    from collections.abc import Mapping

    from magnoliahold.storage.interfaces import Condition, Write
    from magnoliahold.wire.messages import Message

FieldValue: TypeAlias = "str | int | float | bool | None"


@frozen
class SendMessage:
    """Sends a message; the receiver discards it when it is older than `expires_s`.

    With 0 it does not expire.
    """

    receiver: str
    message: Message
    expires_s: float = 0.0


@frozen
class OpenLink:
    """Opens a link to a process, replacing an earlier one."""

    peer: str
    address: str
    port: int


@frozen
class ReplaceLink:
    """Replaces a silent or broken link by a new connection."""

    peer: str


@frozen
class CloseLink:
    """Closes the link to a process that is gone."""

    peer: str


@frozen
class DeliverTokens:
    """Delivers tokens to a caller; the other fields make up its Last-Event-ID.

    For a caller that gets its answer in one piece, a new lineage that begins at offset
    0 replaces the tokens buffered so far; one that begins later continues them.
    """

    request_id: str
    offset: int
    tokens: tuple[str, ...]
    lineage: str
    sidecar: str
    version: str = ""


@frozen
class FinishGeneration:
    """Completes a caller's answer after its last token; `reason` is the engine's."""

    request_id: str
    reason: str
    tokens: int


@frozen
class RefuseRequest:
    """Sends a caller an error as its final answer.

    `ran` is "not_run" or "may_have_run". `retry_after_s` is None when a repeat would
    not help.
    """

    request_id: str
    status: int
    code: str
    message: str
    ran: str = "not_run"
    retry_after_s: float | None = None


@frozen
class AnswerCall:
    """Sends a caller the answer of a plain service."""

    request_id: str
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@frozen
class ReadRow:
    """Reads one row; RowsRead carries the token back."""

    token: str
    table: str
    key: str


@frozen
class ScanRows:
    """Reads rows whose key is greater than `after`; RowsRead carries the token."""

    token: str
    table: str
    after: str = ""
    limit: int = 1000


@frozen
class Transact:
    """Commits writes under conditions; TransactionFinished carries the token."""

    token: str
    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@frozen
class ListInstances:
    """Reads the platform's instance list; InstancesListed answers."""


@frozen
class StartEngineStream:
    """Starts or continues a stream at the engine; each start has a new `handle`."""

    handle: str
    workspace: str
    version: str
    prompt: str
    prefix: tuple[str, ...]
    max_tokens: int
    priority: int


@frozen
class CancelEngineStream:
    """Cancels a stream at the engine."""

    handle: str


@frozen
class PauseEngineStream:
    """Stops reading a stream from the engine."""

    handle: str


@frozen
class ResumeEngineStream:
    """Reads a paused stream again."""

    handle: str


@frozen
class ProbeUpstream:
    """Requests the upstream's state over a new connection; UpstreamProbed answers."""

    timeout_s: float


@frozen
class ReadCacheEvents:
    """Reads cache events after a sequence number; CacheEventsRead answers."""

    after: int


@frozen
class StartServiceCall:
    """Runs one call at the plain service."""

    nonce: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@frozen
class CancelServiceCall:
    """Closes the connection of a call whose result is no longer wanted."""

    nonce: str


@frozen
class SendOrder:
    """Sends an order to the engine; OrderFinished answers.

    `kind` names an operation of the engine's API.
    """

    token: str
    kind: str
    value: str
    fencing: int


@frozen
class LogDecision:
    """Logs one decision: the prefix of a component, a short sentence and fields."""

    component: str
    message: str
    fields: Mapping[str, FieldValue] = field(factory=dict)


@frozen
class ReportError:
    """Logs an unexpected error of a system whose table was emptied."""

    system: str
    error: Exception


@frozen
class CountMetric:
    """Adds to a counter."""

    name: str
    amount: float = 1
    labels: dict[str, str] = field(factory=dict)


@frozen
class RecordMetric:
    """Records one value in a histogram."""

    name: str
    value: float
    labels: dict[str, str] = field(factory=dict)


@frozen
class StopProcess:
    """Stops this process, which has no work in flight any more."""

    reason: str
