"""Orders copies of the memory of running streams, and frees them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import define

from magnoliahold.core.serving.events import CopyFailed, KvCacheCopied
from magnoliahold.core.serving.requests import CopyName
from magnoliahold.httpclient import HttpClient
from magnoliahold.logs import make_part_logger
from magnoliahold.platform.upstreams import (
    COPY_PATH,
    make_copy_order,
    make_free_path,
    read_copy_key,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliahold.core.serving.effects import CopyKvCache, FreeCopy
    from magnoliahold.httpclient import HttpAnswer
    from magnoliahold.runtime import Reactor

OK = 200
JSON_HEADERS = (("Content-Type", "application/json"),)

logger = make_part_logger("copies")


@define(eq=False)
class KvCacheCopier:
    """Posts MemoryCopied or CopyFailed for each order."""

    reactor: Reactor
    post: Callable[[object], None]

    def order(self, effect: CopyKvCache) -> None:
        """Has an upstream copy its memory of a run to another."""
        source = effect.upstream
        holder_id = effect.holder.id
        client = HttpClient(self.reactor, f"http://{source.address}:{source.port}")
        body = make_copy_order(effect.run_id, effect.holder)

        def take(answer: HttpAnswer) -> None:
            if answer.status != OK:
                reason = f"answered {answer.status}"
                self.post(CopyFailed(effect.attempt, holder_id, reason))
                return
            key = read_copy_key(answer.body)
            name = CopyName(source.address, source.port, key)
            self.post(KvCacheCopied(effect.attempt, holder_id, name))

        def fail(failure: Any) -> None:
            self.post(CopyFailed(effect.attempt, holder_id, str(failure.value)))

        sending = client.send("POST", COPY_PATH, body, JSON_HEADERS, effect.timeout_s)
        sending.addCallback(take).addErrback(fail)

    def free(self, effect: FreeCopy) -> None:
        """Frees a copy; one that stays is dropped by its holder in time."""
        name = effect.copy
        client = HttpClient(self.reactor, f"http://{name.address}:{name.port}")

        def log_failure(failure: Any) -> None:
            logger.info("Copy not freed.", key=name.key, reason=str(failure.value))

        path = make_free_path(name.key)
        sending = client.send("DELETE", path, timeout_s=effect.timeout_s)
        sending.addErrback(log_failure)
