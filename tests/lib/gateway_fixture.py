"""A gateway in the test's own process, between the stand-ins of the users' platform."""

import asyncio
import random
import socket
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

_CONDITION_TIMEOUT_S = 20.0
#: Ports below those that the kernel chooses itself.
_FIRST_PORT, _LAST_PORT = 10_000, 32_000
_ports = random.Random()
_found_ports: set[int] = set()


class QuietLogStream:
    """Takes the place of the log stream."""

    dropped = 0

    def drain(self) -> None:
        """Do nothing."""


def free_address() -> Address:
    """Find a port on loopback that is free and was not found before.

    The port is bound later, so it must not be found again until then, nor lie in the range from
    which the kernel takes ports for connections and servers of its own choice.
    """
    while True:
        port = _ports.randrange(_FIRST_PORT, _LAST_PORT)
        if port in _found_ports:
            continue
        _found_ports.add(port)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(type=kind) as probe:
                    probe.bind(("127.0.0.1", port))
        except OSError:
            continue
        return Address("127.0.0.1", port)


def gateway_settings(store: Address, **more: Any) -> GatewaySettings:
    """Make settings of a gateway on loopback."""
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
        "bounds": {},
        **more,
    }
    return GatewaySettings(**values)


async def until(condition: Callable[[], bool]) -> None:
    """Wait for a condition."""
    async with asyncio.timeout(_CONDITION_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.005)


class GatewayTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts a store and a gateway; tests add engines."""

    async def asyncSetUp(self) -> None:
        """Start the stand-ins and the gateway."""
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

    async def start_gateway(self, **more: Any) -> GatewayProcess:
        """Start the gateway and wait until it is ready and knows the engines."""
        self.settings = gateway_settings(self.store.address, **more)
        self.gateway, self.running = self.run_gateway(lambda: self.settings)
        await until(lambda: self.running.done() or not self.gateway.not_ready_reasons())
        if self.running.done():
            # Shows why it could not start.
            await self.running
        return self.gateway

    def run_gateway(
        self, load_settings: Callable[[], GatewaySettings]
    ) -> tuple[GatewayProcess, "asyncio.Task[None]"]:
        """Run a gateway until the test ends."""
        settings = load_settings()
        gateway = GatewayProcess(
            settings,
            load_settings,
            PlatformStore(settings.store),
            PlatformDocuments(),
            PlatformHeaders(),
            QuietLogStream(),  # type: ignore[arg-type]
        )
        running = asyncio.get_running_loop().create_task(gateway.run())
        self.addAsyncCleanup(_end, gateway, running)
        return gateway, running

    async def add_engine(self, service: str, script: Any, **more: Any) -> EngineStandIn:
        """Start an engine and list it in the store."""
        engine = EngineStandIn(f"i-{service}-{len(self.engines)}", service, script)
        await engine.start()
        self.addAsyncCleanup(engine.stop)
        self.engines.append(engine)
        self.store.put(f"servers/{engine.identity}", engine.entry(**more))
        return engine

    async def call(self, path: str, **more: Any) -> CallerResponse | None:
        """Send one request on a connection of its own and read the answer."""
        caller = await Caller.connect(self.settings.callers)
        try:
            caller.send(path, **more)
            return await caller.read_response()
        finally:
            caller.close()

    async def status(self, path: str, **more: Any) -> int | None:
        """Send one request and read the status of the answer."""
        answer = await self.call(path, **more)
        return answer.status if answer is not None else None

    def knows(self, service: str, count: int) -> bool:
        """Tell whether the gateway lists so many usable engines of a service."""
        return len(self.gateway.endpoints.of_service(service)) == count


async def _end(gateway: GatewayProcess, running: "asyncio.Task[None]") -> None:
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    gateway.close()
