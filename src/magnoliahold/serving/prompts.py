"""Asks upstreams which prompts they keep."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import define

from magnoliahold.core.serving.events import PromptListFailed, PromptsListed
from magnoliahold.httpclient import HttpClient
from magnoliahold.platform.upstreams import PROMPTS_PATH, read_prompt_list

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliahold.core.serving.upstreams import UpstreamRecord
    from magnoliahold.httpclient import HttpAnswer
    from magnoliahold.runtime import Reactor

OK = 200


@define(eq=False)
class PromptListClient:
    """Posts PromptsListed or PromptListFailed for each question."""

    reactor: Reactor
    post: Callable[[object], None]

    def request_list(self, record: UpstreamRecord, timeout_s: float) -> None:
        """Asks one upstream on a connection of its own."""
        client = HttpClient(self.reactor, f"http://{record.address}:{record.port}")

        def take(answer: HttpAnswer) -> None:
            if answer.status != OK:
                self.post(PromptListFailed(record.id, f"answered {answer.status}"))
                return
            self.post(PromptsListed(record.id, read_prompt_list(answer.body)))

        def fail(failure: Any) -> None:
            self.post(PromptListFailed(record.id, str(failure.value)))

        sending = client.send("GET", PROMPTS_PATH, timeout_s=timeout_s)
        sending.addCallback(take).addErrback(fail)
