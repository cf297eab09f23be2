"""Endpoints that announce in a response that they leave."""

from parameterized import parameterized

from tests.lib.gateway_caller import Caller
from tests.lib.gateway_fixture import GatewayTestCase, until
from tests.lib.gateway_platform import EngineConnection, EngineRequest

_LEAVING = {"Server-Leaving": "1"}


class LeavingEndpointTest(GatewayTestCase):
    async def start(self, service: str, status: int) -> None:
        """Start two engines; the one that gets the first request announces that it leaves."""

        async def respond(connection: EngineConnection, request: EngineRequest) -> None:
            first = sum(len(engine.requests) for engine in self.engines) == 1
            if first:
                self.leaving = next(engine for engine in self.engines if engine.requests)
            headers = _LEAVING if first else {}
            if service == "fleet":
                connection.begin_stream(request, headers=headers)
                connection.send_event(1)
                connection.end_stream()
            elif first and status == 503:
                connection.send_response(
                    request, 503, b"", {"Pearshed-Not-Executed": "1", **headers}
                )
            else:
                connection.send_response(request, status if first else 200, headers=headers)

        for _ in range(2):
            await self.add_engine(service, respond)
        await self.start_gateway()
        await until(lambda: self.has_endpoints(service, 2))

    @parameterized.expand(
        [
            ("success", "ledger", "/lookup/a", 200),
            ("client_error", "ledger", "/lookup/a", 404),
            ("server_error", "ledger", "/confirm/a", 500),
            ("not_executed", "ledger", "/lookup/a", 503),
            ("stream", "fleet", "/draft/a", 200),
        ]
    )
    async def test_no_request_follows_an_announcement(
        self, _: str, service: str, path: str, status: int
    ) -> None:
        await self.start(service, status)
        caller = await Caller.connect(self.settings.callers)
        for number in range(6):
            caller.send(path, request_id=str(number))
            self.assertIsNotNone(await caller.read_response())
        caller.close()
        self.assertTrue(self.has_endpoints(service, 1))
        self.assertEqual(["0"], [request.request_id for request in self.leaving.requests])
        metrics = self.gateway.pages.metrics_page()
        self.assertIn("pearshed_gateway_endpoints_leaving_total 1\n", metrics)

    async def test_an_older_listing_does_not_bring_it_back(self) -> None:
        await self.start("ledger", 200)
        self.assertEqual(200, await self.status("/lookup/a"))
        key = f"servers/{self.leaving.identity}"
        self.store.put(key, self.leaving.entry(state="draining"))
        self.store.delete(key)
        self.store.put(key, self.leaving.entry(seq=9))
        self.store.put("servers/i-last", self.leaving.entry(service="other"))
        await until(lambda: self.has_endpoints("other", 1))
        self.assertTrue(self.has_endpoints("ledger", 1))
        self.store.put(key, self.leaving.entry(born=1_800_000_000_000))
        await until(lambda: self.has_endpoints("ledger", 2))

    async def test_an_announcement_of_a_misdirected_response_is_not_the_endpoints(self) -> None:
        async def respond(connection: EngineConnection, request: EngineRequest) -> None:
            headers = {"Pearshed-Response-Signature": "", **_LEAVING}
            connection.send_response(request, 421, b"", headers)

        engine = await self.add_engine("ledger", respond)
        await self.start_gateway()
        await until(lambda: self.has_endpoints("ledger", 1))
        self.assertEqual(503, await self.status("/lookup/a"))
        self.store.delete(f"servers/{engine.identity}")
        await until(lambda: not tuple(self.gateway.endpoints.endpoints))
        self.store.put(f"servers/{engine.identity}", engine.entry())
        await until(lambda: self.has_endpoints("ledger", 1))
