"""Engines that turn requests away and ask the gateway for a pause."""

import asyncio
import unittest
from collections.abc import Mapping

from parameterized import parameterized
from returns.pipeline import is_successful

from pearshed._internal.engine_side.messages import AdmissionRequest, Message
from pearshed._internal.platform.engine_client import PlatformEngineMonitor
from pearshed._internal.utils.addresses import Address
from tests.gateway.test_waiting import PROMPT, WaitingTestCase
from tests.lib import side_stand_in
from tests.lib.fakes import FakeClock
from tests.lib.gateway_caller import Caller, CallerResponse
from tests.lib.gateway_fixture import GatewayTestCase, free_address, until
from tests.lib.gateway_fleet import GatewayFleetTestCase
from tests.lib.gateway_platform import (
    EngineConnection,
    EngineRequest,
    EngineStandIn,
    all_kinds,
    configuration,
    route,
)

PAUSE_S = 2.5
#: From this long after the engine's answer on, at most so many requests may reach it.
GRACE_S = 0.5
MAX_ARRIVALS = 2
NOT_EXECUTED = {"Pearshed-Not-Executed": "busy"}
_BURST = 12


def pause_headers(pause: str = str(PAUSE_S)) -> dict[str, str]:
    """Create the headers of a response that turns a request away and asks for a pause."""
    return {"Retry-After": pause, **NOT_EXECUTED}


async def answer(connection: EngineConnection, request: EngineRequest) -> None:
    """Answer a request of any route."""
    if request.target.split("/")[1] in ("brief", "urgent", "patient"):
        connection.begin_stream(request)
        connection.send_event(1)
        connection.end_stream()
    else:
        connection.send_response(request)


