"""Tests of the commands that call the operator API."""

from __future__ import annotations

import json
import subprocess
import sys
import threading
import unittest
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.task import Clock

from magnoliahold.cli.operator_api import MAX_ATTEMPTS, RETRY_DELAY_S, OperatorApi
from magnoliahold.errors import (
    OperatorRefusedError,
    OperatorUnreachableError,
    VersionConflictError,
)
from magnoliahold.httpclient import HttpAnswer, HttpExchangeError

ROOT = Path(__file__).resolve().parents[2]
EXAMPLES = ROOT / "examples"
APPLY_PATH = "/v1/workspaces/rochebrune/template"
CREDENTIAL = "operator-example-token"

STATUS = {
    "instances": [
        {
            "name": "entry-1",
            "role": "entry",
            "data_centre": "dc-1",
            "workspaces": [{"workspace": "shop", "version": 7, "since_s": 93784.0}],
            "unknown": 1,
        },
        {"name": "sidecar-1", "role": "sidecar", "data_centre": "dc-1"},
        {"name": "entry-2", "role": "entry", "data_centre": "", "answered": False},
    ]
}
MOVES = {
    "moves": [
        {
            "workspace": "shop",
            "work": "drafts",
            "from_version": "v1",
            "to_version": "v2",
            "state": "taken_back",
            "share": 0.05,
            "stage": 1,
            "deadline": 1801877400.0,
            "reason": "more errors than v1",
        }
    ]
}


def refuse(status: int, code: str, **detail: Any) -> HttpAnswer:
    """Returns a response in the error format of the API."""
    error = {"code": code, "message": "it is refused", "remedy": "", **detail}
    return HttpAnswer(status, (), json.dumps({"error": error}).encode())


class FakeClient:
    """Returns prepared responses and records the request bodies."""

    def __init__(self, answers: list[HttpAnswer | HttpExchangeError]) -> None:
        self.answers = answers
        self.bodies: list[bytes] = []

    def send(
        self, method: str, path: str, body: bytes, headers: Any, timeout_s: float
    ) -> Deferred[HttpAnswer]:
        self.bodies.append(body)
        answer = self.answers.pop(0)
        return fail(answer) if isinstance(answer, Exception) else succeed(answer)


class OperatorApiTests(unittest.TestCase):
    def post(self, *answers: HttpAnswer | HttpExchangeError) -> Any:
        """Sends a POST request and returns the result, or raises the error."""
        clock = Clock()
        self.client = FakeClient(list(answers))
        api = OperatorApi(clock, self.client, "http://x", CREDENTIAL)  # type: ignore[arg-type]
        results: list[Any] = []
        sending = Deferred.fromCoroutine(api.post(APPLY_PATH, {"apply_id": "a-1"}))
        sending.addBoth(results.append)
        clock.pump([RETRY_DELAY_S] * MAX_ATTEMPTS)
        if isinstance(results[0], bytes):
            return results[0]
        return results[0].raiseException()

    def test_a_request_whose_response_is_lost_is_retried_unchanged(self) -> None:
        lost = HttpExchangeError("connection lost", sent=True)
        self.assertEqual(self.post(lost, lost, HttpAnswer(200, (), b"{}")), b"{}")
        self.assertEqual(self.client.bodies, [b'{"apply_id":"a-1"}'] * 3)

    def test_each_failure_has_its_own_error(self) -> None:
        lost = HttpExchangeError("connection lost", sent=True)
        conflict = refuse(409, "version_conflict", current_version=9)
        cases: tuple[tuple[str, list[Any], type[Exception], str], ...] = (
            (
                "no answer",
                [lost] * MAX_ATTEMPTS,
                OperatorUnreachableError,
                "gave no answer",
            ),
            ("conflict", [conflict], VersionConflictError, "--expected-version 9"),
            ("credential", [refuse(401, "x")], OperatorRefusedError, "operator's cred"),
            ("down", [refuse(503, "x", remedy="wait")], OperatorRefusedError, "; wait"),
            ("html", [HttpAnswer(404, (), b"<p>")], OperatorRefusedError, "status 404"),
        )
        for name, answers, kind, message in cases:
            with self.subTest(name), self.assertRaises(kind) as caught:
                self.post(*answers)
            self.assertIn(message, str(caught.exception))


