"""Requests that crash each engine that runs them, and come again with the same content."""

import asyncio

from parameterized import parameterized

from tests.lib.gateway_caller import CallerResponse
from tests.lib.gateway_fleet import CrashingEnginesTestCase
from tests.lib.gateway_platform import EngineConnection, EngineRequest, configuration, route

_ENGINES = 4
#: The operators allow three crashes, and three sends after those.
MAX_REQUESTS_THAT_REACH_ENGINES = 3 + 3
DEADLY = b"deadly"


class CrashingRequestTest(CrashingEnginesTestCase):
    """A deadly request and sound ones of the same customer, at two gateways."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        routes = [
            route("brief", "streaming", "fleet", sticky=True, resumable=True),
            route("lookup", "idempotent", "ledger"),
            route("confirm", "non_idempotent", "ledger", maxAttempts=1),
        ]
        self.store.put("op/config", configuration(2, routes=routes))
        for service in ("fleet", "ledger"):
            for _ in range(_ENGINES):
                await self.start_engine(service)
        await self.start_side()
        for _ in range(2):
            await self.add_gateway()
        self.sent = 0

    async def respond(self, connection: EngineConnection, request: EngineRequest) -> None:
        streams = request.target.startswith("/brief/")
        if streams:
            connection.begin_stream(request)
            await connection.drain()
        if request.body == DEADLY:
            await self.crash(request)
            await asyncio.Event().wait()
        if streams:
            connection.send_event(1)
            connection.end_stream()
        else:
            connection.send_response(request)

    async def send(self, path: str, body: bytes = b"") -> CallerResponse | None:
        """Send a request to the gateways in turn, once engines are back."""
        self.sent += 1
        for service in ("fleet", "ledger"):
            await self.all_listed(service)
        prompt = {
            "Pearshed-Token-Usage": "350,20",
            "Pearshed-Prefix-Hash": f"aa:200,beef:100,{self.sent:x}:50",
        }
        headers = prompt if path.startswith("/brief/") else {}
        body = body or f"sound {self.sent}".encode()
        return await self.send_to(self.sent % 2, path, headers=headers, body=body)

    def deadly_arrivals(self) -> int:
        return sum(item.body == DEADLY for item in self.all_arrivals())

    @parameterized.expand([("prompts", "/brief/a"), ("plain", "/lookup/a"), ("once", "/confirm/a")])
    async def test_a_request_that_crashes_engines_stops_reaching_them(
        self, _: str, path: str
    ) -> None:
        for _number in range(16):
            await self.send(path, DEADLY)
        self.assertLessEqual(self.deadly_arrivals(), MAX_REQUESTS_THAT_REACH_ENGINES)

    @parameterized.expand([("prompts", "/brief/a"), ("plain", "/lookup/a"), ("once", "/confirm/a")])
    async def test_other_requests_of_its_customer_are_served_meanwhile(
        self, _: str, path: str
    ) -> None:
        statuses = []
        for _number in range(12):
            await self.send(path, DEADLY)
            response = await self.send(path)
            statuses.append(response.status if response is not None else None)
        self.assertEqual([200] * 12, statuses)
        self.assertLessEqual(self.deadly_arrivals(), MAX_REQUESTS_THAT_REACH_ENGINES)

    async def test_requests_that_only_share_its_prompt_are_not_blocked(self) -> None:
        for _number in range(8):
            await self.send("/brief/a", DEADLY)
        statuses = []
        for _number in range(8):
            response = await self.send("/brief/a")
            statuses.append(response.status if response is not None else None)
        self.assertEqual([200] * 8, statuses)
        self.assertLessEqual(self.deadly_arrivals(), MAX_REQUESTS_THAT_REACH_ENGINES)
