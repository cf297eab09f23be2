"""Engines that were once cut off from the store, one at a time, are never used after a drill."""

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

#: An engine's entry is removed after this much silence, seconds: three heartbeats of 1.2 s.
SILENCE_S = 3.6
#: Time for which one engine is cut off from the store, seconds.
CUT_S = 5.0
#: Time between two cuts, seconds.
BETWEEN_CUTS_S = 4.0
#: Time for which the store is away in the drill, seconds.
AWAY_S = 1.0
#: Age of the copy when the store comes back from it, seconds.
COPY_AGE_S = 3.0
#: Time after the end of the last disruption from which the state is steady, seconds.
STABLE_S = 3.0
MEASURED_S = 10.0
MIN_REQUESTS = 20
KEY = "guild-key"
FIRST = route("archive", "idempotent", "archive")
LATER = route("confirm", "non_idempotent", "ledger")


def served_share(attempts: list) -> float:  # type: ignore[type-arg]
    """Return the share of requests that were answered with success."""
    return sum(item.outcome == "200" for item in attempts) / max(1, len(attempts))


async def play(deployment: Deployment) -> bool:
    """Play the case; return whether the rule held."""
    record, store = deployment.record, deployment.store
    archive = deployment.add_engines("archive", 3)
    ledger = deployment.add_engines("ledger", 2)
    store.put("op/config", configuration(11, [FIRST], {"guild": [KEY]}))
    for engine in (*archive, *ledger):
        store.put(f"servers/{engine.identity}", engine.entry())
    await deployment.open(gateways=2)
    await asyncio.sleep(1.0)
    revision = store.put("op/config", configuration(14, [FIRST, LATER], {"guild": [KEY]}))
    record.write(f"a route to the ledger is added: version 14, at revision {revision}")
    await asyncio.sleep(2.0)
    for gateway in deployment.gateways:
        for path, label in (("/archive/2f", "first route"), ("/confirm/2f", "later route")):
            method = "GET" if label == "first route" else "POST"
            deployment.send_steadily(gateway, path, KEY, 8.0, method=method, label=label)

    for engine in ledger:
        key = f"servers/{engine.identity}"
        if has_trouble():
            record.write(f"{engine.identity} is cut off from the store; it goes on serving")
            await asyncio.sleep(SILENCE_S)
            store.delete(key)
            record.write(f"the store has removed {key} after three heartbeats")
            await asyncio.sleep(CUT_S - SILENCE_S)
            store.put(key, engine.entry())
            record.write(f"the cut has healed: {engine.identity} has registered again")
        else:
            await asyncio.sleep(CUT_S)
        await asyncio.sleep(BETWEEN_CUTS_S)
    await asyncio.sleep(2.0)
    before_at = time.monotonic()
    await asyncio.sleep(3.0)
    copy = store.copy()
    if has_trouble():
        await asyncio.sleep(COPY_AGE_S - AWAY_S)
        record.write("drill: the store is away")
        store.close()
        await asyncio.sleep(AWAY_S)
        store.restore(copy)
        record.write(f"the store is back from a copy, at revision {store.revision}, next era")
        store.put("op/config", configuration(14, [FIRST, LATER], {"guild": [KEY]}))
        for engine in (*archive, *ledger):
            store.put(f"servers/{engine.identity}", engine.entry())
        record.write(f"operator and engines have written again, up to revision {store.revision}")
        await store.open()
        record.write("the gateways reach the store again; heartbeats change no more than `seq`")
    else:
        await asyncio.sleep(COPY_AGE_S)
    drilled_at = time.monotonic()
    await asyncio.sleep(STABLE_S + MEASURED_S)
    await deployment.finish(0.2)

    deployment.write_requests()
    calm = [
        item
        for item in deployment.attempts
        if item.outcome and before_at <= item.sent_at < drilled_at - COPY_AGE_S
    ]
    steady = [
        item
        for item in deployment.attempts
        if item.outcome and item.sent_at >= drilled_at + STABLE_S
    ]
    shares = {}
    for name, attempts in (("before the drill", calm), ("steady state after it", steady)):
        for label in ("first route", "later route"):
            chosen = [item for item in attempts if item.label == label]
            shares[name, label] = served_share(chosen)
            text = f"{name}, {label}: {shares[name, label]:.2f} of {len(chosen)} requests served"
            record.write(text)
            if len(chosen) < MIN_REQUESTS:
                raise CaseNotRunError(f"too few requests: {text}")
    if min(shares["before the drill", label] for label in ("first route", "later route")) < 0.9:
        raise CaseNotRunError("the engines did not serve before the drill")
    first = shares["steady state after it", "first route"]
    return shares["steady state after it", "later route"] >= first / 4.0


run_case(FOLDER, play, era=3)
