"""Admission by the side of an engine, over real datagrams."""

import asyncio
from typing import Any

from parameterized import parameterized

from pearshed._internal.engine_side.process import EngineSideProcess
from pearshed._internal.gateway.process import GatewayProcess
from pearshed._internal.utils.addresses import Address
from tests.lib.engine_side import IdleMonitor, start_side
from tests.lib.gateway_caller import Caller
from tests.lib.gateway_fixture import GatewayTestCase, free_address, until
from tests.lib.gateway_platform import (
    EngineConnection,
    EngineRequest,
    configuration,
    route,
)

PROMPT = {"Pearshed-Token-Usage": "30000,100", "Pearshed-Prefix-Hash": "aa:20000,bb:10000"}


class AdmissionTest(GatewayTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        routes = [
            route("draft", "streaming", "fleet", sticky=True, targetLatencyMs=600),
            route("urgent", "streaming", "fleet", sticky=True, priority=0),
        ]
        self.store.put("op/config", configuration(2, routes=routes))
        self.release = asyncio.Event()

    async def stream(self, connection: EngineConnection, request: EngineRequest) -> None:
        connection.begin_stream(request)
        await self.release.wait()
        connection.send_event(1)
        connection.end_stream()

    async def start_side(self, port: int) -> EngineSideProcess:
        address = Address("127.0.0.1", port)
        return await start_side(self, address, self.engines[0].address, IdleMonitor())

    async def start_all(self) -> EngineSideProcess:
        await self.add_engine("fleet", self.stream)
        await self.start_gateway()
        await until(lambda: self.has_endpoints("fleet", 1))
        return await self.start_side(self.settings.peers.port)

    async def start_gateway(self, **overrides: Any) -> GatewayProcess:
        # Gateways and sides use the same port on their own VMs; 127.0.0.2 stands for another VM.
        peers = Address("127.0.0.2", free_address().port)
        return await super().start_gateway(peers=peers, **overrides)

    async def test_a_request_that_cant_start_in_time_is_refused_and_never_runs(self) -> None:
        side = await self.start_all()
        first = await Caller.connect(self.settings.callers)
        first.send("/draft/a", request_id="first", headers=PROMPT)
        await until(lambda: len(self.engines[0].requests) == 1)
        response = await self.call("/draft/a", request_id="second", headers=PROMPT)
        assert response is not None
        self.assertEqual(503, response.status)
        self.assertGreater(float(response.headers["retry-after"]), 0.3)
        self.release.set()
        served = await first.read_response()
        assert served is not None
        self.assertTrue(served.complete)
        self.assertEqual(["first"], [request.request_id for request in self.engines[0].requests])
        await until(lambda: side.dump()["admitted"] == 0)
        first.close()

    async def test_a_queued_request_is_admitted_when_the_engine_is_free(self) -> None:
        await self.start_all()
        first = await Caller.connect(self.settings.callers)
        busy = {"Pearshed-Token-Usage": "10000,10", "Pearshed-Prefix-Hash": "bb:10000"}
        first.send("/urgent/a", request_id="first", headers=busy)
        await until(lambda: len(self.engines[0].requests) == 1)
        second = await Caller.connect(self.settings.callers)
        small = {"Pearshed-Token-Usage": "100,10", "Pearshed-Prefix-Hash": "cc:100"}
        second.send("/urgent/a", request_id="second", headers=small)
        self.release.set()
        for caller in (first, second):
            response = await caller.read_response()
            assert response is not None
            self.assertEqual((200, True), (response.status, response.complete))
            caller.close()

    async def test_a_disconnected_caller_releases_its_admission(self) -> None:
        side = await self.start_all()
        caller = await Caller.connect(self.settings.callers)
        caller.send("/draft/a", headers=PROMPT)
        await until(lambda: side.dump()["admitted"] == 1)
        caller.close()
        await until(lambda: side.dump()["admitted"] == 0)

    async def test_an_engine_that_drains_while_a_request_is_queued_does_not_get_it(self) -> None:
        await self.start_all()
        first = await Caller.connect(self.settings.callers)
        busy = {"Pearshed-Token-Usage": "10000,10", "Pearshed-Prefix-Hash": "bb:10000"}
        first.send("/urgent/a", request_id="first", headers=busy)
        await until(lambda: len(self.engines[0].requests) == 1)
        second = await Caller.connect(self.settings.callers)
        small = {"Pearshed-Token-Usage": "100,10", "Pearshed-Prefix-Hash": "cc:100"}
        second.send("/urgent/a", request_id="second", headers=small)
        entry = self.engines[0].entry(state="draining")
        self.store.put(f"servers/{self.engines[0].identity}", entry)
        await until(lambda: self.has_endpoints("fleet", 0))
        self.release.set()
        served, refused = await first.read_response(), await second.read_response()
        assert served is not None and refused is not None
        self.assertEqual((200, 503), (served.status, refused.status))
        self.assertEqual(1, len(self.engines[0].requests))
        first.close()
        second.close()

    async def test_an_interrupted_stream_is_queued_before_it_resumes(self) -> None:
        async def interrupt_first_stream(
            connection: EngineConnection, request: EngineRequest
        ) -> None:
            if request.request_id == "busy":
                await self.stream(connection, request)
                return
            connection.begin_stream(request)
            if "last-event-id" not in request.headers:
                connection.send_event(1)
                # Longer than a first attempt may wait for admission.
                await asyncio.sleep(0.4)
                connection.reset()
                return
            connection.send_event(2)
            connection.end_stream()

        routes = [route("draft", "streaming", "fleet", sticky=True, resumable=True)]
        routes[0]["targetLatencyMs"] = 600
        self.store.put("op/config", configuration(3, routes=routes))
        await self.start_all()
        self.engines[0].script = interrupt_first_stream
        await self.add_engine("fleet", interrupt_first_stream)
        await until(lambda: self.has_endpoints("fleet", 2))
        caller = await Caller.connect(self.settings.callers)
        caller.send("/draft/a", request_id="broken", headers=PROMPT)
        await caller.read_head()
        self.assertIn(b"id: 1", await caller.read_chunk())
        busy = await Caller.connect(self.settings.callers)
        large = {"Pearshed-Token-Usage": "20000,10", "Pearshed-Prefix-Hash": "bb:20000"}
        busy.send("/draft/a", request_id="busy", headers=large)
        await until(
            lambda: any(
                request.request_id == "busy"
                for engine in self.engines
                for request in engine.requests
            )
        )
        asyncio.get_running_loop().call_later(0.6, self.release.set)
        self.assertIn(b"id: 2", await caller.read_chunk())
        self.assertEqual(b"", await caller.read_chunk())
        for connection in (caller, busy):
            connection.close()

    @parameterized.expand([("never_started", False), ("killed", True)])
    async def test_requests_are_served_without_a_side(self, _: str, start: bool) -> None:
        self.release.set()
        await self.add_engine("fleet", self.stream)
        await self.start_gateway()
        await until(lambda: self.has_endpoints("fleet", 1))
        if start:
            side = await self.start_side(self.settings.peers.port)
            self.assertEqual(200, await self.status("/draft/a", headers=PROMPT))
            side.request_stop()
            await until(lambda: not side.serving)
        for number in range(3):
            status = await self.status("/draft/a", request_id=f"n{number}", headers=PROMPT)
            self.assertEqual(200, status)

    @parameterized.expand(
        [
            (
                "metrics",
                "/metrics",
                200,
                b'pearshed_side_decisions_total{decision="granted",rank="',
            ),
            ("dump", "/dump", 200, b'"admitted"'),
            ("health", "/healthz", 200, b"ok"),
            ("other", "/else", 404, b"pages:"),
        ]
    )
    async def test_a_side_serves_its_pages(
        self, _: str, path: str, status: int, content: bytes
    ) -> None:
        self.release.set()
        await self.start_all()
        self.assertEqual(200, await self.status("/draft/a", headers=PROMPT))
        caller = await Caller.connect(Address("127.0.0.1", self.settings.peers.port))
        caller.send(path, method="GET")
        response = await caller.read_response()
        assert response is not None
        self.assertEqual(status, response.status)
        self.assertIn(content, response.body)
        caller.close()

    async def test_sides_count_the_gateways(self) -> None:
        self.release.set()
        await self.start_all()
        self.assertEqual(200, await self.status("/draft/a", headers=PROMPT))
        # The count comes with the fleet's traffic, which is reported twice a second.
        await until(lambda: "pearshed_gateway_gateways 1\n" in self.gateway.pages.metrics_page())
        page = self.gateway.pages.metrics_page()
        self.assertIn('pearshed_gateway_attempts_total{outcome="Answered"} 1', page)
