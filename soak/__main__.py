"""Runs randomized fault-injection tests: ``python -m soak --seed 7 --seconds 20``."""

import argparse
import asyncio
import enum
import json
import logging
import pathlib
import random
import signal
import sys
import tempfile
import time

from soak.crowds import Crowds, CrowdSender
from soak.faults import FaultInjector
from soak.invariants import MAX_DESCRIPTORS, MEMORY_MB, find_violations
from soak.load import LoadGenerator
from soak.testbed import CROWD_LIMITS, Testbed
from tests.lib.gateway_caller import Caller

_READY_TIMEOUT_S = 20.0
_VERSION_POLL_INTERVAL_S = 0.3
#: Time after the loss of all processes within which requests are served (the platform's bound).
_RECOVERY_TIMEOUT_S = 12.0
_RECOVERY_REQUESTS = 12


class Evacuations(enum.StrEnum):
    """Whether data centres are evacuated in a run.

    ``IGNORED``: all are, without other faults, and the gateways' settings don't use evacuations. A
    run which still holds would prove that the check finds nothing.
    """

    NONE = "none"
    OBEYED = "obeyed"
    IGNORED = "ignored"


async def run_soak(
    seed: int,
    duration_s: float,
    directory: pathlib.Path,
    size: tuple[int, int, int],
    evacuations: Evacuations = Evacuations.NONE,
    *,
    stops_in_calm: bool = False,
    ignores_retry_limit: bool = False,
    crowds: Crowds = Crowds.NONE,
) -> bool:
    """Run one seed.

    :param size: numbers of gateways, engines and callers.
    :param evacuations: whether data centres are evacuated beside the faults.
    :param stops_in_calm: stop a gateway before any other fault.
    :param ignores_retry_limit: the gateways allow more retries than the check, and are killed while
        engines refuse; a run which still holds would prove that the check finds nothing.
    :param crowds: whether crowds of misbehaving clients come beside the faults.
    :returns: whether all invariants held and at least one request was served.
    """
    _cancel_on_sigterm()
    rng = random.Random(seed)
    gateways, engines, callers = size
    testbed = Testbed(directory, gateways, engines)
    testbed.ignores_evacuations = evacuations is Evacuations.IGNORED
    testbed.ignores_retry_limit = ignores_retry_limit
    if crowds is not Crowds.NONE:
        testbed.caller_limits = CROWD_LIMITS
    if crowds is Crowds.ENDURED:
        testbed.machine = {"memoryMb": MEMORY_MB, "maxFds": MAX_DESCRIPTORS}
    load = LoadGenerator(testbed, random.Random(rng.random()))
    faults = FaultInjector(testbed, random.Random(rng.random()))
    sender = CrowdSender(testbed, random.Random(seed))
    version_poll: asyncio.Task[None] | None = None
    try:
        await testbed.start()
        await _wait_until_served(load, gateways)
        version_poll = asyncio.create_task(_poll_versions(testbed))
        load_task = asyncio.create_task(load.run(callers))
        if crowds is not Crowds.NONE:
            crowd_task = asyncio.create_task(sender.run(duration_s))
        if stops_in_calm:
            await faults.stop_in_calm()
        if ignores_retry_limit:
            await faults.run_refusals(duration_s)
        elif evacuations is Evacuations.NONE:
            await faults.run(duration_s)
        elif evacuations is Evacuations.IGNORED:
            # Without faults, which could keep all requests from the evacuated data centres.
            await faults.run_evacuations(duration_s, random.Random(seed))
        else:
            await asyncio.gather(
                faults.run(duration_s), faults.run_evacuations(duration_s, random.Random(seed))
            )
        if crowds is not Crowds.NONE:
            await crowd_task
        load.stop()
        await load_task
        await faults.kill_all()
        testbed.history.recovery = await _measure_recovery(load, gateways)
    finally:
        if version_poll is not None:
            version_poll.cancel()
        await testbed.stop()
    violations = find_violations(testbed.history)
    statuses = sorted({outcome.status for outcome in testbed.history.outcomes})
    served = sum(outcome.status == 200 and outcome.complete for outcome in testbed.history.outcomes)
    resumed = [
        item for item in testbed.history.outcomes if item.stream not in ("", item.request_id)
    ]
    print(
        f"seed {seed}: {len(testbed.history.outcomes)} requests, {served} served, "
        f"{len(testbed.history.runs)} runs, {len(resumed)} streams taken up, "
        f"{sum(bool(item.versions) for item in resumed)} of them went on, "
        f"{len(faults.injected)} faults, {len(testbed.history.evacuations)} evacuations, "
        f"{len(sender.sent)} crowds, "
        f"statuses {statuses}: " + ("held" if not violations else "BROKEN")
    )
    for violation in violations[:5]:
        print(f"  {violation}")
        _print_log_lines(violation, directory)
    return not violations and served > 0


