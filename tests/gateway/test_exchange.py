"""What gateways exchange directly: which of them there are, and parts of their retry budgets."""

import asyncio
import functools
import random
import unittest
from collections.abc import Callable, Iterable, Sequence
from unittest import mock

from parameterized import parameterized
from returns.pipeline import is_successful

from pearshed._internal.decisions.gateway_count import MEMORY_S, SETTLING_S, GatewayCount
from pearshed._internal.decisions.service_retry_budget import BURST_SHARE, ServiceRetryBudget
from pearshed._internal.engine_side import messages as side_messages
from pearshed._internal.gateway.admission import SideAdmissionClient
from pearshed._internal.gateway.exchange import messages
from pearshed._internal.gateway.exchange.gossip import Gossip
from pearshed._internal.gateway.exchange.members import MAX_MEMBERS, MAX_ROWS, Members
from pearshed._internal.gateway.exchange.messages import (
    MAX_DATAGRAM_BYTES,
    ExchangeMessage,
    Loan,
    LoanRequest,
    News,
    Row,
)
from pearshed._internal.gateway.exchange.records import SharedRecords
from pearshed._internal.gateway.exchange.retry_budgets import BudgetLimits, RetryBudgets
from tests.lib.fakes import FakeClock
from tests.lib.gateway_fixture import until
from tests.lib.gateway_fleet import GatewayFleetTestCase

_WINDOW_S = 10.0


class Colours(SharedRecords):
    """A kind of its own: the names of colours that gateways have seen."""

    def __init__(self, *colours: str) -> None:
        self.colours = set(colours)

    @property
    def kind(self) -> str:
        return "colours"

    def sample(self, rng: random.Random, most: int) -> Sequence[Row]:
        return [[colour] for colour in sorted(self.colours)]

    def merge(self, sender: str, rows: Iterable[Row]) -> None:
        self.colours.update(colour for (colour,) in rows)

    def drop_expired(self) -> None:
        """Do nothing; colours don't expire."""


def _without(hosts: Sequence[str], own_host: str) -> list[str]:
    return [host for host in hosts if host != own_host]


class GossipTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock(self)
        self.rng = random.Random(5)
        self.members: dict[str, Members] = {}
        self.gossips: dict[str, Gossip] = {}
        self.lost: Callable[[str, str], bool] = lambda sender, receiver: False

    def start(self, count: int, seeds: int = 3, first: int = 0) -> None:
        """Start gateways that know only some others."""
        hosts = [f"10.0.{number // 250}.{number % 250}" for number in range(first, first + count)]
        seed_hosts = [f"10.0.0.{number}" for number in range(seeds)]
        for host in hosts:
            self.members[host] = Members(host)
            self.gossips[host] = Gossip(
                self.members[host],
                functools.partial(self.send, host),
                functools.partial(_without, seed_hosts, host),
                self.rng,
            )

    def send(self, sender: str, message: ExchangeMessage, receiver: str) -> None:
        datagram = messages.encode(message)
        self.assertLessEqual(len(datagram), MAX_DATAGRAM_BYTES)
        decoded = messages.decode(datagram).unwrap()
        assert isinstance(decoded, News)
        if receiver in self.gossips and not self.lost(sender, receiver):
            self.gossips[receiver].receive(decoded, sender)

    def run_for(self, seconds: float) -> None:
        for _ in range(int(seconds / 0.25)):
            for gossip in tuple(self.gossips.values()):
                gossip.run_if_due()
            self.clock.advance(0.25)

    def counts(self) -> set[int]:
        return {members.count for members in self.members.values()}

    @parameterized.expand([("few", 3, 3.0), ("as_today", 31, 6.0), ("many", 200, SETTLING_S)])
    def test_all_gateways_become_known_without_sides(
        self, _: str, count: int, seconds: float
    ) -> None:
        self.start(count)
        self.run_for(seconds)
        self.assertEqual({count}, self.counts())

    def test_a_gateway_that_joins_becomes_known_to_all(self) -> None:
        self.start(31)
        self.run_for(6.0)
        self.start(1, first=31)
        self.run_for(8.0)
        self.assertEqual({32}, self.counts())

    def test_lost_datagrams_only_delay_it(self) -> None:
        self.lost = lambda sender, receiver: self.rng.random() < 0.3
        self.start(31)
        self.run_for(12.0)
        self.assertEqual({31}, self.counts())

    def test_gateways_that_are_cut_off_stay_known_and_those_that_have_ended_are_dropped(
        self,
    ) -> None:
        self.start(8)
        self.run_for(6.0)
        for host in ("10.0.0.6", "10.0.0.7"):
            del self.gossips[host], self.members[host]
        self.run_for(MEMORY_S - 10.0)
        self.assertEqual({8}, self.counts())
        self.run_for(25.0)
        self.assertEqual({6}, self.counts())

    def test_a_kind_of_its_own_spreads_with_one_module_and_its_registration(self) -> None:
        self.start(6)
        kinds = {host: Colours(host[-1]) for host in self.gossips}
        for host, kind in kinds.items():
            self.gossips[host].add(kind)
        self.run_for(6.0)
        self.assertEqual(
            {frozenset("012345")}, {frozenset(kind.colours) for kind in kinds.values()}
        )

    def test_a_kind_that_this_build_does_not_know_is_ignored(self) -> None:
        self.start(2)
        self.gossips["10.0.0.0"].receive(
            News({"shapes": [[1]], "gateways": [["10.9.9.9", 5]]}, asks=False), "10.0.0.1"
        )
        self.assertEqual(3, self.members["10.0.0.0"].count)

    @parameterized.expand(
        [
            ("no_address", ["north", 5]),
            ("negative_age", ["10.0.0.9", -5]),
            ("too_short", ["10.0.0.9"]),
            ("no_list", 7),
        ]
    )
    def test_a_malformed_record_ends_nothing(self, _: str, row: Row) -> None:
        self.start(1)
        self.gossips["10.0.0.0"].receive(News({"gateways": [row]}, asks=True), "10.0.0.1")
        self.assertEqual(2, self.members["10.0.0.0"].count)


class MembersTest(unittest.TestCase):
    def test_memory_is_bounded(self) -> None:
        clock = FakeClock(self)
        members = Members("10.0.0.1")
        for first in range(0, MAX_MEMBERS * 2, 64):
            numbers = range(first, first + 64)
            members.merge(
                "10.0.0.2", [[f"10.{n >> 12}.{n >> 6 & 63}.{n & 63}", 1] for n in numbers]
            )
            clock.advance(0.01)
        self.assertLessEqual(members.count, MAX_MEMBERS + 1)
        members.merge("10.0.0.2", [[f"10.9.9.{number}", 1] for number in range(250)])
        self.assertLessEqual(sum(host.startswith("10.9.9.") for host in members.hosts), MAX_ROWS)

    def test_hearsay_makes_no_gateway_seem_alive_for_longer(self) -> None:
        clock = FakeClock(self)
        first, second = Members("10.0.0.1"), Members("10.0.0.2")
        first.record_received("10.0.0.3")
        for _ in range(int(MEMORY_S) + 5):
            for teller, told in ((first, second), (second, first)):
                told.merge("10.0.0.9", teller.sample(random.Random(1), MAX_ROWS))
            clock.advance(1.0)
        for members in (first, second):
            members.drop_expired()
            self.assertNotIn("10.0.0.3", members.hosts)


