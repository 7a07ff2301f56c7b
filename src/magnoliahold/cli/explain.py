"""The `explain` command."""

from __future__ import annotations

from pathlib import Path  # noqa: TC003

from magnoliahold.request_traces import list_process_runs, read_logs, read_request_trace


def explain(request_id: str, *files: Path) -> int:
    """Prints what became of a request, and why, from the logs of entries.

    Lines of the request come in order of time, with what the entry came to believe of
    the upstreams concerned while the request was open. A request that no entry has read
    is answered with when each entry was there.

    Args:
        request_id: The id of the request, as the caller sent it.
        files: Log files of one or more entries; text before the JSON is passed over.

    Returns:
        0, or 1 when no file has a line of the request.
    """
    lines = read_logs(files)
    story = read_request_trace(request_id, lines)
    for line in story or list_process_runs(lines):
        print(line)
    if not story:
        print(
            f"no entry has read request {request_id}: its entry was away, or its log "
            "is not among these"
        )
    return 0 if story else 1
