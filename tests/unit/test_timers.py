"""Tests of the timer service with a fake clock."""

import unittest

from absl import logging

from pearshed._internal.timers.service import TimerService
from tests.lib.fakes import FakeClock


class TimerServiceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock(self)
        self.fired: list[str] = []

    def advance(self, timers: TimerService, steps_s: list[float]) -> None:
        """Advance the clock step by step and run the timers after each step."""
        for step_s in steps_s:
            self.clock.advance(step_s)
            timers.tick()

    def test_callbacks_run_in_order_of_due_time(self) -> None:
        timers = TimerService(seed=1)
        timers.after(0.3, lambda: self.fired.append("late"))
        timers.after(0.1, lambda: self.fired.append("early"))
        cancelled = timers.after(0.2, lambda: self.fired.append("never"))
        cancelled.cancel()
        self.advance(timers, [0.05, 0.1, 0.2])
        self.assertEqual(["early", "late"], self.fired)

    def test_periodic_callback_continues_after_an_exception(self) -> None:
        timers = TimerService(seed=1)

        def fail() -> None:
            self.fired.append("failed")
            raise ValueError("on purpose")

        timers.every(0.1, fail, jitter=0.0)
        self.advance(timers, [0.11, 0.11, 0.11])
        self.assertEqual(["failed"] * 3, self.fired)

    def test_a_pause_is_logged_once_before_timers_that_became_due(self) -> None:
        timers = TimerService(seed=1)
        timers.after(1.0, lambda: logging.warning("due"))
        with self.assertLogs("absl", "WARNING") as logs:
            self.advance(timers, [0.1, 30.5])
            timers.tick()
        self.assertEqual(
            ["process was paused for about 30.0 s", "due"],
            [record.getMessage() for record in logs.records],
        )


if __name__ == "__main__":
    unittest.main()
