"""Requests the lists of prompts that upstreams have in their prefix caches."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import define

from magnoliahold.core.serving.events import PromptListFailed, PromptsListed
from magnoliahold.httpclient import HttpClient
from magnoliahold.platform.upstreams import (
    PROMPTS_PATH,
    read_prompt_list,
    read_signal_of_pairs,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliahold.core.serving.upstreams import UpstreamRecord
    from magnoliahold.httpclient import HttpAnswer
    from magnoliahold.runtime import Reactor

OK = 200
# Each item of a list takes many times its bytes once it is decoded.
MAX_LIST_BYTES = 256 * 1024


@define(eq=False)
class PromptListClient:
    """Posts PromptsListed or PromptListFailed for each request."""

    reactor: Reactor
    post: Callable[[object], None]

    def request_list(self, record: UpstreamRecord, timeout_s: float) -> None:
        """Requests the list of one upstream, on a new connection."""
        client = HttpClient(self.reactor, f"http://{record.address}:{record.port}")

        def handle_answer(answer: HttpAnswer) -> None:
            signal = read_signal_of_pairs(record, answer.status, answer.headers)
            if signal is not None:
                self.post(signal)
            if answer.status != OK:
                self.post(PromptListFailed(record.id, f"answered {answer.status}"))
                return
            self.post(PromptsListed(record.id, read_prompt_list(answer.body)))

        def handle_failure(failure: Any) -> None:
            self.post(PromptListFailed(record.id, str(failure.value)))

        sending = client.send(
            "GET", PROMPTS_PATH, timeout_s=timeout_s, max_body_bytes=MAX_LIST_BYTES
        )
        sending.addCallback(handle_answer).addErrback(handle_failure)
