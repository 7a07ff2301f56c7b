"""Tests of the command line: one-line errors with a remedy, and exit codes."""

from __future__ import annotations

import contextlib
import errno
import io
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from pathlib import Path
from unittest import mock

import yaml
from twisted.internet.error import CannotListenError
from zmq import ZMQError

from magnoliahold.cli.application import COMMANDS, run_command
from magnoliahold.cli.errors import TRACEBACK_VARIABLE

ROOT = Path(__file__).resolve().parents[2]
EXAMPLES = ROOT / "examples"
CREDENTIAL = str(EXAMPLES / "credentials" / "operator")
RELOAD_TIMEOUT_S = 20
OPERATOR = ("--operator", "http://127.0.0.1:9", "--credential-file", CREDENTIAL)
THREE_FAULTS = """
name: entry-1
data_centre: dc-1
caller_port: 70000
operator_port: 8081
link_port: 8082
colour: red
platform: {base_url: "http://127.0.0.1:8100"}
credentials: {callers: {}, operators: []}
"""


def run(*argv: str) -> tuple[int, str, str]:
    """Runs a command in this process and returns its exit code and output."""
    output, errors = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
        code = run_command(argv)
    return code, output.getvalue(), errors.getvalue()


class ErrorTests(unittest.TestCase):
    def test_errors_are_one_line_with_an_exit_code(self) -> None:
        template = str(EXAMPLES / "rochebrune.yaml")
        cases: tuple[tuple[tuple[str, ...], int, str], ...] = (
            ((), 2, "too few arguments; see `magnoliahold --help`"),
            (("bogus",), 2, "invalid choice: 'bogus'"),
            (("standin",), 2, "too few arguments; see `magnoliahold standin --help`"),
            (("standin", "gpu"), 2, "see `magnoliahold standin --help`"),
            (("entry",), 2, "required: settings; see `magnoliahold entry --help`"),
            (("entry", "absent.yaml"), 2, "cannot read it"),
            (("sidecar", str(EXAMPLES)), 2, "cannot read it"),
            (("dev", "--for", "soon"), 2, "invalid float value: 'soon'"),
            (("dev", "--for=-1"), 2, "--for -1 is not positive"),
            (("check",), 2, "no file is given"),
            (("check", template, "--parameter", "x"), 2, "write NAME=VALUE"),
            (("measure", "calls", "--runs", "0"), 2, "--runs 0 is too small"),
            (("measure", "calls", "--policy", "best"), 2, "invalid choice"),
            (("status",), 2, "are required: --operator, --credential-file"),
            (("status", *OPERATOR[:3], "absent"), 2, "cannot read it"),
            (("moves", "--operator", "here", *OPERATOR[2:]), 2, "not an HTTP URL"),
            (("apply", "absent.yaml", *OPERATOR), 2, "cannot read it"),
            (("apply", template, *OPERATOR, "--parameter", "a=1"), 2, "not declared"),
        )
        for argv, expected_code, message in cases:
            with self.subTest(argv):
                code, output, errors = run(*argv)
                self.assertEqual((code, output), (expected_code, ""))
                self.assertIn(message, errors)
                self.assertRegex(errors, r"\Amagnoliahold: [^\n]+\n\Z")
                self.assertNotIn("Traceback", errors)

    def test_unexpected_errors_have_a_traceback_only_on_request(self) -> None:
        for variable, shown in (("", False), ("1", True)):
            with (
                self.subTest(variable),
                mock.patch.dict(os.environ, {TRACEBACK_VARIABLE: variable}),
                mock.patch(
                    "magnoliahold.cli.check.parse_template",
                    side_effect=KeyError("a\nb"),
                ),
            ):
                code, _, errors = run("check", str(EXAMPLES / "rochebrune.yaml"))
                self.assertEqual(code, 70)
                self.assertTrue(errors.startswith("magnoliahold: internal error"))
                self.assertEqual("Traceback" in errors, shown)

    def test_ports_in_use_are_reported_in_one_line(self) -> None:
        cases = (
            (CannotListenError("127.0.0.1", 80, OSError("in use")), "127.0.0.1:80"),
            (ZMQError(errno.EADDRINUSE), "cannot listen for links"),
            (ConnectionResetError(104, "reset"), "reset"),
        )
        for error, message in cases:
            target = "magnoliahold.cli.check.parse_template"
            with self.subTest(message), mock.patch(target, side_effect=error):
                code, _, errors = run("check", str(EXAMPLES / "rochebrune.yaml"))
                self.assertEqual(code, 1)
                self.assertRegex(errors, rf"\Amagnoliahold: [^\n]*{message}[^\n]*\n\Z")

    def test_interrupts_are_silent(self) -> None:
        target = "magnoliahold.cli.check.parse_template"
        with mock.patch(target, side_effect=KeyboardInterrupt):
            result = run("check", str(EXAMPLES / "rochebrune.yaml"))
        self.assertEqual(result, (130, "", ""))


