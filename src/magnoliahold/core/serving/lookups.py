"""Questions to upstreams about the prompts that they keep."""

from __future__ import annotations

from attrs import define, field


@define
class PromptLookup:
    """One round of questions to the upstreams of a service.

    `pending` names the upstreams that have not answered yet.
    """

    started_at: float
    pending: set[str] = field(factory=set)
