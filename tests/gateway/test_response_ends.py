"""How a gateway decides that an endpoint's response is complete, and what it tells the caller."""

from parameterized import parameterized

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
