"""A gateway restarts while the store comes back from a copy; a withdrawn API key works again."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lib_2.deployment import (  # noqa: E402
    CaseNotRunError,
    Deployment,
    configuration,
    has_trouble,
    route,
    run_case,
)

REVOKE_S = 5.0
#: Age of the copy when the store comes back from it, seconds.
COPY_AGE_S = 9.0
#: Time for which the store is away, seconds.
AWAY_S = 1.0
#: Time after the store's return at which the operator has written again what was lost, seconds.
REWRITTEN_S = 2.0
#: Time before the store's return at which the gateway is killed, seconds.
KILLED_BEFORE_S = 0.3
#: Delay with which the platform starts a killed process again, seconds.
RESTART_DELAY_S = 0.2
KEPT, TAKEN = "kept-key", "taken-key"
ROUTES = [route("confirm", "non_idempotent", "ledger")]
PATH = "/confirm/2f"


async def play(deployment: Deployment) -> bool:
    """Play the case; return whether the rule held."""
    record, store = deployment.record, deployment.store
    engines = deployment.add_engines("ledger", 4)
    before = configuration(41, ROUTES, {"guild": [KEPT], "florist": [TAKEN]})
    after = configuration(44, ROUTES, {"guild": [KEPT], "florist": []})
    store.put("op/config", before)
    for engine in engines:
        store.put(f"servers/{engine.identity}", engine.entry())
    await deployment.open(gateways=2)
    first, second = deployment.gateways
    for gateway in (first, second):
        deployment.send_steadily(gateway, PATH, KEPT, 10.0, label=f"{gateway.name}, kept key")
        deployment.send_steadily(gateway, PATH, TAKEN, 10.0, label=f"{gateway.name}, taken key")
    await asyncio.sleep(3.5)

    copy = store.copy()
    copied_at = time.monotonic()
    record.write(f"a copy of the store is made, at revision {store.revision}")
    await asyncio.sleep(1.0)
    revision = store.put("op/config", after)
    acknowledged_at = time.monotonic()
    record.write(f"the key is taken away: version 44, acknowledged at revision {revision}")
    await asyncio.sleep(copied_at + COPY_AGE_S - AWAY_S - time.monotonic())

    if has_trouble():
        record.write("the store is away")
        store.close()
        returns_at = time.monotonic() + AWAY_S
        await asyncio.sleep(AWAY_S - KILLED_BEFORE_S)
        second.kill()
        record.write(f"{second.name} is killed")
        await asyncio.sleep(RESTART_DELAY_S)
        second.start()
        record.write(f"{second.name} is started again")
        await asyncio.sleep(returns_at - time.monotonic())
        store.restore(copy)
        await store.open()
        returned_at = time.monotonic()
        record.write(f"the store is back from the copy, at revision {store.revision}, next era")
        await asyncio.sleep(returned_at + REWRITTEN_S - time.monotonic())
        revision = store.put("op/config", after)
        record.write(f"the operator has written version 44 again, at revision {revision}")
        await deployment.wait_ready(second, 5.0)
    await asyncio.sleep(4.0)
    await deployment.finish(0.5)

    deployment.write_requests()
    ran = {item.request_id for engine in engines for item in engine.arrivals if item.run}
    taken = [item for item in deployment.attempts if item.label.endswith("taken key")]
    kept = [item for item in deployment.attempts if item.label.endswith("kept key")]
    if sum(item.outcome == "200" for item in kept) < len(kept) // 2:
        raise CaseNotRunError("too few requests with the kept key were served")
    late = [
        item
        for item in taken
        if item.request_id in ran and item.sent_at > acknowledged_at + REVOKE_S
    ]
    for item in late:
        after_s = item.sent_at - acknowledged_at
        text = f"{item.request_id} ran, sent {after_s:.2f} s after its key was taken away"
        record.write(f"BROKEN: {text}, through {item.label}", item.sent_at)
    record.write(f"requests that ran with the taken key beyond revokeMs: {len(late)}")
    return not late


run_case(FOLDER, play, era=3)
