"""How sides keep engines reading, and streams at their pace."""

import dataclasses
import unittest

from parameterized import parameterized

from pearshed._internal.engine_side.messages import AdmissionRequest
from pearshed._internal.engine_side.prefill_speed import (
    ASSUMED_TOKENS_PER_S,
    MEMORY_S,
    WINDOW_S,
    PrefillSpeed,
)
from pearshed._internal.engine_side.prefill_throttle import LEAST_SHARE, PrefillThrottle
from tests.lib.admission import QueueTestCase, ask
from tests.lib.fakes import FakeClock


class LateWordTest(QueueTestCase):
    """An engine whose word that a prompt was read comes late, as the first event of a stream does.

    More is asked than it can read, by callers that wait for half a second.
    """

    SPEED = 50_000.0
    ASKED_PER_S = 40
    STEP_S = 0.005
    LASTS_S = 10.0

    @parameterized.expand([("at_once", 0.0, 2_000), ("late", 0.2, 2_000), ("large", 0.2, 12_000)])
    def test_the_engine_always_has_something_to_read(
        self, _: str, late_s: float, tokens: int
    ) -> None:
        reading: list[str] = []
        free_at = began = self.clock.moment
        words: list[tuple[float, str]] = []
        read = asked = 0
        while self.clock.moment - began < self.LASTS_S:
            while asked < (self.clock.moment - began) * self.ASKED_PER_S:
                self.ask(ask(str(asked), tokens, budget_ms=500))
                asked += 1
            reading, self.granted = reading + self.granted, []
            while reading and free_at <= self.clock.moment:
                free_at = self.clock.moment + tokens / self.SPEED
                read += tokens
                words.append((free_at + late_s, reading.pop(0)))
            self.clock.advance(self.STEP_S)
            while words and words[0][0] <= self.clock.moment:
                self.queue.record_prefill(f"{words.pop(0)[1]}/1")
            self.queue.process()
        offered = min(self.SPEED, self.ASKED_PER_S * tokens) * self.LASTS_S
        self.assertGreaterEqual(read, 0.9 * offered)


class PrefillSpeedTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock(self)
        self.speed = PrefillSpeed()

    def read(self, steps: int, step_s: float, tokens: int, together: int = 1) -> None:
        """Let an engine that is never idle read prompts, whose ends are told some at a time."""
        for _ in range(steps):
            self.clock.advance(step_s * together)
            for _ in range(together):
                self.speed.record_prefill(tokens)

    @parameterized.expand([("one_by_one", 1), ("told_together", 4)])
    def test_the_rate_while_busy_is_the_speed(self, _: str, together: int) -> None:
        self.speed.restart_window()
        self.read(40, 0.05, 1_500, together)
        self.assertAlmostEqual(30_000, self.speed.tokens_per_s, delta=6_000)

    def test_idle_time_is_not_measured(self) -> None:
        for _ in range(20):
            self.speed.restart_window()
            self.read(4, 0.05, 1_500)
            self.clock.advance(2.0)
        self.assertEqual(ASSUMED_TOKENS_PER_S, self.speed.tokens_per_s)

    def test_the_highest_of_late_counts_and_the_latest_holds(self) -> None:
        self.speed.restart_window()
        self.read(20, WINDOW_S / 10, 8_000)
        self.read(20, WINDOW_S / 10, 2_000)
        self.assertAlmostEqual(80_000, self.speed.tokens_per_s, delta=8_000)
        self.read(10 * int(MEMORY_S), WINDOW_S / 10, 2_000)
        self.clock.advance(10 * MEMORY_S)
        self.assertAlmostEqual(20_000, self.speed.tokens_per_s, delta=2_000)


class PrefillThrottleTest(QueueTestCase):
    """Short streams with short pauses, whose prompts come together."""

    GAP_MS = 250

    def short(self, name: str, gap_ms: int = GAP_MS) -> AdmissionRequest:
        return dataclasses.replace(ask(name, 1_000, budget_ms=5000), gap_ms=gap_ms)

    def end_streams(self, count: int, longest_gap_ms: int, gap_ms: int = GAP_MS) -> None:
        for number in range(count):
            self.ask(self.short(f"ended-{number}", gap_ms))
            self.queue.record_prefill(f"ended-{number}/1")
            self.queue.finish(f"ended-{number}/1", longest_gap_ms)
        self.clock.advance(1.0)
        self.granted.clear()

    def let_in(self, gap_ms: int = GAP_MS) -> int:
        """Ask for many prompts at once, each read as soon as it is let in, for one pause.

        :returns: the prompts that were let in.
        """
        self.ask(*(self.short(str(number), gap_ms) for number in range(40)))
        for _ in range(25):
            for name in tuple(self.granted):
                self.queue.record_prefill(f"{name}/1")
            self.clock.advance(gap_ms / 1000 / 25)
            for name in [str(number) for number in range(40)]:
                self.queue.submit(self.short(name, gap_ms), lambda _: None)
        return len(self.granted)

    @parameterized.expand(
        [
            ("good_pauses", 200, 250, True),
            ("late_pauses", 400, 250, False),
            ("long_pauses_allowed", 2_000, 1_000, True),
            ("no_pause_known", 0, 250, True),
        ]
    )
    def test_prompts_are_spread_where_pauses_got_too_long(
        self, _: str, longest_gap_ms: int, gap_ms: int, at_once: bool
    ) -> None:
        self.end_streams(30, longest_gap_ms, gap_ms)
        bound = LEAST_SHARE * ASSUMED_TOKENS_PER_S * gap_ms / 1000 / 1_000
        found = self.let_in(gap_ms)
        if at_once:
            self.assertEqual(40, found)
        else:
            self.assertGreater(found, 1)
            self.assertLessEqual(found, bound + 1)

    def test_a_few_such_streams_hold_up_no_long_prompts(self) -> None:
        self.end_streams(30, 400)
        self.ask(self.short("short"))
        self.queue.record_prefill("short/1")
        for number in range(6):
            self.clock.advance(0.05)
            self.ask(ask(f"long-{number}", 2_000, budget_ms=5000))
            self.queue.record_prefill(f"long-{number}/1")
        self.assertEqual(7, len(self.granted))

    def test_reading_is_let_go_again_once_pauses_are_good(self) -> None:
        throttle = PrefillThrottle()
        for _ in range(50):
            throttle.record_stream(400, 250)
        self.assertEqual(LEAST_SHARE, throttle.share)
        for _ in range(300):
            throttle.record_stream(100, 250)
        self.assertFalse(throttle.bounded)
