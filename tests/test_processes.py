"""End-to-end tests of a deployment of separate processes."""

from __future__ import annotations

import json
import signal
import time
import unittest
from typing import TYPE_CHECKING, Any

from magnoliahold.standins.chain import TOKEN_HEX_DIGITS, find_chain_break
from tests.process_fleet import ProcessFleet

if TYPE_CHECKING:
    import http.client

RESUME_LIMIT_S = 2.0
PROMPT = "list the hounds"


def split_tokens(text: str) -> list[str]:
    """Splits the text of a stand-in engine into its tokens."""
    width = TOKEN_HEX_DIGITS
    return [text[start : start + width] for start in range(0, len(text), width)]


class EventReader:
    """Reads the events of a stream and measures the gaps between texts."""

    def __init__(self, response: http.client.HTTPResponse) -> None:
        self.response = response
        self.text = ""
        self.last_id = ""
        self.done = False
        self.errors: list[dict[str, Any]] = []
        self.longest_gap_s = 0.0
        self._last_at = time.monotonic()

    def read_all(self) -> None:
        """Reads until the closing event or the end of the connection."""
        while not self.done and self.read_line():
            pass

    def read_tokens(self, count: int) -> None:
        """Reads until at least `count` tokens have arrived."""
        while len(self.text) < count * TOKEN_HEX_DIGITS and self.read_line():
            pass

    def read_line(self) -> bool:
        """Reads one line; returns false at the end of the connection."""
        line = self.response.readline()
        if line.startswith(b"id: "):
            self.last_id = line[4:].strip().decode()
        elif line == b"data: [DONE]\n":
            self.done = True
        elif line.startswith(b"data: "):
            self._handle_document(json.loads(line[6:]))
        return bool(line)

    def _handle_document(self, document: dict[str, Any]) -> None:
        if "error" in document:
            self.errors.append(document["error"])
            return
        text = document["choices"][0]["text"]
        now = time.monotonic()
        if text and self.text:
            self.longest_gap_s = max(self.longest_gap_s, now - self._last_at)
        if text:
            self._last_at = now
        self.text += text


