"""Lookups of the upstreams that have a prompt in their prefix cache."""

from __future__ import annotations

from attrs import define, field


@define
class PromptLookup:
    """One round of requests to the upstreams of a service for their prompt lists.

    `pending` holds the ids of the upstreams that have not answered yet.
    """

    started_at: float
    pending: set[str] = field(factory=set)
