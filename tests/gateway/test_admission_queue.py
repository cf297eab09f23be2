"""Admission to an engine, and what callers get when more is asked than it can read."""

import dataclasses
import unittest

from parameterized import parameterized
from returns.pipeline import is_successful

from pearshed._internal.engine_side import messages
from pearshed._internal.engine_side.admission_queue import (
    BACKLOG_S,
    FORGOTTEN_S,
    GRANT_LIFE_S,
)
from pearshed._internal.engine_side.messages import (
    AdmissionGranted,
    AdmissionQueued,
    AdmissionRefused,
    AdmissionRequest,
    FleetTraffic,
    Message,
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
    REPORT_LIFE_S,
    RouteTraffic,
    TrafficTable,
)
from pearshed._internal.models.routing import PromptPart
from tests.lib.admission import QueueTestCase, ask
from tests.lib.fakes import FakeClock

BACKLOG_TOKENS = int(ASSUMED_TOKENS_PER_S * BACKLOG_S)


class AdmissionQueueTest(QueueTestCase):
    def test_an_idle_engine_takes_any_prompt(self) -> None:
        self.ask(ask("huge", 50_000))
        self.assertEqual(["huge"], self.granted)

    def test_the_engine_gets_just_enough_to_stay_busy(self) -> None:
        half = BACKLOG_TOKENS // 2
        self.ask(*(ask(name, half) for name in ("a", "b", "c", "d")))
        self.assertEqual(["a", "b"], self.granted)
        self.read("a", half / ASSUMED_TOKENS_PER_S)
        self.assertEqual(["a", "b", "c"], self.granted)

    def test_urgent_requests_go_first_and_cached_ones_before_their_equals(self) -> None:
        self.cache.record_prefill(ask("x", 1, shared="known").prompt)
        self.ask(
            ask("running", BACKLOG_TOKENS),
            ask("unread", 200, rank=2, shared="new"),
            ask("cached", 200, rank=2, shared="known"),
            ask("urgent", 200, rank=0, shared="other"),
        )
        self.read("running", 0.1)
        self.read("urgent", 0.2)
        self.read("cached", 0.1)
        self.assertEqual(["running", "urgent", "cached", "unread"], self.granted)

    def test_large_requests_are_not_put_back(self) -> None:
        self.ask(ask("running", BACKLOG_TOKENS), ask("large", 30_000, budget_ms=5000))
        self.clock.advance(0.1)
        self.ask(ask("small", 100, budget_ms=5000))
        self.read("running", 0.1)
        self.assertEqual(["running", "large"], self.granted)

    def test_no_more_are_let_in_than_the_engine_runs_at_once(self) -> None:
        asks = [dataclasses.replace(ask(name, 10), slots=2) for name in ("a", "b", "c")]
        self.ask(*asks)
        self.assertEqual((["a", "b"], 1), (self.granted, self.queue.waiting))
        self.queue.finish("a/1")
        self.assertEqual(["a", "b", "c"], self.granted)

    def test_a_request_that_cant_begin_in_time_is_refused_at_once(self) -> None:
        self.ask(ask("running", 40_000), ask("hopeless", 100, budget_ms=300))
        self.assertEqual((["running"], ["hopeless"]), (self.granted, self.refused))

    def test_a_request_is_refused_when_its_budget_is_used_up(self) -> None:
        self.ask(ask("running", 10_000), ask("waiting", 100, budget_ms=400))
        self.clock.advance(0.5)
        self.queue.process()
        self.assertEqual(["waiting"], self.refused)

    def test_a_reservation_that_nobody_renews_is_dropped(self) -> None:
        self.ask(ask("running", 20_000), ask("orphan", 100, budget_ms=5000))
        self.clock.advance(FORGOTTEN_S + 0.1)
        self.read("running", 0.0)
        self.assertEqual((["running"], [], 0), (self.granted, self.refused, self.queue.waiting))

    def test_a_repeated_question_changes_nothing(self) -> None:
        self.ask(ask("a", BACKLOG_TOKENS), ask("a", BACKLOG_TOKENS), ask("b", 10), ask("b", 10))
        self.assertEqual((["a"], 1), (self.granted, self.queue.waiting))

    def test_the_end_of_a_request_makes_room(self) -> None:
        self.ask(ask("a", BACKLOG_TOKENS), ask("b", 100))
        self.queue.finish("a/1")
        self.assertEqual(["a", "b"], self.granted)

    def report(self, used: int, runs: tuple[RunningRequest, ...] = (), waiting: int = 0) -> None:
        self.queue.apply_report(EngineReport(len(runs), waiting, used, 100_000, runs))

    def test_memory_is_not_overcommitted(self) -> None:
        self.report(85_000, (RunningRequest("other", 85_000, 3),))
        self.ask(ask("large", 8_000, budget_ms=5000))
        self.assertEqual([], self.granted)
        self.report(50_000, (RunningRequest("other", 50_000, 3),))
        self.assertEqual(["large"], self.granted)

    def test_a_granted_request_that_was_lost_frees_its_place(self) -> None:
        self.ask(ask("lost", BACKLOG_TOKENS), ask("next", 100, budget_ms=5000))
        self.clock.advance(GRANT_LIFE_S + 0.1)
        self.ask(ask("next", 100, budget_ms=5000))
        self.report(0)
        self.assertEqual(["lost", "next"], self.granted)

    def test_the_engines_report_tells_of_prompts_that_were_read(self) -> None:
        self.ask(ask("a", BACKLOG_TOKENS), ask("b", 100, budget_ms=5000))
        self.clock.advance(0.2)
        self.report(1000, (RunningRequest("a", 1000, 1),))
        self.assertEqual(["a", "b"], self.granted)


