"""Delays between tries."""

import random


class Backoff:
    """Growing, jittered delays, so that many processes do not try again together.

    :param first_s: the first step, seconds.
    :param longest_s: the largest step, seconds.
    """

    def __init__(self, first_s: float, longest_s: float, source: random.Random) -> None:
        self._first_s = first_s
        self._longest_s = longest_s
        self._random = source
        self._next_s = first_s

    def reset(self) -> None:
        """Start again at the first step."""
        self._next_s = self._first_s

    def next_delay(self) -> float:
        """Draw the next delay, seconds: between half and the whole of the current step."""
        step = self._next_s
        self._next_s = min(self._longest_s, step * 2)
        return step * self._random.uniform(0.5, 1.0)
