"""Sound engines that fall silent for a second or so and go on."""

import dataclasses
import unittest
from typing import Any

from parameterized import parameterized

from pearshed._internal.engine_side.engine_silence import MAX_SILENCE_S, EngineSilence
from pearshed._internal.engine_side.monitor import EngineReport, RunningRequest
from pearshed._internal.engine_side.prefill_speed import ASSUMED_TOKENS_PER_S
from pearshed._internal.gateway.endpoints import UNRESPONSIVE_AFTER_S, Endpoint
from pearshed._internal.timers import clock
from tests.lib.admission import QueueTestCase, admission_request
from tests.lib.engine_side import SilentMonitor
from tests.lib.fakes import FakeClock
from tests.lib.gateway_caller import Caller
from tests.lib.gateway_fixture import until
from tests.lib.gateway_fleet import EnginesWithSidesTestCase
from tests.lib.gateway_platform import (
    EngineConnection,
    EngineRequest,
    EngineStandIn,
    configuration,
    route,
)
from tests.lib.routed_calls import entry

_REPORT_INTERVAL_S = 0.1
_PROMPT = {"Pearshed-Token-Usage": "3500,20", "Pearshed-Prefix-Hash": "aa:3000,bb:500"}


class MeasuredSpeedTest(QueueTestCase):
    """The speed at which a side believes that its engine prefills prompts."""

    TOKENS = 4_000

    def report(self) -> None:
        runs = (RunningRequest("a", self.TOKENS, 0),)
        self.queue.apply_report(EngineReport(1, 0, self.TOKENS, 1_000_000, runs))

    def report_for(self, seconds: float) -> None:
        for _ in range(round(seconds / _REPORT_INTERVAL_S)):
            self.clock.advance(_REPORT_INTERVAL_S)
            self.report()

    @parameterized.expand(
        [
            (f"{silent_s}_s_{order}", silent_s, order)
            for silent_s in (0.9, 1.2, 2.5, 5.0)
            for order in ("report_first", "prefill_first")
        ]
    )
    def test_a_silence_of_the_engine_is_not_measured_as_slow_prefill(
        self, _: str, silent_s: float, order: str
    ) -> None:
        self.report()
        self.submit(admission_request("a", self.TOKENS))
        self.report_for(0.2)
        self.clock.advance(silent_s)
        if order == "report_first":
            self.report()
        self.queue.record_prefill("a/1")
        self.report()
        self.assertGreaterEqual(self.queue.tokens_per_s, ASSUMED_TOKENS_PER_S)

    def test_a_slow_engine_that_reports_is_measured(self) -> None:
        self.report()
        self.submit(admission_request("a", self.TOKENS))
        self.report_for(1.2)
        self.queue.record_prefill("a/1")
        self.assertAlmostEqual(self.TOKENS / 1.2, self.queue.tokens_per_s, delta=100)


class EngineSilenceTest(unittest.TestCase):
    @parameterized.expand(
        [
            # seconds since the last report and the last response; None: there was none
            ("never_reported", None, 5.0, False),
            ("just_reported", 0.1, None, False),
            ("silent", 0.8, None, True),
            ("responding", 0.8, 0.1, False),
            ("silent_after_a_response", 1.8, 0.9, True),
            ("ended_or_without_reports", 3.5, None, False),
            ("without_reports_and_idle", 60.0, 1.0, False),
        ]
    )
    def test_silence(
        self, _: str, reported_s: float | None, responded_s: float | None, silent: bool
    ) -> None:
        fake_clock = FakeClock(self)
        silence = EngineSilence()
        now = fake_clock.now
        if reported_s is not None:
            fake_clock.now = now - reported_s
            silence.record_report()
        if responded_s is not None:
            fake_clock.now = now - responded_s
            silence.record_response()
        fake_clock.now = now
        self.assertEqual(silent, silence.is_silent)


