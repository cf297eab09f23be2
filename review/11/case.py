"""An engine leaves while the gateways' connections to the store have gone silent.

The gateways find out by their own time-out, and connect again. From then on they keep the engine
that the store no longer lists for two seconds more.
"""

import asyncio
import os
import pathlib
import sys
import tempfile
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1]))

from review.lib_3.clients import Clients  # noqa: E402
from review.lib_3.engines import Engine  # noqa: E402
from review.lib_3.gateways import BOUNDS, Gateways, configuration, main, route  # noqa: E402
from review.lib_3.store import SilencingProxy, Store  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_S = BOUNDS["drainMs"] / 1000
STABLE_S = BOUNDS["stableWindowMs"] / 1000
#: The engine leaves this long after the connections have gone silent.
LEAVES_AFTER_S = 1.0
#: It serves for ``drainMs`` and this much longer, then it exits.
LINGER_S = 1.5
#: Requests of one client, each this long after the one before.
INTERVAL_S = 0.1


async def run() -> int:
    """Run the case; return its exit status."""
    lines: list[str] = []
    started_at = time.monotonic()

    def record(request_id: str, text: str) -> None:
        lines.append(f"{time.monotonic() - started_at:9.3f} {request_id:16} {text}")

    store = Store()
    proxy = SilencingProxy(await store.start("127.0.42.1"))
    engines = [Engine("auftrag", f"127.0.41.{number}", 0.06, record) for number in range(1, 4)]
    for engine in engines:
        await engine.start()
        store.put(f"servers/{engine.identity}", engine.entry())
    routes = [
        route("cut-order", "non_idempotent", "auftrag", maxAttempts=1),
        route("notice-status", "idempotent", "auftrag"),
    ]
    store.put("op/config", configuration(7, routes, ["auftrag"]))
    clients = Clients(record)
    with tempfile.TemporaryDirectory() as directory:
        gateways = Gateways(pathlib.Path(directory), await proxy.start("127.0.42.2"), 2)
        try:
            await gateways.start()
            until = time.monotonic() + 14.0
            tasks = [
                asyncio.create_task(clients.run(front, method, path, INTERVAL_S, until))
                for front in gateways.fronts
                for method, path in (("POST", "/cut-order/"), ("GET", "/notice-status/")) * 3
            ]
            await asyncio.sleep(5.0)
            silent_at = time.monotonic()
            if TROUBLE:
                record("", f"{proxy.silence()} connections to the store go silent")
            await asyncio.sleep(LEAVES_AFTER_S)
            leaving = engines[0]
            left_at = store.delete(f"servers/{leaving.identity}")
            record("", f"the store accepts that {leaving.identity} is gone")
            await asyncio.sleep(DRAIN_S + LINGER_S)
            leaving.exit()
            exited_at = time.monotonic()
            record("", f"{leaving.identity} exits")
            await asyncio.gather(*tasks)
        finally:
            await gateways.kill()
            log = "".join(
                f"{path.name}: {line}"
                for path in sorted(pathlib.Path(directory).glob("*.log"))
                for line in path.open()
                if "store." in line or "endpoint." in line
            )
    in_touch_at = silent_at + STABLE_S if TROUBLE else silent_at
    bound_at = max(left_at + DRAIN_S, in_touch_at)
    sent_at = {answer.request_id: answer.sent_at for answer in clients.answers}
    late = {
        request_id: at
        for request_id, at in leaving.ran.items()
        if at > bound_at and sent_at.get(request_id, 0.0) > in_touch_at
    }
    last_s = max(leaving.ran.values(), default=left_at) - left_at
    results = [answer for answer in clients.answers if answer.request_id in leaving.cut]
    summary = [
        f"trouble: {int(TROUBLE)}",
        f"requests: {len(clients.answers)}, "
        f"served: {sum(answer.status == 200 for answer in clients.answers)}",
        f"machines in touch from {in_touch_at - left_at:+.3f} s on, after the engine was gone",
        f"last arrival at the engine that is gone: {last_s:.3f} s, bound {DRAIN_S:.3f} s",
        f"arrivals beyond the bound, sent on by machines in touch: {len(late)}",
        f"the engine exits {exited_at - left_at:.3f} s after it was gone; it runs "
        f"{len(leaving.cut)} requests, whose clients got {[one.status for one in results]}",
        f"result: {'the rule is broken' if late else 'the rule holds'}",
    ]
    (HERE / "record.txt").write_text("\n".join([*summary, "", *lines, "", log]) + "\n")
    print("\n".join(summary))
    if not clients.answers or not leaving.ran:
        return 2
    return 1 if late else 0


main(run)
