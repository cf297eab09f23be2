"""What callers get when a gateway has no room for what they send, or stop taking answers."""

import asyncio
import unittest
from unittest import mock

from parameterized import parameterized

from pearshed._internal.decisions.ending_order import Room
from pearshed._internal.decisions.room_refusal import NO_ROOM
from pearshed._internal.http.caller_connection import (
    LINGER_S,
    MAX_PIPELINED_BYTES,
    CallerConnection,
)
from pearshed._internal.http.messages import HttpRequest, RequestProblem
from pearshed._internal.models.routing import CallerLimits
from pearshed._internal.resources.account import ResourceAccount
from pearshed._internal.resources.limits import MachineLimits
from tests.gateway.test_caller_connection import HEAD, FakeTransport
from tests.lib.gateway_caller import Caller
from tests.lib.gateway_fixture import GatewayTestCase, until
from tests.lib.gateway_platform import configuration, respond_ok

KIB = 1024
MIB = 1024 * KIB
LIMITS = CallerLimits(16 * KIB, 4 * MIB, 3.0, 15.0)
SMALL = b"GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n"


class WritingTransport(FakeTransport):
    """Has a buffer that the peer doesn't take."""

    def __init__(self) -> None:
        super().__init__()
        self.unsent = 0
        self.half_closed = False

    def get_write_buffer_size(self) -> int:
        return self.unsent

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        self.half_closed = True


class ConnectionRoomTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.room = Room(300 * KIB, 3)
        self.account = ResourceAccount("callers", lambda: self.room)

    def connect(self) -> tuple[CallerConnection, WritingTransport]:
        connection = CallerConnection(lambda: LIMITS, self.account, lambda _: None, lambda _: None)
        transport = WritingTransport()
        connection.connection_made(transport)
        return connection, transport

    @parameterized.expand(
        [
            ("body", HEAD + b"Content-Length: 4000000\r\n\r\n" + b"x" * 400 * KIB),
            (
                "chunks",
                HEAD
                + b"Transfer-Encoding: chunked\r\n\r\n"
                + b"400\r\n%s\r\n" % (b"x" * KIB) * 400,
            ),
        ]
    )
    async def test_an_unfinished_request_gets_a_promise_and_a_time(
        self, _: str, content: bytes
    ) -> None:
        connection, _transport = self.connect()
        connection.data_received(content)
        problem = await connection.next_request()
        assert isinstance(problem, RequestProblem)
        self.assertEqual((503, NO_ROOM), (problem.status, problem.message))
        self.assertIn(problem.retry_after_s, (1, 2, 3))
        self.assertLess(self.account.held_bytes, 16 * KIB)

    async def test_what_was_sent_ahead_is_refused_after_the_response(self) -> None:
        connection, _ = self.connect()
        connection.data_received(SMALL * 2000)
        first = await connection.next_request()
        self.assertIsInstance(first, HttpRequest)
        self.room = Room(40 * KIB, 3)
        other, _ = self.connect()
        self.assertFalse(other.disconnected)
        self.assertLess(self.account.held_bytes, 40 * KIB)
        connection.finish_request()
        problem = await connection.next_request()
        assert isinstance(problem, RequestProblem)
        self.assertEqual(503, problem.status)

    async def test_requests_sent_ahead_are_kept_as_they_came(self) -> None:
        connection, _ = self.connect()
        connection.data_received(SMALL)
        await connection.next_request()
        before = self.account.held_bytes
        connection.data_received(SMALL * 1000)
        self.assertLess(self.account.held_bytes - before, 1000 * len(SMALL) + KIB)
        self.assertGreater(1000 * len(SMALL), MAX_PIPELINED_BYTES)
        connection.finish_request()
        self.assertIsInstance(await connection.next_request(), HttpRequest)

    async def test_a_client_that_is_refused_has_time_to_read_it(self) -> None:
        connection, transport = self.connect()
        connection.data_received(b"x\r\n\r\n")
        self.assertIsInstance(await connection.next_request(), RequestProblem)
        connection.write(b"refused")
        connection.close_refused()
        self.assertEqual((True, False), (transport.half_closed, transport.closed))
        connection.data_received(b"more")
        connection.close_if_overdue(connection._state_since + LINGER_S / 2)
        self.assertFalse(transport.closed)
        connection.close_if_overdue(connection._state_since + LINGER_S * 1.1)
        self.assertTrue(transport.closed)

    async def test_a_body_that_stops_is_refused_after_the_idle_time(self) -> None:
        connection, _ = self.connect()
        connection.data_received(HEAD + b"Content-Length: 9\r\n\r\nabc")
        connection.close_if_overdue(connection._progressed_at + 14)
        self.assertFalse(connection._parser.refused)
        connection.close_if_overdue(connection._progressed_at + 16)
        problem = await connection.next_request()
        assert isinstance(problem, RequestProblem)
        self.assertEqual(408, problem.status)

    @parameterized.expand([("open", False), ("closing", True)])
    async def test_an_answer_that_nobody_takes_is_broken_off(self, _: str, closing: bool) -> None:
        connection, transport = self.connect()
        connection.data_received(SMALL)
        await connection.next_request()
        transport.unsent = 1000
        connection.write(b"x" * 1000)
        if closing:
            connection.close()
        connection.close_if_overdue(connection._progressed_at + 14)
        aborted = transport.closed and not closing
        self.assertFalse(aborted)
        connection.close_if_overdue(connection._progressed_at + 16)
        self.assertTrue(transport.closed)

    @parameterized.expand([("taken", False, [True, False]), ("not_taken", True, [True])])
    async def test_a_body_whose_end_is_dropped_does_not_end_as_if_it_were_whole(
        self, _: str, aborted: bool, resets: list[bool]
    ) -> None:
        connection, transport = self.connect()
        transport._extra = {"socket": mock.Mock()}  # type: ignore[attr-defined]
        connection.data_received(SMALL)
        await connection.next_request()
        name = "pearshed._internal.http.caller_connection.set_reset_on_close"
        with mock.patch(name) as set_reset:
            connection.begin_body_until_close()
            connection.pause_writing()
            connection.write(b"the rest")
            connection.close()
            self.assertFalse(transport.closed)
            if aborted:
                connection.abort()
            else:
                connection.resume_writing()
            connection.connection_lost(None)
        self.assertEqual(resets, [call.args[1] for call in set_reset.call_args_list])
        self.assertEqual(b"" if aborted else b"the rest", transport.written)

    async def test_a_connection_too_many_ends_the_one_without_progress(self) -> None:
        connections = [self.connect() for _ in range(3)]
        connections[0][0].data_received(HEAD)
        connections[1][0]._progressed_at -= 5.0
        newest, transport = self.connect()
        self.assertEqual(
            [False, True, False, False],
            [one.closed for _, one in connections] + [transport.closed],
        )
        self.assertFalse(newest.disconnected)


class RoomTest(GatewayTestCase):
    async def test_a_request_that_finds_no_room_reaches_no_engine_and_may_come_back(self) -> None:
        self.store.put(
            "op/config",
            configuration(
                2,
                limits={
                    "maxHeaderBytes": 16 * KIB,
                    "maxBodyBytes": 16 * MIB,
                    "headerTimeoutMs": 3000,
                    "idleTimeoutMs": 15_000,
                },
            ),
        )
        engine = await self.add_engine("ledger", respond_ok)
        await self.start_gateway(machine=MachineLimits(48 * MIB, 4096))
        await until(lambda: self.has_endpoints("ledger", 1))
        caller = await Caller.connect(self.settings.callers)
        self.addCleanup(caller.close)
        caller.send("/lookup/a", body=b"x" * (8 * MIB))
        async with asyncio.timeout(20):
            response = await caller.read_response()
        assert response is not None
        self.assertEqual((503, True), (response.status, response.complete))
        self.assertIn(int(response.headers["retry-after"]), (1, 2, 3))
        self.assertEqual([], engine.requests)
        self.assertEqual(200, await self.status("/lookup/a", body=b"x" * MIB))
