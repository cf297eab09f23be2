"""The retry budget of a service in the sum over all gateways, as they start, end and lose touch."""

import asyncio
import bisect
import dataclasses
import itertools
import random
import unittest
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from unittest import mock

from parameterized import parameterized

from pearshed._internal.gateway.exchange.exchange import GatewayExchange
from pearshed._internal.gateway.exchange.gossip import STARTING_INTERVAL_S
from pearshed._internal.gateway.exchange.retry_budgets import BudgetLimits
from tests.lib.fakes import FakeClock

RATIO = 0.2
WINDOW_S = 10.0
SERVICE = "fleet"
#: Slack of the budget by number of gateways.
SLACK = {4: 54.0, 21: 82.0}
REQUESTS_PER_S = (20, 200)
SEED = 54
#: From here on every attempt fails, seconds.
_FAILING_SINCE_S = 10.0
_END_S = 24.0
_STEP_S = 0.125
_RETRIES_WANTED = 2
#: A gateway that is killed is back after this time, seconds.
_RESTART_S = 0.5
_FOREVER = float("inf")


@dataclass(frozen=True)
class Scenario:
    """What happens to the gateways.

    :ivar restarts: times at which all are killed, seconds.
    :ivar restarts_one_by_one: interval at which one after the other is killed, seconds.
    :ivar sides_count: what sides count at a time: gets seconds and the number of gateways; 0 for
        nothing.
    :ivar cut: from and until when two halves of the gateways don't reach each other, seconds.
    :ivar frozen: from and until when half of the gateways stand still, seconds.
    :ivar joining: half of the gateways start at this time, seconds.
    :ivar one_sided: one gateway gets all requests.
    """

    restarts: Sequence[float] = ()
    restarts_one_by_one: float = _FOREVER
    sides_count: Callable[[float, int], int] = lambda now, gateways: gateways
    cut: tuple[float, float] = (_FOREVER, _FOREVER)
    frozen: tuple[float, float] = (_FOREVER, _FOREVER)
    joining: float = 0.0
    one_sided: bool = False


def _half_since(start: float) -> Callable[[float, int], int]:
    return lambda now, gateways: gateways // 2 if now >= start else gateways


def _one_at(start: float) -> Callable[[float, int], int]:
    return lambda now, gateways: 1 if start <= now < start + 2.0 else gateways


@dataclass
class Gateway:
    """A gateway's part in the exchange; ``down_until`` is when it has started, seconds."""

    host: str
    exchange: GatewayExchange
    down_until: float = 0.0
    is_frozen: bool = False


class Fleet:
    """Gateways before a service whose endpoints fail from a moment on."""

    def __init__(
        self, clock: FakeClock, gateways: int, requests_per_s: float, scenario: Scenario
    ) -> None:
        self._clock = clock
        self._scenario = scenario
        self._requests_per_s = requests_per_s
        self._rng = random.Random(SEED)
        self._slack = SLACK[gateways]
        self._now = 0.0
        self._hosts = [f"10.0.0.{number + 1}" for number in range(gateways)]
        self._gateways: dict[str, Gateway] = {}
        self._requests: list[float] = []
        self._repeats: list[float] = []
        for number, host in enumerate(self._hosts):
            self._start(host, scenario.joining if number >= gateways / 2 else 0.0)

    async def play(self) -> float:
        """Play the scenario; return the largest share of the bound that a window has used."""
        scenario = self._scenario
        restarts, next_one, restarted = list(scenario.restarts), _FAILING_SINCE_S, 0
        due = 0.0
        while self._now < _END_S:
            if restarts and self._now >= restarts[0]:
                restarts.pop(0)
                for host in self._hosts:
                    self._start(host, self._now + _RESTART_S)
            if self._now >= next_one + scenario.restarts_one_by_one:
                next_one += scenario.restarts_one_by_one
                self._start(self._hosts[restarted % len(self._hosts)], self._now + _RESTART_S)
                restarted += 1
            self._run_timers()
            due += self._requests_per_s * _STEP_S
            while due >= 1.0:
                due -= 1.0
                await self._request()
            self._now += _STEP_S
            self._clock.advance(_STEP_S)
        return max((self._used(end) for end in self._repeats), default=0.0)

    def _start(self, host: str, started_at: float) -> None:
        """Start a gateway, or again; it has no memory of before."""

        def send(datagram: bytes, receiver: str) -> None:
            other = self._gateways[receiver]
            if self._reach_each_other(host, receiver) and self._is_up(other):
                other.exchange.receive(datagram, host)

        exchange = GatewayExchange(
            host,
            self._hosts[:3],
            lambda: set(self._hosts[:3]) - {host},
            lambda: BudgetLimits(RATIO, self._slack, WINDOW_S),
            lambda service: service == SERVICE,
            send,
            self._rng,
        )
        self._gateways[host] = Gateway(host, exchange, started_at)

    def _is_up(self, gateway: Gateway) -> bool:
        start, end = self._scenario.frozen
        is_frozen = start <= self._now < end and self._half_of(gateway.host) == 1
        return self._now >= gateway.down_until and not is_frozen

    def _half_of(self, host: str) -> int:
        return int(self._hosts.index(host) >= len(self._hosts) / 2)

    def _reach_each_other(self, first: str, second: str) -> bool:
        start, end = self._scenario.cut
        return not start <= self._now < end or self._half_of(first) == self._half_of(second)

    def _run_timers(self) -> None:
        up = [gateway for gateway in self._gateways.values() if self._is_up(gateway)]
        for gateway in up:
            if self._now % STARTING_INTERVAL_S == 0.0:
                gateway.exchange.run_if_due()
            counted = sum(self._reach_each_other(gateway.host, other.host) for other in up)
            gateway.exchange.record_count(self._scenario.sides_count(self._now, counted))

    async def _request(self) -> None:
        number = 0 if self._scenario.one_sided else self._rng.randrange(len(self._hosts))
        gateway = self._gateways[self._hosts[number]]
        self._requests.append(self._now)
        if not self._is_up(gateway):
            return
        budgets = gateway.exchange.retry_budgets
        budgets.record_request(SERVICE)
        for _ in range(_RETRIES_WANTED if self._now >= _FAILING_SINCE_S else 0):
            if await budgets.try_spend(SERVICE):
                self._repeats.append(self._now)

    def _used(self, end: float) -> float:
        """Return the share of the bound that the window until a time has used."""
        requests = max(
            _count_in_window(self._requests, end - shift * WINDOW_S) for shift in (0.0, 0.5, 1.0)
        )
        return _count_in_window(self._repeats, end) / (RATIO * requests + self._slack)


