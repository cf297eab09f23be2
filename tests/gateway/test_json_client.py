"""Calls with JSON responses: which responses count as answers."""

import asyncio
import unittest

import orjson
from parameterized import parameterized
from returns.pipeline import is_successful

from pearshed._internal.engine_side.monitor import CacheChange, CacheUpdate
from pearshed._internal.http.json_client import JsonClient
from pearshed._internal.platform.engine_client import PlatformEngineMonitor
from pearshed._internal.utils.addresses import Address

_DOCUMENT = b'{"running": 3}'


class EngineMonitorTest(unittest.IsolatedAsyncioTestCase):
    async def test_cache_events_say_whether_tokens_were_evicted(self) -> None:
        events = [
            [1, "+", "", "aa", 64, "m"],
            [2, "-", "", "aa", 16, "m"],
            [3, "-", "", "aa", 0, "m"],
        ]
        document = {"epoch": 7, "next": 3, "lost": False, "events": events}
        body = orjson.dumps(document)

        async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        self.addCleanup(server.close)
        monitor = PlatformEngineMonitor(Address("127.0.0.1", server.sockets[0].getsockname()[1]))
        self.addCleanup(monitor.close)
        update = (await monitor.next_cache_update(0, 0.1)).unwrap()
        changes = [CacheChange("aa", 64), CacheChange("aa", 16, True), CacheChange("aa", 0, True)]
        self.assertEqual(CacheUpdate("7", 3, False, tuple(changes)), update)


class JsonClientTest(unittest.IsolatedAsyncioTestCase):
    @parameterized.expand(
        [
            ("sized", 200, b"Content-Length: 14\r\n", _DOCUMENT, 3),
            ("sized_and_cut", 200, b"Content-Length: 14\r\n", _DOCUMENT[:-1], None),
            ("sized_and_empty", 200, b"Content-Length: 0\r\n", b"", None),
            ("chunked", 200, b"Transfer-Encoding: chunked\r\n", b"e\r\n%s\r\n0\r\n\r\n", 3),
            ("chunked_and_cut", 200, b"Transfer-Encoding: chunked\r\n", b"e\r\n%s\r\n", None),
            ("chunked_and_empty", 200, b"Transfer-Encoding: chunked\r\n", b"0\r\n\r\n", None),
            ("until_close", 200, b"", _DOCUMENT, 3),
            ("until_close_and_cut", 200, b"", _DOCUMENT[:-1], None),
            ("until_close_and_empty", 200, b"", b"", None),
            ("nothing_to_say", 204, b"", b"", 0),
            ("refused_without_a_body", 503, b"", b"", 0),
        ]
    )
    async def test_only_a_whole_document_is_an_answer(
        self, _: str, status: int, header: bytes, body: bytes, running: int | None
    ) -> None:
        async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            content = body.replace(b"%s", _DOCUMENT)
            writer.write(b"HTTP/1.1 %d Status\r\n%s\r\n%s" % (status, header, content))
            writer.close()

        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        client = JsonClient(Address("127.0.0.1", port))
        self.addCleanup(client.close)
        response = await client.call("/v1/report", {}, 5.0)
        if running is None:
            self.assertFalse(is_successful(response), response)
        else:
            answered, document = response.unwrap()
            self.assertEqual((status, running), (answered, document.get("running", 0)))
