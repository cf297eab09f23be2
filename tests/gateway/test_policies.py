"""Decisions of a gateway: placement, lanes, repeats, log volume."""

import random
import unittest
from collections import Counter
from typing import Any

from parameterized import parameterized

from pearshed._internal.engine_side.traffic_table import RouteTraffic
from pearshed._internal.gateway.endpoints import Endpoint, EndpointTable
from pearshed._internal.gateway.header_codec import EndpointLoadReport, RequestMetadata
from pearshed._internal.gateway.lane_allocator import (
    FLEET_TRAFFIC_TTL_S,
    MAX_SHORT_LANE_SHARE,
    MIN_REQUESTS,
    LaneAllocator,
)
from pearshed._internal.gateway.placement import (
    UNRESPONSIVE_AFTER_S,
    LeastLoadPlacement,
    PromptPlacement,
)
from pearshed._internal.gateway.request_logger import MAX_LINES_PER_S, RequestLogger
from pearshed._internal.gateway.routed_call import RoutedCall
from pearshed._internal.gateway.service_retry_budget import USED_SHARE, ServiceRetryBudget
from pearshed._internal.http.messages import HttpRequest
from pearshed._internal.models.routing import (
    EndpointEntry,
    EndpointState,
    PromptPart,
    Route,
    RouteKind,
    ServiceShare,
)
from pearshed._internal.utils.addresses import Address
from tests.lib.fakes import FakeClock


def entry(number: int, data_centre: str = "olympia", **more: Any) -> EndpointEntry:
    """Make an endpoint's entry."""
    values: dict[str, Any] = {
        "identity": f"i-{number}",
        "service": "fleet",
        "address": Address("10.0.0.1", 1000 + number),
        "data_centre": data_centre,
        "slots": 64,
        "state": EndpointState.READY,
        "warmup_remaining_s": 0.0,
        "started_at_ms": 0,
        **more,
    }
    return EndpointEntry(**values)


def route(name: str) -> Route:
    """Make a streaming route."""
    shares = (ServiceShare("fleet", 1.0),)
    return Route(
        name, "h", "/", RouteKind.STREAMING, shares, 5000, 1000, 300, 2, 0, True, True, False
    )


def call(number: int, shared: str = "", shared_tokens: int = 0, name: str = "draft") -> RoutedCall:
    """Make a routed request with a prompt."""
    prompt: tuple[PromptPart, ...] = (PromptPart(f"own-{number}", 500),)
    if shared:
        prompt = (PromptPart(shared, shared_tokens), *prompt)
    tokens = sum(part.tokens for part in prompt)
    metadata = RequestMetadata(str(number), None, "", "", prompt, tokens, 100, 0, ())
    request = HttpRequest(b"POST", b"/", (), b"", True, True, 0.0)
    return RoutedCall(request, metadata, route(name), "fleet", "", 0, 1e12, 1)


class PlacementTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock(self)
        self.endpoints = [Endpoint(entry(number)) for number in range(6)]

    def prompt_placement(self) -> PromptPlacement:
        return PromptPlacement("olympia", random.Random(1))

    def chosen(self, placement: Any, one: RoutedCall) -> Endpoint:
        found = placement.choose(one, self.endpoints)
        assert found is not None
        endpoint: Endpoint = found.endpoint
        return endpoint

    def test_all_gateways_send_a_shared_part_to_one_engine(self) -> None:
        found = {
            self.chosen(self.prompt_placement(), call(number, "rota-history", 13_000))
            for number in range(12)
        }
        self.assertEqual(1, len(found))

    def test_short_shared_parts_tie_no_request_to_an_engine(self) -> None:
        placement = self.prompt_placement()
        for number in range(MIN_REQUESTS):
            placement.record_request(call(number, "greeting", 200))
        counts = Counter(
            self.chosen(placement, call(number, "greeting", 200)) for number in range(600)
        )
        self.assertEqual(6, len(counts))
        self.assertLess(max(counts.values()), 2 * 600 / 6)

    def test_prompts_without_a_long_shared_part_stay_near_while_engines_are_alike(self) -> None:
        self.endpoints = [
            Endpoint(entry(number, "olympia" if number < 2 else "tacoma")) for number in range(6)
        ]
        placement = self.prompt_placement()
        for number in range(MIN_REQUESTS):
            placement.record_request(call(number, "greeting", 200))
        chosen = {self.chosen(placement, call(number, "greeting", 200)) for number in range(100)}
        self.assertEqual(set(self.endpoints[:2]), chosen)
        for endpoint in self.endpoints[:2]:
            for _ in range(5):
                endpoint.start_request(1)
        chosen = {self.chosen(placement, call(number, "greeting", 200)) for number in range(100)}
        self.assertEqual(set(self.endpoints[2:]), chosen)

    def test_an_engine_that_takes_a_part_over_copies_it_from_its_reader(self) -> None:
        placement = self.prompt_placement()
        one = call(1, "rota-history", 13_000)
        home = self.chosen(placement, one)
        placement.record_prefill(one, home)
        others = [endpoint for endpoint in self.endpoints if endpoint is not home]
        for _ in range(100):
            home.start_request(1)
        moved = placement.choose(call(2, "rota-history", 13_000), self.endpoints)
        assert moved is not None
        self.assertIn(moved.endpoint, others)
        self.assertIs(home, moved.fetch_from)

    def test_a_part_is_copied_from_an_engine_that_has_refused_the_request(self) -> None:
        placement = self.prompt_placement()
        one = call(1, "rota-history", 13_000)
        home = self.chosen(placement, one)
        placement.record_prefill(one, home)
        others = [endpoint for endpoint in self.endpoints if endpoint is not home]
        moved = placement.choose(call(2, "rota-history", 13_000), others)
        assert moved is not None
        self.assertIs(home, moved.fetch_from)

    @parameterized.expand([("gone", Endpoint.retire), ("unreachable", Endpoint.record_unreachable)])
    def test_nothing_is_copied_from_an_engine_that_is_away(self, _: str, lose: Any) -> None:
        placement = self.prompt_placement()
        one = call(1, "rota-history", 13_000)
        home = self.chosen(placement, one)
        placement.record_prefill(one, home)
        lose(home)
        others = [endpoint for endpoint in self.endpoints if endpoint is not home]
        moved = placement.choose(call(2, "rota-history", 13_000), others)
        assert moved is not None
        self.assertIsNone(moved.fetch_from)

    @parameterized.expand(
        [
            ("silent", lambda one: one.start_request(1)),
            ("unreachable", lambda one: one.record_unreachable()),
            ("failing", lambda one: [one.record_failure() for _ in range(8)]),
        ]
    )
    def test_a_bad_endpoint_is_avoided(self, _: str, spoil: Any) -> None:
        bad = self.endpoints[0]
        spoil(bad)
        self.clock.advance(UNRESPONSIVE_AFTER_S + 0.01 if bad.in_flight else 0.0)
        placement = LeastLoadPlacement("olympia", random.Random(1))
        counts = Counter(self.chosen(placement, call(number)) for number in range(200))
        self.assertLess(counts[bad], 10)

    def test_an_ejected_endpoint_is_tried_again_later(self) -> None:
        for endpoint in self.endpoints[1:]:
            endpoint.start_request(1)
            endpoint.start_request(1)
        bad = self.endpoints[0]
        bad.record_unreachable()
        placement = LeastLoadPlacement("olympia", random.Random(1))
        self.assertIsNot(bad, self.chosen(placement, call(1)))
        self.clock.advance(0.6)
        self.assertIs(bad, self.chosen(placement, call(2)))

    def test_reported_load_of_others_counts_and_fades(self) -> None:
        endpoint = self.endpoints[0]
        endpoint.start_request(1)
        endpoint.record_data(EndpointLoadReport(5, 3, 6))
        self.assertEqual(7.0, endpoint.other_callers_load(self.clock.moment))
        self.assertEqual(0.0, endpoint.other_callers_load(self.clock.moment + 10))

    def test_near_endpoints_are_preferred_while_not_loaded(self) -> None:
        self.endpoints = [Endpoint(entry(1, "tacoma")), Endpoint(entry(2, "olympia"))]
        placement = LeastLoadPlacement("olympia", random.Random(1))
        self.assertIs(self.endpoints[1], self.chosen(placement, call(1)))
        for _ in range(3):
            self.endpoints[1].start_request(1)
        self.assertIs(self.endpoints[0], self.chosen(placement, call(2)))


