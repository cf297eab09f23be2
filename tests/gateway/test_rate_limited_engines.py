"""Which side a gateway asks for a place at an engine with a limit, and when it asks again."""

import random
import unittest
from collections.abc import Sequence
from typing import Any

from parameterized import parameterized

from pearshed._internal.engine_side.messages import LimitReport, PlaceReleased, PlaceRequest
from pearshed._internal.engine_side.rate_limits import RateLimit
from pearshed._internal.gateway.admission import Admission, Admitted, NotAdmitted
from pearshed._internal.gateway.endpoints import Endpoint
from pearshed._internal.gateway.rate_limited_engines import (
    MAX_SIDES,
    SIDE_SKIP_S,
    NoPlace,
    Place,
    RateLimitedEngines,
)
from pearshed._internal.gateway.side_exchange import SideExchange
from tests.lib.fakes import START_S, FakeClock
from tests.lib.routed_calls import call, entry

_OWN_HOST = "10.0.0.1"
_HOSTS = (_OWN_HOST, "10.0.0.7", "10.0.0.8")
_RUN = "i-1/0"


class FakeClient:
    """Sides that grant, refuse or don't respond."""

    def __init__(self) -> None:
        self.silent: set[str] = set()
        self.wait_s: float | None = None
        self.asked: list[str] = []
        self.sent: list[tuple[Any, str]] = []

    async def request_place(self, request: PlaceRequest, host: str) -> Admission | None:
        """Decide on a request."""
        self.asked.append(host)
        if host in self.silent:
            return None
        return Admitted(request.reservation) if self.wait_s is None else NotAdmitted(self.wait_s)

    def send(self, message: Any, host: str) -> None:
        """Record a message."""
        self.sent.append((message, host))


class RateLimitedEnginesTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = FakeClock(self)
        self.client = FakeClient()
        sides = SideExchange(lambda message, host: None)
        sides.exchange(_HOSTS)
        self.limits = RateLimitedEngines(
            self.client, sides, lambda: 4, random.Random(1)  # type: ignore[arg-type]
        )
        sides.add(self.limits)
        sides.exchange(_HOSTS)
        self.endpoint = Endpoint(entry(1))

    async def take(self, budget_s: float = 0.0) -> Place | NoPlace:
        return await self.limits.take_place(call(1), self.endpoint, budget_s)

    async def asked(self) -> Sequence[str]:
        """Take a place and return the sides that were asked."""
        self.client.asked.clear()
        await self.take()
        return tuple(self.client.asked)

    async def test_an_engine_without_a_limit_needs_no_place(self) -> None:
        self.assertEqual((), await self.asked())

    async def test_the_engines_own_side_is_asked_first(self) -> None:
        self.limits.record_response(self.endpoint.entry, 1.0)
        self.assertEqual((_OWN_HOST,), await self.asked())

    async def test_a_silent_side_is_left_out_for_a_while(self) -> None:
        self.limits.record_response(self.endpoint.entry, 1.0)
        self.client.silent = {_OWN_HOST}
        first, second = await self.asked()
        self.assertEqual(_OWN_HOST, first)
        self.assertEqual((second,), await self.asked())
        self.client.silent = set()
        self.clock.advance(SIDE_SKIP_S)
        self.assertEqual((_OWN_HOST,), await self.asked())

    async def test_without_a_side_that_responds_the_gateway_uses_its_share(self) -> None:
        self.limits.record_response(self.endpoint.entry, 0.001)
        self.client.silent = set(_HOSTS)
        self.assertEqual(MAX_SIDES, len(await self.asked()))
        place = await self.take()
        assert isinstance(place, NoPlace)
        self.assertGreater(place.wait_s, 0.0)

    async def test_a_side_is_not_asked_again_before_there_is_a_place(self) -> None:
        self.limits.record_response(self.endpoint.entry, 1.0)
        self.client.wait_s = 0.8
        self.assertEqual((_OWN_HOST,), await self.asked())
        self.assertEqual((), await self.asked())
        self.clock.advance(0.9)
        self.assertEqual((_OWN_HOST,), await self.asked())

    async def test_a_request_that_can_wait_for_the_place_asks(self) -> None:
        self.limits.record_response(self.endpoint.entry, 1.0)
        self.client.wait_s = 0.8
        await self.take()
        self.client.wait_s = None
        self.assertIsInstance(await self.take(budget_s=1.0), Place)

    @parameterized.expand([("higher", 5.0, 1), ("withdrawn", None, 0)])
    async def test_a_changed_limit_ends_the_wait(
        self, _: str, per_s: float | None, asked: int
    ) -> None:
        self.limits.record_response(self.endpoint.entry, 0.001)
        self.client.wait_s = 1000.0
        await self.take()
        self.clock.advance(0.1)
        self.limits.merge(LimitReport("", (RateLimit(_RUN, per_s, START_S + 0.1),)))
        self.client.wait_s = None
        self.client.asked.clear()
        self.assertIsInstance(await self.take(), Place)
        self.assertEqual(asked, len(self.client.asked))

    async def test_an_unused_place_is_given_back_to_the_side_that_granted_it(self) -> None:
        self.limits.record_response(self.endpoint.entry, 1.0)
        place = await self.take()
        assert isinstance(place, Place)
        self.limits.release(place)
        self.assertEqual([(PlaceReleased(place.reservation, _RUN), _OWN_HOST)], self.client.sent)

    async def test_another_run_at_the_address_has_no_limit(self) -> None:
        self.limits.record_response(self.endpoint.entry, 1.0)
        self.endpoint.update(entry(1, started_at_ms=5))
        self.assertEqual((), await self.asked())

    def test_a_change_is_reported_at_once(self) -> None:
        news = []
        for per_s in (1.0, 1.0, 2.0, None, None):
            self.limits.record_response(self.endpoint.entry, per_s)
            news.append(self.limits.take_news())
        self.assertEqual([True, False, True, True, False], news)