def _count_in_window(times: Sequence[float], end: float) -> int:
    """Count the ascending times in the window until ``end``."""
    return bisect.bisect_right(times, end) - bisect.bisect_right(times, end - WINDOW_S)


_TWO_RESTARTS = (11.0, 14.0)
_SCENARIOS = {
    "calm": Scenario(),
    "calm_one_sided": Scenario(one_sided=True),
    "all_restart_once": Scenario(restarts=(11.0,)),
    "all_restart_twice": Scenario(restarts=_TWO_RESTARTS),
    "half_are_counted": Scenario(sides_count=_half_since(9.0)),
    "each_is_counted_alone_for_2_s": Scenario(sides_count=_one_at(10.5)),
    "one_sided_and_restarts": Scenario(restarts=_TWO_RESTARTS, one_sided=True),
    "all_restart_as_the_failures_begin": Scenario(restarts=(10.0,)),
    "all_restart_again_and_again": Scenario(restarts=tuple(range(5, 24, 2))),
    "one_after_the_other_restarts": Scenario(restarts_one_by_one=0.75),
    "half_are_always_counted": Scenario(sides_count=_half_since(0.0)),
    "each_is_counted_alone_after_a_restart": Scenario(restarts=(11.0,), sides_count=_one_at(11.0)),
    "no_side_counts": Scenario(sides_count=lambda now, gateways: 0),
    "no_side_counts_and_restarts": Scenario(_TWO_RESTARTS, sides_count=lambda now, gateways: 0),
    "two_halves_cut_off": Scenario(cut=(9.0, 25.0)),
    "two_halves_cut_off_one_sided": Scenario(cut=(9.0, 25.0), one_sided=True),
    "half_stand_still": Scenario(frozen=(10.5, 14.0)),
    "half_join": Scenario(joining=10.0),
}


class FleetRetryBudgetTest(unittest.TestCase):
    def setUp(self) -> None:
        # Datagrams arrive at once here, or never.
        timeout = mock.patch(
            "pearshed._internal.gateway.exchange.retry_budgets.RESPONSE_TIMEOUT_S", 0.0
        )
        timeout.start()
        self.addCleanup(timeout.stop)

    def play(self, scenario: Scenario) -> dict[tuple[int, int], float]:
        """Return the largest used share of the bound by gateways and requests per second."""
        return {
            (gateways, per_s): asyncio.run(Fleet(FakeClock(self), gateways, per_s, scenario).play())
            for gateways, per_s in itertools.product(SLACK, REQUESTS_PER_S)
        }

    @parameterized.expand(_SCENARIOS.items())
    def test_all_gateways_together_keep_to_the_budget(self, _: str, scenario: Scenario) -> None:
        used = self.play(scenario)
        self.assertEqual({}, {case: share for case, share in used.items() if share > 1.0})

    @parameterized.expand([("even", Scenario()), ("one_sided", Scenario(one_sided=True))])
    def test_most_of_the_budget_is_usable_in_calm(self, _: str, scenario: Scenario) -> None:
        used = self.play(scenario)
        without_sides = self.play(
            dataclasses.replace(scenario, sides_count=lambda now, gateways: 0)
        )
        cases = [*used.items(), *without_sides.items()]
        self.assertEqual({}, {case: share for case, share in cases if share < 0.8})