class SilentQueueTest(QueueTestCase):
    """What a side does with requests while its engine is silent."""

    @parameterized.expand(
        [
            # has an alternative, silence before the request, refused, granted afterwards
            ("arrives_and_may_go_elsewhere", True, 1.0, True, False),
            ("waits_and_may_go_elsewhere", True, 0.0, True, False),
            ("arrives_without_alternative", False, 1.0, False, True),
            ("waits_without_alternative", False, 0.0, False, True),
        ]
    )
    def test_a_silent_engine_gets_nothing_and_holds_up_nothing_that_may_go_elsewhere(
        self, _: str, has_alternative: bool, silent_s: float, refused: bool, granted: bool
    ) -> None:
        self.queue.apply_report(EngineReport(1, 0, 0, 1_000_000, ()))
        self.submit(dataclasses.replace(admission_request("busy", 10), slots=1))
        self.clock.advance(silent_s)
        request = dataclasses.replace(
            admission_request("next", 10, budget_ms=2500), slots=1, has_alternative=has_alternative
        )
        self.submit(request)
        self.clock.advance(0.55)
        if not self.refused:
            self.submit(request)
        self.queue.finish("busy/1")
        self.assertEqual((refused, ["busy"]), (bool(self.refused), self.granted))
        self.queue.apply_report(EngineReport(0, 0, 0, 1_000_000, ()))
        self.assertEqual(granted, "next" in self.granted)


class EjectionTest(unittest.TestCase):
    @parameterized.expand([("one", 1), ("several", 4), ("many", 12)])
    def test_connections_that_fail_in_one_silence_count_once(self, _: str, count: int) -> None:
        fake_clock = FakeClock(self)
        endpoint = Endpoint(entry(1))
        for _number in range(count):
            endpoint.record_unreachable()
        fake_clock.advance(0.55)
        self.assertFalse(endpoint.is_ejected(clock.now()))
        self.assertLess(endpoint.failure_share, 0.5)