class HelpTests(unittest.TestCase):
    def test_every_command_has_help(self) -> None:
        standins = [("standin", name) for name in ("engine", "service", "platform")]
        for argv in [(name,) for name in COMMANDS] + standins:
            with self.subTest(argv):
                code, output, errors = run(*argv, "--help")
                self.assertEqual((code, errors), (0, ""))
                self.assertIn(f"usage: magnoliahold {' '.join(argv)}", output)

    def test_help_shows_option_aliases_as_typed(self) -> None:
        _, output, _ = run("dev", "--help")
        self.assertIn("--for SECONDS", output)
        self.assertNotIn("duration", output)


class CheckTests(unittest.TestCase):
    def test_examples_are_recognised_and_valid(self) -> None:
        cases = {
            "entry": "entry settings",
            "sidecar": "sidecar settings",
            "rochebrune": "template",
            "naulakko": "template",
        }
        paths = [str(EXAMPLES / f"{name}.yaml") for name in cases]
        code, output, errors = run("check", *paths)
        self.assertEqual((code, errors), (0, ""))
        for line, kind in zip(output.splitlines(), cases.values(), strict=True):
            self.assertTrue(line.endswith(f": {kind} without faults"), line)

    def test_every_fault_of_a_file_is_reported(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "entry.yaml"
            path.write_text(THREE_FAULTS)
            code, _, errors = run("check", str(path), str(EXAMPLES / "sidecar.yaml"))
        self.assertEqual(code, 2)
        lines = errors.splitlines()
        self.assertEqual(len(lines), 3)
        for fault in (
            "address: it is missing",
            "caller_port: 70000",
            "colour: the key",
        ):
            with self.subTest(fault):
                self.assertEqual(sum(f"entry.yaml: {fault}" in x for x in lines), 1)

    def test_parameters_may_be_given_together_or_separately(self) -> None:
        template = str(EXAMPLES / "rochebrune.yaml")
        pairs = ("draft_queue=0", "draft_version=v9")
        cases: tuple[tuple[tuple[str, ...], int], ...] = (
            (("--parameter", *pairs), 0),
            (("--parameter", pairs[0], "--parameter", pairs[1]), 0),
            ((f"--parameter={pairs[0]}", f"--parameter={pairs[1]}"), 0),
            (("--parameter", "draft_queue=many"), 2),
            (("--parameter", "draft_version=v2"), 2),
            (("--parameter", pairs[0], "--parameter", pairs[0]), 2),
        )
        for arguments, expected in cases:
            with self.subTest(arguments):
                self.assertEqual(run("check", template, *arguments)[0], expected)

    def test_other_files_are_not_recognised(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "other.yaml"
            path.write_text("colour: red")
            code, _, errors = run("check", str(path))
        self.assertEqual(code, 2)
        self.assertIn("neither settings nor a template", errors)


class StandinCommandTests(unittest.TestCase):
    """Runs the stand-ins as separate processes."""

    def test_standins_listen_until_they_are_stopped(self) -> None:
        for kind in ("engine", "service", "platform"):
            with self.subTest(kind):
                process = subprocess.Popen(
                    [sys.executable, "-m", "magnoliahold", "standin", kind, "--port=0"],
                    stderr=subprocess.PIPE,
                    text=True,
                    cwd=ROOT,
                )
                self.addCleanup(process.kill)
                assert process.stderr is not None
                self.assertIn("standin: Listening.", process.stderr.readline())
                process.send_signal(signal.SIGTERM)
                self.assertEqual(process.wait(timeout=10), 0)
                process.stderr.close()


class EntryCommandTests(unittest.TestCase):
    """Runs an entry as a separate process."""

    def test_a_port_in_use_ends_the_process_in_one_line(self) -> None:
        for key in ("caller_port", "operator_port", "link_port"):
            with self.subTest(key), socket.socket() as listener:
                listener.bind(("127.0.0.1", 0))
                listener.listen()
                done = self.run_entry(key, listener.getsockname()[1])
                lines = done.stderr.splitlines()
                self.assertEqual(done.returncode, 1)
                self.assertIn("cannot listen", lines[-1])
                self.assertNotIn("Traceback", done.stderr)

    def test_serving_entry_stops_in_one_line_or_when_told(self) -> None:
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            port = listener.getsockname()[1]
            process = self.start_serving(port)
            _, errors = process.communicate(timeout=20)
            self.assertEqual(process.returncode, 1)
            self.assertIn("cannot listen", errors.splitlines()[-1])
        process = self.start_serving(port)
        assert process.stdout is not None
        self.assertIn("daemon: Process started.", process.stdout.readline())
        process.send_signal(signal.SIGHUP)
        # A lost SIGHUP would leave the wait below without an end.
        timer = threading.Timer(RELOAD_TIMEOUT_S, process.kill)
        self.addCleanup(timer.cancel)
        timer.start()
        line = process.stdout.readline()
        while "Settings reloaded" not in line:
            self.assertNotEqual(line, "", "the settings were not reloaded in time")
            line = process.stdout.readline()
        timer.cancel()
        process.send_signal(signal.SIGTERM)
        output, errors = process.communicate(timeout=20)
        self.assertEqual((process.returncode, errors), (0, ""))
        self.assertIn("leaving: Entry leaves.", output)

    def test_signals_during_the_start_are_not_lost(self) -> None:
        """Sends each signal before the process can have started its daemon."""
        (port,) = find_free_ports(1)
        process = self.start_serving(port)
        self.addCleanup(process.kill)
        self.wait_for_handler(process.pid, signal.SIGTERM)
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        output, errors = process.communicate(timeout=20)
        self.assertEqual((process.returncode, errors), (0, ""))
        self.assertIn("Settings reloaded", output)
        self.assertIn("leaving: Entry leaves.", output)

    def wait_for_handler(self, pid: int, number: signal.Signals) -> None:
        """Waits until a process handles a signal, by the kernel's status of it."""
        mask = 1 << (number - 1)
        limit = time.monotonic() + RELOAD_TIMEOUT_S
        while time.monotonic() < limit:
            status = Path(f"/proc/{pid}/status").read_text().splitlines()
            caught = next(line for line in status if line.startswith("SigCgt:"))
            if int(caught.split()[1], 16) & mask:
                return
            time.sleep(0.0005)
        self.fail(f"the process does not handle {number.name}")

    def start_serving(self, port: int) -> subprocess.Popen[str]:
        """Starts a serving entry whose store is unreachable."""
        (store,) = find_free_ports(1)
        settings = {
            "name": "entry-1",
            "data_centre": "data-centre-1",
            "callers": f"127.0.0.1:{port}",
            "store": f"127.0.0.1:{store}",
        }
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        path = Path(directory.name) / "serving.yaml"
        path.write_text(yaml.safe_dump(settings))
        process = subprocess.Popen(
            [sys.executable, "-m", "magnoliahold", "serve", str(path)],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.kill)
        return process

    def run_entry(self, key: str, port: int) -> subprocess.CompletedProcess[str]:
        settings = yaml.safe_load((EXAMPLES / "entry.yaml").read_text())
        ports = ("caller_port", "operator_port", "link_port")
        settings.update(zip(ports, find_free_ports(len(ports)), strict=True))
        settings[key] = port
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "entry.yaml"
            path.write_text(yaml.safe_dump(settings))
            shutil.copytree(EXAMPLES / "credentials", path.parent / "credentials")
            return subprocess.run(
                [sys.executable, "-m", "magnoliahold", "entry", str(path)],
                capture_output=True,
                text=True,
                timeout=20,
                check=False,
            )


def find_free_ports(count: int) -> list[int]:
    """Finds free TCP ports on the loopback interface."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for item in sockets:
            item.bind(("127.0.0.1", 0))
        return [item.getsockname()[1] for item in sockets]