class GatewayCountTest(unittest.TestCase):
    @parameterized.expand(
        [
            # counts with the seconds after each, largest, settled
            ("nothing_known", [], 0, 0),
            ("just_known", [(4, 1.0)], 4, 0),
            ("known", [(4, SETTLING_S)], 4, 4),
            ("fewer_for_a_moment", [(4, 20.0), (1, 2.0)], 4, 4),
            ("fewer_for_long", [(4, 20.0), *[(2, 10.0)] * 32], 2, 2),
            ("more", [(4, 20.0), (6, 0.0)], 6, 6),
            ("none_counted", [(4, 20.0), (0, 20.0)], 4, 4),
        ]
    )
    def test_the_largest_count_lately_holds(
        self, _: str, counts: list[tuple[int, float]], largest: int, settled: int
    ) -> None:
        clock = FakeClock(self)
        gateway_count = GatewayCount()
        for count, seconds in counts:
            gateway_count.record(count)
            clock.advance(seconds)
        self.assertEqual((largest, settled), (gateway_count.largest, gateway_count.settled))


class ServiceRetryBudgetTest(unittest.TestCase):
    """One gateway's bucket of tokens."""

    def setUp(self) -> None:
        self.clock = FakeClock(self)

    def budget(self, age_s: float, gateways: int = 1, slack: float = 100.0) -> ServiceRetryBudget:
        started_at = self.clock.now
        self.clock.advance(age_s)
        budget = ServiceRetryBudget(0.2, slack, _WINDOW_S, started_at)
        budget.set_gateways(gateways)
        return budget

    @parameterized.expand(
        [
            # age of the process in seconds, gateways, requests, tokens
            ("just_started", 0.0, 1, 0, 0.0),
            ("after_some_requests", 0.0, 1, 10, 2.0),
            ("a_window_later", _WINDOW_S, 1, 0, 100 * BURST_SHARE),
            ("one_of_many", _WINDOW_S, 20, 0, 5 * BURST_SHARE),
            ("no_more_than_it_holds", _WINDOW_S, 20, 100, 5 * BURST_SHARE),
            ("number_of_gateways_not_known", _WINDOW_S, 0, 100, 1.0),
        ]
    )
    def test_tokens(
        self, _: str, age_s: float, gateways: int, requests: int, expected: float
    ) -> None:
        budget = self.budget(age_s, gateways)
        for _number in range(requests):
            budget.record_request()
        self.assertAlmostEqual(expected, budget.tokens)

    def test_what_was_spent_comes_back_in_time(self) -> None:
        budget = self.budget(_WINDOW_S, gateways=10)
        spent = sum(budget.try_spend() for _ in range(50))
        self.assertEqual(int(10 * BURST_SHARE), spent)
        self.clock.advance(_WINDOW_S)
        self.assertEqual(2, sum(budget.try_spend() for _ in range(50)))

    def test_tokens_that_are_lent_are_gone(self) -> None:
        budget = self.budget(_WINDOW_S, gateways=50)
        before = budget.tokens
        self.assertAlmostEqual(0.4, budget.lend(0.4))
        self.assertAlmostEqual(before - 0.4, budget.tokens)
        self.assertAlmostEqual(before - 0.4, budget.lend(9.0))
        self.assertEqual(0.0, budget.lend(1.0))

    def test_borrowed_tokens_that_are_not_enough_are_kept_as_far_as_they_fit(self) -> None:
        budget = self.budget(0.0, gateways=70, slack=100.0)
        self.assertFalse(budget.try_spend(0.9))
        budget.keep(0.9)
        self.assertAlmostEqual(0.9, budget.tokens)
        budget.keep(5.0)
        self.assertAlmostEqual(budget.capacity, budget.tokens)


