"""The `explain` command."""

from __future__ import annotations

from pathlib import Path  # noqa: TC003

from magnoliahold.request_traces import list_process_runs, read_logs, read_request_trace


def explain(request_id: str, *files: Path) -> int:
    """Prints what happened to a request, and why, from the logs of entries.

    Log lines of the request are listed in order of time, with changes in the entry's
    view of the upstreams concerned while the request was open. For a request that no
    entry has read, it lists when each entry was running.

    Args:
        request_id: The id of the request, as the caller sent it.
        files: Log files of one or more entries; text before the JSON is ignored.

    Returns:
        0, or 1 when no file has a line about the request.
    """
    lines = read_logs(files)
    trace = read_request_trace(request_id, lines)
    for line in trace or list_process_runs(lines):
        print(line)
    if not trace:
        print(
            f"no entry has read request {request_id}: its entry was not running, or "
            "its log is not among these files"
        )
    return 0 if trace else 1
