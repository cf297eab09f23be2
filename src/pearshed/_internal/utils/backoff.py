"""Exponential backoff."""

import random


class Backoff:
    """Exponentially growing delays with jitter, so that many processes don't retry at once.

    :param first_s: the first step, seconds.
    :param max_s: the largest step, seconds.
    """

    def __init__(self, first_s: float, max_s: float, rng: random.Random) -> None:
        self._first_s = first_s
        self._max_s = max_s
        self._rng = rng
        self._next_s = first_s

    def reset(self) -> None:
        """Reset to the first step."""
        self._next_s = self._first_s

    def next_delay(self) -> float:
        """Return the next delay, seconds: a random value from half of the step to the step."""
        step = self._next_s
        self._next_s = min(self._max_s, step * 2)
        return step * self._rng.uniform(0.5, 1.0)
