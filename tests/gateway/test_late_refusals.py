"""Faulty engines that write an earlier refusal once more on a kept connection."""

import asyncio
import json
import unittest

from parameterized import parameterized

from pearshed._internal.gateway.forwarding.run_check import is_listed_run
from pearshed._internal.http.endpoint_connection import connect
from pearshed._internal.platform.documents import decode_endpoint
from pearshed._internal.platform.headers import PlatformHeaders
from pearshed._internal.utils.addresses import Address
from tests.lib.gateway_caller import Caller
from tests.lib.gateway_fixture import GatewayTestCase, free_address, until
from tests.lib.gateway_platform import (
    EngineConnection,
    EngineRequest,
    EngineStandIn,
    all_kinds,
    configuration,
)

_REFUSED = {"Pearshed-Not-Executed": "full"}
_ROWS = [
    (f"{status}_{kind}_{when}_{named}", status, path, when, named == "named")
    for status in (503, 429, 408)
    for kind, path in (("plain", "/lookup/a"), ("once", "/confirm/a"), ("stream", "/brief/a"))
    for when in ("with_the_answer", "while_it_runs", "while_idle")
    for named in ("named", "unnamed")
]


class LateRefusalTest(GatewayTestCase):
    """Guards against a promise "not run" for requests that run, and against second runs."""

    @parameterized.expand(_ROWS)
    async def test_an_earlier_refusal_refuses_no_other_request(
        self, _: str, status: int, path: str, when: str, named: bool
    ) -> None:
        refused: list[tuple[EngineConnection, EngineRequest]] = []
        again = asyncio.Event()

        async def respond(connection: EngineConnection, request: EngineRequest) -> None:
            if not refused:
                refused.append((connection, request))
                connection.send_response(request, status, b"", _REFUSED)
                if when == "while_idle":
                    await connection.drain()
                    await asyncio.sleep(0.01)
                    self.send_again(refused[0], status, named)
                again.set()
                return
            if when != "while_idle" and connection is refused[0][0]:
                self.send_again(refused[0], status, named)
            if when == "while_it_runs":
                await connection.drain()
                await asyncio.sleep(0.05)
            if path.startswith("/brief"):
                connection.begin_stream(request)
                connection.send_event(1)
                connection.end_stream()
            else:
                connection.send_response(request)

        self.store.put("op/config", configuration(2, routes=all_kinds()))
        service = "fleet" if path.startswith("/brief") else "ledger"
        await self.add_engine(service, respond)
        await self.start_gateway(peers=Address("127.0.0.2", free_address().port))
        await until(lambda: self.has_endpoints(service, 1))
        caller = await Caller.connect(self.settings.callers)
        caller.send(path, request_id="first")
        await caller.read_response()
        await again.wait()
        caller.send(path, request_id="second")
        response = await caller.read_response()
        caller.close()
        self.assertEqual(200, response.status if response is not None else None)
        arrived = [request.request_id for request in self.engines[0].requests]
        self.assertEqual(["first", "second"], arrived)

    def send_again(
        self, refused: tuple[EngineConnection, EngineRequest], status: int, named: bool
    ) -> None:
        """Write a refusal once more, with or without the id of its request."""
        connection, request = refused
        headers = "".join(f"{name}: {value}\r\n" for name, value in _REFUSED.items())
        if named:
            headers += f"Pearshed-Request-Id: {request.request_id}\r\n"
        head = f"HTTP/1.1 {status} Status\r\n{headers}Content-Length: 0\r\n\r\n"
        connection.send(head.encode())


class RunCheckTest(unittest.IsolatedAsyncioTestCase):
    """The question that a connection is asked before a later part of a stream is sent on it."""

    @parameterized.expand([("same_run", 0, False), ("another_run", 7, False), ("sound", 0, True)])
    async def test_an_earlier_refusal_is_no_report(
        self, name: str, later_ms: int, confirmed: bool
    ) -> None:
        async def respond(connection: EngineConnection, request: EngineRequest) -> None:
            if name != "sound":
                head = "HTTP/1.1 503 Status\r\nPearshed-Request-Id: first\r\nContent-Length: 0"
                connection.send(f"{head}\r\n\r\n".encode())
                await connection.drain()
                # The report follows in a segment of its own.
                await asyncio.sleep(0.02)
            body = json.dumps({"born": engine.started_at_ms + later_ms}).encode()
            connection.send_response(request, body=body)

        engine = EngineStandIn("i-1", "fleet", respond)
        engine.reports_itself = False
        await engine.start()
        self.addAsyncCleanup(engine.stop)
        entry = decode_endpoint("i-1", json.dumps(engine.entry()).encode()).unwrap()
        connection = await connect(engine.address, 1.0)
        self.addCleanup(connection.abort)
        self.assertEqual(confirmed, await is_listed_run(connection, PlatformHeaders(), entry))
        self.assertEqual(confirmed, connection.run_confirmed)
