"""Measures whether routing within small upstream subsets balances a large fleet."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from attrs import frozen

from magnoliahold.core.systems.subsets import choose_subset
from magnoliahold.measure.options import find_quantiles, find_share
from magnoliahold.storage.interfaces import Instance

if TYPE_CHECKING:
    from magnoliahold.measure.options import MeasureOptions, Quantiles

ENGINES = 11_000
ENTRIES = 1_100
DATA_CENTRES = 14
CAPACITY = 16
ENTRIES_PER_ENGINE = (1, 2, 4)
UTILISATION = 0.8
STALE_CHOICES = 6
ROUNDS = 2


@frozen
class BalanceReport:
    """Results by the number of entries whose subset contains each engine.

    `load_over_mean` is the load of each engine divided by the mean,
    `engines_per_entry` the subset size of each entry, and `over_capacity_share` the
    share of the work that exceeds the slots of its engine.
    """

    load_over_mean: dict[str, Quantiles]
    engines_per_entry: dict[str, Quantiles]
    over_capacity_share: dict[str, float]


def run_balance(options: MeasureOptions) -> BalanceReport:
    """Places work at the configured utilisation, once per subset size."""
    loads: dict[str, Quantiles] = {}
    known: dict[str, Quantiles] = {}
    over: dict[str, float] = {}
    engines = make_engine_list()
    for count in ENTRIES_PER_ENGINE:
        random = Random(f"balance {options.seed} {count}")
        subsets = make_subsets(engines, count)
        running = place_work(engines, subsets, random)
        mean = sum(running.values()) / len(running)
        label = str(count)
        loads[label] = find_quantiles([value / mean for value in running.values()])
        known[label] = find_quantiles([float(len(subset)) for subset in subsets])
        beyond = sum(max(0, value - CAPACITY) for value in running.values())
        over[label] = find_share(beyond, sum(running.values()))
    return BalanceReport(loads, known, over)


def make_engine_list() -> list[Instance]:
    """Makes the engines' sidecars for a fleet of the target size."""
    return [make_instance("sidecar", number) for number in range(ENGINES)]


def make_instance(role: str, number: int) -> Instance:
    """Makes one instance; its number determines its data centre."""
    centre = f"dc-{number % DATA_CENTRES}"
    return Instance(f"{role}-{number}", role, "10.0.0.1:7000", centre)


def make_subsets(engines: list[Instance], count: int) -> list[list[str]]:
    """Chooses the subset of each entry from the engines of its data centre."""
    entries = [make_instance("entry", number) for number in range(ENTRIES)]
    subsets: list[list[str]] = [[] for _ in entries]
    for centre in range(DATA_CENTRES):
        near = [*entries[centre::DATA_CENTRES], *engines[centre::DATA_CENTRES]]
        for number in range(centre, ENTRIES, DATA_CENTRES):
            subsets[number] = sorted(choose_subset(entries[number], near, count))
    return subsets


def place_work(
    engines: list[Instance], subsets: list[list[str]], random: Random
) -> dict[str, int]:
    """Places work on the least loaded engine of each subset, by stale load reports.

    For each new piece of work beyond the target, a random running one ends, so that
    the utilisation stays constant. An entry uses the loads of its last report, at most
    `STALE_CHOICES` of its choices ago, plus the work that it has started since.
    """
    running = {item.name: 0 for item in engines}
    open_work: list[str] = []
    target = int(ENGINES * CAPACITY * UTILISATION)
    reported_loads = [dict.fromkeys(subset, 0) for subset in subsets]
    for step in range(target * ROUNDS):
        entry = step % ENTRIES
        if step // ENTRIES % STALE_CHOICES == 0:
            reported_loads[entry] = {name: running[name] for name in subsets[entry]}
        if not subsets[entry]:
            continue
        name = min(
            reported_loads[entry],
            key=lambda item: (reported_loads[entry][item], random.random()),
        )
        reported_loads[entry][name] += 1
        running[name] += 1
        open_work.append(name)
        if len(open_work) > target:
            chosen = random.randrange(len(open_work))
            open_work[chosen], open_work[-1] = open_work[-1], open_work[chosen]
            running[open_work.pop()] -= 1
    return running
