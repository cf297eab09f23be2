"""Limits the retries for a service to a share of its requests, over all gateways together.

Addresses failures of many endpoints at once, in which each retry is likely to fail as well, also
while gateways are killed and restarted. No gateway counts for the others: each has a token bucket,
and what all buckets can hold and receive in a window stays below the limit.
"""

from pearshed._internal.timers import clock

#: Shares of the fixed part that buckets hold when they are full, and receive in a window. The
#: remainder covers gateways that don't know the number of gateways exactly.
BURST_SHARE = 0.7
REFILL_SHARE = 0.2
#: Capacity of a bucket while the number of gateways isn't known.
_UNKNOWN_CAPACITY = 1.0


class ServiceRetryBudget:
    """A bucket of tokens, each of which allows one retry for a service.

    A request adds ``ratio`` tokens. The fixed part is split evenly among the gateways: the bucket
    holds a share of it, and receives another share of it in each window. In a window all gateways
    together spend at most what their buckets held at its start and received in it.

    The bucket of a process that has just started is empty, since the process before it may have
    spent all that it had. It is filled once a whole window has passed.

    :param ratio: retries allowed for each request.
    :param slack: retries allowed in addition in each window, over all gateways.
    :param window_s: length of the window, seconds.
    :param started_at: clock reading of the start of the process, seconds.
    """

    def __init__(self, ratio: float, slack: float, window_s: float, started_at: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._started_at = started_at
        self._gateways = 0
        self._tokens = 0.0
        self._credited_at = clock.now()
        self._is_filled = False
        self._spent = 0
        self._denied = 0

    @property
    def tokens(self) -> float:
        """Retries that it allows now."""
        self._credit()
        return self._tokens

    @property
    def capacity(self) -> float:
        """Tokens that it can hold."""
        if not self._gateways:
            return _UNKNOWN_CAPACITY
        return self._slack * BURST_SHARE / self._gateways

    @property
    def window_s(self) -> float:
        """Length of the window, seconds."""
        return self._window_s

    @property
    def spent(self) -> int:
        """Number of retries allowed so far."""
        return self._spent

    @property
    def denied(self) -> int:
        """Number of retries denied because the budget was spent."""
        return self._denied

    def configure(self, ratio: float, slack: float, window_s: float) -> None:
        """Change the limit; what has been spent stays spent."""
        self._credit()
        self._ratio, self._slack, self._window_s = ratio, slack, window_s

    def set_gateways(self, gateways: int) -> None:
        """Set the number of gateways that share the fixed part; 0 if it isn't known."""
        if gateways != self._gateways:
            self._credit()
            self._gateways = gateways

    def record_request(self) -> None:
        """Add what a request of a caller allows."""
        self._credit()
        self._tokens = min(self.capacity, self._tokens + self._ratio)

    def try_spend(self, borrowed: float = 0.0) -> bool:
        """Spend one token; return whether there was one.

        :param borrowed: tokens that other gateways have given for it; what isn't needed is kept.
        """
        self._credit()
        if self._tokens + borrowed < 1.0:
            return False
        self._tokens += borrowed - 1.0
        self._spent += 1
        return True

    def record_denial(self) -> None:
        """Count a retry that was denied."""
        self._denied += 1

    def lend(self, tokens: float) -> float:
        """Give tokens to another gateway; return how many."""
        self._credit()
        lent = max(0.0, min(tokens, self._tokens))
        self._tokens -= lent
        return lent

    def keep(self, borrowed: float) -> None:
        """Keep tokens that other gateways have given and that weren't enough for a retry."""
        self._credit()
        self._tokens = min(self.capacity, self._tokens + borrowed)

    def _credit(self) -> None:
        """Add what time has brought, and drop what the bucket can't hold."""
        now = clock.now()
        elapsed_s, self._credited_at = now - self._credited_at, now
        if self._gateways:
            refill_per_s = self._slack * REFILL_SHARE / (self._gateways * self._window_s)
            self._tokens += refill_per_s * elapsed_s
            if not self._is_filled and now - self._started_at >= self._window_s:
                self._is_filled = True
                self._tokens = self.capacity
        self._tokens = min(self.capacity, self._tokens)