class OverloadTest(QueueTestCase):
    """Twice the load that the engine can read, with callers that give up after two seconds."""

    SPEED = 50_000.0
    ASKED_PER_S = 20
    TOKENS = 5_000
    PATIENCE_S = 2.0

    def play(self, admit: bool) -> int:
        """Play ten seconds.

        :returns: requests whose prompt was read before their caller gave up.
        """
        served = 0
        queue: list[tuple[str, float]] = []
        free_at = self.clock.moment
        for step in range(10 * self.ASKED_PER_S):
            name, asked = str(step), self.clock.moment
            if admit:
                self.ask(ask(name, self.TOKENS, budget_ms=500))
            else:
                self.granted.append(name)
            queue.append((name, asked))
            arrivals = dict(queue)
            self.clock.advance(1 / self.ASKED_PER_S)
            while self.granted and free_at <= self.clock.moment:
                taken = self.granted.pop(0)
                free_at = max(free_at, arrivals[taken]) + self.TOKENS / self.SPEED
                served += free_at - arrivals[taken] <= self.PATIENCE_S
                self.queue.record_prefill(f"{taken}/1")
                self.queue.finish(f"{taken}/1")
            self.queue.process()
        return served

    def test_callers_are_served_at_the_engines_speed(self) -> None:
        capacity = int(10 * self.SPEED / self.TOKENS)
        self.assertGreaterEqual(self.play(admit=True), capacity * 0.9)

    def test_without_admission_the_engine_works_for_callers_that_left(self) -> None:
        capacity = int(10 * self.SPEED / self.TOKENS)
        self.assertLess(self.play(admit=False), capacity * 0.6)


