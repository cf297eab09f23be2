"""Runs the side of an engine in the test's process."""

import asyncio
import unittest

from returns.result import Failure, Result, Success

from pearshed._internal.engine_side.monitor import CacheUpdate, EngineMonitor, EngineReport
from pearshed._internal.engine_side.process import EngineSideProcess
from pearshed._internal.engine_side.settings import EngineSideSettings
from pearshed._internal.utils.addresses import Address
from tests.lib.gateway_fixture import QuietLogStream, until


class IdleMonitor(EngineMonitor):
    """Reports an engine with an empty cache, and no cache updates."""

    async def report(self) -> Result[EngineReport, str]:
        """Report nothing running."""
        return Success(EngineReport(1, 1, 0, 1_000_000, ()))

    async def next_cache_update(self, since: int, wait_s: float) -> Result[CacheUpdate, str]:
        """Return no update after the wait."""
        await asyncio.sleep(wait_s)
        return Failure("no update")

    def close(self) -> None:
        """Do nothing."""


async def start_side(
    test: unittest.IsolatedAsyncioTestCase,
    address: Address,
    engine: Address,
    monitor: EngineMonitor,
) -> EngineSideProcess:
    """Run the side of an engine until the test ends."""
    settings = EngineSideSettings("side-1", "olympia", address, engine)
    side = EngineSideProcess(settings, monitor, QuietLogStream())  # type: ignore[arg-type]
    task = asyncio.get_running_loop().create_task(side.run())
    test.addAsyncCleanup(_stop_side, task, side)
    await until(lambda: side.serving)
    return side


async def _stop_side(task: "asyncio.Task[None]", side: EngineSideProcess) -> None:
    side.request_stop()
    await asyncio.wait_for(asyncio.gather(task, return_exceptions=True), 10)
