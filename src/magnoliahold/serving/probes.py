"""Probes whether upstreams respond."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import define
from twisted.internet.protocol import Protocol
from twisted.web._newclient import Request

from magnoliahold.core.serving.events import UpstreamAnsweredProbe, UpstreamFailedProbe
from magnoliahold.decoding import describe_error
from magnoliahold.httpconnections import describe_failure, is_timeout
from magnoliahold.logs import make_part_logger
from magnoliahold.platform.upstreams import (
    REPORT_PATH,
    make_probe_headers,
    read_answer_head,
)
from magnoliahold.serving.connections import ConnectionFactory

if TYPE_CHECKING:
    from twisted.python.failure import Failure

    from magnoliahold.core.serving.upstreams import UpstreamRecord
    from magnoliahold.serving.connections import UpstreamConnection
    from magnoliahold.serving.upstreamexchanges import UpstreamExchanges

MAX_PROBE_WIRE_BYTES = 256 * 1024

logger = make_part_logger("upstreams")


@define(eq=False)
class Probe:
    """One probe of an upstream.

    `done` is set when its result is known, `finished` when its answer is complete.
    """

    exchanges: UpstreamExchanges
    record: UpstreamRecord
    connection: UpstreamConnection
    timeout_s: float
    done: bool = False
    finished: bool = False
    connector: Any = None

    def start(self) -> None:
        """Connects and sends the request; `timeout_s` limits both together."""
        reactor = self.exchanges.reactor
        factory = ConnectionFactory(
            self.connection,
            lambda reason: self._fail(describe_failure(reason), is_timeout(reason)),
            self._send_request,
        )
        self.connector = factory.connect(reactor, self.record, self.timeout_s)
        reactor.callLater(self.timeout_s, self._read_once_more)

    def _send_request(self, connection: UpstreamConnection) -> None:
        headers = make_probe_headers(self.record)
        request = Request._construct(b"GET", REPORT_PATH, headers, None, True)
        answer: Any = connection.request(request)
        answer.addCallbacks(
            self._succeed, lambda failure: self._fail(describe_failure(failure))
        )
        answer.addErrback(self._handle_error)

    def _succeed(self, response: Any) -> None:
        self.connection.allow_bytes(MAX_PROBE_WIRE_BYTES)
        response.deliverBody(_ProbeReader(self))
        if self._is_misdirected(response):
            self._fail("another upstream has its address")
        elif not self.done:
            self.done = True
            record = self.record
            self.exchanges.post(UpstreamAnsweredProbe(record.id, record.born_ms))

    def _is_misdirected(self, response: Any) -> bool:
        """Reads the head; one that can't be read still shows that something answers."""
        try:
            self.exchanges.report_signal(self.record, response)
            return read_answer_head(response.code, response.headers).misdirected
        except Exception as error:
            logger.gather(
                "Answer to a probe can't be read.",
                upstream=self.record.id,
                reason=describe_error(error),
            )
            return False

    def _handle_error(self, failure: Failure) -> None:
        """Ends a probe whose answer could not be handled."""
        reason = describe_failure(failure)
        logger.error("Probe failed.", upstream=self.record.id, reason=reason)
        self.connection.reset_now()
        self._fail(reason)

    def _read_once_more(self) -> None:
        """Ends in the next pass: after a pause, the answer may wait to be read."""
        self.exchanges.reactor.callLater(0, self._time_out)

    def _time_out(self) -> None:
        self._fail("no answer to a probe", silent=True)
        if not self.finished:
            self.connection.reset_now()

    def _fail(self, reason: str, silent: bool = False) -> None:
        if self.done:
            return
        self.done = True
        if self.connector is not None:
            self.connector.disconnect()
        record = self.record
        failed = UpstreamFailedProbe(record.id, record.born_ms, reason, silent)
        self.exchanges.post(failed)


class _ProbeReader(Protocol):
    """Discards the body of the answer to a probe."""

    def __init__(self, probe: Probe) -> None:
        self._probe = probe

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self._probe.finished = True