class SilentEnginesTest(EnginesWithSidesTestCase):
    """Engines with sides of their own; some engines fall silent, their sides don't."""

    responds_in_silence = False

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        routes = [
            route("urgent", "streaming", "fleet", sticky=True, priority=0, targetLatencyMs=300),
            route("bulk", "streaming", "fleet", sticky=True, priority=1, targetLatencyMs=4000),
        ]
        self.store.put("op/config", configuration(2, routes=routes))

    async def respond(self, connection: EngineConnection, request: EngineRequest) -> None:
        if request.request_id.startswith("hung"):
            await connection.wait_closed()
            return
        connection.begin_stream(request)
        if not self.responds_in_silence:
            await self.monitor_of(request).wait_until_responsive()
        connection.send_event(1)
        connection.end_stream()

    async def begin(self, path: str, request_id: str) -> Caller:
        caller = await Caller.connect(self.settings.callers)
        caller.send(path, request_id=request_id, headers=_PROMPT)
        self.addCleanup(caller.close)
        return caller

    async def read_status(self, caller: Caller) -> int | None:
        response = await caller.read_response()
        return response.status if response is not None else None

    @parameterized.expand([(f"{count}_silent", count) for count in (1, 2, 3, 4)])
    async def test_requests_reach_the_engines_that_respond(self, _: str, silent: int) -> None:
        for _number in range(5):
            await self.add_engine_with_side(slots=1)
        await self.start_gateway()
        await until(lambda: self.has_endpoints("fleet", 5))
        for monitor in self.monitors[:silent]:
            monitor.fall_silent()
        await until(lambda: all(monitor.was_asked for monitor in self.monitors[:silent]))
        busy = [await self.begin("/bulk/a", f"bulk-{number}") for number in range(silent)]
        statuses = [
            await self.read_status(await self.begin("/urgent/a", f"urgent-{number}"))
            for number in range(4)
        ]
        for monitor in self.monitors:
            monitor.respond_again()
        self.assertEqual([200] * 4, statuses)
        self.assertEqual([200] * silent, [await self.read_status(caller) for caller in busy])

    async def test_an_urgent_request_waits_as_long_as_a_less_urgent_one(self) -> None:
        await self.add_engine_with_side(slots=1)
        await self.start_gateway()
        await until(lambda: self.has_endpoints("fleet", 1))
        first = await self.begin("/bulk/a", "first")
        await until(lambda: len(self.engines[0].requests) == 1)
        self.monitors[0].fall_silent()
        bulk = await self.begin("/bulk/a", "bulk")
        urgent = await self.begin("/urgent/a", "urgent")
        begun_at = clock.now()
        await until(lambda: clock.now() - begun_at > 0.7)
        self.monitors[0].respond_again()
        statuses = [await self.read_status(caller) for caller in (first, bulk, urgent)]
        self.assertEqual([200, 200, 200], statuses)

    async def test_requests_sent_past_a_silent_side_keep_their_order_at_the_engine(self) -> None:
        engine = await self.add_engine("fleet", self.respond)
        self.monitors.append(SilentMonitor())
        await self.start_gateway()
        await until(lambda: self.has_endpoints("fleet", 1))
        for path in ("/bulk/a", "/urgent/a"):
            self.assertEqual(200, await self.read_status(await self.begin(path, path)))
        ranks = {
            request.request_id: int(request.headers["pearshed-request-priority"])
            for request in engine.requests
        }
        self.assertLess(ranks["/urgent/a"], ranks["/bulk/a"])

    async def test_requests_leave_an_engine_whose_report_alone_responds(self) -> None:
        for _number in range(3):
            await self.add_engine_with_side(slots=6)
        await self.start_gateway()
        await until(lambda: self.has_endpoints("fleet", 3))
        hung = await self.begin("/bulk/a", "hung-0")
        hung_engine = await self.first_engine_that_got("hung-0")
        begun_at = clock.now()
        await until(lambda: clock.now() - begun_at > UNRESPONSIVE_AFTER_S + 0.1)
        for number in range(8):
            caller = await self.begin("/urgent/a", f"urgent-{number}")
            self.assertEqual(200, await self.read_status(caller))
        self.assertEqual(1, len(hung_engine.requests))
        hung.close()

    async def test_requests_reach_an_engine_whose_report_alone_is_silent(self) -> None:
        await self.add_engine_with_side(slots=6)
        await self.start_gateway()
        await until(lambda: self.has_endpoints("fleet", 1))
        self.responds_in_silence = True
        self.monitors[0].fall_silent()
        await until(lambda: self.monitors[0].was_asked)
        begun_at = clock.now()
        await until(lambda: clock.now() - begun_at > MAX_SILENCE_S)
        statuses = [
            await self.read_status(await self.begin("/bulk/a", f"bulk-{number}"))
            for number in range(6)
        ]
        self.monitors[0].respond_again()
        self.assertEqual([200] * 6, statuses)

    async def first_engine_that_got(self, request_id: str) -> EngineStandIn:
        """Wait until an engine has received a request, and return the engine."""

        def receivers() -> list[EngineStandIn]:
            return [
                engine
                for engine in self.engines
                if any(request.request_id == request_id for request in engine.requests)
            ]

        await until(lambda: bool(receivers()))
        return receivers()[0]

    async def test_a_silent_engine_is_no_crash_and_the_gateway_stays_ready(self) -> None:
        for _number in range(2):
            await self.add_engine_with_side(slots=2)
        await self.start_gateway()
        await until(lambda: self.has_endpoints("fleet", 2))
        for monitor in self.monitors:
            monitor.fall_silent()
        callers = [await self.begin("/bulk/a", f"bulk-{number}") for number in range(4)]
        begun_at = clock.now()
        await until(lambda: clock.now() - begun_at > 1.2)
        self.assertEqual([], self.gateway.not_ready_reasons())
        for monitor in self.monitors:
            monitor.respond_again()
        self.assertEqual([200] * 4, [await self.read_status(caller) for caller in callers])
        self.assertEqual(0, len(self.gateway.crashes.blocked_parts))
        ejected: list[Any] = [
            endpoint
            for endpoint in self.gateway.endpoints.endpoints
            if endpoint.is_ejected(clock.now())
        ]
        self.assertEqual([], ejected)
