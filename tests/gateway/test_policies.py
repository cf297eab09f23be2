"""A gateway's policies: placement, lanes, retries, log sampling."""

import dataclasses
import random
import unittest
from collections import Counter
from typing import Any

from parameterized import parameterized

from pearshed._internal.engine_side.traffic_table import RouteTraffic
from pearshed._internal.gateway.endpoints import (
    UNRESPONSIVE_AFTER_S,
    Endpoint,
    EndpointTable,
)
from pearshed._internal.gateway.header_codec import EndpointLoadReport
from pearshed._internal.gateway.lane_allocator import (
    FLEET_TRAFFIC_TTL_S,
    MAX_SHORT_LANE_SHARE,
    MIN_REQUESTS,
    LaneAllocator,
)
from pearshed._internal.gateway.leaving_endpoints import MAX_RUNS, LeavingEndpoints
from pearshed._internal.gateway.placement import LeastLoadPlacement, PromptPlacement
from pearshed._internal.gateway.request_logger import MAX_LINES_PER_S, RequestLogger
from pearshed._internal.gateway.routed_call import RoutedCall
from pearshed._internal.models.routing import (
    EndpointState,
)
from pearshed._internal.utils.addresses import Address
from tests.lib.fakes import FakeClock
from tests.lib.routed_calls import call, entry, route


class PlacementTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock(self)
        self.endpoints = [Endpoint(entry(number)) for number in range(6)]

    def prompt_placement(self) -> PromptPlacement:
        return PromptPlacement("olympia", random.Random(1))

    def choose(self, placement: Any, request: RoutedCall) -> Endpoint:
        decision = placement.choose(request, self.endpoints)
        assert decision is not None
        endpoint: Endpoint = decision.endpoint
        return endpoint

    def test_all_gateways_send_a_shared_prefix_to_one_engine(self) -> None:
        engines = {
            self.choose(self.prompt_placement(), call(number, "rota-history", 13_000))
            for number in range(12)
        }
        self.assertEqual(1, len(engines))

    def test_short_shared_prefixes_bind_no_request_to_an_engine(self) -> None:
        placement = self.prompt_placement()
        for number in range(MIN_REQUESTS):
            placement.record_request(call(number, "greeting", 200))
        counts = Counter(
            self.choose(placement, call(number, "greeting", 200)) for number in range(600)
        )
        self.assertEqual(6, len(counts))
        self.assertLess(max(counts.values()), 2 * 600 / 6)

    def test_prompts_without_a_long_shared_prefix_prefer_engines_nearby(self) -> None:
        self.endpoints = [
            Endpoint(entry(number, "olympia" if number < 2 else "tacoma")) for number in range(6)
        ]
        placement = self.prompt_placement()
        for number in range(MIN_REQUESTS):
            placement.record_request(call(number, "greeting", 200))
        chosen = {self.choose(placement, call(number, "greeting", 200)) for number in range(100)}
        self.assertEqual(set(self.endpoints[:2]), chosen)
        for endpoint in self.endpoints[:2]:
            for _ in range(5):
                endpoint.start_request(1)
        chosen = {self.choose(placement, call(number, "greeting", 200)) for number in range(100)}
        self.assertEqual(set(self.endpoints[2:]), chosen)

    def test_an_engine_that_gets_a_prefix_copies_it_from_the_previous_engine(self) -> None:
        placement = self.prompt_placement()
        request = call(1, "rota-history", 13_000)
        first_engine = self.choose(placement, request)
        placement.record_prefill(request, first_engine)
        others = [endpoint for endpoint in self.endpoints if endpoint is not first_engine]
        for _ in range(100):
            first_engine.start_request(1)
        decision = placement.choose(call(2, "rota-history", 13_000), self.endpoints)
        assert decision is not None
        self.assertIn(decision.endpoint, others)
        self.assertIs(first_engine, decision.fetch_from)

    def test_a_prefix_is_copied_from_an_engine_that_has_refused_the_request(self) -> None:
        placement = self.prompt_placement()
        request = call(1, "rota-history", 13_000)
        first_engine = self.choose(placement, request)
        placement.record_prefill(request, first_engine)
        others = [endpoint for endpoint in self.endpoints if endpoint is not first_engine]
        decision = placement.choose(call(2, "rota-history", 13_000), others)
        assert decision is not None
        self.assertIs(first_engine, decision.fetch_from)

    @parameterized.expand(
        [("retired", Endpoint.retire), ("unreachable", Endpoint.record_unreachable)]
    )
    def test_nothing_is_copied_from_an_unavailable_engine(self, _: str, take_down: Any) -> None:
        placement = self.prompt_placement()
        request = call(1, "rota-history", 13_000)
        first_engine = self.choose(placement, request)
        placement.record_prefill(request, first_engine)
        take_down(first_engine)
        others = [endpoint for endpoint in self.endpoints if endpoint is not first_engine]
        decision = placement.choose(call(2, "rota-history", 13_000), others)
        assert decision is not None
        self.assertIsNone(decision.fetch_from)

    @parameterized.expand([("same_version", "v1", True), ("other_version", "v2", False)])
    def test_a_prefix_is_copied_only_between_engines_of_one_software_version(
        self, _: str, version: str, copied: bool
    ) -> None:
        placement = self.prompt_placement()
        request = call(1, "rota-history", 13_000)
        first_engine = self.choose(placement, request)
        placement.record_prefill(request, first_engine)
        others = [endpoint for endpoint in self.endpoints if endpoint is not first_engine]
        for endpoint in others:
            endpoint.update(dataclasses.replace(endpoint.entry, software_version=version))
        decision = placement.choose(call(2, "rota-history", 13_000), others)
        assert decision is not None
        self.assertEqual(first_engine if copied else None, decision.fetch_from)

    @parameterized.expand(
        [
            ("unresponsive", lambda endpoint: endpoint.start_request(1)),
            ("unreachable", lambda endpoint: endpoint.record_unreachable()),
            ("failing", lambda endpoint: [endpoint.record_failure() for _ in range(8)]),
        ]
    )
    def test_an_unhealthy_endpoint_is_avoided(self, _: str, degrade: Any) -> None:
        unhealthy = self.endpoints[0]
        degrade(unhealthy)
        self.clock.advance(UNRESPONSIVE_AFTER_S + 0.01 if unhealthy.in_flight else 0.0)
        placement = LeastLoadPlacement("olympia", random.Random(1))
        counts = Counter(self.choose(placement, call(number)) for number in range(200))
        self.assertLess(counts[unhealthy], 10)

    def test_an_ejected_endpoint_is_tried_again_later(self) -> None:
        for endpoint in self.endpoints[1:]:
            endpoint.start_request(1)
            endpoint.start_request(1)
        ejected = self.endpoints[0]
        ejected.record_unreachable()
        placement = LeastLoadPlacement("olympia", random.Random(1))
        self.assertIsNot(ejected, self.choose(placement, call(1)))
        self.clock.advance(0.6)
        self.assertIs(ejected, self.choose(placement, call(2)))

    def test_reported_load_of_other_callers_counts_and_decays(self) -> None:
        endpoint = self.endpoints[0]
        endpoint.start_request(1)
        endpoint.record_data(EndpointLoadReport(5, 3, 6))
        self.assertEqual(7.0, endpoint.other_callers_load(self.clock.now))
        self.assertEqual(0.0, endpoint.other_callers_load(self.clock.now + 10))

    def test_endpoints_nearby_are_preferred_at_low_load(self) -> None:
        self.endpoints = [Endpoint(entry(1, "tacoma")), Endpoint(entry(2, "olympia"))]
        placement = LeastLoadPlacement("olympia", random.Random(1))
        self.assertIs(self.endpoints[1], self.choose(placement, call(1)))
        for _ in range(3):
            self.endpoints[1].start_request(1)
        self.assertIs(self.endpoints[0], self.choose(placement, call(2)))


