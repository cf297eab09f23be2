"""Measures an engine's prefill speed and estimates its pending prefill.

Prefill is the engine's processing of a prompt before its first output token.
"""

import collections

from pearshed._internal.timers import clock

#: Speed that is assumed until it is measured, tokens a second.
ASSUMED_TOKENS_PER_S = 50_000.0
#: Length of one measurement, seconds: long enough for the prefill of several prompts.
WINDOW_S = 1.0
#: The speed is the highest rate measured in this time, seconds: too low a speed would leave the
#: engine idle, and the idle time would lower the measured rate further.
RATE_RETENTION_S = 5.0


class PrefillSpeed:
    """The highest recent rate of prefill.

    A prefill is confirmed by the first event of the response, which comes late and together with
    others. So rates are measured over windows in which the engine always had pending prefill, never
    between two confirmations.
    """

    def __init__(self) -> None:
        self._window_started_at = clock.now()
        self._window_tokens = 0
        self._rates: collections.deque[tuple[float, float]] = collections.deque()

    @property
    def tokens_per_s(self) -> float:
        """The speed, tokens a second; an assumed one before the first measurement."""
        oldest = clock.now() - RATE_RETENTION_S
        # The latest rate is used until there is another, however old it is.
        while len(self._rates) > 1 and self._rates[0][0] < oldest:
            self._rates.popleft()
        return max((rate for _, rate in self._rates), default=ASSUMED_TOKENS_PER_S)

    def restart_window(self) -> None:
        """Restart the measurement, as an engine without pending prefill got a prompt."""
        self._window_started_at = clock.now()
        self._window_tokens = 0

    def record_prefill(self, tokens: int) -> None:
        """Record that the engine has prefilled a prompt, or its uncached part."""
        self._window_tokens += tokens
        now = clock.now()
        elapsed_s = now - self._window_started_at
        if elapsed_s < WINDOW_S:
            return
        if self._window_tokens:
            self._rates.append((now, self._window_tokens / elapsed_s))
        self._window_started_at = now
        self._window_tokens = 0


class PrefillProgress:
    """Estimates the tokens that the engine has not prefilled yet.

    Confirmations of prefill come late, so the engine is assumed to go on at its measured speed.
    """

    def __init__(self, speed: PrefillSpeed) -> None:
        self._speed = speed
        self._pending_tokens = 0.0
        self._updated_at = clock.now()

    def pending(self, unconfirmed_tokens: int) -> float:
        """Estimate the pending tokens.

        :param unconfirmed_tokens: tokens sent to the engine whose prefill is not confirmed.
        """
        now = clock.now()
        prefilled = (now - self._updated_at) * self._speed.tokens_per_s
        self._pending_tokens = min(
            float(unconfirmed_tokens), max(0.0, self._pending_tokens - prefilled)
        )
        self._updated_at = now
        return self._pending_tokens

    def add(self, tokens: int, unconfirmed_tokens: int) -> None:
        """Add the tokens of a prompt that is sent to the engine.

        :param unconfirmed_tokens: tokens without confirmation, this prompt not included.
        """
        self._pending_tokens = self.pending(unconfirmed_tokens) + tokens