class PromptCacheTest(unittest.TestCase):
    PROMPT = (PromptPart("a", 100), PromptPart("b", 50), PromptPart("own", 10))

    @parameterized.expand(
        [
            ("nothing", (), 160),
            ("first", (("a", 100),), 60),
            ("both", (("a", 100), ("b", 50)), 10),
            ("gap", (("b", 50),), 160),
            ("partly", (("a", 64), ("b", 50)), 96),
            ("dropped", (("a", 100), ("a", 0)), 160),
        ]
    )
    def test_unread_tokens(self, _: str, changes: tuple[tuple[str, int], ...], unread: int) -> None:
        cache = PromptCache()
        found = tuple(CacheChange(part, tokens) for part, tokens in changes)
        cache.apply_update(CacheUpdate("1", len(found), False, found))
        self.assertEqual(unread, cache.uncached_tokens(self.PROMPT))

    def test_an_engine_that_started_anew_keeps_nothing(self) -> None:
        cache = PromptCache()
        cache.apply_update(CacheUpdate("1", 1, False, (CacheChange("a", 100),)))
        cache.apply_update(CacheUpdate("2", 0, False, ()))
        self.assertEqual(160, cache.uncached_tokens(self.PROMPT))


class TrafficTableTest(unittest.TestCase):
    def test_the_latest_reports_of_all_gateways_add_up(self) -> None:
        clock = FakeClock(self)
        table = TrafficTable()
        table.record_report("a", (RouteTraffic("draft", 9.0, 1.0, 1.0),))
        table.record_report("a", (RouteTraffic("draft", 1.0, 10_000.0, 3_000.0),))
        table.record_report("b", (RouteTraffic("draft", 3.0, 20_000.0, 7_000.0),))
        self.assertEqual((RouteTraffic("draft", 4.0, 17_500.0, 6_000.0),), table.total())
        self.assertEqual(2, table.gateways)
        clock.advance(REPORT_LIFE_S + 0.1)
        table.record_report("b", ())
        self.assertEqual(((), 1), (table.total(), table.gateways))


class MessagesTest(unittest.TestCase):
    @parameterized.expand(
        [
            (ask("a", 5, shared="s"),),
            (dataclasses.replace(ask("a", 5), slots=64, gap_ms=250),),
            (RequestFinished("a/1", 312),),
            (PromptPrefilled("a/1"),),
            (RequestFinished("a/1"),),
            (AdmissionGranted("a/1", 4),),
            (AdmissionQueued("a/1"),),
            (AdmissionRefused("a/1", 250),),
            (TrafficReport("", (RouteTraffic("draft", 2.5, 17_000.0, 4_000.0),)),),
            (FleetTraffic("", 4, (RouteTraffic("draft", 2.5, 17_000.0, 4_000.0),)),),
            (FleetTraffic("", 2, (), ("10.0.0.1", "10.0.0.2")),),
        ]
    )
    def test_messages_come_back_as_they_were(self, message: Message) -> None:
        self.assertEqual(message, messages.decode(messages.encode(message)).unwrap())

    @parameterized.expand(
        [
            ("side", b'["f", "", 3, []]', FleetTraffic("", 3, ())),
            ("gateway", b'["a", "a/1", 1, 5, [], 7]', AdmissionRequest("a/1", 1, 5, (), 7)),
            ("end", b'["d", "a/1"]', RequestFinished("a/1")),
        ]
    )
    def test_messages_of_an_older_version_are_understood(
        self, _: str, datagram: bytes, message: Message
    ) -> None:
        self.assertEqual(message, messages.decode(datagram).unwrap())

    @parameterized.expand(
        [
            ("noise", b"\xff\x00"),
            ("empty", b""),
            ("number", b"7"),
            ("short", b'["a"]'),
            ("kind", b'["z", "a/1"]'),
            ("name", b'["d", 5]'),
            ("fields", b'["a", "a/1", "x", 5, [], 5]'),
            ("large", b'["d", "' + b"a" * 5000 + b'"]'),
            ("traffic", b'["t", "", [["draft", 1]]]'),
            ("hosts", b'["f", "", 1, [], 5]'),
        ]
    )
    def test_a_malformed_datagram_is_a_failure(self, _: str, datagram: bytes) -> None:
        self.assertFalse(is_successful(messages.decode(datagram)))
