"""A gateway's own share of an engine's rate limit, for when no side counts for all gateways."""

import random

from pearshed._internal.engine_side.place_queue import effective_rate
from pearshed._internal.timers import clock

#: Share of the limit that the gateways use: their places come at random times.
USED_SHARE = 0.5
#: A place that isn't used for this long is lost, seconds, so that the saved places of all gateways
#: can't be used at once.
PLACE_LAPSE_S = 1.0


class LocalShare:
    """Places at even intervals, whose length is the gateway's share of the limit.

    The first one is at a random time, since other gateways begin at the same moment.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._next_at = 0.0
        self._interval_s: float | None = None

    def reserve(
        self, per_s: float, gateways: int, budget_s: float, used_share: float = USED_SHARE
    ) -> tuple[bool, float]:
        """Reserve the next place if it is soon enough.

        :param per_s: limit for all gateways together, requests per second.
        :param gateways: number of gateways that share it.
        :param budget_s: longest time to wait for the place, seconds.
        :param used_share: share of the limit that the gateways use.
        :returns: whether it is reserved, and the time until it, seconds.
        """
        now = clock.now()
        interval_s = gateways / (effective_rate(per_s) * used_share)
        if self._interval_s is None:
            self._next_at = now + self._rng.uniform(0.0, interval_s)
        elif interval_s != self._interval_s and self._next_at > now:
            self._next_at = now + (self._next_at - now) * interval_s / self._interval_s
        self._interval_s = interval_s
        lapsed_s = now - PLACE_LAPSE_S - self._next_at
        if lapsed_s > 0.0:
            self._next_at += interval_s * (lapsed_s // interval_s + 1)
        wait_s = max(0.0, self._next_at - now)
        if wait_s > budget_s:
            return False, wait_s
        self._next_at += interval_s
        return True, wait_s
