"""Runs a gateway as a process of its own, with stand-ins in the test's process, for crowds."""

import asyncio
import contextlib
import pathlib
import tempfile
import unittest
from collections.abc import Sequence
from typing import Any

from pearshed._internal.utils.addresses import Address, parse_address
from tests.lib.crowds import Crowd, CrowdRun, repeated
from tests.lib.gateway_caller import Caller
from tests.lib.gateway_fixture import until
from tests.lib.gateway_platform import (
    API_KEY,
    HOST,
    SIGNATURE,
    EngineConnection,
    EngineRequest,
    EngineStandIn,
    configuration,
    route,
)
from tests.lib.gateway_store import StoreStandIn
from tests.lib.platform_process import KIB, MIB, gateway_document, platform_process

#: The least that a front of the platform has: memory, MB; descriptors, 200 of them for files.
MEMORY_MB = 88
MAX_FDS = 3075
RESERVED_FDS = 200
#: Descriptors of the tests in which connections are what there is too much of.
FEW_FDS = 700

MAX_HEADER_BYTES = 16 * KIB
MAX_BODY_BYTES = 4 * MIB

#: Route whose requests the engine holds.
HOLD = "hold"
_SIGNED = f"Pearshed-Request-Id: 1\r\nPearshed-Response-Signature: {SIGNATURE}\r\n".encode()
_OK = b"HTTP/1.1 200 OK\r\n" + _SIGNED
_CHUNKED = _OK + b"Transfer-Encoding: chunked\r\n"
_PIECE = b"x" * (16 * KIB)
#: Answers without an end, by route: how they begin, and what follows again and again.
ENDLESS = {
    "endless-head": (_OK + b"X-A: ", _PIECE),
    "endless-interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 500),
    "endless-chunk-header": (_CHUNKED + b"\r\n5;x=", _PIECE),
    "endless-chunks": (_CHUNKED + b"\r\n", b"4000\r\n%s\r\n" % _PIECE),
    "endless-body": (_OK + b"\r\n", _PIECE),
    "endless-event": (
        _CHUNKED + b"Content-Type: text/event-stream\r\n\r\n",
        b"4000\r\n%s\r\n" % _PIECE,
    ),
}


def head(*lines: str, path: str = HOLD) -> bytes:
    """Return the beginning of a request's head, without its end."""
    standard = (
        f"POST /{path}/a HTTP/1.1",
        f"Host: {HOST}",
        f"Authorization: Token {API_KEY}",
        "Pearshed-Request-Id: 1",
        "Pearshed-Deadline-Ms: 60000",
    )
    return "".join(f"{line}\r\n" for line in (*standard, *lines)).encode()


class GatewayCrowdTestCase(unittest.IsolatedAsyncioTestCase):
    """Runs a gateway before one engine, which answers, holds requests, or answers too much."""

    async def asyncSetUp(self) -> None:
        directory = tempfile.TemporaryDirectory(prefix="pearshed-test-")
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)
        self.store = StoreStandIn(page_size=20)
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        self.engine = EngineStandIn("i-ledger", "ledger", self.respond)
        await self.engine.start()
        self.addAsyncCleanup(self.engine.stop)
        self.store.put(
            "op/config",
            configuration(
                1,
                routes=[
                    route(name, "idempotent", "ledger", timeoutMs=60_000)
                    for name in ("lookup", HOLD, "large", "trailers")
                ]
                + [route(name, "idempotent", "faulty", timeoutMs=60_000) for name in ENDLESS],
                services=[
                    {
                        "name": name,
                        "healthPath": "/healthz",
                        "maxConns": 400,
                        "protocol": "h1",
                    }
                    for name in ("ledger", "faulty")
                ],
                limits={
                    "maxHeaderBytes": MAX_HEADER_BYTES,
                    "maxBodyBytes": MAX_BODY_BYTES,
                    "headerTimeoutMs": 120_000,
                    "idleTimeoutMs": 120_000,
                },
            ),
        )
        # An engine whose answers have no end is left out, so others serve the ordinary requests.
        faulty = EngineStandIn("i-faulty", "faulty", self.respond)
        await faulty.start()
        self.addAsyncCleanup(faulty.stop)
        for engine in (self.engine, faulty):
            self.store.put(f"servers/{engine.identity}", engine.entry(slots=400))

    async def respond(self, connection: EngineConnection, request: EngineRequest) -> None:
        request.body = b""
        if request.target.startswith(f"/{HOLD}/"):
            await connection.wait_closed()
        elif request.target.startswith("/large/"):
            connection.send_response(request, body=b"x" * (4 * MIB))
        elif request.target.startswith("/trailers/"):
            connection.begin_stream(request, headers={"Content-Type": "text/plain"})
            connection.send(b"1\r\nx\r\n0\r\n")
            for piece in repeated(b"a:b\r\n", MIB):
                connection.send(piece)
                await connection.drain()
        elif (name := request.target.split("/")[1]) in ENDLESS:
            connection.send(ENDLESS[name][0])
            # The gateway's limits end it much earlier.
            with contextlib.suppress(ConnectionError):
                for piece in repeated(ENDLESS[name][1], 128 * MIB):
                    connection.send(piece)
                    await connection.drain()
        else:
            connection.send_response(request)

    async def start_gateway(self, seeds: Sequence[Address] = (), **limits: Any) -> None:
        """Start the gateway and wait until it answers.

        :param seeds: addresses of other gateways.
        """
        seed_texts = [str(seed) for seed in seeds]
        document = gateway_document(self.store.address, limits=limits, seeds=seed_texts)
        self.addresses = {
            name: parse_address(text).unwrap() for name, text in document["listen"].items()
        }
        self.gateway = platform_process("gateway", document, self.directory)
        await self.gateway.start()
        self.addAsyncCleanup(self.gateway.kill)
        await until(lambda: "process.started" in self.gateway.log_text)
        while await self.ordinary_status() != 200:
            await asyncio.sleep(0.05)

    async def ordinary_status(self) -> int | None:
        """Send an ordinary request on a connection of its own and return its status."""
        try:
            caller = await Caller.connect(self.addresses["front"])
        except OSError:
            return None
        try:
            caller.send("/lookup/a", headers={"Pearshed-Deadline-Ms": "30000"})
            async with asyncio.timeout(30.0):
                response = await caller.read_response()
            return response.status if response is not None else None
        finally:
            caller.close()

    async def endure(self, crowd: Crowd, listener: str = "front") -> None:
        """Let a crowd come to an address, and send an ordinary request beside it."""
        run = CrowdRun(crowd, self.addresses[listener])
        self.addCleanup(run.stop)
        with self.gateway.sampled():
            await run.start()
            self.assertTrue(self.gateway.alive, self.gateway.log_text[-2000:])
            status = await self.ordinary_status()
        self.assertTrue(self.gateway.alive, self.gateway.log_text[-2000:])
        self.assertNotIn("Exception in", self.gateway.log_text)
        self.assertEqual(200, status, self.gateway.log_text[-4000:])
