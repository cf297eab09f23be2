"""Admission to an engine, also when requests arrive faster than it can prefill their prompts."""

import dataclasses
import unittest
from typing import Any

from parameterized import parameterized
from returns.pipeline import is_successful

from pearshed._internal.decisions.engine_load import EngineLoad, Quote
from pearshed._internal.decisions.terms import RequestTerms
from pearshed._internal.engine_side import messages
from pearshed._internal.engine_side.admission_queue import (
    GRANT_TTL_S,
    PREFILL_BACKLOG_S,
    RESERVATION_TTL_S,
)
from pearshed._internal.engine_side.messages import (
    AdmissionGranted,
    AdmissionQueued,
    AdmissionRefused,
    AdmissionRequest,
    FleetTraffic,
    Message,
    OriginReport,
    OriginRequest,
    OriginResponse,
    PromptPrefilled,
    RequestFinished,
    TrafficReport,
)
from pearshed._internal.engine_side.monitor import (
    CacheChange,
    CacheUpdate,
    EngineReport,
    RunningRequest,
)
from pearshed._internal.engine_side.prefill_speed import ASSUMED_TOKENS_PER_S
from pearshed._internal.engine_side.prompt_cache import PromptCache
from pearshed._internal.engine_side.traffic_table import (
    REPORT_TTL_S,
    RouteTraffic,
    TrafficTable,
)
from pearshed._internal.models.routing import PromptPart
from pearshed._internal.models.stream_origin import StreamOrigin
from tests.lib.admission import QueueTestCase, admission_request
from tests.lib.fakes import FakeClock

TERMS = RequestTerms(-120, 3_400, "acme", returned=True)
QUOTE = Quote(180, 2_890, EngineLoad(52_000, 9_000, 31_000, 4, 12, 210_000, 130))
BACKLOG_TOKENS = int(ASSUMED_TOKENS_PER_S * PREFILL_BACKLOG_S)


