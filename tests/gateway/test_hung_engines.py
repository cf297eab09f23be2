"""Engines whose reports work while their requests get no response."""

from parameterized import parameterized

from pearshed._internal.timers import clock
from tests.lib.gateway_caller import Caller
from tests.lib.gateway_fixture import until
from tests.lib.gateway_fleet import EnginesWithSidesTestCase
from tests.lib.gateway_platform import EngineConnection, EngineRequest, configuration, route

_ENGINES = 3
_PROMPT = {"Pearshed-Token-Usage": "3500,20", "Pearshed-Prefix-Hash": "aa:3000,bb:500"}
_DEADLINE_MS = 1500


class HungEngineTest(EnginesWithSidesTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.hung = ""
        routes = [
            route("draft", "streaming", "fleet", sticky=True, targetLatencyMs=300),
            route("once", "streaming", "fleet", sticky=True, maxAttempts=1, targetLatencyMs=300),
        ]
        self.store.put("op/config", configuration(2, routes=routes))

    def engine_of(self, request: EngineRequest) -> str:
        return next(engine.identity for engine in self.engines if request in engine.requests)

    async def respond(self, connection: EngineConnection, request: EngineRequest) -> None:
        if self.engine_of(request) == self.hung:
            await connection.wait_closed()
            return
        connection.begin_stream(request)
        connection.send_event(1)
        connection.end_stream()

    async def send(self, path: str, request_id: str) -> int:
        caller = await Caller.connect(self.settings.callers)
        headers = {**_PROMPT, "Pearshed-Deadline-Ms": str(_DEADLINE_MS)}
        caller.send(path, request_id=request_id, headers=headers)
        response = await caller.read_response()
        caller.close()
        return response.status if response is not None else 0

    @parameterized.expand([("may_be_resumed", "/draft/a"), ("once", "/once/a")])
    async def test_one_request_that_runs_out_of_time_is_enough_to_avoid_a_hung_engine(
        self, _: str, path: str
    ) -> None:
        for _number in range(_ENGINES):
            await self.add_engine_with_side(slots=8)
        await self.start_gateway()
        await until(lambda: self.has_endpoints("fleet", _ENGINES))
        # All requests have a long shared part, whose engine hangs from here on.
        self.assertEqual(200, await self.send(path, "first"))
        self.hung = self.engine_of(
            next(request for engine in self.engines for request in engine.requests)
        )
        statuses = [await self.send(path, f"r{number}") for number in range(4)]
        self.assertEqual([504, 200, 200, 200], statuses)

    async def test_an_engine_that_responds_again_gets_requests_again(self) -> None:
        for _number in range(_ENGINES):
            await self.add_engine_with_side(slots=8)
        await self.start_gateway()
        await until(lambda: self.has_endpoints("fleet", _ENGINES))
        self.assertEqual(200, await self.send("/draft/a", "first"))
        home = next(engine for engine in self.engines if engine.requests)
        self.hung = home.identity
        self.assertEqual(504, await self.send("/draft/a", "hung"))
        self.hung = ""
        count = len(home.requests)
        endpoints = self.gateway.endpoints.endpoints
        await until(lambda: not any(endpoint.is_ejected(clock.now()) for endpoint in endpoints))
        self.assertEqual(200, await self.send("/draft/a", "later"))
        self.assertEqual(count + 1, len(home.requests))