class EndpointTableTest(unittest.TestCase):
    def test_only_ready_endpoints_get_requests(self) -> None:
        FakeClock(self)
        table = EndpointTable()
        table.update({"i-1": entry(1), "i-2": entry(2)})
        first, second = table.of_service("fleet")
        table.update({"i-1": entry(1, state=EndpointState.DRAINING), "i-2": entry(2)})
        self.assertEqual((second,), table.of_service("fleet"))
        table.update({"i-1": entry(1, started_at_ms=5)})
        self.assertFalse(second.accepting)
        (restarted,) = table.of_service("fleet")
        self.assertIsNot(first, restarted)
        restarted.mark_misdirected()
        self.assertEqual((), table.of_service("fleet"))


class LeavingEndpointsTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("same_run", {}, True),
            ("listed_as_draining", {"state": EndpointState.DRAINING}, True),
            ("restarted", {"started_at_ms": 5}, False),
            ("moved", {"address": Address("10.9.9.9", 80)}, False),
            ("other_at_the_address", {"identity": "i-other"}, False),
        ]
    )
    def test_an_announcement_concerns_one_run(
        self, _: str, changes: dict[str, Any], leaving: bool
    ) -> None:
        endpoints = LeavingEndpoints()
        self.assertTrue(endpoints.add(entry(1)))
        self.assertFalse(endpoints.add(entry(1)))
        self.assertEqual(leaving, endpoints.is_leaving(dataclasses.replace(entry(1), **changes)))
        self.assertEqual(1, endpoints.announcements)

    def test_the_oldest_runs_are_forgotten(self) -> None:
        endpoints = LeavingEndpoints()
        for number in range(MAX_RUNS + 1):
            endpoints.add(entry(1, started_at_ms=number))
        self.assertFalse(endpoints.is_leaving(entry(1, started_at_ms=0)))
        self.assertTrue(endpoints.is_leaving(entry(1, started_at_ms=1)))

    def test_no_listing_brings_a_leaving_run_back(self) -> None:
        FakeClock(self)
        table = EndpointTable()
        table.update({"i-1": entry(1), "i-2": entry(2)})
        first, second = table.of_service("fleet")
        first.mark_leaving()
        self.assertEqual((second,), table.of_service("fleet"))
        for entries in ({"i-2": entry(2)}, {"i-1": entry(1), "i-2": entry(2)}):
            table.update(entries)
            self.assertEqual((second,), table.of_service("fleet"))
        table.update({"i-1": entry(1, started_at_ms=5), "i-2": entry(2)})
        self.assertEqual(2, len(table.of_service("fleet")))


class LaneAllocatorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock(self)
        self.endpoints = [Endpoint(entry(number)) for number in range(10)]
        self.allocator = LaneAllocator()

    def record_second(self, short: int, long: int) -> None:
        """Record one second of traffic."""
        for _ in range(short):
            self.allocator.record_request(route("short"), 1_400, 1_400.0)
        for _ in range(long):
            self.allocator.record_request(route("long"), 17_000, 4_000.0)
        self.clock.advance(1.0)

    def select_lanes(self) -> tuple[set[Endpoint], set[Endpoint]]:
        short = self.allocator.select(route("short"), 1_400, self.endpoints)
        long = self.allocator.select(route("long"), 17_000, self.endpoints)
        return set(short), set(long)

    def test_prompts_are_divided_before_traffic_is_known(self) -> None:
        short, long = self.select_lanes()
        self.assertEqual((2, 8, set()), (len(short), len(long), short & long))

    def test_lanes_follow_the_traffic(self) -> None:
        sizes = []
        for short_per_s, long_per_s in ((20, 20), (100, 5)):
            for _ in range(30):
                self.record_second(short_per_s, long_per_s)
            short, long = self.select_lanes()
            self.assertEqual((set(self.endpoints), set()), (short | long, short & long))
            sizes.append(len(short))
        self.assertEqual([2, 4], sizes)

    def test_a_short_lane_has_no_more_engines_than_its_prompts_need(self) -> None:
        self.endpoints = [Endpoint(entry(number)) for number in range(20)]
        for _ in range(30):
            self.record_second(50, 100)
        short, _ = self.select_lanes()
        load = 50 * 1_400.0 / len(short)
        self.assertGreater(load, 20_000.0)
        self.assertLess(load, 50_000.0)

    def test_a_full_lane_overflows_into_lanes_of_longer_prompts_only(self) -> None:
        for _ in range(30):
            self.record_second(20, 20)
        short, long = self.select_lanes()
        short_overflow = self.allocator.select(route("short"), 1_400, self.endpoints, overflow=True)
        self.assertEqual(short | long, set(short_overflow))
        long_overflow = self.allocator.select(route("long"), 17_000, self.endpoints, overflow=True)
        self.assertEqual(long, set(long_overflow))

    def test_a_small_change_of_traffic_keeps_the_lanes(self) -> None:
        for _ in range(30):
            self.record_second(20, 20)
        before = self.select_lanes()
        for _ in range(30):
            self.record_second(22, 20)
        self.assertEqual(before, self.select_lanes())

    @parameterized.expand([("few", 20, 1), ("a_third_over_one", 65, 2), ("twice", 95, 2)])
    def test_a_lane_of_a_small_fleet_grows_before_it_is_overloaded(
        self, _: str, short_per_s: int, engines: int
    ) -> None:
        self.endpoints = [Endpoint(entry(number)) for number in range(5)]
        for _second in range(30):
            self.record_second(short_per_s, 100)
        self.assertEqual(engines, len(self.select_lanes()[0]))

    def test_the_fleets_traffic_takes_precedence_over_a_gateways_own(self) -> None:
        for _ in range(30):
            self.record_second(20, 20)
        fleet = (
            RouteTraffic("short", 900.0, 1_400.0, 1_400.0),
            RouteTraffic("long", 50.0, 17_000.0, 4_000.0),
        )
        self.allocator.set_fleet_traffic(fleet)
        self.assertEqual(int(10 * MAX_SHORT_LANE_SHARE), len(self.select_lanes()[0]))
        self.clock.advance(FLEET_TRAFFIC_TTL_S + 0.1)
        self.assertEqual(2, len(self.select_lanes()[0]))

    def test_a_gateway_without_fresh_reports_does_not_shrink_the_lane_of_short_prompts(
        self,
    ) -> None:
        fleet = (
            RouteTraffic("short", 400.0, 1_400.0, 1_400.0),
            RouteTraffic("long", 870.0, 17_000.0, 4_000.0),
        )
        for _ in range(30):
            # A twentieth of the fleet's traffic.
            self.record_second(14, 30)
            self.allocator.set_fleet_traffic(fleet)
        before = self.select_lanes()
        for _ in range(int(FLEET_TRAFFIC_TTL_S) + 2):
            self.record_second(14, 30)
        self.assertEqual(before, self.select_lanes())

    def test_gateways_with_different_traffic_compute_the_same_lanes(self) -> None:
        fleet = (
            RouteTraffic("short", 100.0, 1_400.0, 1_400.0),
            RouteTraffic("long", 90.0, 17_000.0, 4_000.0),
        )
        lanes = []
        for short, long in ((9, 1), (1, 9)):
            self.allocator = LaneAllocator()
            for _ in range(30):
                self.record_second(short, long)
            self.allocator.set_fleet_traffic(fleet)
            lanes.append(self.select_lanes())
        self.assertEqual(lanes[0], lanes[1])

    def test_prompts_of_similar_size_share_a_lane(self) -> None:
        for _ in range(MIN_REQUESTS):
            self.allocator.record_request(route("a"), 9_000, 3_000.0)
            self.allocator.record_request(route("b"), 17_000, 4_000.0)
        self.assertEqual(
            self.endpoints, list(self.allocator.select(route("a"), 9_000, self.endpoints))
        )


class RequestLoggerTest(unittest.TestCase):
    def test_failures_are_always_logged_and_samples_are_complete(self) -> None:
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
