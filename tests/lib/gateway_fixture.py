"""Runs a gateway in the test's process, with stand-ins for the store and the engines."""

import asyncio
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

from pearshed._internal.gateway.process import GatewayProcess
from pearshed._internal.gateway.settings import GatewaySettings
from pearshed._internal.platform.documents import PlatformDocuments
from pearshed._internal.platform.headers import PlatformHeaders
from pearshed._internal.platform.store_client import PlatformStore
from pearshed._internal.timers import clock
from pearshed._internal.utils.addresses import Address
from tests.lib.gateway_caller import Caller, CallerResponse
from tests.lib.gateway_platform import EngineStandIn, configuration
from tests.lib.gateway_store import StoreStandIn
from tests.lib.ports import free_port

_CONDITION_TIMEOUT_S = 20.0
_RUN_BEFORE_S = 60.0


class QuietLogStream:
    """Replaces the log stream."""

    dropped = 0

    def drain(self) -> None:
        """Do nothing."""


def free_address() -> Address:
    """Return an address on loopback whose port is free and which no other test process gets."""
    return Address("127.0.0.1", free_port())


def gateway_settings(store: Address, **overrides: Any) -> GatewaySettings:
    """Create settings for a gateway on loopback."""
    values: dict[str, Any] = {
        "name": "edge-olympia-1",
        "data_centre": "olympia",
        "callers": free_address(),
        "readiness": free_address(),
        "control": free_address(),
        "peers": Address("127.0.0.1", free_address().port),
        "seeds": (),
        "store": store,
        "keys_fail_closed": True,
        "revocation_s": 5.0,
        "grace_s": 8.0,
        "repeat_ratio": 0.2,
        "repeat_slack": 200,
        "repeat_window_s": 10,
        **overrides,
    }
    return GatewaySettings(**values)


async def until(condition: Callable[[], bool]) -> None:
    """Poll until a condition is true."""
    async with asyncio.timeout(_CONDITION_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.005)


class GatewayTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts a store; tests start a gateway and add engines."""

    async def asyncSetUp(self) -> None:
        """Start the store with a configuration, and patch the clock."""
        self.clock_offset = 0.0
        real_now = clock.now
        patcher = mock.patch(
            "pearshed._internal.timers.clock.now", lambda: real_now() + self.clock_offset
        )
        patcher.start()
        self.addCleanup(patcher.stop)
        self.store = StoreStandIn()
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        self.engines: list[EngineStandIn] = []
        self.store.put("op/config", configuration(1))

    async def start_gateway(self, **overrides: Any) -> GatewayProcess:
        """Start the gateway and wait until it is ready."""
        self.settings = gateway_settings(self.store.address, **overrides)
        self.gateway, self.gateway_task = self.run_gateway(lambda: self.settings)
        await until(lambda: self.gateway_task.done() or not self.gateway.not_ready_reasons())
        if self.gateway_task.done():
            # Raises the exception that ended the gateway.
            await self.gateway_task
        return self.gateway

    def run_gateway(
        self, load_settings: Callable[[], GatewaySettings], *, may_retry: bool = True
    ) -> tuple[GatewayProcess, "asyncio.Task[None]"]:
        """Run a gateway in a task until the test ends.

        :param may_retry: fill its retry budgets, as if it had run for a while.
        """
        settings = load_settings()
        gateway = GatewayProcess(
            settings,
            load_settings,
            PlatformStore(settings.store),
            PlatformDocuments(),
            PlatformHeaders(),
            QuietLogStream(),  # type: ignore[arg-type]
        )
        if may_retry:
            _fill_retry_budgets(gateway)
        task = asyncio.get_running_loop().create_task(gateway.run())
        self.addAsyncCleanup(_stop_gateway, gateway, task)
        return gateway, task

    async def add_engine(self, service: str, script: Any, **overrides: Any) -> EngineStandIn:
        """Start an engine and list it in the store."""
        engine = EngineStandIn(f"i-{service}-{len(self.engines)}", service, script)
        await engine.start()
        self.addAsyncCleanup(engine.stop)
        self.engines.append(engine)
        self.store.put(f"servers/{engine.identity}", engine.entry(**overrides))
        return engine

    async def call(self, path: str, **fields: Any) -> CallerResponse | None:
        """Send one request on a new connection and read the response."""
        caller = await Caller.connect(self.settings.callers)
        try:
            caller.send(path, **fields)
            return await caller.read_response()
        finally:
            caller.close()

    async def status(self, path: str, **fields: Any) -> int | None:
        """Send one request and return the status of the response."""
        response = await self.call(path, **fields)
        return response.status if response is not None else None

    def has_endpoints(self, service: str, count: int) -> bool:
        """Return whether the gateway has exactly ``count`` usable engines of a service."""
        return len(self.gateway.endpoints.of_service(service)) == count


def _fill_retry_budgets(gateway: GatewayProcess) -> None:
    """Let a gateway's budgets be those of one that has run alone for longer than their window."""
    budgets = gateway.retry_budgets
    budgets._started_at -= _RUN_BEFORE_S
    budgets._gateway_count = lambda: 1


async def _stop_gateway(gateway: GatewayProcess, task: "asyncio.Task[None]") -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    gateway.close()
