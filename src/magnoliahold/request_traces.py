"""Reads the story of one request out of the logs of entries."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator
    from pathlib import Path

HIDDEN = frozenset(("time", "level", "process", "message", "request"))
BELIEFS = ("trust:", "upstreams:")
STARTED = "daemon: Process started."
ENDS = ("Request ended.", "Request refused.")
PROCESS_LINES = ("configuration:", "store:", "leaving:", "pause:", "daemon:")


@frozen
class LogLine:
    """One line of a log, as far as it is JSON."""

    time: str
    process: str
    message: str
    fields: dict[str, Any]

    def describe(self) -> str:
        """Describes the line for a reader."""
        details = ", ".join(
            f"{name} {value}"
            for name, value in self.fields.items()
            if name not in HIDDEN and value not in (None, "")
        )
        return f"{self.time}  {self.process}  {self.message}  {details}".rstrip()


def read_request_trace(request_id: str, lines: list[LogLine]) -> list[str]:
    """Reads the lines that tell what became of a request, in order of time.

    A story without an end names what became of the entry.
    """
    own = [line for line in lines if line.fields.get("request") == request_id]
    if not own:
        return []
    found = [line for line in lines if line in own or _concerns(line, own)]
    story = [line.describe() for line in found]
    if not any(line.message.endswith(ENDS) for line in own):
        story.append(_describe_loss(lines, own[-1]))
    return story


def _describe_loss(lines: list[LogLine], last: LogLine) -> str:
    """Describes how an entry went on after its last line about a request."""
    later = [
        line for line in lines if line.process == last.process and line.time > last.time
    ]
    starts = [line.time for line in later if line.message == STARTED]
    if starts:
        before = [line.time for line in later if line.time < starts[0]]
        lost = max(before, default=last.time)
        return f"{lost}  {last.process}  lost with the request; started {starts[0]}"
    end = max((line.time for line in later), default=last.time)
    return f"{end}  {last.process}  no later line; the request was open"


def list_process_runs(lines: list[LogLine]) -> list[str]:
    """Lists when each process was there, for requests that none of them has read."""
    lives: dict[str, list[list[str]]] = {}
    for line in lines:
        spans = lives.setdefault(line.process, [])
        if not spans or line.message == STARTED:
            spans.append([line.time, line.time])
        spans[-1][1] = line.time
    return [
        f"{process}  there from {start} to {end}"
        for process, spans in sorted(lives.items())
        for start, end in spans
    ]


def read_logs(files: Iterable[Path]) -> list[LogLine]:
    """Reads all lines of some logs, in order of time."""
    lines = [line for path in files for line in read_lines(path)]
    return sorted(lines, key=lambda line: line.time)


def _concerns(line: LogLine, own: list[LogLine]) -> bool:
    """Tells whether an entry came to believe something that bears on a request."""
    processes = {item.process for item in own}
    if line.process not in processes or "request" in line.fields:
        return False
    if not own[0].time <= line.time <= own[-1].time:
        return False
    if line.message.startswith(BELIEFS):
        upstreams = {item.fields.get("upstream") for item in own}
        return line.fields.get("upstream") in upstreams - {None}
    return line.message.startswith(PROCESS_LINES)


def read_lines(path: Path) -> Iterator[LogLine]:
    """Reads the lines of a log that hold a JSON object, whatever stands before it."""
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
