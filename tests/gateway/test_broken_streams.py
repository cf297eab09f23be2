"""A stream that has begun breaks off, and the next engine answers with something else."""

from collections.abc import Callable

from parameterized import parameterized

from tests.lib.gateway_caller import Caller
from tests.lib.gateway_fixture import GatewayTestCase, until
from tests.lib.gateway_platform import EngineConnection, EngineRequest, configuration, route

_ERROR = b"error text of the engine"
_EVENTS = b"".join(b"id: %d\ndata: piece-%d\n\n" % (number, number) for number in (1, 2))
_REST = b"".join(b"id: %d\ndata: piece-%d\n\n" % (number, number) for number in (3, 4))

Answer = Callable[[EngineConnection, EngineRequest], None]


def _status(status: int, **headers: str) -> Answer:
    """Answer with a status, a body and headers."""

    def answer(connection: EngineConnection, request: EngineRequest) -> None:
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        body = b"" if status in (204, 304) else _ERROR
        connection.send_response(request, status, body, named)

    return answer


def _without_length(connection: EngineConnection, request: EngineRequest) -> None:
    connection.send_response(request, 400, _ERROR, {"Content-Length": ""})
    connection.close()


_ANSWERS: list[tuple[str, Answer]] = [
    *((f"status_{status}", _status(status)) for status in (301, 304, 400, 403, 404, 409, 422)),
    *((f"status_{status}", _status(status)) for status in (408, 429, 500, 502, 503, 504)),
    ("not_executed", _status(503, Pearshed_Not_Executed="full")),
    ("asks_for_a_pause", _status(503, Pearshed_Not_Executed="full", Retry_After="2")),
    ("other_media_type", _status(200, Content_Type="text/plain")),
    ("no_content", _status(204)),
    ("unsigned", _status(200, Pearshed_Response_Signature="")),
    ("encoded", _status(200, Content_Type="text/event-stream", Content_Encoding="gzip")),
    ("unfinished_event", _status(200, Content_Type="text/event-stream")),
    ("without_length", _without_length),
]


class BrokenStreamTest(GatewayTestCase):
    """Guards against errors of the next engine within a stream, and against streams cut short."""

    async def start(self, answer: Answer, engines: int) -> None:
        self.store.put(
            "op/config",
            configuration(
                2, routes=[route("draft", "streaming", "fleet", resumable=True, maxAttempts=3)]
            ),
        )

        async def respond(connection: EngineConnection, request: EngineRequest) -> None:
            count = sum(len(engine.requests) for engine in self.engines)
            if count == 2:
                answer(connection, request)
                return
            connection.begin_stream(request)
            for number in (1, 2) if count == 1 else (3, 4):
                connection.send_event(number)
            if count == 1:
                await connection.drain()
                connection.reset()
            else:
                connection.end_stream()

        for _ in range(engines):
            await self.add_engine("fleet", respond)
        await self.start_gateway()
        await until(lambda: self.has_endpoints("fleet", engines))

    @parameterized.expand(_ANSWERS)
    async def test_an_answer_of_the_next_engine_does_not_join_a_stream(
        self, _: str, answer: Answer
    ) -> None:
        await self.start(answer, 2)
        caller = await Caller.connect(self.settings.callers)
        caller.send("/draft/a")
        await caller.read_head()
        content, _closed = await caller.read_until_close()
        caller.close()
        self.assertNotIn(b"error text", content)
        self.assertNotIn(b"HTTP/1.1", content)
        self.assertFalse(content.endswith(b"0\r\n\r\n"), content)
        self.assertEqual(2, sum(len(engine.requests) for engine in self.engines))

    @parameterized.expand(_ANSWERS)
    async def test_the_stream_goes_on_at_a_third_engine(self, _: str, answer: Answer) -> None:
        await self.start(answer, 3)
        response = await self.call("/draft/a")
        assert response is not None
        self.assertEqual((200, True), (response.status, response.complete))
        self.assertEqual(_EVENTS + _REST, response.body)
