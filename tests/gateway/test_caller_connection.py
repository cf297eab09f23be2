"""Parsing of requests on callers' connections: ambiguous ones are refused, slow ones time out."""

import asyncio
import unittest
from typing import Any

from parameterized import parameterized

from pearshed._internal.decisions.ending_order import Room
from pearshed._internal.http.caller_connection import CallerConnection
from pearshed._internal.http.messages import HttpRequest, RequestProblem
from pearshed._internal.models.routing import CallerLimits
from pearshed._internal.resources.account import ResourceAccount

LIMITS = CallerLimits(1024, 2048, 3.0, 15.0)
ROOM = Room(1024 * 1024, 10)
HEAD = b"POST /a/ HTTP/1.1\r\nHost: h\r\n"


class FakeTransport(asyncio.Transport):
    """Records written bytes and whether the connection was closed."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.closed = False

    def write(self, data: Any) -> None:
        self.written += bytes(data)

    def set_write_buffer_limits(self, high: Any = None, low: Any = None) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0

    def can_write_eof(self) -> bool:
        return False

    def is_closing(self) -> bool:
        return self.closed

    def close(self) -> None:
        self.closed = True

    def abort(self) -> None:
        self.closed = True

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass


class CallerConnectionTest(unittest.IsolatedAsyncioTestCase):
    def connect(self) -> CallerConnection:
        account = ResourceAccount("callers", lambda: ROOM)
        connection = CallerConnection(lambda: LIMITS, account, lambda _: None, lambda _: None)
        self.transport = FakeTransport()
        connection.connection_made(self.transport)
        return connection

    async def receive(self, *pieces: bytes) -> HttpRequest | RequestProblem | None:
        connection = self.connect()
        for piece in pieces:
            connection.data_received(piece)
        async with asyncio.timeout(5):
            return await connection.next_request()

    @parameterized.expand(
        [
            (
                "both_lengths",
                HEAD + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n",
                400,
            ),
            ("two_lengths", HEAD + b"Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcd", 400),
            ("signed_length", HEAD + b"Content-Length: +4\r\n\r\nabcd", 400),
            ("other_coding", HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n", 400),
            ("hidden_coding", HEAD + b"Transfer-Encoding: xchunked\r\n\r\n", 400),
            ("space_before_colon", HEAD + b"Content-Length : 4\r\n\r\nabcd", 400),
            ("bad_chunk", HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nabcd\r\n", 400),
            ("no_host", b"GET / HTTP/1.1\r\n\r\n", 400),
            ("two_hosts", b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400),
            ("absolute", b"GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n", 400),
            ("noise", b"\x16\x03\x01\x02\x00\x01\x00\x01", 400),
            ("large_header", HEAD + b"X: " + b"a" * 2000, 431),
            ("large_body", HEAD + b"Content-Length: 4096\r\n\r\n" + b"a" * 4096, 413),
        ]
    )
    async def test_an_invalid_request_is_refused(self, _: str, content: bytes, status: int) -> None:
        problem = await self.receive(content)
        assert isinstance(problem, RequestProblem)
        self.assertEqual(status, problem.status)

    @parameterized.expand([(size,) for size in (1, 2, 7, 64)])
    async def test_a_request_received_in_pieces_is_parsed(self, size: int) -> None:
        content = HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        request = await self.receive(
            *(content[at : at + size] for at in range(0, len(content), size))
        )
        assert isinstance(request, HttpRequest)
        self.assertEqual(
            (b"/a/", b"abcde", True), (request.target, request.body, request.keep_alive)
        )

    async def test_a_body_is_not_parsed_as_a_request(self) -> None:
        # Guards against request smuggling: a body that looks like a request.
        inner = b"GET /inner/ HTTP/1.1\r\nHost: h\r\n\r\n"
        connection = self.connect()
        connection.data_received(HEAD + b"Content-Length: %d\r\n\r\n" % len(inner) + inner)
        connection.data_received(b"GET /next/ HTTP/1.1\r\nHost: h\r\n\r\n")
        targets = []
        for _ in range(2):
            request = await connection.next_request()
            assert isinstance(request, HttpRequest)
            targets.append(request.target)
            connection.finish_request()
        self.assertEqual([b"/a/", b"/next/"], targets)

    async def test_expect_100_continue_gets_an_interim_response(self) -> None:
        connection = self.connect()
        connection.data_received(HEAD + b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n")
        self.assertTrue(self.transport.written.startswith(b"HTTP/1.1 100 Continue"))

    @parameterized.expand([("next", 1), ("after_another", 2)])
    async def test_a_pipelined_request_gets_its_interim_response_after_earlier_responses(
        self, _: str, earlier: int
    ) -> None:
        connection = self.connect()
        connection.data_received(HEAD + b"\r\n")
        first = await connection.next_request()
        pipelined = (HEAD + b"\r\n") * (earlier - 1)
        expecting = HEAD + b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n"
        connection.data_received(pipelined + expecting)
        for number in range(earlier):
            self.assertEqual(b"", self.transport.written)
            connection.finish_request()
            if number + 1 < earlier:
                await connection.next_request()
        self.assertEqual(b"HTTP/1.1 100 Continue\r\n\r\n", self.transport.written)
        connection.data_received(b"ok")
        last = await connection.next_request()
        assert isinstance(first, HttpRequest) and isinstance(last, HttpRequest)
        self.assertEqual((b"", b"ok"), (first.body, last.body))
        connection.finish_request()
        self.assertEqual(1, self.transport.written.count(b"100 Continue"))

    async def test_an_idle_connection_is_closed_and_a_slow_header_is_refused(self) -> None:
        idle = self.connect()
        idle.close_if_overdue(idle._state_since + 14)
        self.assertFalse(self.transport.closed)
        idle.close_if_overdue(idle._state_since + 16)
        self.assertTrue(self.transport.closed)
        slow = self.connect()
        slow.data_received(b"GET /a/ HT")
        slow.close_if_overdue(slow._reading_since + 4)
        problem = await slow.next_request()
        assert isinstance(problem, RequestProblem)
        self.assertEqual(408, problem.status)

    async def test_a_disconnect_is_reported_once(self) -> None:
        connection = self.connect()
        reports: list[str] = []
        connection.on_disconnect(lambda: reports.append("gone"))
        connection.connection_lost(None)
        connection.connection_lost(None)
        self.assertEqual(["gone"], reports)
        self.assertIsNone(await connection.next_request())