class AdmissionQueueTest(QueueTestCase):
    def test_an_idle_engine_is_granted_a_prompt_of_any_size(self) -> None:
        self.submit(admission_request("huge", 50_000))
        self.assertEqual(["huge"], self.granted)

    def test_grants_stop_at_the_prefill_backlog(self) -> None:
        half = BACKLOG_TOKENS // 2
        self.submit(*(admission_request(name, half) for name in ("a", "b", "c", "d")))
        self.assertEqual(["a", "b"], self.granted)
        self.prefill("a", half / ASSUMED_TOKENS_PER_S)
        self.assertEqual(["a", "b", "c"], self.granted)

    def test_order_is_by_rank_and_cached_prefixes_first_within_a_rank(self) -> None:
        self.cache.record_prefill(admission_request("x", 1, shared_prefix="known").prompt)
        self.submit(
            admission_request("running", BACKLOG_TOKENS),
            admission_request("uncached", 200, rank=2, shared_prefix="new"),
            admission_request("cached", 200, rank=2, shared_prefix="known"),
            admission_request("urgent", 200, rank=0, shared_prefix="other"),
        )
        self.prefill("running", 0.1)
        self.prefill("urgent", 0.2)
        self.prefill("cached", 0.1)
        self.assertEqual(["running", "urgent", "cached", "uncached"], self.granted)

    def test_large_requests_are_not_delayed_by_their_size(self) -> None:
        self.submit(
            admission_request("running", BACKLOG_TOKENS),
            admission_request("large", 30_000, budget_ms=5000),
        )
        self.clock.advance(0.1)
        self.submit(admission_request("small", 100, budget_ms=5000))
        self.prefill("running", 0.1)
        self.assertEqual(["running", "large"], self.granted)

    def test_grants_are_limited_to_the_slots_of_the_engine(self) -> None:
        requests = [
            dataclasses.replace(admission_request(name, 10), slots=2) for name in ("a", "b", "c")
        ]
        self.submit(*requests)
        self.assertEqual((["a", "b"], 1), (self.granted, self.queue.waiting_count))
        self.queue.finish("a/1")
        self.assertEqual(["a", "b", "c"], self.granted)

    def test_a_request_that_cant_start_in_time_is_refused_at_once(self) -> None:
        self.submit(
            admission_request("running", 40_000), admission_request("hopeless", 100, budget_ms=300)
        )
        self.assertEqual((["running"], ["hopeless"]), (self.granted, self.refused))

    def test_a_waiting_request_is_refused_when_its_budget_expires(self) -> None:
        self.submit(
            admission_request("running", 10_000), admission_request("waiting", 100, budget_ms=400)
        )
        self.clock.advance(0.5)
        self.queue.process()
        self.assertEqual(["waiting"], self.refused)

    def test_a_reservation_that_is_not_renewed_is_dropped(self) -> None:
        self.submit(
            admission_request("running", 20_000), admission_request("orphan", 100, budget_ms=5000)
        )
        self.clock.advance(RESERVATION_TTL_S + 0.1)
        self.prefill("running", 0.0)
        self.assertEqual(
            (["running"], [], 0), (self.granted, self.refused, self.queue.waiting_count)
        )

    def test_a_repeated_request_changes_nothing(self) -> None:
        self.submit(
            admission_request("a", BACKLOG_TOKENS),
            admission_request("a", BACKLOG_TOKENS),
            admission_request("b", 10),
            admission_request("b", 10),
        )
        self.assertEqual((["a"], 1), (self.granted, self.queue.waiting_count))

    def test_a_finished_request_makes_room_for_the_next(self) -> None:
        self.submit(admission_request("a", BACKLOG_TOKENS), admission_request("b", 100))
        self.queue.finish("a/1")
        self.assertEqual(["a", "b"], self.granted)

    def report(
        self, used_tokens: int, runs: tuple[RunningRequest, ...] = (), waiting: int = 0
    ) -> None:
        self.queue.apply_report(EngineReport(len(runs), waiting, used_tokens, 100_000, runs))

    def test_engine_memory_is_not_overcommitted(self) -> None:
        self.report(85_000, (RunningRequest("other", 85_000, 3),))
        self.submit(admission_request("large", 8_000, budget_ms=5000))
        self.assertEqual([], self.granted)
        self.report(50_000, (RunningRequest("other", 50_000, 3),))
        self.assertEqual(["large"], self.granted)

    def test_a_granted_request_that_was_lost_is_released(self) -> None:
        self.submit(
            admission_request("lost", BACKLOG_TOKENS),
            admission_request("next", 100, budget_ms=5000),
        )
        self.clock.advance(GRANT_TTL_S + 0.1)
        self.submit(admission_request("next", 100, budget_ms=5000))
        self.report(0)
        self.assertEqual(["lost", "next"], self.granted)

    @parameterized.expand([("plain", "r1"), ("slash", "batch/r1"), ("slashes", "/a/b/")])
    def test_an_engine_report_is_matched_by_request_id(self, _: str, request_id: str) -> None:
        self.submit(admission_request(request_id, 500))
        before = self.queue.pending_prefill_tokens
        run = RunningRequest(request_id, 500, 1)
        self.queue.apply_report(EngineReport(1, 0, 500, 100_000, (run,)))
        self.assertEqual((500, 0), (before, self.queue.pending_prefill_tokens))

    def test_an_engine_report_confirms_prefill(self) -> None:
        self.submit(
            admission_request("a", BACKLOG_TOKENS), admission_request("b", 100, budget_ms=5000)
        )
        self.clock.advance(0.2)
        self.report(1000, (RunningRequest("a", 1000, 1),))
        self.assertEqual(["a", "b"], self.granted)