class PausingEngineTestCase(GatewayTestCase):
    """One gateway, whose requests are numbered."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.store.put("op/config", configuration(2, routes=all_kinds()))
        self.headers: Mapping[str, str] = pause_headers()
        self.pausing: EngineStandIn
        self.sent = 0

    async def send(self, path: str) -> CallerResponse:
        self.sent += 1
        response = await self.call(path, request_id=f"{self.sent}", headers=PROMPT)
        assert response is not None
        return response

    async def pass_time(self, seconds: float) -> None:
        self.clock_offset += seconds
        await until(lambda: not self.gateway.not_ready_reasons())


class EnginePauseTest(PausingEngineTestCase):
    """Engines of one service; the one that gets the first request asks for a pause."""

    async def respond(self, connection: EngineConnection, request: EngineRequest) -> None:
        if sum(len(engine.requests) for engine in self.engines) == 1:
            self.pausing = next(engine for engine in self.engines if engine.requests)
        if self.headers and request in self.pausing.requests:
            connection.send_response(request, 503, b"", self.headers)
        else:
            await answer(connection, request)

    async def start(self, service: str, engines: int) -> None:
        for _ in range(engines):
            await self.add_engine(service, self.respond)
        # No side runs on the engines' VM.
        await self.start_gateway(peers=Address("127.0.0.2", free_address().port))
        await until(lambda: self.has_endpoints(service, engines))

    def assert_pause_kept(self) -> None:
        self.assertLessEqual(len(self.pausing.requests), 1 + MAX_ARRIVALS)

    @parameterized.expand(
        [
            (f"{kind}_{engines}_engines_{connection}", path, service, engines, headers)
            for kind, path, service in (
                ("plain", "/lookup/a", "ledger"),
                ("once", "/confirm/a", "ledger"),
                ("prompts", "/brief/a", "fleet"),
            )
            for engines in (1, 3)
            for connection, headers in (("kept", {}), ("new", {"Connection": "close"}))
        ]
    )
    async def test_an_engine_gets_no_requests_in_the_pause_that_it_asked_for(
        self, _: str, path: str, service: str, engines: int, headers: dict[str, str]
    ) -> None:
        self.headers = pause_headers() | headers
        await self.start(service, engines)
        statuses = [(await self.send(path)).status]
        await self.pass_time(GRACE_S + 0.1)
        statuses += [(await self.send(path)).status for _ in range(_BURST)]
        self.assert_pause_kept()
        self.assertEqual([200 if engines > 1 else 503] * (1 + _BURST), statuses)
        self.headers = {}
        await self.pass_time(PAUSE_S)
        self.assertEqual(200, (await self.send(path)).status)

    @parameterized.expand([("all_at_once", "/lookup/a"), ("that_may_run_once", "/confirm/a")])
    async def test_callers_get_a_503_with_a_true_time_while_all_engines_pause(
        self, _: str, path: str
    ) -> None:
        await self.start("ledger", 1)
        await self.send(path)
        times = []
        for _number in range(_BURST):
            response = await self.send(path)
            self.assertEqual(503, response.status)
            times.append(float(response.headers["retry-after"]))
        self.assertGreaterEqual(min(times), PAUSE_S - GRACE_S)
        self.assertLessEqual(max(times), 2 * PAUSE_S)
        self.assertGreater(len(set(times)), _BURST // 2)

    async def test_a_request_that_may_have_run_is_not_called_not_run(self) -> None:
        self.headers = {"Retry-After": str(PAUSE_S)}
        await self.start("ledger", 1)
        self.assertEqual(502, (await self.send("/confirm/a")).status)
        statuses = [(await self.send("/confirm/a")).status for _ in range(_BURST)]
        self.assertEqual([503] * _BURST, statuses)
        self.assert_pause_kept()

    async def test_requests_that_arrive_together_extend_the_pause_to_the_latest_end(self) -> None:
        pauses = iter(["0.7", "3", "0.2"])
        together = asyncio.Event()

        async def refuse(connection: EngineConnection, request: EngineRequest) -> None:
            if len(self.engines[0].requests) == 3:
                together.set()
            await together.wait()
            connection.send_response(request, 503, b"", pause_headers(next(pauses, "0.1")))

        self.pausing = await self.add_engine("ledger", refuse)
        await self.start_gateway()
        await until(lambda: self.has_endpoints("ledger", 1))
        await asyncio.gather(*(self.send("/lookup/a") for _ in range(3)))
        await self.pass_time(0.7 + 0.1)
        for _ in range(_BURST):
            self.assertEqual(503, (await self.send("/lookup/a")).status)
        self.assertEqual(3, len(self.pausing.requests))

    async def test_a_pause_is_no_failure_of_the_engine(self) -> None:
        self.headers = {"Retry-After": "0.2"}
        await self.start("ledger", 1)
        for _ in range(3):
            await self.send("/lookup/a")
            await self.pass_time(0.3)
        (endpoint,) = self.gateway.endpoints.endpoints
        self.assertEqual(0.0, endpoint.failure_share)

    async def test_a_pause_outlasts_a_new_listing_and_ends_with_the_run(self) -> None:
        await self.start("ledger", 1)
        await self.send("/lookup/a")
        key = f"servers/{self.pausing.identity}"
        self.store.delete(key)
        await until(lambda: not tuple(self.gateway.endpoints.endpoints))
        self.store.put(key, self.pausing.entry(seq=9))
        await until(lambda: bool(tuple(self.gateway.endpoints.endpoints)))
        self.assertEqual(503, (await self.send("/lookup/a")).status)
        self.assertEqual(1, len(self.pausing.requests))
        self.headers = {}
        self.store.put(key, self.pausing.entry(born=1_800_000_000_000))
        await until(lambda: self.has_endpoints("ledger", 1))
        self.assertEqual(200, (await self.send("/lookup/a")).status)

    async def test_a_pause_of_another_engine_at_the_address_is_not_the_engines(self) -> None:
        self.headers = {"Retry-After": "30", "Pearshed-Response-Signature": ""}

        async def misdirect(connection: EngineConnection, request: EngineRequest) -> None:
            connection.send_response(request, 421, b"", self.headers)

        engine = await self.add_engine("ledger", misdirect)
        await self.start_gateway()
        await until(lambda: self.has_endpoints("ledger", 1))
        await self.send("/lookup/a")
        engine.script = answer
        self.store.delete(f"servers/{engine.identity}")
        await until(lambda: not tuple(self.gateway.endpoints.endpoints))
        self.store.put(f"servers/{engine.identity}", engine.entry())
        await until(lambda: self.has_endpoints("ledger", 1))
        self.assertEqual(200, (await self.send("/lookup/a")).status)

    @parameterized.expand(
        [
            # value, status of the next request: 503 while the engine pauses
            ("fraction", "2.25", 503),
            ("huge", "9" * 400, 503),
            ("infinite", "inf", 503),
            ("no_number", "soon", 503),
            ("not_a_number", "nan", 503),
            ("date", "Sat, 05 Dec 2026 01:00:00 GMT", 503),
            ("empty", "", 200),
            ("zero", "0", 200),
            ("negative", "-3", 200),
            ("huge_negative", "-1e400", 200),
        ]
    )
    async def test_odd_values_are_bounded(self, _: str, value: str, status: int) -> None:
        self.headers = pause_headers(value)
        await self.start("ledger", 1)
        await self.send("/lookup/a")
        self.headers = {}
        self.assertEqual(status, (await self.send("/lookup/a")).status)
        self.assertFalse(self.gateway_task.done())
        await self.pass_time(301.0)
        self.assertEqual(200, (await self.send("/lookup/a")).status)


class OtherGatewayTest(GatewayFleetTestCase):
    async def test_a_pause_is_for_the_gateway_that_was_asked(self) -> None:
        async def respond(connection: EngineConnection, request: EngineRequest) -> None:
            if request.request_id == "first":
                connection.send_response(request, 503, b"", pause_headers())
            else:
                connection.send_response(request)

        await self.add_engine("ledger", respond)
        for _ in range(2):
            await self.add_gateway()
        await self.all_listed("ledger")
        statuses = []
        for gateway, request_id in ((0, "first"), (0, "second"), (1, "third")):
            response = await self.send_to(gateway, "/lookup/a", request_id=request_id)
            statuses.append(response.status if response is not None else None)
        self.assertEqual([503, 503, 200], statuses)


class WaitingRequestsTest(WaitingTestCase):
    """Requests that wait at the engine's side, or hold its grant, as the pause begins."""

    TARGETS_MS = (500, 1000)

    async def stream(self, connection: EngineConnection, request: EngineRequest) -> None:
        if self.run_count == 1:
            self.pausing = next(engine for engine in self.engines if request in engine.requests)
            await self.release.wait()
            connection.send_response(request, 503, b"", pause_headers())
        else:
            await answer(connection, request)

    def decide(self, request: AdmissionRequest) -> Message | None:
        if request.reservation.startswith("first"):
            return side_stand_in.grant(request)
        return side_stand_in.queue(50)(request)

    async def begin(self, path: str, request_id: str) -> Caller:
        caller = await Caller.connect(self.settings.callers)
        caller.send(path, request_id=request_id, headers=PROMPT)
        self.addCleanup(caller.close)
        return caller

    @parameterized.expand([("alone", 1, 503), ("beside_another", 2, 200)])
    async def test_requests_that_wait_at_a_pausing_engine_leave_it(
        self, _: str, engines: int, status: int
    ) -> None:
        await self.start(self.decide, *([side_stand_in.ignore] * (engines - 1)))
        first = await self.begin("/patient/a", "first")
        await until(lambda: self.run_count == 1)
        side = self.sides[self.engines.index(self.pausing)]
        for other in self.sides:
            other.decide = side_stand_in.grant
        side.decide = side_stand_in.queue(50)
        waiting: list[Caller] = []
        while len({name.partition("/")[0] for name in side.reservations}) < 4:
            waiting.append(await self.begin("/patient/a", f"waits-{len(waiting)}"))
            await asyncio.sleep(0.02)
        self.release.set()
        statuses = set()
        for caller in waiting:
            response = await caller.read_response()
            statuses.add(response.status if response is not None else None)
        self.assertEqual({status}, statuses)
        self.assertEqual(1, len(self.pausing.requests))
        await first.read_response()

    @parameterized.expand([("alone", 1, 503), ("beside_another", 2, 200)])
    async def test_a_grant_of_a_pausing_engine_is_not_used(
        self, _: str, engines: int, status: int
    ) -> None:
        self.release.set()
        await self.start(*([side_stand_in.grant] * engines))
        first = await (await self.begin("/patient/a", "first")).read_response()
        self.assertIsNotNone(first)
        for number in range(_BURST):
            caller = await self.begin("/patient/a", f"later-{number}")
            response = await caller.read_response()
            self.assertEqual(status, response.status if response is not None else None)
        self.assertEqual(1, len(self.pausing.requests))