class EndpointTableTest(unittest.TestCase):
    def test_what_may_get_requests(self) -> None:
        FakeClock(self)
        table = EndpointTable()
        table.update({"i-1": entry(1), "i-2": entry(2)})
        first, second = table.of_service("fleet")
        table.update({"i-1": entry(1, state=EndpointState.DRAINING), "i-2": entry(2)})
        self.assertEqual((second,), table.of_service("fleet"))
        table.update({"i-1": entry(1, started_at_ms=5)})
        self.assertFalse(second.accepting)
        (reborn,) = table.of_service("fleet")
        self.assertIsNot(first, reborn)
        reborn.mark_misdirected()
        self.assertEqual((), table.of_service("fleet"))


class LanesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock(self)
        self.endpoints = [Endpoint(entry(number)) for number in range(10)]
        self.allocator = LaneAllocator()

    def play(self, short: int, long: int) -> None:
        """Let a second of traffic pass."""
        for _ in range(short):
            self.allocator.record_request(route("short"), 1_400, 1_400.0)
        for _ in range(long):
            self.allocator.record_request(route("long"), 17_000, 4_000.0)
        self.clock.advance(1.0)

    def selected(self) -> tuple[set[Endpoint], set[Endpoint]]:
        short = self.allocator.select(route("short"), 1_400, self.endpoints)
        long = self.allocator.select(route("long"), 17_000, self.endpoints)
        return set(short), set(long)

    def test_prompts_are_divided_before_traffic_is_known(self) -> None:
        short, long = self.selected()
        self.assertEqual((2, 8, set()), (len(short), len(long), short & long))

    def test_lanes_follow_the_traffic(self) -> None:
        sizes = []
        for short_per_s, long_per_s in ((20, 20), (100, 5)):
            for _ in range(30):
                self.play(short_per_s, long_per_s)
            found, rest = self.selected()
            self.assertEqual((set(self.endpoints), set()), (found | rest, found & rest))
            sizes.append(len(found))
        self.assertEqual([2, 4], sizes)

    def test_a_short_lane_holds_no_more_engines_than_its_prompts_need(self) -> None:
        self.endpoints = [Endpoint(entry(number)) for number in range(20)]
        for _ in range(30):
            self.play(50, 100)
        short, _ = self.selected()
        load = 50 * 1_400.0 / len(short)
        self.assertGreater(load, 20_000.0)
        self.assertLess(load, 50_000.0)

    def test_a_full_lane_overflows_into_lanes_of_longer_prompts_only(self) -> None:
        for _ in range(30):
            self.play(20, 20)
        short, long = self.selected()
        wide = self.allocator.select(route("short"), 1_400, self.endpoints, overflow=True)
        self.assertEqual(short | long, set(wide))
        narrow = self.allocator.select(route("long"), 17_000, self.endpoints, overflow=True)
        self.assertEqual(long, set(narrow))

    def test_a_small_change_of_traffic_moves_nothing(self) -> None:
        for _ in range(30):
            self.play(20, 20)
        before = self.selected()
        for _ in range(30):
            self.play(22, 20)
        self.assertEqual(before, self.selected())

    @parameterized.expand([("few", 20, 1), ("a_third_over_one", 65, 2), ("twice", 95, 2)])
    def test_a_small_fleet_has_an_engine_more_before_the_lane_is_overloaded(
        self, _: str, short_per_s: int, engines: int
    ) -> None:
        self.endpoints = [Endpoint(entry(number)) for number in range(5)]
        for _second in range(30):
            self.play(short_per_s, 100)
        self.assertEqual(engines, len(self.selected()[0]))

    def test_the_fleets_traffic_goes_before_a_gateways_own(self) -> None:
        for _ in range(30):
            self.play(20, 20)
        fleet = (
            RouteTraffic("short", 900.0, 1_400.0, 1_400.0),
            RouteTraffic("long", 50.0, 17_000.0, 4_000.0),
        )
        self.allocator.set_fleet_traffic(fleet)
        self.assertEqual(int(10 * MAX_SHORT_LANE_SHARE), len(self.selected()[0]))
        self.clock.advance(FLEET_TRAFFIC_TTL_S + 0.1)
        self.assertEqual(2, len(self.selected()[0]))

    def test_gateways_with_unlike_traffic_divide_the_engines_alike(self) -> None:
        fleet = (
            RouteTraffic("short", 100.0, 1_400.0, 1_400.0),
            RouteTraffic("long", 90.0, 17_000.0, 4_000.0),
        )
        found = []
        for short, long in ((9, 1), (1, 9)):
            self.allocator = LaneAllocator()
            for _ in range(30):
                self.play(short, long)
            self.allocator.set_fleet_traffic(fleet)
            found.append(self.selected())
        self.assertEqual(found[0], found[1])

    def test_prompts_of_like_size_share_a_lane(self) -> None:
        for _ in range(MIN_REQUESTS):
            self.allocator.record_request(route("a"), 9_000, 3_000.0)
            self.allocator.record_request(route("b"), 17_000, 4_000.0)
        self.assertEqual(
            self.endpoints, list(self.allocator.select(route("a"), 9_000, self.endpoints))
        )


