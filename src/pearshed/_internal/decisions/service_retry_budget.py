"""Limits retries to a share of a service's requests, without a shared counter."""

import collections

from pearshed._internal.timers import clock

#: Share of the fleet's allowance that the gateways use; the remainder covers uneven traffic.
USED_SHARE = 0.8
_BUCKETS_PER_WINDOW = 10


class ServiceRetryBudget:
    """Limits the retries for one service in a sliding window.

    The ratio applies to this gateway's own requests, so gateways with more traffic may retry more;
    the fixed part is split evenly among the gateways.

    :param ratio: retries allowed for each request.
    :param slack: retries allowed in addition, over all gateways.
    :param window_s: length of the window, seconds.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._gateways = 1
        self._requests: collections.deque[tuple[float, int]] = collections.deque()
        self._retries: collections.deque[tuple[float, int]] = collections.deque()
        self._denied = 0

    @property
    def denied(self) -> int:
        """Number of retries denied because the budget was spent."""
        return self._denied

    def set_gateways(self, gateways: int) -> None:
        """Set the number of gateways that share the fixed part."""
        self._gateways = max(1, gateways)

    def record_request(self) -> None:
        """Count a request of a caller."""
        self._add(self._requests)

    def try_spend(self) -> bool:
        """Spend one retry of the budget; return whether it had one."""
        allowed = self._ratio * self._count(self._requests) + self._slack / self._gateways
        if self._count(self._retries) + 1 > allowed * USED_SHARE:
            self._denied += 1
            return False
        self._add(self._retries)
        return True

    def _add(self, window: "collections.deque[tuple[float, int]]") -> None:
        step_s = self._window_s / _BUCKETS_PER_WINDOW
        now = clock.now()
        if window and now - window[-1][0] < step_s:
            started, count = window[-1]
            window[-1] = (started, count + 1)
        else:
            window.append((now, 1))

    def _count(self, window: "collections.deque[tuple[float, int]]") -> int:
        # A bucket counts until all of it has left the window.
        oldest = clock.now() - self._window_s - self._window_s / _BUCKETS_PER_WINDOW
        while window and window[0][0] < oldest:
            window.popleft()
        return sum(count for _, count in window)