class OverloadTest(QueueTestCase):
    """Requests arrive at twice the engine's prefill speed; callers time out after two seconds.

    Without admission control the engine prefills in order of arrival. Its backlog grows, and it
    prefills prompts whose callers have timed out.
    """

    TOKENS_PER_S = 50_000.0
    REQUESTS_PER_S = 20
    PROMPT_TOKENS = 5_000
    TIMEOUT_S = 2.0

    def simulate(self, admit: bool) -> int:
        """Simulate ten seconds.

        :param admit: whether requests pass through the admission queue.
        :returns: number of requests whose prompt was prefilled before their caller timed out.
        """
        served = 0
        requests: list[tuple[str, float]] = []
        free_at = self.clock.now
        for step in range(10 * self.REQUESTS_PER_S):
            name, arrived_at = str(step), self.clock.now
            if admit:
                self.submit(admission_request(name, self.PROMPT_TOKENS, budget_ms=500))
            else:
                self.granted.append(name)
            requests.append((name, arrived_at))
            arrivals = dict(requests)
            self.clock.advance(1 / self.REQUESTS_PER_S)
            while self.granted and free_at <= self.clock.now:
                next_name = self.granted.pop(0)
                free_at = max(free_at, arrivals[next_name]) + self.PROMPT_TOKENS / self.TOKENS_PER_S
                served += free_at - arrivals[next_name] <= self.TIMEOUT_S
                self.queue.record_prefill(f"{next_name}/1")
                self.queue.finish(f"{next_name}/1")
            self.queue.process()
        return served

    def test_with_admission_requests_are_served_at_the_engines_speed(self) -> None:
        capacity = int(10 * self.TOKENS_PER_S / self.PROMPT_TOKENS)
        self.assertGreaterEqual(self.simulate(admit=True), capacity * 0.9)

    def test_without_admission_the_engine_works_for_callers_that_timed_out(self) -> None:
        capacity = int(10 * self.TOKENS_PER_S / self.PROMPT_TOKENS)
        self.assertLess(self.simulate(admit=False), capacity * 0.6)


class PromptCacheTest(unittest.TestCase):
    PROMPT = (PromptPart("a", 100), PromptPart("b", 50), PromptPart("own", 10))

    @parameterized.expand(
        [
            ("nothing", (), 160),
            ("first", (("a", 100),), 60),
            ("both", (("a", 100), ("b", 50)), 10),
            ("gap", (("b", 50),), 160),
            ("partly", (("a", 64), ("b", 50)), 96),
            ("dropped", (("a", 100), ("a", 0, True)), 160),
            ("dropped_in_part", (("a", 100), ("b", 50), ("a", 64, True)), 96),
            ("dropped_in_part_and_read_again", (("a", 100), ("a", 64, True), ("a", 100)), 60),
            ("an_earlier_count_comes_late", (("a", 100), ("a", 64)), 60),
        ]
    )
    def test_uncached_tokens(
        self, _: str, events: tuple[tuple[Any, ...], ...], uncached: int
    ) -> None:
        cache = PromptCache()
        changes = tuple(CacheChange(*event) for event in events)
        cache.apply_update(CacheUpdate("1", len(changes), False, changes))
        self.assertEqual(uncached, cache.uncached_tokens(self.PROMPT))

    def test_after_lost_events_only_what_is_reported_since_counts(self) -> None:
        cache = PromptCache()
        cache.apply_update(CacheUpdate("1", 1, False, (CacheChange("a", 100),)))
        cache.apply_update(CacheUpdate("1", 90, True, (CacheChange("b", 50),)))
        self.assertEqual(160, cache.uncached_tokens(self.PROMPT))
        cache.apply_update(CacheUpdate("1", 91, False, (CacheChange("a", 100),)))
        self.assertEqual(10, cache.uncached_tokens(self.PROMPT))

    def test_a_restarted_engine_has_an_empty_cache(self) -> None:
        cache = PromptCache()
        cache.apply_update(CacheUpdate("1", 1, False, (CacheChange("a", 100),)))
        cache.apply_update(CacheUpdate("2", 0, False, ()))
        self.assertEqual(160, cache.uncached_tokens(self.PROMPT))


class TrafficTableTest(unittest.TestCase):
    def test_the_latest_reports_of_all_gateways_are_summed(self) -> None:
        clock = FakeClock(self)
        table = TrafficTable()
        table.record_report("a", (RouteTraffic("draft", 9.0, 1.0, 1.0),))
        table.record_report("a", (RouteTraffic("draft", 1.0, 10_000.0, 3_000.0),))
        table.record_report("b", (RouteTraffic("draft", 3.0, 20_000.0, 7_000.0),))
        self.assertEqual((RouteTraffic("draft", 4.0, 17_500.0, 6_000.0),), table.total())
        self.assertEqual(2, table.gateway_count)
        clock.advance(REPORT_TTL_S + 0.1)
        table.record_report("b", ())
        self.assertEqual(((), 1), (table.total(), table.gateway_count))