class CompetingRequestsTest(WaitingRequestsTest):
    """The same where callers with very different targets compete."""

    TARGETS_MS = (500, 2500)


class RestartedGatewayTest(PausingEngineTestCase):
    async def test_a_restarted_gateway_learns_a_pause_by_one_request_and_keeps_it(self) -> None:
        async def refuse(connection: EngineConnection, request: EngineRequest) -> None:
            connection.send_response(request, 503, b"", pause_headers())

        self.pausing = await self.add_engine("ledger", refuse)
        for _start in range(3):
            await self.start_gateway(peers=Address("127.0.0.2", free_address().port))
            await until(lambda: self.has_endpoints("ledger", 1))
            before = len(self.pausing.requests)
            statuses = [(await self.send("/lookup/a")).status for _ in range(8)]
            self.assertEqual([503] * 8, statuses)
            self.assertEqual(before + 1, len(self.pausing.requests))
            self.gateway.close()


class HeldRequestsTest(PausingEngineTestCase):
    """Plain requests that wait at the gateway for a slot or for a place."""

    async def hold(self, headers: Mapping[str, str], routes: list[dict[str, object]]) -> None:
        """Start an engine that has no room while its second request runs."""
        self.store.put("op/config", configuration(3, routes=routes))
        release = asyncio.Event()
        self.release = release

        async def respond(connection: EngineConnection, request: EngineRequest) -> None:
            if request.request_id == "2":
                await release.wait()
                connection.send_response(request, 503, b"", {**pause_headers(), **headers})
            else:
                connection.send_response(request, headers=headers)

        self.pausing = await self.add_engine("ledger", respond)
        # No side responds, so requests wait for the gateway's own share of a limit.
        await self.start_gateway(peers=Address("127.0.0.2", free_address().port))
        await until(lambda: self.has_endpoints("ledger", 1))
        await self.send("/lookup/a")

    @parameterized.expand(
        [
            ("slot", {"Pearshed-Server-Load": "1,0,1"}, True),
            ("place", {"Server-Limit": "200"}, False),
        ]
    )
    async def test_held_requests_are_not_sent_to_a_pausing_engine(
        self, _: str, headers: dict[str, str], competing: bool
    ) -> None:
        targets_ms = (500, 2500) if competing else (500, 500)
        prompts = [
            route(name, "streaming", "fleet", sticky=True, targetLatencyMs=target_ms)
            for name, target_ms in zip(("urgent", "patient"), targets_ms, strict=True)
        ]
        await self.hold(headers, [*all_kinds()[1:], *prompts])
        second = asyncio.create_task(self.send("/lookup/a"))
        await until(lambda: len(self.pausing.requests) == 2)
        held = [asyncio.create_task(self.send("/lookup/a")) for _ in range(4)]
        await asyncio.sleep(0.05)
        before = len(self.pausing.requests)
        self.release.set()
        responses = await asyncio.gather(second, *held)
        self.assertEqual([503] * 5, [response.status for response in responses])
        self.assertEqual(before, len(self.pausing.requests))


