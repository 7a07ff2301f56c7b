"""The `explain` command."""

from __future__ import annotations

from pathlib import Path  # noqa: TC003

from magnoliahold.stories import read_story


def explain(request_id: str, *files: Path) -> int:
    """Prints what became of a request, and why, from the logs of entries.

    Lines of the request come in order of time, with what the entry came to believe of
    the upstreams concerned while the request was open.

    Args:
        request_id: The id of the request, as the caller sent it.
        files: Log files of one or more entries; text before the JSON is passed over.

    Returns:
        0, or 1 when no file has a line of the request.
    """
    lines = read_story(request_id, files)
    for line in lines:
        print(line)
    if not lines:
        print(f"no line of request {request_id}; name the logs of all entries")
    return 0 if lines else 1