class MessagesTest(unittest.TestCase):
    @parameterized.expand(
        [
            (admission_request("a", 5, shared_prefix="s"),),
            (dataclasses.replace(admission_request("a", 5), slots=64, gap_ms=250),),
            (RequestFinished("a/1", 312),),
            (PromptPrefilled("a/1"),),
            (RequestFinished("a/1"),),
            (AdmissionGranted("a/1", 4),),
            (AdmissionGranted("a/1", 4, 1_700_000_000_000),),
            (AdmissionQueued("a/1"),),
            (AdmissionRefused("a/1", 250),),
            (AdmissionRefused("a/1", 250, engine_silent=True),),
            (AdmissionGranted("a/1", 4, 1_700_000_000_000, QUOTE),),
            (AdmissionQueued("a/1", QUOTE),),
            (AdmissionRefused("a/1", 250, False, QUOTE),),
            (dataclasses.replace(admission_request("a", 5), terms=TERMS),),
            (dataclasses.replace(admission_request("a", 5), has_alternative=True),),
            (TrafficReport("", (RouteTraffic("draft", 2.5, 17_000.0, 4_000.0),)),),
            (FleetTraffic("", 4, (RouteTraffic("draft", 2.5, 17_000.0, 4_000.0),)),),
            (FleetTraffic("", 2, (), ("10.0.0.1", "10.0.0.2")),),
            (OriginReport("", "ab12", StreamOrigin("fleet", "v1")),),
            (OriginRequest("r/origin-1", "ab12"),),
            (OriginResponse("r/origin-1", StreamOrigin("fleet", "v1")),),
            (OriginResponse("r/origin-1", None),),
        ]
    )
    def test_messages_survive_encoding_and_decoding(self, message: Message) -> None:
        self.assertEqual(message, messages.decode(messages.encode(message)).unwrap())

    @parameterized.expand(
        [
            ("side", b'["f", "", 3, []]', FleetTraffic("", 3, ())),
            ("gateway", b'["a", "a/1", 1, 5, [], 7]', AdmissionRequest("a/1", 1, 5, (), 7)),
            (
                "gap",
                b'["a", "a/1", 1, 5, [], 7, 64, 250]',
                AdmissionRequest("a/1", 1, 5, (), 7, 64, 250),
            ),
            ("grant", b'["g", "a/1", 3]', AdmissionGranted("a/1", 3)),
            ("refusal", b'["r", "a/1", 30]', AdmissionRefused("a/1", 30)),
            ("end", b'["d", "a/1"]', RequestFinished("a/1")),
        ]
    )
    def test_messages_of_older_versions_are_decoded(
        self, _: str, datagram: bytes, message: Message
    ) -> None:
        self.assertEqual(message, messages.decode(datagram).unwrap())

    @parameterized.expand(
        [
            ("garbage", b"\xff\x00"),
            ("empty", b""),
            ("number", b"7"),
            ("short", b'["a"]'),
            ("kind", b'["z", "a/1"]'),
            ("name", b'["d", 5]'),
            ("fields", b'["a", "a/1", "x", 5, [], 5]'),
            ("large", b'["d", "' + b"a" * 5000 + b'"]'),
            ("traffic", b'["t", "", [["draft", 1]]]'),
            ("hosts", b'["f", "", 1, [], 5]'),
            ("origin", b'["p", "", {"began": ["ab", 5, "v1"]}]'),
            ("origin_fields", b'["p", "", {"began": ["ab"]}]'),
            ("origin_response", b'["p", "a", {"origin": "v1"}]'),
            ("origin_extension", b'["p", "a", {"other": 1}]'),
            ("origin_list", b'["p", "a", 7]'),
        ]
    )
    def test_a_malformed_datagram_is_a_failure(self, _: str, datagram: bytes) -> None:
        self.assertFalse(is_successful(messages.decode(datagram)))
