"""Measures the processor time per relayed token of an entry and a plain proxy.

Run `python -m tests.relay_bench`. It starts engines, sidecars, one entry and one
pass-through proxy as processes on loopback, keeps `STREAMS` streams open, and divides
the processor time that the entry or proxy used by the number of tokens it forwarded.
"""

from __future__ import annotations

import json
import os
import selectors
import socket
import subprocess
import sys
import time

from tests.process_fleet import (
    CALLER_CREDENTIAL,
    LOOPBACK,
    ProcessFleet,
    find_free_port,
    wait_until,
)

ENGINES = 4
CAPACITY = 64
STREAMS = 96
MAX_TOKENS = 2_000
OPENING_GAP_S = 0.04
WARM_UP_S = 3.0
MEASURED_S = 8.0
SETTLE_S = 4.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
TOKEN_MARKS = {"entry": b'"text":"', "pass-through": b'"tokens":['}


class BenchFleet(ProcessFleet):
    """A fleet of engines with `CAPACITY`, and a pass-through proxy to them."""

    def _start_standin(self, name: str, kind: str, *arguments: str) -> None:
        if kind == "engine":
            arguments += ("--capacity", str(CAPACITY))
        super()._start_standin(name, kind, *arguments)

    def start_pass_through(self) -> None:
        """Starts the pass-through proxy and waits until it listens."""
        port = self.ports.setdefault("pass-through", find_free_port())
        urls = [self._make_url(engine) for engine in self.engines]
        command = [sys.executable, "-m", "tests.pass_through", str(port), *urls]
        with (self.path / "pass-through.log").open("ab") as log:
            self.processes["pass-through"] = subprocess.Popen(
                command, stdout=log, stderr=log
            )
        if not wait_until(lambda: is_listening(port)):
            raise AssertionError("the pass-through does not listen")


def is_listening(port: int) -> bool:
    """Whether something listens on a loopback port."""
    with socket.socket() as probe:
        return probe.connect_ex((LOOPBACK, port)) == 0


class Streams:
    """Open streams whose tokens are counted by occurrences of `mark`."""

    def __init__(self, port: int, mark: bytes) -> None:
        self._mark = mark
        self._selector = selectors.DefaultSelector()
        self.tokens = 0
        for number in range(STREAMS):
            self._open(port, number)
            self.read_for(OPENING_GAP_S)

    def _open(self, port: int, number: int) -> None:
        connection = socket.create_connection((LOOPBACK, port))
        body = json.dumps(
            {
                "id": f"bench-{number}",
                "model": "listing",
                "prompt": f"catalogue {number}",
                "max_tokens": MAX_TOKENS,
                "stream": True,
                "version": "v1",
                "workspace": "kennels",
            }
        ).encode()
        head = (
            "POST /v1/completions HTTP/1.1\r\nHost: bench\r\n"
            f"Authorization: Bearer {CALLER_CREDENTIAL}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        connection.sendall(head.encode() + body)
        connection.setblocking(False)
        self._selector.register(connection, selectors.EVENT_READ)

    def read_for(self, seconds: float) -> None:
        """Reads all streams for some seconds and counts their tokens."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            for key, _ in self._selector.select(OPENING_GAP_S):
                connection = key.fileobj
                assert isinstance(connection, socket.socket)
                content = connection.recv(1 << 18)
                self.tokens += content.count(self._mark)
                if not content:
                    self._selector.unregister(connection)

    def close(self) -> None:
        """Closes all streams."""
        for key in list(self._selector.get_map().values()):
            assert isinstance(key.fileobj, socket.socket)
            key.fileobj.close()


def read_processor_s(pid: int) -> float:
    """Returns the processor time in seconds that a process has used."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def measure_proxy(name: str, port: int, pid: int, sidecar_pids: list[int]) -> None:
    """Measures an entry or proxy and its sidecars, and prints the figures."""
    streams = Streams(port, TOKEN_MARKS[name])
    streams.read_for(WARM_UP_S)
    started, before, tokens = time.monotonic(), read_processor_s(pid), streams.tokens
    sidecars_before = sum(map(read_processor_s, sidecar_pids))
    streams.read_for(MEASURED_S)
    seconds = time.monotonic() - started
    used = read_processor_s(pid) - before
    sidecars_used = sum(map(read_processor_s, sidecar_pids)) - sidecars_before
    count = streams.tokens - tokens
    streams.close()
    print(
        f"{name}: {count / seconds:.0f} tokens a second passed,"
        f" {used / seconds:.2f} of a core,"
        f" {used / max(count, 1) * 1e6:.1f} us a token,"
        f" {count / used if used else 0:.0f} tokens a second for a whole core;"
        f" sidecars {sidecars_used / max(count, 1) * 1e6:.1f} us a token",
        flush=True,
    )


def main() -> None:
    """Measures the entry, then the pass-through proxy."""
    fleet = BenchFleet(engines=ENGINES, entries=1)
    try:
        fleet.start_all()
        fleet.start_pass_through()
        sidecars = [
            fleet.processes[f"sidecar-{engine}"].pid for engine in fleet.engines
        ]
        for name, process, sidecar_pids in (
            ("entry", "entry-0", sidecars),
            ("pass-through", "pass-through", []),
        ):
            port = fleet.ports["entry-0.caller" if name == "entry" else name]
            measure_proxy(name, port, fleet.processes[process].pid, sidecar_pids)
            time.sleep(SETTLE_S)
    finally:
        fleet.stop_all()


if __name__ == "__main__":
    main()
