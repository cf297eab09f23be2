"""How fast an engine reads prompts, and how much of what it got is likely unread."""

import collections

from pearshed._internal.timers import clock

#: Speed that is assumed until it is measured, tokens a second.
ASSUMED_TOKENS_PER_S = 50_000.0
#: Length of one measurement, seconds: several prompts are read in it.
WINDOW_S = 1.0
#: The highest of the measurements of this time counts, seconds: one that is too low would let the
#: engine idle, and its idling would look like a lower speed still.
MEMORY_S = 5.0


class PrefillSpeed:
    """The highest rate at which prompts were read of late.

    That a prompt was read is known from its first event, which comes late and together with
    others. So the rate is taken over windows in which the engine always had prompts to read, never
    from the time between two such words.
    """

    def __init__(self) -> None:
        self._window_began = clock.now()
        self._window_tokens = 0
        self._rates: collections.deque[tuple[float, float]] = collections.deque()

    @property
    def tokens_per_s(self) -> float:
        """The speed, tokens a second."""
        oldest = clock.now() - MEMORY_S
        # The latest measurement holds until there is another.
        while len(self._rates) > 1 and self._rates[0][0] < oldest:
            self._rates.popleft()
        return max((rate for _, rate in self._rates), default=ASSUMED_TOKENS_PER_S)

    def restart_window(self) -> None:
        """Note that an engine without prompts to read got one."""
        self._window_began = clock.now()
        self._window_tokens = 0

    def record_prefill(self, tokens: int) -> None:
        """Note that the engine has read some tokens of prompts."""
        self._window_tokens += tokens
        moment = clock.now()
        elapsed_s = moment - self._window_began
        if elapsed_s < WINDOW_S:
            return
        if self._window_tokens:
            self._rates.append((moment, self._window_tokens / elapsed_s))
        self._window_began = moment
        self._window_tokens = 0


class PrefillProgress:
    """Estimates the tokens that the engine has not read yet.

    The word that a prompt was read comes late, so the engine is taken to read on meanwhile.
    """

    def __init__(self, speed: PrefillSpeed) -> None:
        self._speed = speed
        self._pending = 0.0
        self._updated = clock.now()

    def pending(self, unconfirmed: int) -> float:
        """Estimate the unread tokens.

        :param unconfirmed: tokens of prompts that the engine has got and of whose reading there is
            no word; 0 when there is none.
        """
        moment = clock.now()
        read = (moment - self._updated) * self._speed.tokens_per_s
        self._pending = min(float(unconfirmed), max(0.0, self._pending - read))
        self._updated = moment
        return self._pending

    def add(self, tokens: int, unconfirmed: int) -> None:
        """Note that the engine gets a prompt.

        :param unconfirmed: as before it.
        """
        self._pending = self.pending(unconfirmed) + tokens
