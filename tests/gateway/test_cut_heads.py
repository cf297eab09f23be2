"""Responses that end inside their head, or inside the framing of their body, at a gateway."""

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator
from unittest import IsolatedAsyncioTestCase

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
    reset,
    route,
)

_INTERIM = b"HTTP/1.1 100 Continue\r\nX-A: 1\r\n\r\n"
_STATUS = b"HTTP/1.1 200 OK\r\n"
_HEADERS = (
    b"Pearshed-Request-Id: %s\r\nPearshed-Response-Signature: " + SIGNATURE.encode() + b"\r\n"
)
_CHUNKED = _STATUS + _HEADERS + b"Transfer-Encoding: chunked\r\n\r\n"
#: Responses that end inside their head.
_CUT_HEADS = {
    "in_the_status_line": b"HTTP/1.1 200",
    "after_the_status_line": _STATUS,
    "after_the_signature": _STATUS + _HEADERS,
    "in_a_length": _STATUS + _HEADERS + b"Content-Length: 1",
    "after_a_length": _STATUS + _HEADERS + b"Content-Length: 12\r\n",
    "after_a_type": _STATUS + _HEADERS + b"Content-Type: text/event-stream\r\n",
    "in_the_last_line_end": _STATUS + _HEADERS + b"Content-Length: 12\r\n\r",
    "after_an_interim_response": _INTERIM,
    "in_the_head_after_an_interim_response": _INTERIM + _STATUS + _HEADERS,
}
#: Responses that end inside the framing of their body.
_CUT_BODIES = {
    "in_a_chunk_size": _CHUNKED + b"4\r\nfour\r\n0",
    "after_the_last_chunk": _CHUNKED + b"4\r\nfour\r\n0\r\n",
    "in_a_trailer": _CHUNKED + b"4\r\nfour\r\n0\r\nX-Sum: 1",
    "after_a_trailer": _CHUNKED + b"4\r\nfour\r\n0\r\nX-Sum: 12\r\n",
}
_PATHS = {
    "plain": "/lookup/a",
    "once": "/confirm/a",
    "stream": "/draft/a",
    "once_stream": "/explain/a",
}


class CutResponseTest(GatewayTestCase):
    async def send_all(
        self, script: bytes, path: str, *, is_reset: bool, kept: bool
    ) -> CallerResponse:
        """Send a request whose engine cuts its response; on a kept connection if asked."""

        async def respond(connection: EngineConnection, request: EngineRequest) -> None:
            if request.request_id == "first":
                connection.send_response(request, headers={"Keep-Alive": "timeout=30"})
                return
            content = script % request.request_id.encode() if b"%s" in script else script
            connection.send(content)
            await connection.drain()
            if is_reset:
                await asyncio.sleep(0.02)
                reset(connection.writer)
            else:
                connection.close()

        routes = [*configuration(2)["routes"], route("warm", "idempotent", "fleet")]
        self.store.put("op/config", configuration(2, routes=routes))
        service = "fleet" if path in ("/draft/a", "/explain/a") else "ledger"
        await self.add_engine(service, respond)
        await self.start_gateway()
        await until(lambda: self.has_endpoints(service, 1))
        caller = await Caller.connect(self.settings.callers)
        if kept:
            caller.send("/warm/a" if service == "fleet" else "/lookup/a", request_id="first")
            first = await caller.read_response()
            assert first is not None
            self.assertEqual((200, True), (first.status, first.complete))
        caller.send(path, request_id="second")
        response = await caller.read_response()
        caller.close()
        assert response is not None
        return response

    @parameterized.expand(
        [
            (f"{place}_{kind}_{end}_{use}", script, path, end == "reset", use == "kept")
            for (place, script), (kind, path), end, use in itertools.product(
                _CUT_HEADS.items(), _PATHS.items(), ("closed", "reset"), ("new", "kept")
            )
            if end == "closed" or place in ("after_the_signature", "in_a_length")
        ]
    )
    async def test_a_response_that_is_cut_in_its_head_is_no_answer(
        self, _: str, script: bytes, path: str, is_reset: bool, kept: bool
    ) -> None:
        response = await self.send_all(script, path, is_reset=is_reset, kept=kept)
        self.assertEqual(502, response.status)
        self.assertNotIn("pearshed-response-signature", response.headers)

    @parameterized.expand(
        [
            (f"{place}_{kind}", script, path)
            for (place, script), (kind, path) in itertools.product(
                _CUT_BODIES.items(), _PATHS.items()
            )
        ]
    )
    async def test_a_body_whose_framing_is_cut_never_looks_complete(
        self, _: str, script: bytes, path: str
    ) -> None:
        response = await self.send_all(script, path, is_reset=False, kept=False)
        self.assertFalse(response.status == 200 and response.complete)

    @parameterized.expand(
        [
            ("interim", _INTERIM + _STATUS + _HEADERS + b"Content-Length: 4\r\n\r\nfour"),
            ("two_interim", 2 * _INTERIM + _STATUS + _HEADERS + b"Content-Length: 4\r\n\r\nfour"),
            ("trailers", _CHUNKED + b"4\r\nfour\r\n0\r\nX-Sum: 12\r\n\r\n"),
            ("no_length", _STATUS + _HEADERS + b"\r\nfour"),
        ]
    )
    async def test_complete_responses_of_other_forms(self, _: str, script: bytes) -> None:
        response = await self.send_all(script, "/lookup/a", is_reset=False, kept=False)
        self.assertEqual((200, b"four"), (response.status, response.body))

    async def test_a_response_without_length_that_is_reset_is_not_complete(self) -> None:
        script = _STATUS + _HEADERS + b"\r\nfour"
        response = await self.send_all(script, "/confirm/a", is_reset=True, kept=False)
        self.assertEqual(502, response.status)


class JsonClientCutTest(IsolatedAsyncioTestCase):
    """The client of the store, of engines' reports and of other gateways."""

    @contextlib.asynccontextmanager
    async def server(self, script: bytes) -> AsyncIterator[Address]:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(script)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        async with server:
            yield Address("127.0.0.1", server.sockets[0].getsockname()[1])

    @parameterized.expand(
        [
            *((name, script.replace(b"%s", b"1")) for name, script in _CUT_HEADS.items()),
            ("object_in_the_head", _STATUS + b'X: {"storeRevision": 5}\r\n'),
            ("body", _STATUS + b'Content-Length: 40\r\n\r\n{"storeRevision": 5}'),
            ("body_without_length", _STATUS + b'\r\n{"storeRevision": 5, "events": ['),
            ("no_body", _STATUS + b"\r\n"),
        ]
    )
    async def test_a_response_that_is_cut_is_a_failure(self, _: str, script: bytes) -> None:
        async with self.server(script) as address:
            client = JsonClient(address)
            result = await client.call("/v1/kv-watch", {}, 1.0)
            client.close()
        self.assertFalse(is_successful(result), result)
