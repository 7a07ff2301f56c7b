"""Tests of reading and building the headers of requests and answers."""

from __future__ import annotations

import unittest
from typing import Any

from twisted.web.http_headers import Headers

from magnoliahold.core.serving.effects import SendAttempt
from magnoliahold.core.serving.events import UpstreamSignalled
from magnoliahold.core.serving.requests import CopyReference, PromptPart
from magnoliahold.core.serving.upstreams import UpstreamRecord
from magnoliahold.platform.callers import BadRequest, read_caller_request
from magnoliahold.platform.upstreams import (
    is_event_stream,
    list_answer_headers,
    make_upstream_headers,
    read_answer_head,
    read_signal,
    read_signal_of_pairs,
)

RECORD = UpstreamRecord("i-1", "s-1", "10.0.0.1", 8080, "z-1")
STARTED = UpstreamRecord("i-1", "s-1", "10.0.0.1", 8080, "z-1", born_ms=7)
RECEIVED = {
    "Host": "host.example",
    "Request-Id": "abc",
    "Authorization": "Token secret",
    "Deadline-Ms": "25000",
    "Model": "m",
    "Token-Usage": "8200,780",
    "Prompt-Prefix": "5c1e:200,91bd:8000",
}
FORGED = (
    "Tenant",
    "Expect-Instance",
    "Request-Priority",
    "Kv-Backup",
    "Kv-From",
    "Kv-Fetch",
    "Hold",
    "Pin-Ms",
    "Expect-Version",
)
HOP_BY_HOP = ("Connection", "Keep-Alive", "TE", "Upgrade", "Transfer-Encoding")


def make_send(**changes: Any) -> SendAttempt:
    """Makes an attempt whose deadline is in 1.5 s."""
    values: dict[str, Any] = {
        "attempt": 1,
        "handle": 1,
        "request_id": "r-1",
        "upstream": RECORD,
        "workspace": "w-1",
        "deadline_s": 1.5,
        "connect_timeout_s": 0.25,
        "priority": 4,
        "takes_stream": True,
        **changes,
    }
    return SendAttempt(**values)


def make_limit(per_s: float) -> UpstreamSignalled:
    """Makes the event of an upstream that names a limit."""
    return UpstreamSignalled("i-1", 7, limit_per_s=per_s)


def make_backoff(seconds: float) -> UpstreamSignalled:
    """Makes the event of an upstream that asks to back off."""
    return UpstreamSignalled("i-1", 7, backoff_s=seconds)


def make_headers(**values: str) -> Headers:
    """Makes headers with one value each."""
    return Headers({name: [value] for name, value in values.items()})


