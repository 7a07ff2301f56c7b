"""Runs a small deployment as separate processes for tests."""

from __future__ import annotations

import http.client
import json
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import yaml

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

LOOPBACK = "127.0.0.1"
ISSUED_PORTS: set[int] = set()
START_LIMIT_S = 20.0
STOP_LIMIT_S = 20.0
CALLER_CREDENTIAL = "caller-credential-of-tests"
OPERATOR_CREDENTIAL = "operator-credential-of-tests"
TEMPLATE = """
workspace: kennels
works:
  listing:
    kind: generation
    class: interactive
    versions:
      - {version: v1, upstreams: [drafting], share: 1}
services:
  desk:
    upstreams: [desk]
    repeatable: ["GET /lookup/*"]
"""


def find_free_port() -> int:
    """Finds a free loopback port that this function hasn't returned before."""
    while True:
        with socket.socket() as probe:
            probe.bind((LOOPBACK, 0))
            port = int(probe.getsockname()[1])
        if port not in ISSUED_PORTS:
            ISSUED_PORTS.add(port)
            return port


def wait_until(condition: Callable[[], bool], limit_s: float = START_LIMIT_S) -> bool:
    """Waits until a condition holds; returns false after `limit_s` seconds."""
    deadline = time.monotonic() + limit_s
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(0.05)
    return False


