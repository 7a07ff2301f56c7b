"""Plain-text tables for terminals."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

COLUMN_GAP = "  "


def format_table(headings: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Formats rows with each column as wide as its widest cell."""
    lines = [headings, *rows]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(format_line(line, widths) for line in lines)


def format_line(cells: Sequence[str], widths: Sequence[int]) -> str:
    """Formats one line of a table."""
    padded = [cell.ljust(width) for cell, width in zip(cells, widths, strict=True)]
    return COLUMN_GAP.join(padded).rstrip()


def format_duration(seconds: float) -> str:
    """Formats a duration in its two largest units."""
    minutes, rest_s = divmod(int(seconds), 60)
    hours, rest_minutes = divmod(minutes, 60)
    days, rest_hours = divmod(hours, 24)
    if days:
        return f"{days}d {rest_hours}h"
    if hours:
        return f"{hours}h {rest_minutes}m"
    if minutes:
        return f"{minutes}m {rest_s}s"
    return f"{seconds:.1f}s"
