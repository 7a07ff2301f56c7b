"""Tests of the load tool: its plan, its answer checks and full runs on loopback."""

from __future__ import annotations

import os
import unittest
from random import Random
from typing import TYPE_CHECKING, Any
from unittest.mock import Mock, patch

import msgspec
from twisted.internet.defer import Deferred
from twisted.web.resource import Resource

from magnoliahold.errors import UsageError
from magnoliahold.measure.load.answers import (
    StreamAnswer,
    find_echo_fault,
    find_text_fault,
)
from magnoliahold.measure.load.exchanges import LoadTarget
from magnoliahold.measure.load.mix import KINDS, PlannedRequest, plan_requests
from magnoliahold.measure.load.runs import LoadRun, read_rate, read_target
from magnoliahold.standins.chain import make_first_token, make_next_token
from tests.loopback import LoopbackTestCase, on_loopback

if TYPE_CHECKING:
    from twisted.web.server import Request

PROMPT = "draft 1"


def make_tokens(prompt: str, count: int, seed: int = 1) -> list[str]:
    """Makes the tokens of one generation."""
    tokens = [make_first_token(Random(seed))]
    while len(tokens) < count:
        tokens.append(make_next_token(prompt, tokens[0], tokens[-1]))
    return tokens


class PlanTests(unittest.TestCase):
    """The planned arrivals of a load."""

    def test_the_same_seed_plans_the_same_requests(self) -> None:
        plans = [list(plan_requests(seed, 30.0, 10.0)) for seed in (1, 1, 2)]
        self.assertEqual(plans[0], plans[1])
        self.assertNotEqual(plans[0], plans[2])

    def test_lookups_are_more_frequent_in_the_peak_period(self) -> None:
        lookups = [
            request.at
            for request in plan_requests(1, 300.0, 20.0)
            if request.kind.name == "lookup"
        ]
        in_peak = sum(100 <= at < 200 for at in lookups)
        self.assertGreater(in_peak, 2 * sum(at < 100 for at in lookups))

    def test_the_number_of_requests_is_limited(self) -> None:
        self.assertEqual(sum(1 for _ in plan_requests(1, 1e9, 500.0)), 10_000)


class CheckTests(unittest.TestCase):
    """The checks of answers, and of the arguments."""

    def test_faults_of_generated_texts_are_found(self) -> None:
        tokens = make_tokens(PROMPT, 6)
        other = make_tokens(PROMPT, 6, seed=2)
        cases: tuple[tuple[str, list[str], str], ...] = (
            ("whole", tokens, ""),
            ("one missing", tokens[:2] + tokens[3:], "broken_chain"),
            ("one repeated", [*tokens[:3], *tokens[2:5]], "broken_chain"),
            ("two generations mixed", tokens[:3] + other[3:], "broken_chain"),
            ("cut at the end", tokens[:5], "wrong_length"),
            ("nothing", [], "wrong_length"),
            ("of another prompt", make_tokens("draft 2", 6), "broken_chain"),
        )
        for name, given, fault in cases:
            with self.subTest(name):
                self.assertEqual(find_text_fault(PROMPT, "".join(given), 6), fault)

    def test_faults_of_service_echoes_are_found(self) -> None:
        echo = msgspec.json.encode({"path": "/lookup/1", "body": ""})
        cases = (
            ("own", "/lookup/1", echo, ""),
            ("of another", "/lookup/2", echo, "answer_of_another"),
            ("no JSON", "/lookup/1", b"?", "malformed_answer"),
        )
        for name, path, content, fault in cases:
            with self.subTest(name):
                self.assertEqual(find_echo_fault(path, "", content), fault)

    def test_events_are_parsed_from_chunks_of_any_size(self) -> None:
        chunk = b'id: a\ndata: {"choices": [{"text": "ab"}]}\n\n'
        body = chunk + chunk + b"data: [DONE]\n\n"
        for size in (1, 7, len(body)):
            with self.subTest(size=size):
                on_text = Mock()
                answer = StreamAnswer(on_text)
                for start in range(0, len(body), size):
                    answer.add_data(body[start : start + size])
                self.assertEqual((answer.text, answer.done), ("abab", True))
                self.assertEqual(on_text.call_count, 2)

    def test_errors_of_invalid_arguments_name_the_setting(self) -> None:
        cases: tuple[tuple[str, dict[str, str], Any], ...] = (
            ("MAGNOLIAHOLD_CREDENTIAL", {}, lambda: read_target("http://127.0.0.1:1")),
            ("--url", {"MAGNOLIAHOLD_CREDENTIAL": "x"}, lambda: read_target("")),
            ("number", {"MAGNOLIAHOLD_REQUESTS_PER_S": "many"}, read_rate),
            ("number", {"MAGNOLIAHOLD_REQUESTS_PER_S": "1e9"}, read_rate),
        )
        for named, environment, read in cases:
            with (
                self.subTest(named),
                patch.dict(os.environ, environment, clear=True),
                self.assertRaisesRegex(UsageError, named),
            ):
                read()


class FakeEntry(Resource):
    """Answers each generation with the tokens, or the error code, for its prompt."""

    isLeaf = True  # noqa: N815

    def __init__(self, answers: dict[str, Any]) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._answers = answers

    def render(self, request: Request) -> bytes:
        """Returns a stream of events, or an error document as the API has it."""
        content: Any = request.content
        body = msgspec.json.decode(content.read())
        answer = self._answers[body["prompt"]]
        if isinstance(answer, str):
            request.setResponseCode(503)
            return msgspec.json.encode({"error": {"code": answer}})
        chunks = [
            b"data: " + msgspec.json.encode({"choices": [{"text": token}]}) + b"\n\n"
            for token in answer
        ]
        return b"".join(chunks) + b"data: [DONE]\n\n"


class RunTests(LoopbackTestCase):
    """Full runs against a fake entry."""

    @on_loopback
    async def test_outcomes_are_classified(self) -> None:
        whole = make_tokens("whole", 3)
        answers = {"whole": whole, "mixed": whole, "refused": "overloaded"}
        url = self.serve(FakeEntry(answers)).address
        kind = next(kind for kind in KINDS if kind.name == "draft")
        planned = [
            PlannedRequest(number, 0.01 * number, kind, prompt, 3)
            for number, prompt in enumerate(answers)
        ]
        done: Deferred[None] = Deferred()
        target = LoadTarget(url, "credential", "drafts", "desk")
        run = LoadRun(self.reactor, target, planned, lambda: done.callback(None))
        run.start()
        await done
        report = run.make_report()
        self.assertEqual((report.sent, report.whole, report.broken), (3, 1, 1))
        self.assertEqual(report.errors, {"broken_chain": 1, "overloaded": 1})
        self.assertGreater(report.stream_first_token_s.p50, 0.0)
        self.assertIn("3/3 sent", run.describe_progress())
