"""How a gateway decides that an endpoint's response is complete, and what it tells the caller."""

import unittest

from parameterized import parameterized

from pearshed._internal.http.event_stream import EventBuffer, ends_inside_event
from tests.lib.gateway_caller import Caller, CallerResponse
from tests.lib.gateway_fixture import GatewayTestCase, until
from tests.lib.gateway_platform import EngineConnection, EngineRequest, Script

_EVENTS = [b"id: %d\ndata: piece-%d\n\n" % (number, number) for number in range(1, 5)]
_FRAMINGS = ("until close", "chunked", "length")


def send_events(
    connection: EngineConnection, request: EngineRequest, framing: str, content: bytes
) -> None:
    """Send a stream whose framing is complete whatever its content is."""
    headers = {
        "until close": {"Content-Length": ""},
        "chunked": {"Content-Length": "", "Transfer-Encoding": "chunked"},
        "length": {"Content-Length": str(len(content))},
    }[framing]
    connection.send_response(
        request, body=b"", headers={**headers, "Content-Type": "text/event-stream"}
    )
    if framing == "chunked":
        connection.send(b"%x\r\n%s\r\n0\r\n\r\n" % (len(content), content))
    else:
        connection.send(content)
    if framing == "until close":
        connection.close()


class EventBufferTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("line_feeds", [b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"], 2, 0),
            ("carriage_returns", [b"id: 1\rdata: a\r\rid: 2\rdata: b\r\r"], 2, 0),
            ("both", [b"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n"], 2, 0),
            ("mixed", [b"id: 1\r\ndata: a\n\r\nid: 2\ndata: b\r\r\n"], 2, 0),
            ("cut_in_a_line", [b"id: 1\ndata: a\n\nid: 2\nda"], 1, 8),
            ("cut_after_a_line", [b"id: 1\ndata: a\n\nid: 2\n"], 1, 6),
            ("cut_inside_a_line_end", [b"id: 1\r\ndata: a\r\n\r"], 1, 0),
            ("split_inside_a_line_end", [b"id: 1\r", b"\ndata: a\r\n\r", b"\n"], 1, 0),
            ("extra_blank_lines", [b"id: 1\ndata: a\n\n\n"], 1, 0),
            ("one_byte_at_a_time", [bytes((byte,)) for byte in b"id: 1\ndata: a\n\nid"], 1, 2),
        ]
    )
    def test_events_and_an_unfinished_one(
        self, _: str, chunks: list[bytes], events: int, unfinished_bytes: int
    ) -> None:
        buffer = EventBuffer()
        received = [event for chunk in chunks for event in buffer.feed(chunk)]
        self.assertEqual(
            [str(number) for number in range(1, events + 1)],
            [event.event_id for event in received if event.event_id is not None],
        )
        self.assertEqual(unfinished_bytes, buffer.unfinished_event_bytes)
        self.assertEqual(unfinished_bytes > 0, ends_inside_event(b"".join(chunks)))
        content = b"".join(event.content for event in received) + buffer.remainder
        self.assertEqual(b"".join(chunks), content)