class LoanTest(unittest.IsolatedAsyncioTestCase):
    """Loans between budgets, whose messages the test delivers or loses."""

    async def asyncSetUp(self) -> None:
        self.clock = FakeClock(self)
        self.sent: list[tuple[ExchangeMessage, str]] = []
        self.lose: type[ExchangeMessage] | None = None
        self.budgets = {host: self.start(host) for host in ("a", "b")}

    def start(self, host: str) -> RetryBudgets:
        """Create the budgets of a gateway that has run for long."""

        def send(message: ExchangeMessage, receiver: str) -> None:
            self.sent.append((message, receiver))
            if self.lose is not None and isinstance(message, self.lose):
                return
            other = self.budgets[receiver]
            if isinstance(message, LoanRequest):
                other.lend(message, host)
            elif isinstance(message, Loan):
                other.receive(message, host)

        budgets = RetryBudgets(
            lambda: BudgetLimits(0.2, 20.0, _WINDOW_S),
            lambda: 5,
            lambda: [other for other in self.budgets if other != host],
            lambda service: service == "fleet",
            send,
            random.Random(3),
        )
        budgets._started_at -= _WINDOW_S
        return budgets

    async def spend(self, host: str, service: str = "fleet") -> int:
        """Spend until nothing is left; return how many retries were allowed."""
        spent = 0
        while await self.budgets[host].try_spend(service):
            spent += 1
        return spent

    async def test_a_gateway_uses_what_another_one_does_not_need(self) -> None:
        each = 20.0 * BURST_SHARE / 5
        self.assertEqual(int(2 * each), await self.spend("a"))
        self.assertEqual(0, await self.spend("b"))

    async def test_a_gateway_that_needs_its_budget_keeps_a_retry(self) -> None:
        self.assertTrue(await self.budgets["b"].try_spend("fleet"))
        await self.spend("a")
        self.assertTrue(await self.budgets["b"].try_spend("fleet"))

    @parameterized.expand([("request", LoanRequest), ("response", Loan)])
    async def test_lost_messages_allow_no_more(self, _: str, lost: type[ExchangeMessage]) -> None:
        self.lose = lost
        each = 20.0 * BURST_SHARE / 5
        spent = await self.spend("a")
        self.assertEqual(int(each), spent)
        self.lose = None
        self.assertLessEqual(spent + await self.spend("b"), int(2 * each))

    async def test_repeated_and_foreign_responses_allow_no_more(self) -> None:
        spent = await self.spend("a")
        loans = [(item, receiver) for item, receiver in self.sent if isinstance(item, Loan)]
        for loan, receiver in loans:
            self.budgets[receiver].receive(loan, "b")
            self.budgets[receiver].receive(Loan(99, 50.0), "b")
        self.assertEqual(0, await self.spend("a"))
        self.assertEqual(int(40.0 * BURST_SHARE / 5), spent)

    async def test_a_gateway_without_anything_left_is_not_asked_again_at_once(self) -> None:
        await self.spend("a")
        await self.spend("a")
        self.sent.clear()
        for _ in range(20):
            self.assertFalse(await self.budgets["a"].try_spend("fleet"))
        self.assertEqual([], self.sent)

    async def test_services_that_are_not_configured_have_no_budget_to_lend(self) -> None:
        self.budgets["b"].lend(LoanRequest(1, "unknown", 1.0), "a")
        self.assertEqual([(Loan(1, 0.0), "a")], self.sent)
        self.assertEqual({}, dict(self.budgets["b"].budgets))


class GatewaysWithoutSidesTest(GatewayFleetTestCase):
    async def test_gateways_count_each_other_and_lend_retries(self) -> None:
        for _ in range(3):
            await self.add_gateway()
        await until(lambda: all(gateway.pages.dump()["gateways"] == 3 for gateway in self.gateways))
        budgets = [gateway.retry_budgets for gateway in self.gateways]
        own = int(budgets[0].budgets["ledger"].tokens) if budgets[0].budgets else 0
        spent = 0
        async with asyncio.timeout(20):
            while await budgets[0].try_spend("ledger"):
                spent += 1
        self.assertGreater(spent, own)
        self.assertEqual(0, int(budgets[1].budgets["ledger"].tokens))

    async def test_builds_without_the_exchange_drop_its_messages(self) -> None:
        datagram = messages.encode(News({"gateways": [["10.0.0.3", 5]]}, asks=True))
        self.assertFalse(is_successful(side_messages.decode(datagram)))
        client = SideAdmissionClient(1, mock.Mock(), mock.Mock())
        client.datagram_received(datagram, ("127.0.0.2", 1))