class RepeatBudgetTest(unittest.TestCase):
    @parameterized.expand([("alone", 1), ("many", 20)])
    def test_all_gateways_together_stay_within_the_bound(self, _: str, nodes: int) -> None:
        clock = FakeClock(self)
        budgets = [ServiceRetryBudget(0.2, 100, 10.0) for _ in range(nodes)]
        moments: list[float] = []
        for _step in range(400):
            for budget in budgets:
                budget.set_gateways(nodes)
                budget.record_request()
                if budget.try_spend():
                    moments.append(clock.moment)
            clock.advance(0.1)
        per_window = 100 * nodes
        worst = max(
            sum(start <= moment < start + 10 for moment in moments) for start in set(moments)
        )
        self.assertLessEqual(worst, 0.2 * per_window + 100)
        self.assertGreater(worst, 0.2 * per_window * USED_SHARE * 0.8)


class RequestLinesTest(unittest.TestCase):
    def test_failures_are_always_written_and_samples_are_whole(self) -> None:
        FakeClock(self)
        request_logger = RequestLogger(lambda: {"version": 3})
        with self.assertLogs("absl", "INFO") as logs:
            for number in range(2000):
                request_logger.write("request.admission", str(number), failed=False)
                request_logger.write("request.attempt", str(number), failed=False)
                request_logger.write("request.refused", str(number), failed=True)
        written = Counter(record.getMessage() for record in logs.records)
        self.assertEqual(2000, written["request.refused"])
        self.assertLess(written["request.attempt"], MAX_LINES_PER_S + 200)
        sampled = [
            record.fields["request"]  # type: ignore[attr-defined]
            for record in logs.records[MAX_LINES_PER_S * 2 :]
            if record.getMessage() != "request.refused"
        ]
        self.assertEqual({2}, set(Counter(sampled).values()))
        self.assertGreater(request_logger.sampled_out, 3000)