def _cancel_on_sigterm() -> None:
    """Let SIGTERM cancel the run, which then stops the processes that it has started."""
    task = asyncio.current_task()
    if task is not None:
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)


async def _wait_until_served(load: LoadGenerator, gateways: int) -> None:
    """Wait until every gateway serves requests, as the load balancer does."""
    async with asyncio.timeout(_READY_TIMEOUT_S):
        for number in range(gateways):
            while await load.send_probe(number) != 200:
                await asyncio.sleep(0.1)


async def _measure_recovery(load: LoadGenerator, gateways: int) -> tuple[int, int]:
    """Send requests after the loss of all processes.

    :returns: numbers of requests sent after the recovery time, and of those served.
    """
    deadline = time.monotonic() + _RECOVERY_TIMEOUT_S
    while time.monotonic() < deadline:
        if await load.send_probe(0) == 200:
            break
        await asyncio.sleep(0.2)
    statuses = [await load.send_probe(number % gateways) for number in range(_RECOVERY_REQUESTS)]
    return len(statuses), statuses.count(200)


async def _poll_versions(testbed: Testbed) -> None:
    while True:
        for number, node in enumerate(testbed.gateways):
            start_count = node.start_count
            try:
                async with asyncio.timeout(1.0):
                    caller = await Caller.connect(testbed.page_addresses[number])
                    caller.send("/dump", method="GET")
                    response = await caller.read_response()
                    caller.close()
            except (OSError, TimeoutError):
                continue
            if response is not None and response.complete and start_count == node.start_count:
                testbed.record_version(node.name, start_count, json.loads(response.body))
        await asyncio.sleep(_VERSION_POLL_INTERVAL_S)


def _print_log_lines(violation: str, directory: pathlib.Path) -> None:
    """Print the log lines of the request that a violation names."""
    words = violation.replace(":", " ").split()
    request_ids = [word for word in words if word.startswith("r") and word[1:].isdigit()]
    for path in sorted(directory.glob("*.log")):
        for line in path.read_text(errors="replace").splitlines():
            if request_ids and f'"request":"{request_ids[0]}"' in line:
                print(f"    {line[:300]}")


def main() -> int:
    """Run the requested seeds.

    :returns: 1 when a seed failed.
    """
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first seed (default: 1)")
    parser.add_argument(
        "--seeds", type=int, default=1, help="number of consecutive seeds (default: 1)"
    )
    parser.add_argument(
        "--seconds", type=float, default=15.0, help="duration of fault injection per seed"
    )
    parser.add_argument("--gateways", type=int, default=2)
    parser.add_argument("--engines", type=int, default=3, help="number of engines with sides")
    parser.add_argument("--callers", type=int, default=8)
    parser.add_argument(
        "--evacuations",
        type=Evacuations,
        choices=list(Evacuations),
        default=Evacuations.NONE,
        help="evacuate data centres; 'ignored' proves the check, as the run must fail",
    )
    parser.add_argument(
        "--stop-in-calm", action="store_true", help="stop a gateway before any other fault"
    )
    parser.add_argument(
        "--ignore-retry-limit",
        action="store_true",
        help="let gateways allow more retries than the check, which the run must fail",
    )
    parser.add_argument(
        "--crowds",
        type=Crowds,
        choices=list(Crowds),
        default=Crowds.NONE,
        help="send crowds of misbehaving clients; 'unbounded' proves the check, as it must fail",
    )
    parser.add_argument("--logs", type=pathlib.Path, help="directory for the logs of failed seeds")
    options = parser.parse_args()
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    failed = []
    for seed in range(options.seed, options.seed + options.seeds):
        size = (options.gateways, options.engines, options.callers)
        with tempfile.TemporaryDirectory(prefix="soak-") as path:
            directory = pathlib.Path(path)
            try:
                held = asyncio.run(
                    run_soak(
                        seed,
                        options.seconds,
                        directory,
                        size,
                        options.evacuations,
                        stops_in_calm=options.stop_in_calm,
                        ignores_retry_limit=options.ignore_retry_limit,
                        crowds=options.crowds,
                    )
                )
            except asyncio.CancelledError:
                print(f"seed {seed}: terminated")
                return 1
            if not held:
                failed.append(seed)
                if options.logs is not None:
                    directory.rename(options.logs / f"seed-{seed}")
                    directory.mkdir()
    print(f"{options.seeds - len(failed)} passed, {len(failed)} failed")
    if failed:
        print(f"to reproduce: python -m soak --seconds {options.seconds} --seed {failed[0]}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
