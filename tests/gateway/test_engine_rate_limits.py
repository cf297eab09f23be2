"""Engines that name a limit on the requests that they take from all gateways together."""

from parameterized import parameterized

from tests.lib.gateway_caller import CallerResponse
from tests.lib.gateway_fixture import until
from tests.lib.gateway_fleet import GatewayFleetTestCase
from tests.lib.gateway_platform import (
    EngineConnection,
    EngineRequest,
    all_kinds,
    configuration,
)

PROMPT = {"Pearshed-Token-Usage": "350,20", "Pearshed-Prefix-Hash": "aa:200,{}:50"}
#: The operators' bounds: a gateway holds to a limit from this long after it was named, seconds,
#: and in some time the engine gets at most this many times what the limit allows, and so many more.
STABLE_WINDOW_S = 3.0
ALLOWED_RATIO = 1.5
ALLOWED_EXCESS = 5
WINDOW_S = 4.0
#: So low that the time which a test takes doesn't matter.
LIMIT_PER_S = 0.01
MAX_ARRIVALS = int(WINDOW_S * LIMIT_PER_S * ALLOWED_RATIO + ALLOWED_EXCESS)


class EngineRateLimitTest(GatewayFleetTestCase):
    """Two gateways, of which one gets most of the traffic."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.store.put("op/config", configuration(2, routes=all_kinds()))
        self.limit = f"{LIMIT_PER_S}"
        self.sent = 0

    async def respond(
        self, connection: EngineConnection, request: EngineRequest, limit: str | None = None
    ) -> None:
        headers = {"Server-Limit": self.limit if limit is None else limit}
        if request.target.startswith("/brief/"):
            connection.begin_stream(request, headers=headers)
            connection.send_event(1)
            connection.end_stream()
        else:
            connection.send_response(request, headers=headers)

    async def respond_unlimited(self, connection: EngineConnection, request: EngineRequest) -> None:
        await self.respond(connection, request, "")

    async def start_fleet(self, with_side: bool = True) -> None:
        """Start an engine of each service, their side and two gateways."""
        for service in ("fleet", "ledger"):
            await self.add_engine(service, self.respond)
        self.side = await self.start_side() if with_side else None
        for _ in range(2):
            await self.add_gateway()
        for service in ("fleet", "ledger"):
            await self.all_listed(service)

    async def send(self, gateway: int, path: str) -> CallerResponse:
        self.sent += 1
        headers = {name: value.format(f"{self.sent:x}") for name, value in PROMPT.items()}
        response = await self.send_to(gateway, path, headers=headers)
        assert response is not None
        return response

    async def until_known(self, per_s: float | None) -> None:
        """Wait until all gateways know that the first engine of each service has a limit."""
        await until(
            lambda: all(
                gateway.rate_limited.per_s(gateway.endpoints.of_service("fleet")[0].entry) == per_s
                for gateway in self.gateways
            )
        )

    async def pass_to_next_place(self) -> None:
        """Let the side begin to count, then let the time until the next place pass."""
        await self.until_known(LIMIT_PER_S)
        self.assertEqual(503, (await self.send(0, "/brief/a")).status)
        self.clock_offset += 1.1 / LIMIT_PER_S
        await until(lambda: not any(gateway.not_ready_reasons() for gateway in self.gateways))

    @parameterized.expand([("prompts", "/brief/a"), ("plain", "/lookup/a"), ("once", "/confirm/a")])
    async def test_gateways_together_keep_the_limit_that_an_engine_names(
        self, _: str, path: str
    ) -> None:
        await self.start_fleet()
        for gateway in range(2):
            await self.send(gateway, path)
        self.clock_offset += STABLE_WINDOW_S
        before = len(self.arrivals())
        for number in range(24):
            await self.send(int(number % 4 == 0), path)
        self.assertLessEqual(len(self.arrivals()) - before, MAX_ARRIVALS)

    @parameterized.expand([("no_side", False), ("the_side_stops", True)])
    async def test_gateways_keep_the_limit_without_a_side(self, _: str, starts: bool) -> None:
        await self.start_fleet(with_side=starts)
        for gateway in range(2):
            await self.send(gateway, "/brief/a")
        if self.side is not None:
            side = self.side
            side.request_stop()
            await until(lambda: not side.serving)
        before = len(self.arrivals())
        for number in range(12):
            await self.send(int(number % 4 == 0), "/brief/a")
        self.assertLessEqual(len(self.arrivals()) - before, MAX_ARRIVALS)

    @parameterized.expand([("prompts", "fleet", "/brief/a"), ("plain", "ledger", "/lookup/a")])
    async def test_what_a_limited_engine_cant_take_goes_to_the_others(
        self, _: str, service: str, path: str
    ) -> None:
        await self.start_fleet()
        for gateway in range(2):
            await self.send(gateway, path)
        await self.add_engine(service, self.respond_unlimited)
        await self.all_listed(service)
        statuses = [(await self.send(number % 2, path)).status for number in range(24)]
        self.assertEqual([200] * 24, statuses)
        limited, *_others = (engine for engine in self.engines if engine.service == service)
        self.assertLessEqual(len(limited.requests), 2 + MAX_ARRIVALS)

    async def test_what_no_engine_can_take_is_refused_as_not_run_with_a_time_to_return(
        self,
    ) -> None:
        await self.start_fleet()
        await self.send(0, "/confirm/a")
        arrivals = len(self.arrivals())
        response = await self.send(0, "/confirm/a")
        self.assertEqual((503, arrivals), (response.status, len(self.arrivals())))
        self.assertGreater(float(response.headers["retry-after"]), 1.0)

    async def test_a_gateway_that_starts_later_learns_the_limit(self) -> None:
        await self.start_fleet()
        await self.send(0, "/brief/a")
        await self.add_gateway()
        await self.all_listed()
        await self.until_known(LIMIT_PER_S)

    async def test_a_withdrawn_limit_no_longer_holds_at_any_gateway(self) -> None:
        await self.start_fleet()
        await self.send(0, "/brief/a")
        self.limit = ""
        await self.pass_to_next_place()
        await self.send(0, "/brief/a")
        await self.until_known(None)
        statuses = [(await self.send(number % 2, "/brief/a")).status for number in range(12)]
        self.assertEqual([200] * 12, statuses)

    @parameterized.expand(
        [
            ("another_engine_responds", 421, {"Pearshed-Response-Signature": ""}, None),
            ("the_engine_refuses", 503, {"Pearshed-Not-Executed": "full"}, LIMIT_PER_S),
        ]
    )
    async def test_which_responses_name_a_limit(
        self, _: str, status: int, headers: dict[str, str], per_s: float | None
    ) -> None:
        async def refuse(connection: EngineConnection, request: EngineRequest) -> None:
            connection.send_response(request, status, headers=headers | {"Server-Limit": "0.01"})

        await self.start_fleet()
        for engine in self.engines:
            engine.script = refuse
        (endpoint,) = self.gateways[0].endpoints.of_service("fleet")
        await self.send(0, "/brief/a")
        self.assertEqual(per_s, self.gateways[0].rate_limited.per_s(endpoint.entry))

    async def test_a_refusal_that_names_no_limit_withdraws_none(self) -> None:
        async def refuse(connection: EngineConnection, request: EngineRequest) -> None:
            headers = {"Pearshed-Not-Executed": "full", "Pearshed-Response-Signature": ""}
            connection.send_response(request, 503, headers=headers)

        await self.start_fleet()
        await self.send(0, "/brief/a")
        for engine in self.engines:
            engine.script = refuse
        await self.pass_to_next_place()
        arrivals = len(self.arrivals())
        await self.send(0, "/brief/a")
        self.assertEqual(arrivals + 1, len(self.arrivals()))
        await self.until_known(LIMIT_PER_S)
