"""A zone stays evacuated for good if its evacuation ends in a gap of the watch after a drill."""

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
from lib_2.programs import bounds  # noqa: E402

#: Time for which the store is away in the drill, seconds.
AWAY_S = 1.0
#: Age of the copy when the store comes back from it, seconds.
COPY_AGE_S = 3.0
#: Time for which watches hear nothing before the history is dropped, seconds.
GAP_S = 1.0
#: Time after the end of the last disruption from which the state is steady, seconds.
STABLE_S = 4.0
MEASURED_S = 10.0
MIN_REQUESTS = 20
KEY = "desk-key"
EVACUATED = "graz-b"
FIRST = route("archive", "idempotent", "archive")
LATER = route("confirm", "non_idempotent", "ledger")
LABELS = ("first route", "later route")


async def drill(deployment: Deployment) -> None:
    """Let the store come back from a copy; what was written is written again at once."""
    store, record = deployment.store, deployment.record
    copy = store.copy()
    await asyncio.sleep(COPY_AGE_S - AWAY_S)
    record.write("drill: the store is away")
    store.close()
    await asyncio.sleep(AWAY_S)
    store.restore(copy)
    for key in copy[1]:
        store.put_again(key)
    await store.open()
    record.write(f"the store is back, all is written again up to revision {store.revision}")


async def play(deployment: Deployment) -> bool:
    """Play the case; return whether the rule held."""
    record, store = deployment.record, deployment.store
    engines = deployment.add_engines("archive", 2)
    engines += deployment.add_engines("ledger", 2, EVACUATED)
    store.put("op/config", configuration(11, [FIRST], {"desk": [KEY]}))
    for engine in engines:
        store.put(f"servers/{engine.identity}", engine.entry())
    await deployment.open(2, bounds=bounds(evacuateMs=5000, stableWindowMs=4000))
    await asyncio.sleep(1.0)
    store.put("op/config", configuration(14, [FIRST, LATER], {"desk": [KEY]}))
    record.write("a route to the ledger is added: version 14")
    await asyncio.sleep(2.0)
    for gateway in deployment.gateways:
        for path, method, label in (
            ("/archive/2f", "GET", LABELS[0]),
            ("/confirm/2f", "POST", LABELS[1]),
        ):
            deployment.send_steadily(gateway, path, KEY, 8.0, method=method, label=label)
    await asyncio.sleep(4.0)
    evacuated_at = time.monotonic()
    store.put(f"op/evacuate/{EVACUATED}", {})
    record.write(f"{EVACUATED} is evacuated")
    await asyncio.sleep(2.0)
    if has_trouble():
        await drill(deployment)
    else:
        await asyncio.sleep(COPY_AGE_S)
    await asyncio.sleep(6.0)
    if has_trouble():
        record.write(f"watches hear nothing; the evacuation of {EVACUATED} is withdrawn meanwhile")
        store.mute_watches()
        store.delete(f"op/evacuate/{EVACUATED}")
        await asyncio.sleep(GAP_S)
        store.drop_history()
        store.cut_watches()
        record.write("the history is dropped, and the watches are cut")
    else:
        store.delete(f"op/evacuate/{EVACUATED}")
        await asyncio.sleep(GAP_S)
    record.write(f"{EVACUATED} is no longer evacuated in the store")
    withdrawn_at = time.monotonic()
    await asyncio.sleep(STABLE_S + MEASURED_S)
    await deployment.finish(0.2)

    deployment.write_requests()
    shares = {}
    ended = [item for item in deployment.attempts if item.outcome]
    calm = [item for item in ended if item.sent_at < evacuated_at]
    steady = [item for item in ended if item.sent_at >= withdrawn_at + STABLE_S]
    for name, attempts in (("before", calm), ("steady state afterwards", steady)):
        for label in LABELS:
            chosen = [item for item in attempts if item.label == label]
            served = sum(item.outcome == "200" for item in chosen)
            shares[name, label] = served / max(1, len(chosen))
            record.write(f"{name}, {label}: {served} of {len(chosen)} requests served")
            if len(chosen) < MIN_REQUESTS:
                raise CaseNotRunError("too few requests")
    if min(shares["before", label] for label in LABELS) < 0.9:
        raise CaseNotRunError("the engines did not serve before the evacuation")
    return shares["steady state afterwards", LABELS[1]] >= (
        shares["steady state afterwards", LABELS[0]] / 4.0
    )


run_case(FOLDER, play, era=3)
