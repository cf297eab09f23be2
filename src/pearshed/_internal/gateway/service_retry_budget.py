"""The share of a service's arrivals that may be repeats, kept without a shared counter."""

import collections

from pearshed._internal.timers import clock

#: Part of the fleet's allowance that the nodes use; the rest covers uneven traffic.
USED_SHARE = 0.8
_BUCKETS_PER_WINDOW = 10


class ServiceRetryBudget:
    """Bounds the second sends for one service in a sliding window.

    The ratio applies to this node's own requests, so nodes with more traffic may repeat more;
    the fixed part is split evenly among the nodes.

    :param ratio: repeats allowed for each request.
    :param slack: repeats allowed besides, over all nodes.
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
        """Repeats refused for want of budget."""
        return self._denied

    def set_gateways(self, gateways: int) -> None:
        """Set the number of nodes that share the fixed part."""
        self._gateways = max(1, gateways)

    def record_request(self) -> None:
        """Count a request of a caller."""
        self._add(self._requests)

    def record_retry(self) -> None:
        """Count a repeat that was sent anyway."""
        self._add(self._retries)

    def try_spend(self) -> bool:
        """Take one repeat from the budget, if it has one."""
        allowed = self._ratio * self._count(self._requests) + self._slack / self._gateways
        if self._count(self._retries) + 1 > allowed * USED_SHARE:
            self._denied += 1
            return False
        self._add(self._retries)
        return True

    def _add(self, window: "collections.deque[tuple[float, int]]") -> None:
        step_s = self._window_s / _BUCKETS_PER_WINDOW
        moment = clock.now()
        if window and moment - window[-1][0] < step_s:
            started, count = window[-1]
            window[-1] = (started, count + 1)
        else:
            window.append((moment, 1))

    def _count(self, window: "collections.deque[tuple[float, int]]") -> int:
        # A bucket counts until all of it has left the window.
        oldest = clock.now() - self._window_s - self._window_s / _BUCKETS_PER_WINDOW
        while window and window[0][0] < oldest:
            window.popleft()
        return sum(count for _, count in window)
