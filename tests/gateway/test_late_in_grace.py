"""Requests that are still in progress, or wait, when the grace of a planned stop ends."""

import asyncio
from collections.abc import Mapping

from parameterized import parameterized

from pearshed._internal.utils.addresses import Address
from tests.lib.engine_side import IdleMonitor, start_side
from tests.lib.gateway_caller import Caller, CallerResponse
from tests.lib.gateway_fixture import GatewayTestCase, free_address, until
from tests.lib.gateway_platform import EngineConnection, EngineRequest, configuration, route

_GRACE_S = 3.0
#: Longer than the grace.
_TIMEOUT_MS = 20_000
_PROMPT = {"Pearshed-Token-Usage": "350,20", "Pearshed-Prefix-Hash": "aa:300,bb:50"}


class LateInGraceTestCase(GatewayTestCase):
    """A gateway with a short grace before engines that take longer."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.release = asyncio.Event()
        routes = [
            route(name, kind, service, timeoutMs=_TIMEOUT_MS, **fields)
            for name, kind, service, fields in (
                ("lookup", "idempotent", "ledger", {}),
                ("confirm", "non_idempotent", "ledger", {"maxAttempts": 1}),
                ("draft", "streaming", "fleet", {"resumable": True}),
                ("explain", "streaming", "fleet", {"maxAttempts": 1}),
                ("urgent", "streaming", "fleet", {"sticky": True, "targetLatencyMs": 500}),
                ("patient", "streaming", "fleet", {"sticky": True, "targetLatencyMs": 2500}),
            )
        ]
        self.store.put("op/config", configuration(2, routes=routes))

    async def respond(self, connection: EngineConnection, request: EngineRequest) -> None:
        """Respond when the test says so; to a stream, the first event at once."""
        if request.target.startswith(("/draft", "/explain")) and request.request_id == "begun":
            connection.begin_stream(request)
            connection.send_event(1)
            await connection.drain()
        await self.release.wait()
        connection.close()

    async def start(self, service: str, headers: Mapping[str, str] | None = None) -> None:
        """Start an engine and a gateway; the engine says more in its responses if asked."""

        async def respond(connection: EngineConnection, request: EngineRequest) -> None:
            if request.request_id == "first":
                connection.send_response(request, headers=headers)
            else:
                await self.respond(connection, request)

        await self.add_engine(service, respond)
        await self.start_gateway(grace_s=_GRACE_S, peers=Address("127.0.0.2", free_address().port))
        await until(lambda: self.has_endpoints(service, 1))

    async def send(self, path: str, request_id: str, **headers: str) -> CallerResponse | None:
        caller = await Caller.connect(self.settings.callers)
        fields = {"Pearshed-Deadline-Ms": str(_TIMEOUT_MS), **headers}
        caller.send(path, request_id=request_id, headers=fields)
        try:
            return await caller.read_response()
        finally:
            caller.close()

    def arrived(self) -> list[str]:
        return [request.request_id for engine in self.engines for request in engine.requests]

    async def stop(self) -> None:
        self.gateway.request_stop()
        await asyncio.wait_for(self.gateway_task, 20)


class LateInGraceTest(LateInGraceTestCase):
    @parameterized.expand(
        [
            ("plain", "/lookup/a", "ledger"),
            ("once", "/confirm/a", "ledger"),
            ("stream", "/draft/a", "fleet"),
            ("stream_that_cant_be_resumed", "/explain/a", "fleet"),
        ]
    )
    async def test_a_request_that_its_engine_still_runs_is_told_that_it_may_have_run(
        self, _: str, path: str, service: str
    ) -> None:
        await self.start(service)
        request = asyncio.create_task(self.send(path, "r"))
        await until(lambda: self.arrived() == ["r"])
        await self.stop()
        response = await request
        assert response is not None, "cut without an answer"
        self.assertEqual((504, True), (response.status, response.complete))

    async def test_a_stream_that_has_begun_is_broken_off(self) -> None:
        await self.start("fleet")
        request = asyncio.create_task(self.send("/explain/a", "begun"))
        await until(lambda: self.arrived() == ["begun"])
        await self.stop()
        response = await request
        assert response is not None
        self.assertEqual((200, False), (response.status, response.complete))

    @parameterized.expand([("plain", "/lookup/a"), ("once", "/confirm/a")])
    async def test_requests_that_wait_for_a_slot_are_refused_and_never_sent(
        self, _: str, path: str
    ) -> None:
        # Callers compete, so plain requests wait at the gateway for the engine's only slot.
        await self.start("ledger", {"Pearshed-Server-Load": "1,0,1"})
        await self.send("/lookup/a", "first")
        running = asyncio.create_task(self.send("/lookup/a", "running"))
        await until(lambda: "running" in self.arrived())
        waiting = asyncio.create_task(self.send(path, "waiting"))
        await asyncio.sleep(0.1)
        self.assertNotIn("waiting", self.arrived())
        await self.stop()
        responses = (await running, await waiting)
        self.assertEqual([504, 503], [one.status if one else 0 for one in responses])
        assert responses[1] is not None
        self.assertGreater(float(responses[1].headers["retry-after"]), 0.0)
        self.assertNotIn("waiting", self.arrived())

    async def test_requests_that_wait_for_a_place_are_refused_and_never_sent(self) -> None:
        await self.start("ledger", {"Server-Limit": "0.1"})
        await self.send("/lookup/a", "first")
        waiting = asyncio.create_task(self.send("/lookup/a", "waiting"))
        await asyncio.sleep(0.1)
        await self.stop()
        response = await waiting
        assert response is not None, "cut without an answer"
        self.assertEqual(503, response.status)
        self.assertNotIn("waiting", self.arrived())

    async def test_a_request_that_fails_late_is_not_sent_to_another_engine(self) -> None:
        await self.start("ledger")
        request = asyncio.create_task(self.send("/lookup/a", "r"))
        await until(lambda: self.arrived() == ["r"])
        await self.add_engine("ledger", self.respond)
        await until(lambda: self.has_endpoints("ledger", 2))
        self.gateway.request_stop()
        await asyncio.sleep(_GRACE_S - 0.7)
        await self.engines[0].stop()
        response = await request
        assert response is not None, "cut without an answer"
        self.assertIn(response.status, (502, 504))
        self.assertEqual(["r"], self.arrived())
        await asyncio.wait_for(self.gateway_task, 20)


class LateInGraceWithSideTest(LateInGraceTestCase):
    """Prompts that wait at the side of their engine."""

    async def test_prompts_that_wait_for_admission_are_refused_and_never_sent(self) -> None:
        port = free_address().port
        engine = await self.add_engine("fleet", self.respond)
        side_address = Address("127.0.0.1", port)
        await start_side(self, side_address, engine.address, IdleMonitor())
        await self.start_gateway(grace_s=_GRACE_S, peers=Address("127.0.0.2", port))
        await until(lambda: self.has_endpoints("fleet", 1))
        large = {"Pearshed-Token-Usage": "90000,20", "Pearshed-Prefix-Hash": "aa:50000,bb:40000"}
        requests = [
            asyncio.create_task(self.send("/patient/a", f"r{number}", **large))
            for number in range(4)
        ]
        await until(lambda: bool(self.arrived()))
        await self.stop()
        responses = [await request for request in requests]
        sent = set(self.arrived())
        for number, response in enumerate(responses):
            assert response is not None, "cut without an answer"
            self.assertEqual(504 if f"r{number}" in sent else 503, response.status)