class Handler(BaseHTTPRequestHandler):
    """Responds like the operator API of an entry."""

    answers: dict[str, tuple[int, Any]] = {
        "GET /v1/status": (200, STATUS),
        "GET /v1/moves": (200, MOVES),
        "POST /v1/drain/engine-1": (200, {"leaving": ["sidecar-1"]}),
        f"POST {APPLY_PATH}": (
            200,
            {"workspace": "rochebrune", "version": 3, "change": 12},
        ),
    }
    unknown = (
        404,
        {"error": {"code": "unknown", "message": "no such name", "remedy": "list it"}},
    )

    def answer(self) -> None:
        length = int(self.headers.get("content-length") or 0)
        body = self.rfile.read(length)
        self.server.requests.append((self.path, self.headers, body))  # type: ignore[attr-defined]
        prepared = self.answers.get(f"{self.command} {self.path}", self.unknown)
        content = json.dumps(prepared[1]).encode()
        self.send_response(prepared[0])
        self.send_header("content-length", str(len(content)))
        self.end_headers()
        self.wfile.write(content)

    do_GET = do_POST = answer  # noqa: N815

    def log_message(self, *arguments: Any) -> None:
        """Logs nothing."""


class OperatorCommandTests(unittest.TestCase):
    """Runs the commands as processes against a minimal server."""

    def setUp(self) -> None:
        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.requests = []  # type: ignore[attr-defined]
        thread = threading.Thread(target=self.server.serve_forever, args=(0.01,))
        thread.start()
        self.addCleanup(self.server.server_close)
        self.addCleanup(thread.join)
        self.addCleanup(self.server.shutdown)

    def run_command(self, *argv: str) -> subprocess.CompletedProcess[str]:
        url = f"http://127.0.0.1:{self.server.server_port}"
        credential = str(EXAMPLES / "credentials" / "operator")
        options = ("--operator", url, "--credential-file", credential)
        command = [sys.executable, "-m", "magnoliahold", *argv, *options]
        return subprocess.run(
            command, capture_output=True, text=True, timeout=30, check=False
        )

    def test_status_and_moves_print_tables(self) -> None:
        cases = (
            ("status", r"entry-1 +entry +dc-1 +shop +7 +1d 2h\n"),
            ("status", r"sidecar-1 +sidecar +dc-1 +- +- +-\n"),
            ("status", r"entry-2 +entry +\(no answer\) +- +-\n"),
            (
                "moves",
                r"shop +drafts +v1 +v2 +taken_back +5.0% +1 +2027-02-06T01:30\S+ +more",
            ),
        )
        for command, pattern in cases:
            with self.subTest(command):
                done = self.run_command(command)
                self.assertEqual((done.returncode, done.stderr), (0, ""))
                self.assertRegex(done.stdout, pattern)

    def test_status_prints_json(self) -> None:
        done = self.run_command("status", "--json")
        self.assertEqual(json.loads(done.stdout), STATUS)

    def test_apply_sends_text_parameters_and_apply_id(self) -> None:
        template = EXAMPLES / "rochebrune.yaml"
        parameters = ("--parameter", "draft_queue=5", "--expected-version", "2")
        done = self.run_command("apply", str(template), *parameters)
        self.assertEqual((done.returncode, done.stderr), (0, ""))
        self.assertIn("accepted as version 3, change 12", done.stdout)
        ((_, headers, body),) = self.server.requests  # type: ignore[attr-defined]
        order = json.loads(body)
        self.assertEqual(headers["authorization"], f"Bearer {CREDENTIAL}")
        self.assertEqual(order["template"], template.read_text())
        self.assertEqual(order["parameters"], {"draft_queue": "5"})
        self.assertEqual(order["expected_version"], 2)
        self.assertGreater(len(order["apply_id"]), 20)

    def test_drain_reports_a_refusal_in_one_line(self) -> None:
        done = self.run_command("drain", "engine-1")
        self.assertEqual((done.returncode, done.stderr), (0, ""))
        self.assertIn("leaving: sidecar-1", done.stdout)
        done = self.run_command("drain", "engine/9")
        self.assertEqual((done.returncode, done.stdout), (4, ""))
        self.assertEqual(done.stderr, "magnoliahold: no such name; list it\n")
        paths = [path for path, _, _ in self.server.requests]  # type: ignore[attr-defined]
        self.assertEqual(paths[-1], "/v1/drain/engine%2F9")
