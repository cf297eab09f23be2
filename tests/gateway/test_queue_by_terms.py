"""Admission of requests with terms, whose callers compete for an engine."""

import dataclasses
from collections.abc import Sequence

from pearshed._internal.decisions.prefill_capacity import ASSUMED_TOKENS_PER_S, CHUNK_TOKENS
from pearshed._internal.decisions.terms import RequestTerms
from pearshed._internal.engine_side.admission_queue import (
    GRANT_TTL_S,
    MAX_WAITING,
    PREFILL_BACKLOG_S,
    RESERVATION_TTL_S,
    Reservation,
)
from pearshed._internal.engine_side.engine_silence import SILENT_AFTER_S
from pearshed._internal.engine_side.messages import AdmissionRequest, request_id_of
from pearshed._internal.engine_side.monitor import EngineReport, RunningRequest
from tests.lib.admission import QueueTestCase, admission_request

BACKLOG_TOKENS = int(ASSUMED_TOKENS_PER_S * PREFILL_BACKLOG_S)


def with_terms(
    name: str,
    tokens: int,
    rank: int = 1,
    target_ms: int = 800,
    useful_ms: int = 3_000,
    customer: str = "a",
) -> AdmissionRequest:
    """Create an admission request with terms."""
    terms = RequestTerms(target_ms, useful_ms, customer)
    return dataclasses.replace(admission_request(name, tokens, rank), terms=terms)


