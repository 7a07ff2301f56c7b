"""Orders copies of the KV caches of running streams, and frees them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import define

from magnoliahold.core.serving.events import CopyFailed, KvCacheCopied
from magnoliahold.core.serving.requests import CopyReference
from magnoliahold.httpclient import HttpClient
from magnoliahold.logs import make_part_logger
from magnoliahold.platform.upstreams import (
    COPY_PATH,
    make_copy_order,
    make_free_path,
    read_copy_key,
    read_signal_of_pairs,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliahold.core.serving.effects import CopyKvCache, FreeCopy
    from magnoliahold.httpclient import HttpAnswer
    from magnoliahold.runtime import Reactor

OK = 200
MAX_ANSWER_BYTES = 4 * 1024
JSON_HEADERS = (("Content-Type", "application/json"),)

logger = make_part_logger("copies")


@define(eq=False)
class KvCacheCopier:
    """Sends copy orders to upstreams; posts KvCacheCopied or CopyFailed for each."""

    reactor: Reactor
    post: Callable[[object], None]

    def order(self, effect: CopyKvCache) -> None:
        """Orders an upstream to copy the KV cache of a run to another upstream."""
        source = effect.upstream
        holder_id = effect.holder.id
        client = HttpClient(self.reactor, f"http://{source.address}:{source.port}")
        body = make_copy_order(effect.run_id, effect.holder)

        def handle_answer(answer: HttpAnswer) -> None:
            signal = read_signal_of_pairs(source, answer.status, answer.headers)
            if signal is not None:
                self.post(signal)
            if answer.status != OK:
                reason = f"answered {answer.status}"
                self.post(CopyFailed(effect.attempt, holder_id, reason))
                return
            key = read_copy_key(answer.body)
            reference = CopyReference(source.address, source.port, key)
            self.post(KvCacheCopied(effect.attempt, holder_id, reference))

        def handle_failure(failure: Any) -> None:
            self.post(CopyFailed(effect.attempt, holder_id, str(failure.value)))

        sending = client.send(
            "POST", COPY_PATH, body, JSON_HEADERS, effect.timeout_s, MAX_ANSWER_BYTES
        )
        sending.addCallback(handle_answer).addErrback(handle_failure)

    def free(self, effect: FreeCopy) -> None:
        """Frees a copy; if that fails, its holder discards the copy after a while."""
        reference = effect.copy
        client = HttpClient(
            self.reactor, f"http://{reference.address}:{reference.port}"
        )

        def log_failure(reason: str) -> None:
            logger.info("Freeing copy failed.", key=reference.key, reason=reason)

        def check_answer(answer: HttpAnswer) -> None:
            if answer.status != OK:
                log_failure(f"answered {answer.status}")

        path = make_free_path(reference.key)
        sending = client.send(
            "DELETE",
            path,
            timeout_s=effect.timeout_s,
            max_body_bytes=MAX_ANSWER_BYTES,
        )
        sending.addCallback(check_answer)
        sending.addErrback(lambda failure: log_failure(str(failure.value)))
