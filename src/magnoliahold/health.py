"""The resources `/healthz`, `/readyz` and `/metrics` of a process."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.web.resource import Resource

if TYPE_CHECKING:
    from collections.abc import Callable


class TextResource(Resource):
    """Answers GET with a status and a short text."""

    isLeaf = True  # noqa: N815

    def __init__(self, read_answer: Callable[[], tuple[int, bytes]]) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._read_answer = read_answer

    def render_GET(self, request: Any) -> bytes:  # noqa: N802
        """Answers with the current status and text."""
        status, text = self._read_answer()
        request.setResponseCode(status)
        request.setHeader(b"content-type", b"text/plain; charset=utf-8")
        return text


def add_health_resources(
    root: Resource,
    render_metrics: Callable[[], bytes],
    find_unready_reason: Callable[[], str],
) -> None:
    """Adds the resources `healthz`, `readyz` and `metrics` to `root`.

    `find_unready_reason` returns why the process isn't ready for new work, or an empty
    string.
    """

    def read_readiness() -> tuple[int, bytes]:
        unready_reason = find_unready_reason()
        return (
            (503, f"{unready_reason}\n".encode())
            if unready_reason
            else (200, b"ready\n")
        )

    readers = {
        b"healthz": lambda: (200, b"live\n"),
        b"readyz": read_readiness,
        b"metrics": lambda: (200, render_metrics()),
    }
    for name, reader in readers.items():
        root.putChild(name, TextResource(reader))  # type: ignore[arg-type]
