"""Statuses that HTTP doesn't define, and answers that come while their request is being sent."""

import asyncio
import itertools
import unittest
from typing import Any

from parameterized import parameterized
from returns.pipeline import is_successful

from pearshed._internal.http.json_client import JsonClient
from pearshed._internal.utils.addresses import Address
from tests.lib.gateway_caller import Caller, CallerResponse
from tests.lib.gateway_fixture import GatewayTestCase, until
from tests.lib.gateway_platform import (
    SIGNATURE,
    EngineConnection,
    EngineRequest,
    configuration,
    entry_document,
    reset,
    route,
)

#: Below 100 or above 599; RFC 9110, section 15, has them treated as server errors.
_INVALID = ("000", "001", "099", "600", "999")
_FRAMINGS = {
    "length": b"Content-Length: 4\r\n\r\nfour",
    "chunked": b"Transfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n",
    "no_body": b"Content-Length: 0\r\n\r\n",
}
_PATHS = {"plain": "/lookup/a", "once": "/confirm/a", "stream": "/draft/a"}
_HEADERS = "Pearshed-Request-Id: {}\r\nPearshed-Response-Signature: " + SIGNATURE + "\r\n"


class InvalidStatusTest(GatewayTestCase):
    """Guards against statuses that callers can't read, and against waits for a final response."""

    @parameterized.expand(
        [
            (f"{status}_{framing}_{kind}_{use}", status, body, path, use == "kept")
            for status, (framing, body), (kind, path), use in itertools.product(
                _INVALID, _FRAMINGS.items(), _PATHS.items(), ("new", "kept")
            )
            if status in ("000", "600") or (framing == "length" and kind == "plain")
        ]
    )
    async def test_a_status_outside_of_100_to_599_is_no_answer(
        self, _: str, status: str, body: bytes, path: str, kept: bool
    ) -> None:
        async def respond(connection: EngineConnection, request: EngineRequest) -> None:
            if request.request_id == "first":
                connection.send_response(request, headers={"Keep-Alive": "timeout=30"})
                return
            head = f"HTTP/1.1 {status} Odd\r\n" + _HEADERS.format(request.request_id)
            connection.send(head.encode() + body)
            await connection.drain()

        routes = [*configuration(2)["routes"], route("warm", "idempotent", "fleet")]
        self.store.put("op/config", configuration(2, routes=routes))
        service = "fleet" if path == "/draft/a" else "ledger"
        await self.add_engine(service, respond)
        await self.start_gateway()
        await until(lambda: self.has_endpoints(service, 1))
        caller = await Caller.connect(self.settings.callers)
        self.addCleanup(caller.close)
        if kept:
            caller.send("/warm/a" if service == "fleet" else "/lookup/a", request_id="first")
            self.assertEqual(200, (await caller.read_response() or self.fail()).status)
        # The deadline is far away, so an answer that is waited for ends the test instead.
        caller.send(path, request_id="second", headers={"Pearshed-Deadline-Ms": "60000"})
        async with asyncio.timeout(20.0):
            response = await caller.read_response()
        assert response is not None
        self.assertEqual(502, response.status)
        self.assertNotIn("pearshed-response-signature", response.headers)


class InvalidStatusOfCallTest(unittest.IsolatedAsyncioTestCase):
    """The same for calls to the store, to other gateways and to engines' reports."""

    @parameterized.expand([(status,) for status in _INVALID])
    async def test_a_call_whose_status_is_invalid_fails(self, status: str) -> None:
        async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(f"HTTP/1.1 {status} Odd\r\nContent-Length: 2\r\n\r\n{{}}".encode())

        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        self.addCleanup(server.close)
        client = JsonClient(Address("127.0.0.1", server.sockets[0].getsockname()[1]))
        self.addCleanup(client.close)
        async with asyncio.timeout(20.0):
            self.assertFalse(is_successful(await client.call("/v1/report", {}, 60.0)))


#: Begun answers, none of which is whole.
_BEGUN = {
    "without_a_length": b"\r\nfour",
    "with_a_length": b"Content-Length: 400\r\n\r\nfour",
    "in_chunks": b"Transfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n",
}
#: Larger than the buffers of both ends, so that the engine ends before the request is sent.
_UPLOAD_BYTES = 24 * 1024 * 1024


class EarlyAnswerTest(GatewayTestCase):
    """Guards against parts of answers that are cut during an upload and passed on as whole."""

    async def upload(self, path: str, begun: bytes, end: str) -> CallerResponse:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            _, _, rest = head.partition("pearshed-request-id: ")
            identifier = _HEADERS.format(rest.partition("\r\n")[0])
            writer.write(b"HTTP/1.1 200 OK\r\n" + identifier.encode() + begun)
            await writer.drain()
            if end == "closed":
                writer.write_eof()
                await asyncio.sleep(0.05)
            reset(writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=1024)
        self.addCleanup(server.close)
        address = "{}:{}".format(*server.sockets[0].getsockname())
        services: dict[str, Any] = configuration(2)
        services["limits"] = {**services.get("limits", {}), "maxBodyBytes": 2 * _UPLOAD_BYTES}
        self.store.put("op/config", services)
        self.store.put("servers/i-early", entry_document("ledger", address))
        await self.start_gateway()
        await until(lambda: self.has_endpoints("ledger", 1))
        caller = await Caller.connect(self.settings.callers)
        self.addCleanup(caller.close)
        caller.send(path, body=b"u" * _UPLOAD_BYTES, headers={"Pearshed-Deadline-Ms": "30000"})
        response = await caller.read_response()
        assert response is not None
        return response

    @parameterized.expand(
        [
            (f"{framing}_{kind}_{end}", begun, path, end)
            for (framing, begun), (kind, path), end in itertools.product(
                _BEGUN.items(), list(_PATHS.items())[:2], ("reset", "closed")
            )
        ]
    )
    async def test_an_answer_that_is_cut_during_the_upload_is_no_answer(
        self, _: str, begun: bytes, path: str, end: str
    ) -> None:
        response = await self.upload(path, begun, end)
        self.assertEqual(502, response.status)
        self.assertNotIn(b"four", response.body)
