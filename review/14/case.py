"""A version that was rolled back gets all bookings while the old one backs off."""

from __future__ import annotations

import asyncio
from pathlib import Path

import rig

FOLDER = Path(__file__).resolve().parent


# The portion of its answers with which the bad version fails.
FAIL_SHARE = 0.5
OVER_S = 24.0
INTERVAL_S = 0.0125
ROLLED_BACK_LIMIT_S = 14.0
# When the old engines turn requests away after the roll-back, and for how long.
REFUSED_AFTER_S = 1.0
RETRY_AFTER_S = 4
# When the platform drains the new engines, after the roll-back.
DRAINED_AFTER_S = 8.0


async def play(deployment: rig.Deployment, trouble: bool) -> bool:
    """Rolls out a bad version; the old engines ask to back off after its roll-back."""
    record, store = deployment.record, deployment.store
    deployment.configure(
        routes=[rig.make_route("bookings", "/once/", "non_idempotent", "desk", 1500)],
        services=[{"name": "desk", "health_path": "/healthz", "max_conns": 400}],
        limits=rig.LIMITS,
        tenants=[{"name": "club", "api_keys": ["key-1"], "priority": 1}],
    )
    old = [await deployment.add_engine(f"desk-{n}", "desk") for n in range(2)]
    await deployment.start()
    sending = asyncio.ensure_future(send_all_the_while(deployment))
    await asyncio.sleep(3.0)
    order = {"service": "desk", "to": "v2", "over_s": OVER_S}
    store.put("op", "rollout/desk", order)
    ordered_at = record.now()
    record.add(f"the operator orders {order}")
    new = [await deployment.add_engine(f"desk-new-{n}", "desk", "v2") for n in range(2)]
    for engine in new:
        engine.fail_share = FAIL_SHARE
    while store.read("status", "rollout/desk").get("state") != "rolled_back":
        if record.now() > ordered_at + ROLLED_BACK_LIMIT_S:
            break
        await asyncio.sleep(0.05)
    record.add(f"the status is {store.read('status', 'rollout/desk')}")
    rolled_back_at = record.now()
    await asyncio.sleep(REFUSED_AFTER_S)
    if trouble:
        record.add(f"the old engines answer 503 with Retry-After: {RETRY_AFTER_S}")
        for engine in old:
            engine.rejects_with = {"Retry-After": str(RETRY_AFTER_S)}
        await asyncio.sleep(0.5)
        for engine in old:
            engine.rejects_with = None
    await asyncio.sleep(max(0.0, rolled_back_at + DRAINED_AFTER_S - record.now()))
    for engine in new:
        store.put("servers", engine.id, engine.make_row("draining"))
    record.add("the new engines drain")
    await asyncio.sleep(max(0.0, ordered_at + OVER_S - record.now()))
    sending.cancel()
    await asyncio.sleep(0.2)
    return count_exposure(deployment, ordered_at, rolled_back_at)


async def send_all_the_while(deployment: rig.Deployment) -> None:
    """Sends bookings to the entries in turn."""
    tasks = set()
    number = 0
    while True:
        entry = deployment.entries[number % len(deployment.entries)]
        number += 1
        headers = {"Authorization": "Token key-1"}
        sent = deployment.send(entry, "/once/book", headers)
        task = asyncio.ensure_future(sent)
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(INTERVAL_S)


def count_exposure(
    deployment: rig.Deployment, ordered_at: float, rolled_back_at: float
) -> bool:
    """Counts what reached the bad version between the order and its deadline."""
    runs = [
        run
        for engine in deployment.engines
        for run in engine.runs
        if ordered_at <= run.began_at <= ordered_at + OVER_S
    ]
    bad = [run for run in runs if run.engine.version == "v2"]
    after = sum(run.began_at > rolled_back_at + 0.5 for run in bad)
    allowed = rig.BOUNDS["exposure_share"] * len(runs) + rig.BOUNDS["exposure_extra"]
    deployment.record.add(
        f"of {len(runs)} bookings the bad version got {len(bad)}, of them {after} "
        f"after its roll-back; {allowed:.0f} are allowed"
    )
    return len(bad) > allowed


rig.run_case(FOLDER, play, entries=3)
