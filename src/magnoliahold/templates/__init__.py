"""Workspace templates: their schema, validation and encoding."""

from __future__ import annotations

from magnoliahold.templates.model import (
    Move,
    MoveGuards,
    Service,
    UpstreamRule,
    VersionShare,
    Work,
    WorkLimits,
    WorkspaceTemplate,
)
from magnoliahold.templates.parsing import (
    decode_template,
    encode_template,
    parse_template,
)

__all__ = [
    "Move",
    "MoveGuards",
    "Service",
    "UpstreamRule",
    "VersionShare",
    "Work",
    "WorkLimits",
    "WorkspaceTemplate",
    "decode_template",
    "encode_template",
    "parse_template",
]
