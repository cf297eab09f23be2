"""Bytes without end from an engine or from the store, in a head or in a body."""

import asyncio
import itertools
import unittest
from collections.abc import Iterator
from typing import Any

from parameterized import parameterized
from returns.pipeline import is_successful
from returns.result import Result

from pearshed._internal.gateway.attempt import MAX_BUFFERED_RESPONSE_BYTES
from pearshed._internal.http import json_client
from pearshed._internal.http.endpoint_connection import MAX_UNDELIVERED_BYTES
from pearshed._internal.http.event_stream import MAX_EVENT_BYTES
from pearshed._internal.http.json_client import JsonClient
from pearshed._internal.platform.engine_client import PlatformEngineMonitor
from pearshed._internal.platform.store_client import PlatformStore
from pearshed._internal.utils.addresses import Address
from tests.lib.gateway_fixture import GatewayTestCase, until
from tests.lib.gateway_platform import API_KEY, SIGNATURE, EngineConnection, EngineRequest

_PIECE = 64 * 1024
#: Kernel buffers of both ends hold some of what is sent beyond the limit.
_BUFFERED_BYTES = 16 * 1024 * 1024
_OK = b"HTTP/1.1 200 OK\r\n"
_EVENTS = b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
_CHUNK = b"%x\r\n%s\r\n" % (_PIECE, b"x" * _PIECE)

#: Name, beginning, and what follows without end.
_RESPONSES: list[tuple[str, bytes, bytes]] = [
    ("status_line", b"HTTP/1.1 200 ", b"O" * _PIECE),
    ("header_value", _OK + b"X-A: ", b"a" * _PIECE),
    ("header_name", _OK, b"a" * _PIECE),
    ("headers", _OK, b"X-A: b\r\n" * 8000),
    ("interim_responses", b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2500),
    ("chunk_size", _OK + b"Transfer-Encoding: chunked\r\n\r\n5;x=", b"a" * _PIECE),
    ("chunks", _OK + b"Transfer-Encoding: chunked\r\n\r\n", _CHUNK),
    ("until_close", _OK + b"\r\n", b"x" * _PIECE),
]


class Flood:
    """Counts the bytes that a server could send before its connection was closed."""

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.ended = 0

    async def send(self, writer: asyncio.StreamWriter, pieces: Iterator[bytes]) -> None:
        """Send until the connection is closed."""
        try:
            for piece in pieces:
                writer.write(piece)
                self.sent_bytes += len(piece)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.ended += 1
            writer.close()


class EngineFloodTest(GatewayTestCase):
    @parameterized.expand(
        [
            (name, path, start, more)
            for name, start, more in [
                *_RESPONSES,
                ("event", _OK + _EVENTS, _CHUNK),
            ]
            for path in ("lookup", "explain")
        ],
        name_func=lambda func, _, p: f"{func.__name__}_{p.args[0]}_{p.args[1]}",
    )
    async def test_a_response_without_end_is_cut_off(
        self, _: str, path: str, start: bytes, more: bytes
    ) -> None:
        flood = Flood()

        async def respond(connection: EngineConnection, request: EngineRequest) -> None:
            identifier = (
                f"Pearshed-Request-Id: {request.request_id}\r\n"
                f"Pearshed-Response-Signature: {SIGNATURE}\r\n"
            ).encode()
            head = start.replace(_OK, _OK + identifier)
            await flood.send(connection.writer, itertools.chain([head], itertools.repeat(more)))

        service = "ledger" if path == "lookup" else "fleet"
        await self.add_engine(service, respond)
        await self.start_gateway()
        await until(lambda: self.has_endpoints(service, 1))
        with self.assertLogs(level="WARNING") as logs:
            response = await self.call(
                f"/{path}/a",
                headers={"Authorization": f"Token {API_KEY}", "Pearshed-Deadline-Ms": "60000"},
            )
            await until(lambda: flood.ended > 0)
        self.assertTrue(response is None or response.status in (502, 504), response)
        self.assertIn("response.unbounded", str(logs.records))
        limit = max(MAX_BUFFERED_RESPONSE_BYTES, MAX_EVENT_BYTES, MAX_UNDELIVERED_BYTES)
        self.assertLess(flood.sent_bytes, limit + _BUFFERED_BYTES)


class CallFloodTest(unittest.IsolatedAsyncioTestCase):
    @parameterized.expand(
        [
            (f"{caller}_{name}", caller, start, more)
            for name, start, more in _RESPONSES
            for caller in ("client", "store", "report", "cache_events")
        ]
    )
    async def test_a_call_without_an_end_of_its_response_fails(
        self, _: str, caller: str, start: bytes, more: bytes
    ) -> None:
        flood = Flood()

        async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await flood.send(writer, itertools.chain([start], itertools.repeat(more)))

        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        self.addCleanup(server.close)
        address = Address("127.0.0.1", server.sockets[0].getsockname()[1])
        self.assertFalse(is_successful(await self.call(caller, address)))
        await until(lambda: flood.ended > 0)
        self.assertLess(flood.sent_bytes, json_client.MAX_BODY_BYTES + _BUFFERED_BYTES)

    async def call(self, caller: str, address: Address) -> Result[Any, Any]:
        if caller == "client":
            client = JsonClient(address)
            self.addCleanup(client.close)
            return await client.call("/v1/report", {}, 60.0)
        if caller == "store":
            store = PlatformStore(address)
            self.addCleanup(store.close)
            return await store.read_configuration()
        monitor = PlatformEngineMonitor(address)
        self.addCleanup(monitor.close)
        if caller == "report":
            return await monitor.report()
        return await monitor.next_cache_update(0, 1.0)
