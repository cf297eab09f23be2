"""Says among how many gateways a limit for all of them is divided.

Addresses moments in which few of the gateways are known: a side that has just started, or that some
gateways don't reach, counts too few, and the shares of all would add up to more than the limit.
"""

import collections

from pearshed._internal.timers import clock

#: Time for which a count holds against lower ones, seconds; longer than cuts and restarts last.
MEMORY_S = 300.0
#: Time after the first count for which more gateways become known, seconds.
SETTLING_S = 5.0
_BUCKET_S = 5.0


class GatewayCount:
    """The largest number of gateways that was known within ``MEMORY_S``."""

    def __init__(self) -> None:
        #: Counts and their times, the largest first; each is larger than those after it.
        self._counts: collections.deque[tuple[float, int]] = collections.deque()
        self._first_at: float | None = None

    @property
    def largest(self) -> int:
        """The largest count; 0 if none is known."""
        oldest = clock.now() - MEMORY_S
        while self._counts and self._counts[0][0] < oldest:
            self._counts.popleft()
        return self._counts[0][1] if self._counts else 0

    @property
    def settled(self) -> int:
        """The largest count; 0 until it has been known for ``SETTLING_S``."""
        if self._first_at is None or clock.now() - self._first_at < SETTLING_S:
            return 0
        return self.largest

    def record(self, count: int) -> None:
        """Record a number of gateways that is known now, this one included."""
        if count <= 0:
            return
        now = clock.now()
        if self._first_at is None:
            self._first_at = now
        while self._counts and self._counts[-1][1] <= count:
            self._counts.pop()
        if not self._counts or now - self._counts[-1][0] >= _BUCKET_S:
            self._counts.append((now, count))