class ResponseEndTest(GatewayTestCase):
    async def start_with_engines(self, service: str, script: Script, count: int = 2) -> None:
        """Start a gateway; the engines all follow one script."""
        for _ in range(count):
            await self.add_engine(service, script)
        await self.start_gateway()
        await until(lambda: self.has_endpoints(service, count))

    async def get_response(self, path: str, **fields: str) -> CallerResponse:
        """Send a request and return the response, which must have a head."""
        response = await self.call(path, **fields)
        assert response is not None
        return response

    @parameterized.expand(
        [(framing, version) for framing in _FRAMINGS for version in ("1.1", "1.0")]
    )
    async def test_a_stream_that_ends_inside_an_event_never_looks_complete(
        self, framing: str, version: str
    ) -> None:
        async def end_inside_an_event(connection: EngineConnection, request: EngineRequest) -> None:
            send_events(connection, request, framing, b"".join(_EVENTS)[:-5])

        await self.start_with_engines("fleet", end_inside_an_event)
        response = await self.get_response("/explain/a", version=version)
        self.assertEqual((200, False), (response.status, response.complete))
        self.assertEqual(1, sum(len(engine.requests) for engine in self.engines))

    @parameterized.expand([("engine",), ("gateway",)])
    async def test_a_broken_off_response_that_ends_with_its_connection_is_reset(
        self, ended_by: str
    ) -> None:
        async def break_off(connection: EngineConnection, request: EngineRequest) -> None:
            connection.begin_stream(request)
            connection.send_event(1)
            if ended_by == "engine":
                connection.close()
            else:
                await connection.wait_closed()

        await self.start_with_engines("fleet", break_off)
        caller = await Caller.connect(self.settings.callers)
        caller.send("/explain/a", version="1.0")
        await caller.read_head()
        if ended_by == "gateway":
            self.gateway.close()
        self.assertFalse((await caller.read_until_close())[1])
        caller.close()

    @parameterized.expand([(framing,) for framing in _FRAMINGS])
    async def test_a_resumable_stream_that_ends_inside_an_event_is_resumed(
        self, framing: str
    ) -> None:
        async def end_inside_an_event_once(
            connection: EngineConnection, request: EngineRequest
        ) -> None:
            last = int(request.headers.get("last-event-id", 0))
            content = b"".join(_EVENTS[last:])
            if last:
                send_events(connection, request, "chunked", content)
            else:
                send_events(connection, request, framing, content[:-5])

        await self.start_with_engines("fleet", end_inside_an_event_once)
        response = await self.get_response("/draft/a")
        self.assertEqual((True, b"".join(_EVENTS)), (response.complete, response.body))

    async def test_a_plain_response_on_a_streaming_route_is_not_split_into_events(self) -> None:
        async def respond_plainly(connection: EngineConnection, request: EngineRequest) -> None:
            connection.send_response(request, body=b"{}", headers={"Content-Type": "text/plain"})

        await self.start_with_engines("fleet", respond_plainly, count=1)
        response = await self.get_response("/explain/a")
        self.assertEqual((200, b"{}", True), (response.status, response.body, response.complete))

    @parameterized.expand(
        [
            ("stream", "fleet", "/explain/a", 200),
            ("plain", "ledger", "/lookup/a", 200),
            ("client_error", "ledger", "/lookup/a", 404),
            ("server_error", "ledger", "/lookup/a", 500),
        ]
    )
    async def test_a_response_without_framing_is_not_framed_as_complete(
        self, _: str, service: str, path: str, status: int
    ) -> None:
        body = b"".join(_EVENTS)

        async def respond_until_close(connection: EngineConnection, request: EngineRequest) -> None:
            connection.send_response(request, status, body, {"Content-Length": ""})
            connection.close()

        await self.start_with_engines(service, respond_until_close, count=1)
        response = await self.get_response(path)
        self.assertEqual((status, body), (response.status, response.body))
        self.assertTrue(response.ends_with_connection)
        self.assertEqual("close", response.headers.get("connection"))

    @parameterized.expand(
        [
            ("head_sized", "HEAD", "/lookup/a", 200, "Content-Length", "5"),
            ("head_chunked", "HEAD", "/lookup/a", 200, "Transfer-Encoding", "chunked"),
            ("head_unframed", "HEAD", "/lookup/a", 200, "Cache-Control", "no-store"),
            ("head_of_a_stream", "HEAD", "/explain/a", 200, "Content-Type", "text/event-stream"),
            ("no_content", "POST", "/lookup/a", 204, "Cache-Control", "no-store"),
            ("not_modified", "GET", "/lookup/a", 304, "Content-Length", "5"),
        ]
    )
    async def test_a_response_without_a_body_ends_with_its_head(
        self, _: str, method: str, path: str, status: int, name: str, value: str
    ) -> None:
        async def respond_without_body(
            connection: EngineConnection, request: EngineRequest
        ) -> None:
            headers = {"Content-Length": "", name: value}
            connection.send_response(request, status, b"", headers)

        await self.start_with_engines("fleet", respond_without_body, count=1)
        await self.add_engine("ledger", respond_without_body)
        await until(lambda: self.has_endpoints("ledger", 1))
        caller = await Caller.connect(self.settings.callers)
        for _request in range(2):
            caller.send(path, method=method)
            head = (await caller.read_head()).lower()
            self.assertIn(b" %d " % status, head.splitlines()[0])
            expected = b"content-length: 5" if name == "Content-Length" else None
            lengths = [line for line in head.splitlines() if line.startswith(b"content-length")]
            self.assertEqual([expected] if expected else [], lengths)
            self.assertNotIn(b"transfer-encoding", head)
        caller.close()

    @parameterized.expand([("until_close", False), ("chunked", True)])
    async def test_a_resumed_stream_is_only_as_complete_as_its_last_run(
        self, _: str, chunked: bool
    ) -> None:
        async def interrupt_then_resume(
            connection: EngineConnection, request: EngineRequest
        ) -> None:
            last = int(request.headers.get("last-event-id", 0))
            connection.begin_stream(request, chunked=chunked or not last)
            for number in range(last + 1, 5):
                connection.send_event(number)
                if number == 2:
                    connection.close()
                    return
            connection.end_stream()

        await self.start_with_engines("fleet", interrupt_then_resume)
        response = await self.get_response("/draft/a")
        self.assertEqual((200, chunked), (response.status, response.complete))

    @parameterized.expand([("stream", "fleet", "/explain/a"), ("plain", "ledger", "/confirm/a")])
    async def test_a_reset_response_without_framing_never_looks_complete(
        self, _: str, service: str, path: str
    ) -> None:
        async def reset(connection: EngineConnection, request: EngineRequest) -> None:
            connection.send_response(request, body=_EVENTS[0], headers={"Content-Length": ""})
            await connection.drain()
            connection.reset()

        await self.start_with_engines(service, reset, count=1)
        response = await self.get_response(path)
        self.assertFalse(response.status == 200 and response.complete)
