"""Extracts the trace of one request from the logs of entries."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator
    from pathlib import Path

HIDDEN_FIELDS = frozenset(("time", "level", "process", "message", "request"))
UPSTREAM_PREFIXES = ("trust:", "upstreams:")
START_MESSAGE = "daemon: Process started."
END_MESSAGES = ("Request ended.", "Request refused.")
PROCESS_PREFIXES = ("configuration:", "store:", "leaving:", "pause:", "daemon:")


@frozen
class LogLine:
    """The JSON object of one log line."""

    time: str
    process: str
    message: str
    fields: dict[str, Any]

    def describe(self) -> str:
        """Formats the line for display."""
        details = ", ".join(
            f"{name} {value}"
            for name, value in self.fields.items()
            if name not in HIDDEN_FIELDS and value not in (None, "")
        )
        return f"{self.time}  {self.process}  {self.message}  {details}".rstrip()


def read_request_trace(request_id: str, lines: list[LogLine]) -> list[str]:
    """Returns the log lines that concern a request, in order of time.

    When the request has no final line, a last line describes what happened to the
    entry.
    """
    request_lines = [line for line in lines if line.fields.get("request") == request_id]
    if not request_lines:
        return []
    relevant = [
        line
        for line in lines
        if line in request_lines or _is_relevant(line, request_lines)
    ]
    trace = [line.describe() for line in relevant]
    if not any(line.message.endswith(END_MESSAGES) for line in request_lines):
        trace.append(_describe_unfinished(lines, request_lines[-1]))
    return trace


def _describe_unfinished(lines: list[LogLine], last: LogLine) -> str:
    """Describes what happened to an entry after its last line about a request."""
    later = [
        line for line in lines if line.process == last.process and line.time > last.time
    ]
    starts = [line.time for line in later if line.message == START_MESSAGE]
    if starts:
        earlier = [line.time for line in later if line.time < starts[0]]
        ended_at = max(earlier, default=last.time)
        return f"{ended_at}  {last.process}  lost with the request; started {starts[0]}"
    end = max((line.time for line in later), default=last.time)
    return f"{end}  {last.process}  no later line; the request was open"


def list_process_runs(lines: list[LogLine]) -> list[str]:
    """Lists the time span of each process run, for requests without log lines."""
    runs: dict[str, list[list[str]]] = {}
    for line in lines:
        spans = runs.setdefault(line.process, [])
        if not spans or line.message == START_MESSAGE:
            spans.append([line.time, line.time])
        spans[-1][1] = line.time
    return [
        f"{process}  ran from {start} to {end}"
        for process, spans in sorted(runs.items())
        for start, end in spans
    ]


def read_logs(files: Iterable[Path]) -> list[LogLine]:
    """Reads all lines of the given logs, in order of time."""
    lines = [line for path in files for line in read_lines(path)]
    return sorted(lines, key=lambda line: line.time)


def _is_relevant(line: LogLine, request_lines: list[LogLine]) -> bool:
    """Returns whether a line without a request id may explain a request.

    Such a line comes from the same process during the request, and is about one of the
    upstreams of the request or about the process itself.
    """
    processes = {item.process for item in request_lines}
    if line.process not in processes or "request" in line.fields:
        return False
    if not request_lines[0].time <= line.time <= request_lines[-1].time:
        return False
    if line.message.startswith(UPSTREAM_PREFIXES):
        upstreams = {item.fields.get("upstream") for item in request_lines}
        return line.fields.get("upstream") in upstreams - {None}
    return line.message.startswith(PROCESS_PREFIXES)


def read_lines(path: Path) -> Iterator[LogLine]:
    """Reads the lines of a log that contain a JSON object, skipping text before it."""
    with path.open(encoding="utf-8", errors="replace") as file:
        for text in file:
            start = text.find("{")
            if start < 0:
                continue
            try:
                fields = json.loads(text[start:])
            except ValueError:
                continue
            if isinstance(fields, dict) and "message" in fields:
                yield LogLine(
                    str(fields.get("time", "")),
                    str(fields.get("process", "")),
                    str(fields["message"]),
                    fields,
                )
