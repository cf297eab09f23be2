"""Crowds at the addresses of pages: a gateway's for the balancer and for operators, a side's."""

import asyncio
import pathlib
import tempfile
import unittest

from parameterized import parameterized

from pearshed._internal.utils.addresses import Address
from tests.lib.crowd_fixture import (
    FEW_FDS,
    MAX_FDS,
    MEMORY_MB,
    RESERVED_FDS,
    GatewayCrowdTestCase,
)
from tests.lib.crowds import Crowd, CrowdRun, repeated
from tests.lib.crowds_of_requests import SHORTEST_LINE, TRAILER, chunks, open_head, trailers
from tests.lib.gateway_caller import Caller
from tests.lib.gateway_fixture import until
from tests.lib.gateway_platform import EngineStandIn
from tests.lib.platform_process import KIB, MIB, engine_side_document, platform_process

#: Limits of the requests for pages.
_MAX_BYTES = 8 * KIB
_HEAD = b"GET /v1/readyz HTTP/1.1\r\nHost: a\r\n"

CROWDS = [
    Crowd("trailers", 4, lambda: trailers(_HEAD, TRAILER, 4 * MIB)),
    Crowd("small_chunks", 500, lambda: chunks(_HEAD, b"xx", _MAX_BYTES)),
    Crowd("open_heads", 500, lambda: open_head(_HEAD, SHORTEST_LINE, _MAX_BYTES)),
    Crowd(
        "pages_not_read",
        20,
        lambda: repeated(b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n", 256 * KIB),
        reads=False,
    ),
]

DESCRIPTOR_CROWDS = [
    Crowd("silent", 900, list),
    Crowd("half_heads_that_come_back", 300, lambda: [_HEAD], connections=4),
]


async def page_status(address: Address, path: str) -> int | None:
    """Ask for a page on a new connection and return the status."""
    caller = await Caller.connect(address)
    try:
        caller.send_bytes(b"GET %s HTTP/1.1\r\nHost: a\r\n\r\n" % path.encode())
        async with asyncio.timeout(30.0):
            response = await caller.read_response()
        return response.status if response is not None else None
    finally:
        caller.close()


class GatewayPageTest(GatewayCrowdTestCase):
    @parameterized.expand(
        [
            (f"{listener}_{crowd.name}", listener, crowd, max_fds)
            for listener in ("ready", "control")
            for crowds, max_fds in ((CROWDS, MAX_FDS), (DESCRIPTOR_CROWDS, FEW_FDS))
            for crowd in crowds
        ]
    )
    async def test_memory_and_descriptors_stay_below_those_of_the_machine(
        self, _: str, listener: str, crowd: Crowd, max_fds: int
    ) -> None:
        await self.start_gateway(memoryMb=MEMORY_MB, maxFds=max_fds)
        await self.endure(crowd, listener)
        self.assertEqual(200, await page_status(self.addresses["ready"], "/v1/readyz"))
        self.assertEqual(200, await page_status(self.addresses["control"], "/dump"))
        use = self.gateway.resource_use()
        self.assertLess(use.memory_mb, MEMORY_MB)
        self.assertLess(use.descriptors, max_fds - RESERVED_FDS)


class EngineSidePageTest(unittest.IsolatedAsyncioTestCase):
    @parameterized.expand(
        [
            (crowd.name, crowd, max_fds)
            for crowds, max_fds in ((CROWDS, MAX_FDS), (DESCRIPTOR_CROWDS, FEW_FDS))
            for crowd in crowds
        ]
    )
    async def test_memory_and_descriptors_stay_below_those_of_the_machine(
        self, _: str, crowd: Crowd, max_fds: int
    ) -> None:
        directory = tempfile.TemporaryDirectory(prefix="pearshed-test-")
        self.addCleanup(directory.cleanup)
        engine = EngineStandIn("i-fleet", "fleet")
        await engine.start()
        self.addAsyncCleanup(engine.stop)
        limits = {"memoryMb": MEMORY_MB, "maxFds": max_fds}
        document = engine_side_document(engine.address, limits=limits)
        side = platform_process("engine-side", document, pathlib.Path(directory.name))
        await side.start()
        self.addAsyncCleanup(side.kill)
        await until(lambda: "process.started" in side.log_text)
        address = Address(document["ip"], document["portRange"][0])
        run = CrowdRun(crowd, address)
        self.addCleanup(run.stop)
        with side.sampled():
            await run.start()
            self.assertTrue(side.alive, side.log_text[-2000:])
            self.assertEqual(200, await page_status(address, "/dump"))
        use = side.resource_use()
        self.assertLess(use.memory_mb, MEMORY_MB)
        self.assertLess(use.descriptors, max_fds - RESERVED_FDS)
