"""Responses that are slow but sound, and responses that trickle and never end."""

import asyncio

from parameterized import parameterized

from tests.lib.gateway_fixture import GatewayTestCase, until
from tests.lib.gateway_platform import EngineConnection, EngineRequest

_PAUSE_S = 0.05
_DEADLINE_MS = 400


class SlowResponseTest(GatewayTestCase):
    @parameterized.expand([("whole_events", 0), ("bytes_of_events", 1)])
    async def test_a_slow_but_sound_stream_is_relayed_to_its_end(
        self, _: str, piece_bytes: int
    ) -> None:
        async def respond(connection: EngineConnection, request: EngineRequest) -> None:
            connection.begin_stream(request)
            for number in range(1, 5):
                event = f"id: {number}\ndata: piece-{number}\n\n".encode()
                step = piece_bytes or len(event)
                for start in range(0, len(event), step):
                    connection.send_stream_content(event[start : start + step])
                    await asyncio.sleep(_PAUSE_S / len(event) * step * 4)
            connection.end_stream()

        await self.add_engine("fleet", respond)
        await self.start_gateway()
        await until(lambda: self.has_endpoints("fleet", 1))
        response = await self.call("/explain/a", headers={"Pearshed-Deadline-Ms": "20000"})
        assert response is not None
        self.assertEqual(
            (200, True, 4), (response.status, response.complete, response.body.count(b"id:"))
        )

    @parameterized.expand(
        [
            # what the engine sends again and again; path; status, 0 if the caller has a part
            ("head", b"X-More: 1\r\n", "/lookup/a", 504),
            ("comments", b":\n", "/explain/a", 504),
            ("bytes_of_an_event", b"x", "/explain/a", 504),
            ("events", b"id: 1\ndata: x\n\n", "/explain/a", 0),
            ("body", b"y", "/confirm/a", 504),
        ]
    )
    async def test_a_response_that_trickles_ends_at_its_requests_deadline(
        self, name: str, piece: bytes, path: str, status: int
    ) -> None:
        closed = asyncio.Event()

        async def trickle(connection: EngineConnection, request: EngineRequest) -> None:
            if name == "head":
                connection.send(b"HTTP/1.1 200 OK\r\n")
            elif name == "body":
                connection.send_response(request, body=b"", headers={"Content-Length": "100000"})
            else:
                connection.begin_stream(request)
            send = connection.send if name in ("head", "body") else connection.send_stream_content
            try:
                while True:
                    send(piece)
                    await connection.drain()
                    await asyncio.sleep(_PAUSE_S)
            except ConnectionError:
                closed.set()

        service = "fleet" if path.startswith("/explain") else "ledger"
        engine = await self.add_engine(service, trickle)
        await self.start_gateway()
        await until(lambda: self.has_endpoints(service, 1))
        headers = {"Pearshed-Deadline-Ms": f"{_DEADLINE_MS}"}
        response = await asyncio.wait_for(self.call(path, headers=headers), 20)
        assert response is not None
        if status:
            self.assertEqual((status, True), (response.status, response.complete))
            self.assertNotIn("pearshed-response-signature", response.headers)
        else:
            self.assertEqual((200, False), (response.status, response.complete))
        # The engine's connection is reset, so that its work ends.
        await asyncio.wait_for(closed.wait(), 20)
        self.assertEqual(1, len(engine.requests))