class ProcessFleet:
    """Processes of the platform, engines, a service, their sidecars and entries.

    Each may have so many `descriptors` open, if that isn't 0.
    """

    def __init__(
        self, engines: int = 2, entries: int = 2, descriptors: int = 0
    ) -> None:
        self.descriptors = descriptors
        self.folder = tempfile.TemporaryDirectory()
        self.path = Path(self.folder.name)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.ports: dict[str, int] = {}
        self.entries = [f"entry-{number}" for number in range(entries)]
        self.engines = [f"engine-{number}" for number in range(engines)]
        self.sidecar_peers: list[dict[str, Any]] = []
        self.streams: list[http.client.HTTPConnection] = []

    def start_all(self) -> None:
        """Starts every process and waits until the entries are ready."""
        self._start_standin("platform", "platform")
        for engine in self.engines:
            self._start_standin(
                engine, "engine", "--name", engine, "--role", "drafting"
            )
            self._start_sidecar(engine, "engine")
        self._start_standin("desk", "service", "--name", "desk")
        self._start_sidecar("desk", "service")
        for entry in self.entries:
            self.start_entry(entry)
        self.apply_template()
        if not wait_until(self.is_ready):
            raise AssertionError(f"the entries are not ready: {self.read_logs()}")

    def stop_all(self) -> None:
        """Closes the streams, kills the running processes and removes the files."""
        for connection in self.streams:
            connection.close()
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        self.folder.cleanup()

    def start_entry(self, name: str) -> None:
        """Starts an entry whose peers are the sidecars and the other entries."""
        for kind in ("caller", "operator", "link"):
            self.ports.setdefault(f"{name}.{kind}", find_free_port())
        settings = {
            "name": name,
            "data_centre": "dc-1",
            "address": LOOPBACK,
            "caller_port": self.ports[f"{name}.caller"],
            "operator_port": self.ports[f"{name}.operator"],
            "link_port": self.ports[f"{name}.link"],
            "platform": {"base_url": self._make_url("platform")},
            "credentials": {
                "callers": {"kennels": CALLER_CREDENTIAL},
                "operators": [OPERATOR_CREDENTIAL],
            },
            "peers": [*self.sidecar_peers, *self._list_other_entries(name)],
        }
        self._start(name, "entry", self._write_settings(name, settings))

    def restart_instance(self, engine: str) -> None:
        """Restarts an engine and its sidecar, each unless it is running."""
        if self.processes[engine].poll() is not None:
            self._start_standin(
                engine, "engine", "--name", engine, "--role", "drafting"
            )
        sidecar = f"sidecar-{engine}"
        if self.processes[sidecar].poll() is not None:
            self._start(sidecar, "sidecar", str(self.path / f"{sidecar}.yaml"))
        if not wait_until(self.is_ready):
            raise AssertionError(f"{engine} did not become ready: {self.read_logs()}")

    def stop_process(self, name: str, number: int = signal.SIGTERM) -> int:
        """Sends a signal to a process, waits for its end and returns its exit code."""
        process = self.processes[name]
        process.send_signal(number)
        return process.wait(STOP_LIMIT_S)

    def signal_process(self, name: str, number: int) -> None:
        """Sends a signal to a process."""
        self.processes[name].send_signal(number)

    def apply_template(self) -> None:
        """Applies the template through the first entry."""
        template = self.path / "kennels.yaml"
        template.write_text(TEMPLATE, encoding="utf-8")
        credential = self.path / "operator"
        credential.write_text(OPERATOR_CREDENTIAL, encoding="utf-8")
        port = self.ports[f"{self.entries[0]}.operator"]
        arguments = ["--operator", f"http://{LOOPBACK}:{port}"]
        arguments += ["--credential-file", str(credential)]

        def try_applying() -> bool:
            done = self.run_command("apply", str(template), *arguments)
            return done.returncode == 0

        if not wait_until(try_applying):
            raise AssertionError(f"the template was not accepted: {self.read_logs()}")

    def run_command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Runs a command of the program and returns its result."""
        command = [sys.executable, "-m", "magnoliahold", *arguments]
        return subprocess.run(command, capture_output=True, text=True, timeout=30)

    def is_ready(self) -> bool:
        """Whether every entry lists all upstreams as ready and serves a generation."""
        return all(self._is_entry_ready(entry) for entry in self.entries)

    def request(
        self,
        entry: str,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        *,
        timeout_s: float = 30.0,
    ) -> tuple[int, dict[str, str], bytes]:
        """Sends a caller's request and returns status, headers and body."""
        connection = self.connect(entry, timeout_s)
        connection.request(method, path, body, self._authorize(headers))
        response = connection.getresponse()
        content = response.read()
        connection.close()
        names = {name.lower(): value for name, value in response.getheaders()}
        return response.status, names, content

    def open_stream(
        self, entry: str, body: dict[str, Any], headers: dict[str, str] | None = None
    ) -> http.client.HTTPResponse:
        """Starts a streamed generation and returns the response."""
        connection = self.connect(entry, 30.0)
        content = json.dumps({**body, "stream": True}).encode()
        connection.request("POST", "/v1/completions", content, self._authorize(headers))
        return connection.getresponse()

    def connect(self, entry: str, timeout_s: float) -> http.client.HTTPConnection:
        """Returns a connection to the callers' port of an entry."""
        port = self.ports[f"{entry}.caller"]
        return http.client.HTTPConnection(LOOPBACK, port, timeout=timeout_s)

    def read_logs(self) -> str:
        """Reads the end of each process's log."""
        texts = []
        for path in sorted(self.path.glob("*.log")):
            content = path.read_text(encoding="utf-8", errors="replace")
            texts.append(f"--- {path.name}\n{content[-2000:]}")
        return "\n".join(texts)

    def inject_fault(self, standin: str, fault: dict[str, Any], path: str) -> None:
        """Requests a fault from a stand-in."""
        connection = http.client.HTTPConnection(
            LOOPBACK, self.ports[standin], timeout=5
        )
        connection.request("POST", path, json.dumps(fault).encode())
        connection.getresponse().read()
        connection.close()

    def _authorize(self, headers: dict[str, str] | None) -> dict[str, str]:
        return {"Authorization": f"Bearer {CALLER_CREDENTIAL}", **(headers or {})}

    def _is_entry_ready(self, entry: str) -> bool:
        port = self.ports[f"{entry}.operator"]
        connection = http.client.HTTPConnection(LOOPBACK, port, timeout=5)
        headers = {"Authorization": f"Bearer {OPERATOR_CREDENTIAL}"}
        try:
            connection.request("GET", "/v1/upstreams", headers=headers)
            listed = json.loads(connection.getresponse().read())["upstreams"]
        except OSError:
            return False
        finally:
            connection.close()
        ready = [item for item in listed if item["ready"] and not item["lost"]]
        return len(ready) == len(self.engines) + 1 and self._can_generate(entry)

    def _can_generate(self, entry: str) -> bool:
        body = {"model": "listing", "prompt": "ready?", "max_tokens": 1}
        content = json.dumps(body).encode()
        status, _, _ = self.request(entry, "POST", "/v1/completions", content)
        return status == 200

    def _list_other_entries(self, name: str) -> Iterator[dict[str, Any]]:
        for other in self.entries:
            if other != name:
                port = self.ports.setdefault(f"{other}.link", find_free_port())
                yield self._make_peer(other, "entry", port)

    def _make_peer(self, name: str, role: str, port: int) -> dict[str, Any]:
        return {
            "name": name,
            "role": role,
            "address": LOOPBACK,
            "link_port": port,
            "data_centre": "dc-1",
        }

    def _start_sidecar(self, upstream: str, kind: str) -> None:
        name = f"sidecar-{upstream}"
        link_port = find_free_port()
        self.ports[f"{name}.operator"] = find_free_port()
        settings = {
            "name": name,
            "data_centre": "dc-1",
            "address": LOOPBACK,
            "link_port": link_port,
            "operator_port": self.ports[f"{name}.operator"],
            "platform": {"base_url": self._make_url("platform")},
            "upstream": {
                "kind": kind,
                "name": upstream,
                "base_url": self._make_url(upstream),
            },
        }
        self.sidecar_peers.append(self._make_peer(name, "sidecar", link_port))
        self._start(name, "sidecar", self._write_settings(name, settings))

    def _start_standin(self, name: str, kind: str, *arguments: str) -> None:
        port = self.ports.setdefault(name, find_free_port())
        self._start(name, "standin", kind, "--port", str(port), *arguments)

    def _make_url(self, standin: str) -> str:
        return f"http://{LOOPBACK}:{self.ports[standin]}"

    def _write_settings(self, name: str, settings: dict[str, Any]) -> str:
        path = self.path / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings), encoding="utf-8")
        return str(path)

    def _start(self, name: str, *arguments: str) -> None:
        command = [sys.executable, "-m", "magnoliahold", *arguments]
        with (self.path / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                command, stderr=log, stdout=log, preexec_fn=self._limit_descriptors
            )

    def _limit_descriptors(self) -> None:
        if self.descriptors:
            limits = (self.descriptors, self.descriptors)
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)