class UpstreamHeaderTests(unittest.TestCase):
    def build(self, send: SendAttempt, **extra: str) -> Headers:
        """Builds the headers of an upstream request."""
        return make_upstream_headers(make_headers(**{**RECEIVED, **extra}), send)

    def test_headers_are_passed_on_without_the_credential(self) -> None:
        headers = self.build(make_send(), **{"X-Other": "1"})
        for name in ("Request-Id", "Model", "Token-Usage", "Prompt-Prefix"):
            self.assertEqual(headers.getRawHeaders(name), [RECEIVED[name]])
        self.assertEqual(headers.getRawHeaders("X-Other"), ["1"])
        self.assertIsNone(headers.getRawHeaders("Authorization"))

    def test_reserved_headers_of_callers_are_replaced_or_removed(self) -> None:
        own = {"Tenant": "w-1", "Expect-Instance": "i-1", "Request-Priority": "4"}
        for name in FORGED:
            with self.subTest(name):
                headers = self.build(make_send(), **{name: "forged"})
                expected = [own[name]] if name in own else None
                self.assertEqual(headers.getRawHeaders(name), expected)

    def test_hop_by_hop_headers_are_removed(self) -> None:
        for name in HOP_BY_HOP:
            with self.subTest(name):
                headers = self.build(make_send(), **{name: "x"})
                self.assertIsNone(headers.getRawHeaders(name))
        headers = self.build(make_send(), Connection="X-Hop", **{"X-Hop": "1"})
        self.assertIsNone(headers.getRawHeaders("X-Hop"))

    def test_headers_that_are_not_text_are_passed_on(self) -> None:
        for name in (*RECEIVED, *FORGED, *HOP_BY_HOP, "Last-Event-Id", "X-Other"):
            with self.subTest(name):
                received = make_headers(**{**RECEIVED, "X-Other": "1"})
                received.setRawHeaders(name, [b"\xff"])
                headers = make_upstream_headers(received, make_send(resume_after=12))
                self.assertEqual(headers.getRawHeaders("Request-Priority"), ["4"])
                expected = b"\xff" if name == "X-Other" else b"1"
                self.assertEqual(headers.getRawHeaders(b"X-Other"), [expected])

    def test_connection_options_beside_one_that_is_not_text_are_removed(self) -> None:
        received = Headers({b"Connection": [b"\xff, X-Hop", b"X-Far"]})
        for name in ("X-Hop", "X-Far", "X-Other"):
            received.setRawHeaders(name, ["1"])
        headers = make_upstream_headers(received, make_send())
        self.assertIsNone(headers.getRawHeaders("X-Hop"))
        self.assertIsNone(headers.getRawHeaders("X-Far"))
        self.assertEqual(headers.getRawHeaders("X-Other"), ["1"])
        names = [name for name, _ in list_answer_headers(received)]
        self.assertEqual(names, [b"X-Other"])

    def test_host_and_id_are_no_connection_options(self) -> None:
        for name in ("Host", "Request-Id"):
            with self.subTest(name):
                headers = self.build(make_send(), Connection=f"close, {name}")
                self.assertEqual(headers.getRawHeaders(name), [RECEIVED[name]])

    def test_remaining_time_is_sent_in_milliseconds(self) -> None:
        headers = self.build(make_send(deadline_s=0.4204))
        self.assertEqual(headers.getRawHeaders("Deadline-Ms"), ["420"])

    def test_headers_of_a_resumed_stream(self) -> None:
        source = CopyReference("10.0.0.2", 8081, "abc")
        send = make_send(
            resume_after=12, copy_to=("10.0.0.3", 8082), copy_source=source
        )
        headers = self.build(send, **{"Last-Event-Id": "3"})
        self.assertEqual(headers.getRawHeaders("Last-Event-Id"), ["12"])
        self.assertEqual(headers.getRawHeaders("Kv-Backup"), ["10.0.0.3:8082"])
        self.assertEqual(headers.getRawHeaders("Kv-From"), ["10.0.0.2:8081/abc"])

    def test_answer_heads_are_read(self) -> None:
        signed = {"Request-Id": "abc", "Response-Signature": "s"}
        rejected = {"Not-Executed": "1"}
        table = (
            (200, signed, (True, False, False)),
            (200, {}, (False, False, False)),
            (503, rejected, (False, True, False)),
            (503, signed, (True, False, False)),
            (400, rejected, (False, True, False)),
            (421, {}, (False, True, True)),
        )
        for status, headers, expected in table:
            with self.subTest(status=status, headers=headers):
                head = read_answer_head(status, make_headers(**headers))
                found = (head.signed, head.not_run, head.misdirected)
                self.assertEqual(found, expected)

    def test_signals_of_upstreams_are_read(self) -> None:
        leaving = UpstreamSignalled("i-1", 7, leaving=True)
        table: tuple[tuple[int, dict[str, str], UpstreamSignalled | None], ...] = (
            (200, {}, None),
            (200, {"Server-Leaving": "1"}, leaving),
            (503, {"Server-Leaving": "1"}, leaving),
            (200, {"Server-Leaving": "0"}, None),
            (421, {"Server-Leaving": "1"}, None),
            (503, {"Retry-After": "1.25"}, make_backoff(1.25)),
            (503, {"Retry-After": " 2 "}, make_backoff(2.0)),
            (200, {"Retry-After": "2"}, None),
            (429, {"Retry-After": "2"}, None),
            (200, {"Server-Limit": "1.3"}, make_limit(1.3)),
            (500, {"Server-Limit": " 0 "}, make_limit(0.0)),
            (421, {"Server-Limit": "1"}, None),
        )
        for status, headers, expected in table:
            with self.subTest(status=status, headers=headers):
                found = read_signal(STARTED, status, make_headers(**headers))
                self.assertEqual(found, expected)
                pairs = tuple(headers.items())
                self.assertEqual(read_signal_of_pairs(STARTED, status, pairs), expected)

    def test_malformed_backoffs_and_limits_are_logged_and_ignored(self) -> None:
        for value in ("soon", "-1", "nan", "inf", "Wed, 21 Oct 2026 07:28:00 GMT"):
            for name in ("Retry-After", "Server-Limit"):
                with self.subTest(value), self.assertLogs("magnoliahold", "WARNING"):
                    headers = make_headers(**{name: value})
                    self.assertIsNone(read_signal(STARTED, 503, headers))

    def test_lowest_of_several_limits_counts(self) -> None:
        headers = Headers({"Server-Limit": ["4", "soon", "2.5"]})
        self.assertEqual(read_signal(STARTED, 200, headers), make_limit(2.5))
        self.assertTrue(read_answer_head(200, headers).names_limit)
        self.assertFalse(read_answer_head(200, make_headers()).names_limit)

    def test_answer_headers_are_passed_on_except_hop_by_hop(self) -> None:
        headers = make_headers(**{"Response-Signature": "s", "Keep-Alive": "timeout=5"})
        names = [name for name, _ in list_answer_headers(headers)]
        self.assertEqual(names, [b"Response-Signature"])

    def test_only_successful_event_streams_are_streams(self) -> None:
        kind = {"Content-Type": "text/event-stream; charset=utf-8"}
        self.assertTrue(is_event_stream(200, make_headers(**kind)))
        self.assertFalse(is_event_stream(500, make_headers(**kind)))
        self.assertFalse(is_event_stream(200, make_headers()))