class EngineReadTest(unittest.IsolatedAsyncioTestCase):
    """The side's reads of its engine: its report, and the changes of its cache."""

    async def asyncSetUp(self) -> None:
        self.clock = FakeClock(self)

    @parameterized.expand([("report",), ("cache_changes",)])
    async def test_an_engine_is_not_read_in_the_pause_that_it_asked_for(self, asking: str) -> None:
        async def respond(connection: EngineConnection, request: EngineRequest) -> None:
            if len(engine.requests) == 1:
                connection.send_response(request, 503, b"", pause_headers())
            else:
                connection.send_response(request, body=b'{"events": [], "next": 1}')

        engine = EngineStandIn("i-1", "fleet", respond)
        engine.reports_itself = False
        await engine.start()
        self.addAsyncCleanup(engine.stop)
        monitor = PlatformEngineMonitor(engine.address)
        self.addCleanup(monitor.close)

        async def read() -> list[bool]:
            report = await monitor.report()
            update = await monitor.next_cache_update(0, 0.0)
            return [is_successful(report), is_successful(update)]

        if asking == "report":
            await monitor.report()
        else:
            await monitor.next_cache_update(0, 0.0)
        for _ in range(_BURST):
            self.assertEqual([False, False], await read())
        self.assertEqual(1, len(engine.requests))
        self.clock.advance(PAUSE_S + 0.1)
        self.assertEqual([True, True], await read())
