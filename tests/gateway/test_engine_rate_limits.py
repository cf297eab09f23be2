"""Engines that name a limit on the requests that they take from all gateways together."""

from parameterized import parameterized

from tests.lib.gateway_fleet import GatewayFleetTestCase
from tests.lib.gateway_platform import EngineConnection, EngineRequest, configuration, route

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
        routes = [
            route("brief", "streaming", "fleet", sticky=True, resumable=True),
            route("lookup", "idempotent", "ledger"),
            route("confirm", "non_idempotent", "ledger", maxAttempts=1),
        ]
        self.store.put("op/config", configuration(2, routes=routes))
        self.limit = f"{LIMIT_PER_S}"
        self.sent = 0

    async def respond(self, connection: EngineConnection, request: EngineRequest) -> None:
        headers = {"Server-Limit": self.limit}
        if request.target.startswith("/brief/"):
            connection.begin_stream(request, headers=headers)
            connection.send_event(1)
            connection.end_stream()
        else:
            connection.send_response(request, headers=headers)

    async def start_fleet(self) -> None:
        """Start an engine of each service, their side and two gateways."""
        for service in ("fleet", "ledger"):
            await self.add_engine(service, self.respond)
        await self.start_side()
        for _ in range(2):
            await self.add_gateway()
        for service in ("fleet", "ledger"):
            await self.all_listed(service)

    async def send(self, gateway: int, path: str) -> int | None:
        self.sent += 1
        headers = {name: value.format(f"{self.sent:x}") for name, value in PROMPT.items()}
        response = await self.send_to(gateway, path, headers=headers)
        return response.status if response is not None else None

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