class CallerHeaderTests(unittest.TestCase):
    def read(self, **changes: str) -> Any:
        """Reads a caller's request with changed headers."""
        headers = make_headers(**{**RECEIVED, **changes})
        return read_caller_request(1, "POST", "/a/b?x=1", headers)

    def test_request_is_read(self) -> None:
        caller = self.read(Host="Host.Example:8080")
        self.assertEqual((caller.host, caller.path), ("host.example", "/a/b"))
        self.assertEqual((caller.credential, caller.timeout_s), ("secret", 25.0))
        parts = [(part.id, part.tokens) for part in caller.prompt]
        self.assertEqual(parts, [("5c1e", 200), ("91bd", 8000)])

    def test_malformed_optional_headers_are_ignored(self) -> None:
        table = (
            ("Authorization", "Bearer x", "credential", None),
            ("Authorization", "token x", "credential", "x"),
            ("Deadline-Ms", "soon", "timeout_s", None),
            ("Deadline-Ms", "-5", "timeout_s", None),
            ("Last-Event-Id", "12", "resume_after", 12),
            ("Last-Event-Id", "x12", "resume_after", None),
            ("Prompt-Prefix", "a:1,b,c:2", "prompt", (PromptPart("a", 1),)),
        )
        for name, value, attribute, expected in table:
            with self.subTest(name, value=value):
                caller = self.read(**{name: value})
                self.assertEqual(getattr(caller, attribute), expected)

    def test_request_without_an_id_is_rejected(self) -> None:
        with self.assertRaises(BadRequest):
            self.read(**{"Request-Id": ""})


class FingerprintTests(unittest.TestCase):
    def test_only_retries_have_the_same_fingerprint(self) -> None:
        def read(target: str = "/a?b", body: bytes = b"x", **changes: str) -> str:
            headers = Headers({k: [v] for k, v in {**RECEIVED, **changes}.items()})
            caller = read_caller_request(1, "POST", target, headers, body)
            return caller.fingerprint

        known = read()
        self.assertEqual(known, read(**{"Request-Id": "other", "Deadline-Ms": "9"}))
        for name, other in (
            ("path", read(target="/a?c")),
            ("body", read(body=b"y")),
            ("caller", read(Authorization="Token other")),
            ("host", read(Host="other.example")),
        ):
            with self.subTest(name):
                self.assertNotEqual(known, other)


if __name__ == "__main__":
    unittest.main()