class ProcessTests(unittest.TestCase):
    fleet: ProcessFleet

    def setUp(self) -> None:
        self.fleet = ProcessFleet()
        self.addCleanup(self.fleet.stop_all)
        self.fleet.start_all()

    def generate(self, entry: str, tokens: int) -> EventReader:
        """Starts a stream of `tokens` tokens."""
        body = {"model": "listing", "prompt": PROMPT, "max_tokens": tokens}
        response = self.fleet.open_stream(entry, body)
        self.assertEqual(response.status, 200, self.fleet.read_logs())
        return EventReader(response)

    def assert_complete(self, text: str, tokens: int) -> None:
        """Checks that a text is one complete generation of `tokens` tokens."""
        found = split_tokens(text)
        self.assertEqual(len(found), tokens)
        self.assertIsNone(find_chain_break(PROMPT, found))

    def test_each_entry_serves_complete_answers(self) -> None:
        for entry in self.fleet.entries:
            with self.subTest(entry, form="stream"):
                reader = self.generate(entry, 50)
                reader.read_all()
                self.assertTrue(reader.done)
                self.assert_complete(reader.text, 50)
            with self.subTest(entry, form="body"):
                body = {"model": "listing", "prompt": PROMPT, "max_tokens": 20}
                status, _, content = self.fleet.request(
                    entry, "POST", "/v1/completions", json.dumps(body).encode()
                )
                self.assertEqual(status, 200)
                self.assert_complete(json.loads(content)["choices"][0]["text"], 20)
            with self.subTest(entry, form="call"):
                status, _, content = self.fleet.request(
                    entry, "POST", "/v1/services/desk/book?copies=3", b"one"
                )
                self.assertEqual(status, 200)
                self.assertIn("/book?copies=3", content.decode())

    def test_bad_requests_get_clear_errors(self) -> None:
        good = json.dumps({"model": "listing", "prompt": "x", "max_tokens": 1})
        unknown = json.dumps({"model": "nothing", "prompt": "x"})
        path = "/v1/completions"
        cases: dict[str, tuple[str, bytes, dict[str, str], int, str]] = {
            "malformed JSON": (path, b"{", {}, 400, "malformed_request"),
            "no tokens": (
                path,
                b'{"model":"listing","prompt":"x","max_tokens":0}',
                {},
                400,
                "malformed_request",
            ),
            "large body": (path, b"x" * 5_000_000, {}, 413, "body_too_large"),
            "unknown work": (path, unknown.encode(), {}, 404, "unknown_work"),
            "bad event id": (
                path,
                good.encode(),
                {"Last-Event-ID": "x"},
                400,
                "malformed_event_id",
            ),
            "wrong credential": (
                path,
                good.encode(),
                {"Authorization": "Bearer wrong"},
                401,
                "unauthorized",
            ),
            "unknown service": ("/v1/services/x/y", b"", {}, 404, "unknown_service"),
        }
        running = self.generate("entry-0", 100)
        for name, (path, body, headers, status, code) in cases.items():
            with self.subTest(name):
                answer = self.fleet.request("entry-0", "POST", path, body, headers)
                self.assertEqual(answer[0], status)
                self.assertEqual(json.loads(answer[2])["error"]["code"], code)
        running.read_all()
        self.assert_complete(running.text, 100)

    def test_killed_processes_lose_no_token(self) -> None:
        for victim in ("engine", "sidecar", "both"):
            with self.subTest(victim):
                reader = self.generate("entry-0", 200)
                reader.read_tokens(20)
                name = self._find_running_engine(reader.last_id)
                victims = {
                    "engine": [name],
                    "sidecar": [f"sidecar-{name}"],
                    "both": [name, f"sidecar-{name}"],
                }
                for process in victims[victim]:
                    self.fleet.stop_process(process, signal.SIGKILL)
                reader.read_all()
                self.assert_complete(reader.text, 200)
                self.assertLess(reader.longest_gap_s, RESUME_LIMIT_S)
                self.fleet.restart_instance(name)

    def test_frozen_processes_lose_no_token(self) -> None:
        for victim in ("engine", "sidecar"):
            with self.subTest(victim):
                reader = self.generate("entry-0", 200)
                reader.read_tokens(20)
                engine = self._find_running_engine(reader.last_id)
                name = engine if victim == "engine" else f"sidecar-{engine}"
                self.fleet.signal_process(name, signal.SIGSTOP)
                reader.read_tokens(100)
                self.fleet.signal_process(name, signal.SIGCONT)
                reader.read_all()
                self.assert_complete(reader.text, 200)
                self.assertLess(reader.longest_gap_s, RESUME_LIMIT_S)

    def test_reset_and_silent_connections_lose_no_token(self) -> None:
        for kind in ("reset_streams", "silence_streams"):
            with self.subTest(kind):
                reader = self.generate("entry-0", 200)
                reader.read_tokens(20)
                name = self._find_running_engine(reader.last_id)
                self.fleet.inject_fault(name, {"kind": kind}, "/faults")
                reader.read_all()
                self.assert_complete(reader.text, 200)
                self.assertLess(reader.longest_gap_s, RESUME_LIMIT_S)

    def test_caller_resumes_at_another_entry(self) -> None:
        first = self.generate("entry-0", 200)
        first.read_tokens(20)
        self.fleet.stop_process("entry-0", signal.SIGKILL)
        while first.read_line():
            pass
        body = {"model": "listing", "prompt": PROMPT, "max_tokens": 200}
        response = self.fleet.open_stream(
            "entry-1", body, {"Last-Event-ID": first.last_id}
        )
        second = EventReader(response)
        second.read_all()
        self.assert_complete(first.text + second.text, 200)

    def test_draining_processes_finish_running_generations(self) -> None:
        reader = self.generate("entry-0", 150)
        reader.read_tokens(10)
        name = self._find_running_engine(reader.last_id)
        for process in (f"sidecar-{name}", "entry-0"):
            self.fleet.signal_process(process, signal.SIGTERM)
        reader.read_all()
        self.assert_complete(reader.text, 150)
        self.assertEqual(self.fleet.processes["entry-0"].wait(20), 0)
        self.assertEqual(self.fleet.processes[f"sidecar-{name}"].wait(20), 0)

    def _find_running_engine(self, event_id: str) -> str:
        engine = next(
            name for name in self.fleet.engines if f"sidecar-{name}" in event_id
        )
        return engine