class QueueByTermsTest(QueueTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.waits_s: dict[str, float] = {}
        self.reasons: dict[str, str] = {}
        self.ready_ms: dict[str, int] = {}

    def _refuse(self, reservation: Reservation, wait_s: float) -> None:
        super()._refuse(reservation, wait_s)
        name = request_id_of(reservation.request.reservation)
        self.waits_s[name] = wait_s
        self.reasons[name] = reservation.reason
        quote = self.queue.quote(reservation)
        if quote is not None:
            self.ready_ms[name] = quote.ready_ms

    def report(self, runs: Sequence[RunningRequest] = (), started_at_ms: int = 0) -> None:
        used = sum(run.tokens for run in runs)
        report = EngineReport(len(runs), 0, used, 500_000, tuple(runs), started_at_ms)
        self.queue.apply_report(report)

    def test_less_urgent_prefill_does_not_hold_back_an_urgent_request(self) -> None:
        """Guards against urgent requests that wait for prompts which the engine runs after them."""
        self.submit(with_terms("bulk", 60_000, rank=2), with_terms("more", 9_000, rank=2))
        self.submit(with_terms("urgent", 1_400, rank=0))
        self.assertEqual(["bulk", "urgent"], self.granted)

    def test_urgent_prefill_holds_back_a_less_urgent_request(self) -> None:
        self.submit(with_terms("urgent", BACKLOG_TOKENS, rank=0), with_terms("bulk", 4_000, rank=2))
        self.assertEqual(["urgent"], self.granted)

    def test_the_queue_says_when_the_engine_has_room_again(self) -> None:
        """Guards against grants that come up to an interval of the side's timer late."""
        self.assertIsNone(self.queue.next_grant_s)
        self.submit(with_terms("first", BACKLOG_TOKENS, rank=0), with_terms("next", 1_000, rank=0))
        self.assertEqual(["first"], self.granted)
        next_grant_s = self.queue.next_grant_s
        assert next_grant_s is not None
        self.clock.advance(next_grant_s * 0.9)
        self.queue.process()
        self.assertEqual(["first"], self.granted)
        self.clock.advance(next_grant_s * 0.1 + 1e-6)
        self.queue.process()
        self.assertEqual(["first", "next"], self.granted)
        self.assertIsNone(self.queue.next_grant_s)

    def test_one_grant_in_four_goes_to_a_late_request(self) -> None:
        """Guards against late requests that wait until they are of no more use."""
        self.submit(with_terms("running", BACKLOG_TOKENS, rank=0))
        self.submit(with_terms("late", 500, rank=2, target_ms=-100))
        self.submit(*(with_terms(f"urgent-{number}", 500, rank=0) for number in range(20)))
        for _ in range(20):
            self.clock.advance(0.01)
            self.queue.process()
        self.assertIn("late", self.granted)
        self.assertLessEqual(self.granted.index("late"), 5)

    def test_what_is_of_no_use_in_time_is_refused_at_once_with_the_time_until_room(self) -> None:
        """Guards against refusals that come when it is too late to go elsewhere."""
        self.submit(with_terms("running", 100_000, useful_ms=9_000))
        self.submit(with_terms("hopeless", 1_000, useful_ms=1_500))
        self.assertEqual((["running"], ["hopeless"]), (self.granted, self.refused))
        self.assertEqual("not in time", self.reasons["hopeless"])
        self.assertAlmostEqual(100_000 / ASSUMED_TOKENS_PER_S, self.waits_s["hopeless"], delta=0.01)
        self.assertAlmostEqual(2_120, self.ready_ms["hopeless"], delta=10)

    def test_a_request_waits_while_it_is_of_use_and_not_longer(self) -> None:
        """Guards against the wait of half a target."""
        self.submit(with_terms("running", 40_000))
        self.submit(with_terms("waiting", 100, target_ms=100, useful_ms=1_200))
        for _ in range(9):
            self.clock.advance(0.1)
            self.submit(with_terms("waiting", 100))
            self.queue.process()
        self.assertEqual((["running"], []), (self.granted, self.refused))
        self.prefill("running", 0.0)
        self.assertEqual(["running", "waiting"], self.granted)

    def test_a_request_that_becomes_useless_is_refused_before_it_begins(self) -> None:
        self.report()
        self.submit(with_terms("running", 1_000))
        slots = dataclasses.replace(with_terms("waiting", 1_000, useful_ms=1_000), slots=1)
        self.submit(slots)
        for _ in range(20):
            self.clock.advance(0.05)
            self.report([RunningRequest("running", 1_000, 1)])
            self.submit(slots)
        self.assertEqual((["running"], ["waiting"]), (self.granted, self.refused))
        self.assertEqual("not in time", self.reasons["waiting"])

    def test_a_full_queue_refuses_the_youngest_of_the_least_urgent(self) -> None:
        """Guards against a queue that grows without a bound."""
        self.submit(with_terms("running", 20_000, rank=0, useful_ms=60_000))
        for number in range(MAX_WAITING):
            self.clock.advance(0.0001)
            self.submit(with_terms(str(number), 100, rank=1, useful_ms=60_000))
        self.submit(with_terms("urgent", 100, rank=0, useful_ms=60_000))
        self.assertEqual([str(MAX_WAITING - 1)], self.refused)
        self.assertEqual("queue full", self.reasons[self.refused[0]])
        self.assertEqual(MAX_WAITING, self.queue.waiting_count)

    def test_a_request_without_terms_counts_as_on_time(self) -> None:
        """Guards against requests of older gateways that starve, or go before all others."""
        self.submit(
            with_terms("running", BACKLOG_TOKENS),
            with_terms("late", 200, target_ms=-50),
            admission_request("older", 200, budget_ms=900),
            with_terms("on_time", 200, target_ms=600),
        )
        for _ in range(30):
            self.clock.advance(0.01)
            self.queue.process()
        self.assertEqual(["running", "on_time", "older", "late"], self.granted)

    def test_a_reservation_that_is_not_renewed_is_dropped(self) -> None:
        self.submit(with_terms("running", 60_000), with_terms("orphan", 100))
        self.clock.advance(RESERVATION_TTL_S + 0.1)
        self.queue.process()
        self.assertEqual(
            ([], 0, ["running"]), (self.refused, self.queue.waiting_count, self.granted)
        )

    def test_a_lost_grant_lapses(self) -> None:
        self.submit(with_terms("lost", 60_000), with_terms("next", 100))
        self.clock.advance(GRANT_TTL_S + 0.1)
        self.submit(with_terms("next", 100))
        self.report()
        self.assertEqual(["lost", "next"], self.granted)
        self.assertEqual(100, self.queue.pending_prefill_tokens)

    def test_a_silent_engine_gets_nothing(self) -> None:
        self.report()
        self.clock.advance(SILENT_AFTER_S + 0.1)
        elsewhere = dataclasses.replace(with_terms("elsewhere", 100), has_alternative=True)
        self.submit(with_terms("waiting", 100), elsewhere)
        self.assertEqual(([], ["elsewhere"]), (self.granted, self.refused))
        self.report()
        self.assertEqual(["waiting"], self.granted)

    def test_a_request_for_an_immediate_decision_does_not_wait(self) -> None:
        self.submit(with_terms("running", 60_000))
        self.submit(dataclasses.replace(with_terms("ask", 100), budget_ms=0))
        self.assertEqual(["ask"], self.refused)

    def test_memory_that_others_use_is_not_granted(self) -> None:
        run = RunningRequest("other", 399_000, 4)
        self.report([run])
        self.submit(with_terms("large", 8_000))
        self.assertEqual([], self.granted)
        quote = self.queue.quote_of("large/1")
        assert quote is not None
        self.assertEqual(1_000, quote.load.free_tokens)

    def test_a_restart_discards_the_measured_speed(self) -> None:
        """Guards against a speed of an earlier run of the engine."""
        self.report(started_at_ms=1)
        for number in range(5):
            self.submit(with_terms(str(number), 17_000, useful_ms=60_000))
            for _ in range(4):
                self.clock.advance(0.25)
                self.report([RunningRequest(str(number), 17_000, 0)], started_at_ms=1)
            self.prefill(str(number), 0.0)
            self.queue.finish(f"{number}/1")
            self.report(started_at_ms=1)
        self.assertLess(self.queue.capacity.tokens_per_s, 25_000)
        self.report(started_at_ms=2)
        self.assertEqual(ASSUMED_TOKENS_PER_S, self.queue.capacity.tokens_per_s)

    def test_quotes_say_when_the_first_event_comes_and_the_load(self) -> None:
        """Guards against quotes that leave out what goes before."""
        self.report()
        self.submit(with_terms("running", 10_000, rank=1), with_terms("waiting", 5_000, rank=1))
        granted, waiting = self.queue.quote_of("running/1"), self.queue.quote_of("waiting/1")
        assert granted is not None and waiting is not None
        self.assertEqual((300, 10_000), (granted.ready_ms, granted.uncached_tokens))
        self.assertEqual((400, 5_000), (waiting.ready_ms, waiting.uncached_tokens))
        load = waiting.load
        self.assertEqual(
            (50_000, 10_000, 5_000, 1, 1),
            (
                load.tokens_per_s,
                load.pending_tokens,
                load.waiting_tokens,
                load.waiting_count,
                load.running,
            ),
        )

    def test_an_urgent_quote_leaves_out_less_urgent_prefill_but_for_a_chunk(self) -> None:
        self.submit(with_terms("bulk", 60_000, rank=2), with_terms("urgent", 1_000, rank=0))
        quote = self.queue.quote_of("urgent/1")
        assert quote is not None
        prefill_ms = (CHUNK_TOKENS + 1_000) / ASSUMED_TOKENS_PER_S * 1_000
        self.assertEqual(round(100 + prefill_ms), quote.ready_ms)

    def test_requests_without_terms_get_no_quote(self) -> None:
        """Guards against a new element in what older gateways receive."""
        self.submit(admission_request("a", 100))
        self.assertIsNone(self.queue.quote_of("a/1"))
