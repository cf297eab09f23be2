"""Runs the soak: ``python -m soak --seed 7 --seconds 20``."""

import argparse
import asyncio
import json
import logging
import pathlib
import random
import sys
import tempfile
import time

from soak.faults import Faults
from soak.load import Load
from soak.promises import broken
from soak.world import World
from tests.lib.gateway_caller import Caller

_READY_TIMEOUT_S = 20.0
_WATCH_PERIOD_S = 0.3
#: After the loss of all processes requests are served again within this (the platform's bound).
_RECOVER_S = 12.0
_RECOVERY_REQUESTS = 12


async def soak(seed: int, seconds: float, folder: pathlib.Path, size: tuple[int, int, int]) -> bool:
    """Run once.

    :param size: numbers of gateways, engines and callers.
    :returns: whether all promises held.
    """
    source = random.Random(seed)
    gateways, engines, callers = size
    world = World(folder, gateways, engines)
    load = Load(world, random.Random(source.random()))
    faults = Faults(world, random.Random(source.random()))
    watch: asyncio.Task[None] | None = None
    try:
        await world.start()
        await _until_served(load, gateways)
        watch = asyncio.create_task(_watch_versions(world))
        going = asyncio.create_task(load.run(callers))
        await faults.run(seconds)
        load.stop()
        await going
        await faults.kill_all()
        world.record.recovery = await _recover(load, gateways)
    finally:
        if watch is not None:
            watch.cancel()
        await world.stop()
    problems = broken(world.record)
    statuses = sorted({ending.status for ending in world.record.endings})
    served = sum(ending.status == 200 and ending.complete for ending in world.record.endings)
    print(
        f"seed {seed}: {len(world.record.endings)} requests, {served} served, "
        f"{len(world.record.runs)} runs, {len(faults.told)} faults, statuses {statuses}: "
        + ("held" if not problems else "BROKEN")
    )
    for problem in problems[:5]:
        print(f"  {problem}")
        _print_lines(problem, folder)
    return not problems and served > 0


async def _until_served(load: Load, gateways: int) -> None:
    """Wait until every gateway serves, as the balancer does."""
    async with asyncio.timeout(_READY_TIMEOUT_S):
        for number in range(gateways):
            while await load.ask(number) != 200:
                await asyncio.sleep(0.1)


async def _recover(load: Load, gateways: int) -> tuple[int, int]:
    """Ask after the loss of all processes.

    :returns: requests sent after the time to recover, and those served.
    """
    ends = time.monotonic() + _RECOVER_S
    while time.monotonic() < ends:
        if await load.ask(0) == 200:
            break
        await asyncio.sleep(0.2)
    statuses = [await load.ask(number % gateways) for number in range(_RECOVERY_REQUESTS)]
    return len(statuses), statuses.count(200)


async def _watch_versions(world: World) -> None:
    while True:
        for number, program in enumerate(world.gateways):
            starts = program.starts
            try:
                async with asyncio.timeout(1.0):
                    caller = await Caller.connect(world.pages[number])
                    caller.send("/dump", method="GET")
                    answer = await caller.read_response()
                    caller.close()
            except (OSError, TimeoutError):
                continue
            if answer is not None and answer.complete and starts == program.starts:
                world.note_versions(program.name, starts, json.loads(answer.body))
        await asyncio.sleep(_WATCH_PERIOD_S)


def _print_lines(problem: str, folder: pathlib.Path) -> None:
    """Print what the logs say of the request that a problem names."""
    words = problem.replace(":", " ").split()
    names = [word for word in words if word.startswith("r") and word[1:].isdigit()]
    for path in sorted(folder.glob("*.log")):
        for line in path.read_text(errors="replace").splitlines():
            if names and f'"request":"{names[0]}"' in line:
                print(f"    {line[:300]}")


def main() -> int:
    """Run the seeds that were asked for."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first seed (default: 1)")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds (default: 1)")
    parser.add_argument("--seconds", type=float, default=15.0, help="time of faults a seed")
    parser.add_argument("--gateways", type=int, default=2)
    parser.add_argument("--engines", type=int, default=3, help="engines with sides")
    parser.add_argument("--callers", type=int, default=8)
    parser.add_argument("--logs", type=pathlib.Path, help="keep the logs of failed seeds here")
    options = parser.parse_args()
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    failed = []
    for seed in range(options.seed, options.seed + options.seeds):
        size = (options.gateways, options.engines, options.callers)
        with tempfile.TemporaryDirectory(prefix="soak-") as name:
            folder = pathlib.Path(name)
            if not asyncio.run(soak(seed, options.seconds, folder, size)):
                failed.append(seed)
                if options.logs is not None:
                    folder.rename(options.logs / f"seed-{seed}")
                    folder.mkdir()
    print(f"{options.seeds - len(failed)} passed, {len(failed)} failed")
    if failed:
        print(f"again: python -m soak --seconds {options.seconds} --seed {failed[0]}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
