"""Baseline for admission: one queue for all requests and a fixed timeout."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any

from attrs import define, field

from magnoliahold.core.admission import is_waiting
from magnoliahold.core.events import GenerationArrived
from magnoliahold.core.systems import admission, routing
from magnoliahold.core.systems.refusals import refuse_arrival, refuse_generation

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliahold.core.generations import Generation
    from magnoliahold.core.worlds import EntryWorld
    from magnoliahold.node import Node

QUEUE_LIMIT = 2_000
TIMEOUT_S = 30.0
RETRY_AFTER_S = 1.0


@define(eq=False)
class FifoQueue:
    """A first-in, first-out queue; its head blocks all others while it waits."""

    waiting: deque[Generation] = field(factory=deque)

    def queue_generations(self, world: EntryWorld, now: float) -> None:
        """Queues every request for a known work, or refuses it if the queue is full."""
        for request in world.inbox.read_events(GenerationArrived):
            rule = world.workspaces.find_work(request.workspace, request.work)
            if request.resume_from is not None or rule is None:
                continue
            if len(self.waiting) >= QUEUE_LIMIT:
                refuse_arrival(world, request, "queue_full", RETRY_AFTER_S)
                continue
            generation = admission.make_generation(world, request, rule, now)
            generation.start_by = now + TIMEOUT_S
            world.generations.add_generation(generation)
            self.waiting.append(generation)

    def admit_generations(self, world: EntryWorld, now: float) -> None:
        """Starts generations from the head until no upstream has room for one.

        Expired generations are refused; those that no longer wait are removed.
        """
        while self.waiting:
            head = self.waiting[0]
            if is_waiting(head):
                if head.start_by <= now:
                    refuse_generation(world, head, "overloaded", RETRY_AFTER_S)
                elif not routing.route_generation(world, head, now):
                    return
            self.waiting.popleft()


def use_baseline_admission(node: Node) -> None:
    """Replaces the admission queues of an entry by a single FIFO queue."""
    queue = FifoQueue()
    replaced: dict[object, Callable[[Any, float], None]] = {
        admission.queue_generations: queue.queue_generations,
        admission.admit_generations: queue.admit_generations,
    }
    node.systems = tuple(replaced.get(system, system) for system in node.systems)
