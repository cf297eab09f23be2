"""Requests with a prompt part that crashes each engine that begins to respond to them."""

import asyncio

from pearshed._internal.gateway.crash_blame import BLOCK_S, MIN_CRASHES
from tests.lib.gateway_caller import CallerResponse
from tests.lib.gateway_fixture import until
from tests.lib.gateway_fleet import CrashingEnginesTestCase
from tests.lib.gateway_platform import (
    EngineConnection,
    EngineRequest,
    configuration,
    route,
)

FIRST_PART = "aa:200"
CRASHING = f"{FIRST_PART},dead:100,{{}}:50"
SOUND = f"{FIRST_PART},beef:100,{{}}:50"
#: The operators allow five crashes, and three requests with the part after those.
MAX_REQUESTS_THAT_REACH_ENGINES = 5 + 3
_ENGINES = 4


class CrashingPromptTest(CrashingEnginesTestCase):
    """Requests with a crashing part and with sound ones, at two gateways."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        routes = [route("brief", "streaming", "fleet", sticky=True, resumable=True)]
        self.store.put("op/config", configuration(2, routes=routes))
        self.sent = 0
        for _ in range(_ENGINES):
            await self.start_engine()
        self.side = await self.start_side()
        for _ in range(2):
            await self.add_gateway()

    async def respond(self, connection: EngineConnection, request: EngineRequest) -> None:
        connection.begin_stream(request)
        connection.send_event(1)
        await connection.drain()
        if "dead" in request.headers["pearshed-prefix-hash"]:
            await self.crash(request)
            await asyncio.Event().wait()
        connection.send_event(2)
        connection.end_stream()

    async def send(self, number: int, prompt: str) -> CallerResponse | None:
        """Send a request with a prompt of its own to one of the gateways once engines are back."""
        self.sent += 1
        await self.all_listed()
        headers = {
            "Pearshed-Token-Usage": "350,20",
            "Pearshed-Prefix-Hash": prompt.format(f"{self.sent:x}"),
        }
        # A prompt is in the body as well; a request that comes again has the same one.
        body = f"prompt {self.sent}".encode()
        gateway = number % len(self.callers)
        return await self.send_to(gateway, "/brief/a", headers=headers, body=body)

    def crashing_arrivals(self) -> int:
        return sum("dead" in item.headers["pearshed-prefix-hash"] for item in self.all_arrivals())

    async def test_a_prompt_part_that_crashes_engines_stops_reaching_them(self) -> None:
        for number in range(24):
            await self.send(number, CRASHING)
        self.assertLessEqual(self.crashing_arrivals(), MAX_REQUESTS_THAT_REACH_ENGINES)

    async def test_sound_requests_with_the_same_first_part_are_served_meanwhile(self) -> None:
        statuses = []
        for number in range(24):
            await self.send(number, CRASHING)
            response = await self.send(number, SOUND)
            statuses.append(response.status if response is not None else None)
        self.assertEqual([200] * 24, statuses)
        self.assertLessEqual(self.crashing_arrivals(), MAX_REQUESTS_THAT_REACH_ENGINES)

    async def crash_until_blocked(self) -> None:
        for _ in range(MIN_CRASHES):
            await self.send(0, CRASHING)
        await until(lambda: all(gateway.crashes.blocked_parts for gateway in self.gateways))

    async def test_a_blocked_request_is_refused_as_not_run_with_the_time_of_the_block(self) -> None:
        await self.crash_until_blocked()
        arrivals = self.crashing_arrivals()
        response = await self.send(1, CRASHING)
        assert response is not None
        self.assertEqual(503, response.status)
        self.assertGreater(float(response.headers["retry-after"]), BLOCK_S / 2)
        self.assertEqual(arrivals, self.crashing_arrivals())

    async def test_a_gateway_that_starts_later_blocks_the_part_too(self) -> None:
        await self.crash_until_blocked()
        gateway = await self.add_gateway()
        await until(lambda: "dead" in gateway.crashes.blocked_parts)

    async def test_a_side_that_restarts_gets_the_records_back(self) -> None:
        await self.crash_until_blocked()
        self.side.request_stop()
        await until(lambda: not self.side.serving)
        self.side = await self.start_side()
        await until(lambda: self.side.dump()["crashes"] >= MIN_CRASHES)

    async def test_the_part_is_free_again_after_the_block(self) -> None:
        await self.crash_until_blocked()
        self.clock_offset += BLOCK_S
        await until(lambda: not any(gateway.crashes.blocked_parts for gateway in self.gateways))
        await until(lambda: not any(gateway.not_ready_reasons() for gateway in self.gateways))
        arrivals = self.crashing_arrivals()
        await self.send(0, CRASHING)
        await until(lambda: all(gateway.crashes.blocked_parts for gateway in self.gateways))
        # One crash blocks it again.
        self.assertEqual(arrivals + 1, self.crashing_arrivals())
