"""Steps of a request that are modules of their own: return times, retries and what withholds it."""

import asyncio
import dataclasses
import random
import unittest

from parameterized import parameterized

from pearshed._internal.decisions.engine_pauses import parse_pause
from pearshed._internal.gateway.availability.evacuations import EvacuationTable
from pearshed._internal.gateway.availability.pauses import PauseTable
from pearshed._internal.gateway.crash_detector import CrashDetector
from pearshed._internal.gateway.endpoints import Endpoint
from pearshed._internal.gateway.forwarding.endpoint_waits import EndpointWaits
from pearshed._internal.gateway.forwarding.progress import Progress
from pearshed._internal.gateway.forwarding.retry_rules import RetryRules
from pearshed._internal.gateway.forwarding.return_times import ReturnTimes
from pearshed._internal.gateway.request_logger import RequestLogger
from pearshed._internal.gateway.routed_call import (
    AttemptOutcome,
    Failed,
    Interrupted,
    NotExecuted,
    OutOfTime,
)
from pearshed._internal.models.routing import RouteKind
from tests.lib.fakes import FakeClock
from tests.lib.routed_calls import call, entry

#: Callers come back after the expected wait and at most this long later, seconds.
_MAX_SPREAD_S = 0.9


async def _always_spend(service: str) -> bool:
    """Spend of a retry budget that is never empty."""
    del service
    return True


class ReturnTimesTest(unittest.TestCase):
    """Guards against times at which callers are refused again."""

    @parameterized.expand(
        [
            # pause, expected wait, blocked, competing, earliest return
            ("nothing_known", 0.0, 0.0, False, False, 0.0),
            ("expected_wait", 0.0, 1.5, False, False, 1.5),
            ("pause", 2.5, 0.5, False, False, 2.5),
            ("pause_of_competing_callers", 2.5, 0.5, False, True, 2.5),
            ("blocked_for_longer_than_the_pause", 2.5, 30.0, True, False, 30.0),
            ("blocked_for_less_than_the_pause", 2.5, 1.0, True, True, 2.5),
        ]
    )
    def test_after_refusal(
        self, _: str, pause_s: float, wait_s: float, blocked: bool, competes: bool, least_s: float
    ) -> None:
        times = ReturnTimes(RequestLogger(dict), random.Random(3))
        progress = Progress(wait_s=wait_s, blocked=blocked)
        request = dataclasses.replace(call(1), competes=competes)
        for _number in range(20):
            seconds = times.after_refusal_s(request, progress, pause_s)
            self.assertGreater(seconds, least_s)
            self.assertLessEqual(seconds, least_s + _MAX_SPREAD_S)


class EndpointStepsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock(self)
        self.pauses = PauseTable()
        self.evacuations = EvacuationTable()
        self.waits = EndpointWaits(self.evacuations, self.pauses)
        self.endpoint = Endpoint(entry(1), evacuations=self.evacuations, pauses=self.pauses)

    def test_a_paused_endpoint_is_withheld_until_the_end_of_its_pause(self) -> None:
        self.assertEqual("", self.waits.withheld_reason(self.endpoint))
        self.endpoint.record_pause(parse_pause(b"2"))
        self.assertIn("pause", self.waits.withheld_reason(self.endpoint))
        self.assertFalse(self.endpoint.accepting)
        self.clock.advance(2.1)
        self.assertEqual("", self.waits.withheld_reason(self.endpoint))
        self.assertTrue(self.endpoint.accepting)

    @parameterized.expand(
        [
            # outcome, kind of the route, another attempt is allowed
            ("withheld", NotExecuted("paused", False, withheld=True), RouteKind.STREAMING, True),
            ("rejected", NotExecuted("503", True), RouteKind.NON_IDEMPOTENT, True),
            ("may_have_run_once", Failed("reset"), RouteKind.NON_IDEMPOTENT, False),
            ("may_be_repeated", Failed("reset"), RouteKind.IDEMPOTENT, True),
            ("stream_that_cant_be_resumed", Interrupted("cut"), RouteKind.STREAMING, False),
            ("out_of_time", OutOfTime(sent=True), RouteKind.IDEMPOTENT, False),
        ]
    )
    def test_may_retry(
        self, _: str, outcome: AttemptOutcome, kind: RouteKind, allowed: bool
    ) -> None:
        rules = RetryRules(_always_spend, CrashDetector(), self.waits)
        request = call(1)
        request = dataclasses.replace(request, route=dataclasses.replace(request.route, kind=kind))
        may_retry = rules.may_retry(request, self.endpoint, outcome, Progress())
        self.assertEqual(allowed, asyncio.run(may_retry))
