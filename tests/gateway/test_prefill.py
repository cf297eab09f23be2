"""Prefill: measuring its speed, keeping engines busy with it, limiting it for running streams.

Prefill is the engine's processing of a prompt before its first output token.
"""

import dataclasses
import unittest

from parameterized import parameterized

from pearshed._internal.engine_side.messages import AdmissionRequest
from pearshed._internal.engine_side.prefill_speed import (
    ASSUMED_TOKENS_PER_S,
    RATE_RETENTION_S,
    WINDOW_S,
    PrefillSpeed,
)
from pearshed._internal.engine_side.prefill_throttle import MIN_SHARE, PrefillThrottle
from tests.lib.admission import QueueTestCase, admission_request
from tests.lib.fakes import FakeClock


class LateConfirmationTest(QueueTestCase):
    """The engine must not idle when prefill is confirmed late, as by the first event of a stream.

    Requests arrive faster than the engine can prefill them, from callers that wait half a second.
    """

    TOKENS_PER_S = 50_000.0
    REQUESTS_PER_S = 40
    STEP_S = 0.005
    DURATION_S = 10.0

    @parameterized.expand([("at_once", 0.0, 2_000), ("late", 0.2, 2_000), ("large", 0.2, 12_000)])
    def test_the_engine_always_has_prefill_pending(
        self, _: str, delay_s: float, tokens: int
    ) -> None:
        pending: list[str] = []
        free_at = started_at = self.clock.now
        confirmations: list[tuple[float, str]] = []
        prefilled_tokens = submitted = 0
        while self.clock.now - started_at < self.DURATION_S:
            while submitted < (self.clock.now - started_at) * self.REQUESTS_PER_S:
                self.submit(admission_request(str(submitted), tokens, budget_ms=500))
                submitted += 1
            pending, self.granted = pending + self.granted, []
            while pending and free_at <= self.clock.now:
                free_at = self.clock.now + tokens / self.TOKENS_PER_S
                prefilled_tokens += tokens
                confirmations.append((free_at + delay_s, pending.pop(0)))
            self.clock.advance(self.STEP_S)
            while confirmations and confirmations[0][0] <= self.clock.now:
                self.queue.record_prefill(f"{confirmations.pop(0)[1]}/1")
            self.queue.process()
        offered_tokens = min(self.TOKENS_PER_S, self.REQUESTS_PER_S * tokens) * self.DURATION_S
        self.assertGreaterEqual(prefilled_tokens, 0.9 * offered_tokens)


class PrefillSpeedTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock(self)
        self.speed = PrefillSpeed()

    def prefill(self, steps: int, step_s: float, tokens: int, batch: int = 1) -> None:
        """Let an engine that is never idle prefill prompts, with confirmations in batches."""
        for _ in range(steps):
            self.clock.advance(step_s * batch)
            for _ in range(batch):
                self.speed.record_prefill(tokens)

    @parameterized.expand([("one_by_one", 1), ("in_batches", 4)])
    def test_speed_is_the_rate_while_busy(self, _: str, batch: int) -> None:
        self.speed.restart_window()
        self.prefill(40, 0.05, 1_500, batch)
        self.assertAlmostEqual(30_000, self.speed.tokens_per_s, delta=6_000)

    def test_idle_time_is_not_measured(self) -> None:
        for _ in range(20):
            self.speed.restart_window()
            self.prefill(4, 0.05, 1_500)
            self.clock.advance(2.0)
        self.assertEqual(ASSUMED_TOKENS_PER_S, self.speed.tokens_per_s)

    def test_speed_is_the_highest_recent_rate_or_else_the_latest(self) -> None:
        self.speed.restart_window()
        self.prefill(20, WINDOW_S / 10, 8_000)
        self.prefill(20, WINDOW_S / 10, 2_000)
        self.assertAlmostEqual(80_000, self.speed.tokens_per_s, delta=8_000)
        self.prefill(10 * int(RATE_RETENTION_S), WINDOW_S / 10, 2_000)
        self.clock.advance(10 * RATE_RETENTION_S)
        self.assertAlmostEqual(20_000, self.speed.tokens_per_s, delta=2_000)


class PrefillThrottleTest(QueueTestCase):
    """Streams with short prompts that need short gaps between events and arrive together."""

    GAP_MS = 250

    def short_request(self, name: str, gap_ms: int = GAP_MS) -> AdmissionRequest:
        return dataclasses.replace(admission_request(name, 1_000, budget_ms=5000), gap_ms=gap_ms)

    def finish_streams(self, count: int, longest_gap_ms: int, gap_ms: int = GAP_MS) -> None:
        for number in range(count):
            self.submit(self.short_request(f"finished-{number}", gap_ms))
            self.queue.record_prefill(f"finished-{number}/1")
            self.queue.finish(f"finished-{number}/1", longest_gap_ms)
        self.clock.advance(1.0)
        self.granted.clear()

    def count_granted(self, gap_ms: int = GAP_MS) -> int:
        """Submit many requests at once and prefill each as soon as it is granted, for one gap.

        :returns: number of requests that were granted.
        """
        self.submit(*(self.short_request(str(number), gap_ms) for number in range(40)))
        for _ in range(25):
            for name in tuple(self.granted):
                self.queue.record_prefill(f"{name}/1")
            self.clock.advance(gap_ms / 1000 / 25)
            for name in [str(number) for number in range(40)]:
                self.queue.submit(self.short_request(name, gap_ms), lambda _: None)
        return len(self.granted)

    @parameterized.expand(
        [
            ("short_gaps", 200, 250, True),
            ("long_gaps", 400, 250, False),
            ("long_gaps_allowed", 2_000, 1_000, True),
            ("no_gap_known", 0, 250, True),
        ]
    )
    def test_prompts_are_spread_out_after_gaps_were_too_long(
        self, _: str, longest_gap_ms: int, gap_ms: int, at_once: bool
    ) -> None:
        self.finish_streams(30, longest_gap_ms, gap_ms)
        limit = MIN_SHARE * ASSUMED_TOKENS_PER_S * gap_ms / 1000 / 1_000
        granted = self.count_granted(gap_ms)
        if at_once:
            self.assertEqual(40, granted)
        else:
            self.assertGreater(granted, 1)
            self.assertLessEqual(granted, limit + 1)

    def test_a_few_such_streams_do_not_delay_long_prompts(self) -> None:
        self.finish_streams(30, 400)
        self.submit(self.short_request("short"))
        self.queue.record_prefill("short/1")
        for number in range(6):
            self.clock.advance(0.05)
            self.submit(admission_request(f"long-{number}", 2_000, budget_ms=5000))
            self.queue.record_prefill(f"long-{number}/1")
        self.assertEqual(7, len(self.granted))

    def test_the_limit_is_lifted_after_enough_streams_with_short_gaps(self) -> None:
        throttle = PrefillThrottle()
        for _ in range(50):
            throttle.record_stream(400, 250)
        self.assertEqual(MIN_SHARE, throttle.share)
        for _ in range(300):
            throttle.record_stream(100, 250)
        self.assertFalse(throttle.is_active)
