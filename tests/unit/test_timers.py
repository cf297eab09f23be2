"""The timer service, on a clock that the tests move."""

import unittest

from pearshed._internal.timers.service import TimerService
from tests.lib.fakes import FakeClock


class TimerServiceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock(self)
        self.fired: list[str] = []

    def run_for(self, timers: TimerService, moments: list[float]) -> None:
        """Move the clock and let the service look after each move."""
        for seconds in moments:
            self.clock.advance(seconds)
            timers.tick()

    def test_calls_come_in_the_order_of_their_time(self) -> None:
        timers = TimerService(seed=1)
        timers.after(0.3, lambda: self.fired.append("late"))
        timers.after(0.1, lambda: self.fired.append("early"))
        cancelled = timers.after(0.2, lambda: self.fired.append("never"))
        cancelled.cancel()
        self.run_for(timers, [0.05, 0.1, 0.2])
        self.assertEqual(["early", "late"], self.fired)

    def test_repeated_calls_go_on_after_one_that_fails(self) -> None:
        timers = TimerService(seed=1)

        def fail() -> None:
            self.fired.append("failed")
            raise ValueError("on purpose")

        timers.every(0.1, fail, jitter=0.0)
        self.run_for(timers, [0.11, 0.11, 0.11])
        self.assertEqual(["failed"] * 3, self.fired)

    def test_a_pause_is_told_before_what_became_due_meanwhile(self) -> None:
        timers = TimerService(seed=1)
        timers.on_pause(lambda lost_s: self.fired.append(f"pause of {lost_s:.0f} s"))
        timers.after(1.0, lambda: self.fired.append("due"))
        self.run_for(timers, [0.1, 30.5])
        self.assertEqual(["pause of 30 s", "due"], self.fired)

    def test_code_that_trusts_a_lease_sees_the_pause_at_once(self) -> None:
        timers = TimerService(seed=1)
        timers.on_pause(lambda _: self.fired.append("pause"))
        self.clock.advance(20)
        timers.check_pause()
        timers.check_pause()
        self.assertEqual(["pause"], self.fired)


if __name__ == "__main__":
    unittest.main()
